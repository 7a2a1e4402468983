/*
 * Execution of one idempotency key at most once: the operation ledger, the
 * ingress side and the serving side. The replicated log below the ledger has
 * its own model; here a command is applied atomically, but its reply can be
 * lost, and it can be applied long after its proposer gave up (a delayed
 * command).
 *
 * Properties, checked as assertions and as the absence of invalid end states:
 *   P1  the operation runs at most once;
 *   P2  a copy is answered "not run" only if the operation has not run and no
 *       copy that the system had received by then runs it later;
 *   P3  every copy whose ingress has not crashed gets a verdict, and an
 *       operation that ran is answered, claimed or unknown in the ledger, never
 *       free.
 *
 * Each mutant removes one guard; spin must find a counterexample. See
 * at_most_once.md.
 */

// CHECK three_attempts: -DMAX_FAULTS=1
// CHECK two_attempts: -DMAX_FAULTS=2 -DMAX_ATTEMPT=2
// CHECK three_copies: -DCOPIES=3 -DMAX_ATTEMPT=2 -DMAX_FAULTS=0
// MUTANT p1_advance_without_proof: -DADVANCE_ON_SILENCE
// MUTANT p1_ledger_ignores_attempt: -DNO_ATTEMPT_CHECK
// MUTANT p1_dispatch_ignores_incarnation: -DNO_DISPATCH_INCARNATION
// MUTANT p1_fence_ignores_incarnation: -DNO_FENCE_INCARNATION
// MUTANT p1_fence_not_recorded: -DNO_FENCE_MEMORY
// MUTANT p1_eviction_without_floor: -DNO_FLOOR
// MUTANT p2_freed_key_admits_older_copies: -DONLY_P2 -DNO_STALE_CHECK
// MUTANT p2_repeated_free_admits_older_copies: -DONLY_P2 -DNO_REPEATED_FREE_CHECK
// MUTANT p2_not_run_while_claimed: -DONLY_P2 -DNOT_RUN_WHILE_CLAIMED
// MUTANT p2_not_run_for_unconfirmed_claim: -DONLY_P2 -DNOT_RUN_UNCONFIRMED_CLAIM
// MUTANT p2_not_run_for_unconfirmed_abandon: -DONLY_P2 -DNOT_RUN_UNCONFIRMED_ABANDON
// MUTANT p2_not_run_for_resend_without_ledger: -DONLY_P2 -DNOT_RUN_FOR_RESEND
// MUTANT p3_unbounded_wait: -DONLY_P3 -DUNBOUNDED_WAIT
// MUTANT p3_free_without_proof: -DONLY_P3 -DABANDON_ON_SILENCE

#ifndef COPIES
#define COPIES 2      /* Copies of the request that the caller sends. */
#endif
#ifndef MAX_FAULTS
#define MAX_FAULTS 2  /* Restarts, evictions, lost upstreams and commands. */
#endif
/* A mutant of P2 or P3 must be refuted by its own property alone. */
#ifdef ONLY_P2
#define CHECK_P1(condition) skip
#else
#define CHECK_P1(condition) assert(condition)
#endif
#ifdef ONLY_P3
#undef CHECK_P1
#define CHECK_P1(condition) skip
#define CHECK_P2(condition) skip
#else
#define CHECK_P2(condition) assert(condition)
#endif

#define NODES 2
#ifndef MAX_ATTEMPT
#define MAX_ATTEMPT 3
#endif

/* States of the operation in the ledger. */
#define ABSENT 0
#define CLAIMED 1
#define DONE 2
#define UNKNOWN 3
#define FREE 4

/* State of an attempt in the memory of its serving node. */
#define NEVER_SEEN 0
#define FENCED 1      /* Never runs: fenced before it arrived, or rejected. */
#define RUNNING 3
#define ANSWERED 4
#define LOST 5        /* The upstream's connection broke after the dispatch. */
#define EVICTED 6     /* Below the floor of the node's bounded memory. */

/* Ledger commands. */
#define NO_COMMAND 0
#define CLAIM 1
#define ADVANCE 2
#define ABANDON 3
#define COMPLETE 4
#define MARK_UNKNOWN 5

/* Replies to a proposer. */
#define GRANTED 1
#define IN_PROGRESS 2
#define HAS_ANSWER 3
#define UNRESOLVED 4
#define IS_FREE 5
#define TIMED_OUT 6     /* The command may or may not have been accepted. */
#define NOT_ACCEPTED 7  /* The command was certainly not accepted. */

/* Replies of the serving node to the owner of an attempt. */
#define NO_REPLY 0
#define REPLY_REJECTED 1
#define REPLY_ANSWER 2

byte faults = 0;

/* The ledger's record. A nonce is copy * 4 + the attempt it replaces. */
byte ledger_state = ABSENT;
byte ledger_attempt = 0;
byte ledger_nonce = 0;

/* Per attempt: the node and incarnation that its claim names, whether the
 * dispatch is in flight, the serving node's memory and the reply in flight. */
byte attempt_node[MAX_ATTEMPT + 1];
byte attempt_incarnation[MAX_ATTEMPT + 1];
bool in_flight[MAX_ATTEMPT + 1];
byte memory[MAX_ATTEMPT + 1];
byte reply[MAX_ATTEMPT + 1];
bool awaited[MAX_ATTEMPT + 1];  /* The owner waits for a reply. */
byte incarnation[NODES];

/* Per copy, the command that timed out and may still be applied. */
byte delayed_command[COPIES + 1];
byte delayed_attempt[COPIES + 1];
byte delayed_node[COPIES + 1];
byte delayed_incarnation[COPIES + 1];

byte received = 0;          /* Copies received so far: 1..received. */
bool stale_copies[4]; /* Copies received before the operation was last freed. */
bool not_run_copies[4]; /* Ghost: copies received before a "not run" verdict. */
byte granted_copy = 0; /* Ghost: the copy whose claim was granted last. */
byte runs = 0;              /* Ghost. */
byte copies_completed = 0; /* With a verdict or a crashed ingress. */

/* Sets the flag of every copy received so far. */
#define FLAG_RECEIVED(flags) \
  flags[1] = flags[1] || received >= 1; \
  flags[2] = flags[2] || received >= 2; \
  flags[3] = flags[3] || received >= 3

/* Parameters of the inlines below: c is a copy, a or att an attempt, n a node
 * and i its incarnation. */

/* Starts a new attempt, which is the only live one. */
inline start_attempt(nonce, n, i) {
  ledger_attempt++;
  assert(ledger_attempt <= MAX_ATTEMPT);
  ledger_state = CLAIMED;
  ledger_nonce = nonce;
  attempt_node[ledger_attempt] = n;
  attempt_incarnation[ledger_attempt] = i;
}

/* Replies with the state of the operation. */
inline report_state(result) {
  if
  :: ledger_state == CLAIMED -> result = IN_PROGRESS
  :: ledger_state == DONE -> result = HAS_ANSWER
  :: ledger_state == UNKNOWN -> result = UNRESOLVED
  :: else ->
     result = IS_FREE;
#ifndef NO_REPEATED_FREE_CHECK
     FLAG_RECEIVED(stale_copies)
#endif
  fi
}

/* Applies a command; only called inside an atomic block. */
inline apply(cmd, c, att, n, i, result) {
  if
  :: cmd == CLAIM && ledger_state == CLAIMED && ledger_nonce == c * 4 ->
     result = GRANTED
#ifdef NO_STALE_CHECK
  :: cmd == CLAIM && (ledger_state == ABSENT || ledger_state == FREE) &&
     ledger_attempt < MAX_ATTEMPT ->
#else
  :: cmd == CLAIM && (ledger_state == ABSENT ||
     (ledger_state == FREE && !stale_copies[c])) &&
     ledger_attempt < MAX_ATTEMPT ->
#endif
     start_attempt(c * 4, n, i);
     granted_copy = c;
     result = GRANTED
#ifdef NO_ATTEMPT_CHECK
  :: cmd == ADVANCE && ledger_state == CLAIMED &&
     ledger_attempt < MAX_ATTEMPT ->
#else
  :: cmd == ADVANCE && ledger_state == CLAIMED && ledger_attempt == att ->
#endif
     start_attempt(c * 4 + att, n, i);
     result = GRANTED
#ifndef NO_ATTEMPT_CHECK
  :: cmd == ADVANCE && ledger_state == CLAIMED && ledger_attempt == att + 1 &&
     ledger_nonce == c * 4 + att -> result = GRANTED
#endif
  :: cmd == ABANDON && ledger_state == CLAIMED && ledger_attempt == att ->
     ledger_state = FREE;
     FLAG_RECEIVED(stale_copies);
     result = IS_FREE
  :: cmd == COMPLETE && ledger_attempt == att &&
     (ledger_state == CLAIMED || ledger_state == UNKNOWN) ->
     ledger_state = DONE;
     result = HAS_ANSWER
  :: cmd == MARK_UNKNOWN && ledger_state == CLAIMED && ledger_attempt == att ->
     ledger_state = UNKNOWN;
     result = UNRESOLVED
  :: else -> report_state(result)
  fi
}

/* Proposes a command. The command is applied and answered, or times out and is
 * applied at once, later or never, or is certainly not accepted. */
inline propose(cmd, c, att, n, i, result) {
  if
  :: apply(cmd, c, att, n, i, result)
  :: faults < MAX_FAULTS && delayed_command[c] == NO_COMMAND ->
     faults++;
     delayed_command[c] = cmd;
     delayed_attempt[c] = att;
     delayed_node[c] = n;
     delayed_incarnation[c] = i;
     result = TIMED_OUT
  :: faults < MAX_FAULTS ->
     faults++;
     result = NOT_ACCEPTED
  fi
}

/* Gives the verdict "not run", in the same step as the reply of the ledger. */
inline reply_not_run() {
  CHECK_P2(runs == 0);
  FLAG_RECEIVED(not_run_copies);
}

/* Queries the status of attempt `a` at its node, which fences an attempt that
 * it has never seen. */
inline fence(a, status) {
  if
  :: incarnation[attempt_node[a]] == attempt_incarnation[a] ->
     status = memory[a]
#ifdef NO_FENCE_INCARNATION
  :: incarnation[attempt_node[a]] != attempt_incarnation[a] ->
     status = memory[a]
#else
  :: incarnation[attempt_node[a]] != attempt_incarnation[a] -> status = LOST
#endif
  fi;
#ifndef NO_FENCE_MEMORY
  if
  :: status == NEVER_SEEN -> memory[a] = FENCED
  :: else
  fi;
#endif
  if
  :: status == NEVER_SEEN -> status = FENCED
  :: else
  fi
}

/* The ingress that received copy `c`. A crash of the ingress is modelled as
 * giving up at that step, because only the verdict "not run" and the answer
 * have consequences. A lost message is one that is never handled. */
proctype ingress(byte c) {
  byte a = 0;        /* The attempt that the ingress owns or follows. */
  byte n;            /* Target node of the next claim or advance. */
  byte i;            /* Incarnation of the target node. */
  byte result;
  byte status;
  byte cmd;
  byte repeats = 0;
  bool unconfirmed = false;

  /* Chooses a target, which may be outdated when the claim commits. */
  atomic {
    if
    :: n = 0
    :: c > 1 -> n = 1  /* The nodes are symmetric. */
    fi;
    i = incarnation[n];
    cmd = CLAIM
  }

proposing:
  atomic {
    propose(cmd, c, a, n, i, result);
    if
    :: result == GRANTED ->
       a = ledger_attempt; n = 0; i = 0; result = 0; cmd = 0; repeats = 0;
       unconfirmed = false;
       goto dispatching
    :: result == IN_PROGRESS ->
       a = ledger_attempt;
#ifdef NOT_RUN_WHILE_CLAIMED
       if
       :: cmd == ADVANCE || cmd == ABANDON -> reply_not_run(); goto finished
       :: else
       fi;
#endif
       n = 0; i = 0; result = 0; cmd = 0; repeats = 0;
       unconfirmed = false;
       goto following
    :: result == HAS_ANSWER || result == UNRESOLVED -> goto finished
    :: result == IS_FREE -> reply_not_run(); goto finished
    :: result == TIMED_OUT ->
       unconfirmed = true;
       if
       :: repeats < 1 -> repeats++; goto proposing
       :: else
       fi
    :: result == NOT_ACCEPTED
    fi;
    /* The ledger gave no conclusive reply. */
    if
#ifdef NOT_RUN_UNCONFIRMED_CLAIM
    :: cmd == CLAIM -> reply_not_run()
#elif defined(NOT_RUN_UNCONFIRMED_ABANDON)
    :: cmd == ABANDON -> reply_not_run()
#elif defined(NOT_RUN_FOR_RESEND)
    :: cmd == CLAIM && !unconfirmed ->
       if
       :: received == c -> reply_not_run()
       :: else
       fi
#else
    /* No command was left unconfirmed, and the caller declares that this is its
     * first copy. The caller only listens to its latest copy. */
    :: cmd == CLAIM && !unconfirmed && c == 1 ->
       if
       :: received == c -> reply_not_run()
       :: else
       fi
#endif
    :: else  /* The verdict is "unknown". */
    fi;
    goto finished
  }

dispatching:
  atomic {
    if
    :: in_flight[a] = true; awaited[a] = true
    :: goto not_run_proved  /* Connection refused: never sent. */
    fi
  }
awaiting:
  atomic {
    if
    :: reply[a] == REPLY_REJECTED ->
       reply[a] = NO_REPLY; awaited[a] = false;
       goto not_run_proved
    :: reply[a] == REPLY_ANSWER ->
       reply[a] = NO_REPLY; awaited[a] = false;
       cmd = COMPLETE;
       goto proposing
    :: true -> reply[a] = NO_REPLY; awaited[a] = false  /* No reply. */
    fi
  }
#ifdef ADVANCE_ON_SILENCE
  goto not_run_proved;
#endif
#ifdef ABANDON_ON_SILENCE
  cmd = ABANDON;
  goto proposing;
#endif

following:
  atomic {
    if
    :: goto finished  /* Node unreachable up to the deadline, or crash. */
    :: fence(a, status)
    fi;
    if
    :: status == FENCED -> status = 0; goto not_run_proved
    :: status == ANSWERED -> cmd = COMPLETE
    :: status == LOST || status == EVICTED -> cmd = MARK_UNKNOWN
#ifdef UNBOUNDED_WAIT
    :: status == RUNNING -> goto waiting
#else
    :: status == RUNNING -> goto finished  /* Waited up to the deadline. */
#endif
    fi;
    status = 0
  }
  goto proposing;
#ifdef UNBOUNDED_WAIT
waiting:
  ledger_state == DONE || ledger_state == UNKNOWN;
  goto finished;
#endif

not_run_proved:  /* Attempt `a` did not run and never will. */
  atomic {
    if
    :: a < MAX_ATTEMPT ->
       cmd = ADVANCE;
       n = 1 - attempt_node[a];
       i = incarnation[n]
    :: cmd = ABANDON
    fi;
    repeats = 0
  }
  goto proposing;

finished:
  atomic {
    a = 0; n = 0; i = 0; result = 0; status = 0; cmd = 0; repeats = 0;
    unconfirmed = false;
    copies_completed++
  }
}

#define CAN_EVICT(k) \
  faults < MAX_FAULTS && memory[k] != NEVER_SEEN && memory[k] != RUNNING && \
  memory[k] != EVICTED

#define REPLY(value) reply[a] = (awaited[a] -> value : NO_REPLY)

/* The serving nodes. */
active proctype serving() {
  byte a;
end:
  do
  :: atomic {
       if
       :: in_flight[1] -> a = 1
       :: in_flight[2] -> a = 2
#if MAX_ATTEMPT > 2
       :: in_flight[3] -> a = 3
#endif
       fi;
       in_flight[a] = false;
       if
#ifndef NO_DISPATCH_INCARNATION
       :: incarnation[attempt_node[a]] != attempt_incarnation[a] ->
          REPLY(REPLY_REJECTED)
       :: incarnation[attempt_node[a]] == attempt_incarnation[a] &&
          memory[a] != NEVER_SEEN
#else
       :: memory[a] != NEVER_SEEN
#endif
          -> if
             :: memory[a] == FENCED -> REPLY(REPLY_REJECTED)
             :: else  /* Without a proof the node sends no reply. */
             fi
#ifndef NO_DISPATCH_INCARNATION
       :: incarnation[attempt_node[a]] == attempt_incarnation[a] &&
          memory[a] == NEVER_SEEN
#else
       :: memory[a] == NEVER_SEEN
#endif
          -> if
             :: memory[a] = FENCED; REPLY(REPLY_REJECTED)
             :: memory[a] = RUNNING;
                runs++;
                CHECK_P1(runs <= 1);
                CHECK_P2(not_run_copies[granted_copy] == 0)
             fi
       fi;
       a = 0
     }
  :: atomic {  /* The upstream answers, or its connection breaks. */
       if
       :: memory[1] == RUNNING -> a = 1
       :: memory[2] == RUNNING -> a = 2
#if MAX_ATTEMPT > 2
       :: memory[3] == RUNNING -> a = 3
#endif
       fi;
       if
       :: memory[a] = ANSWERED; REPLY(REPLY_ANSWER)
       :: faults < MAX_FAULTS -> faults++; memory[a] = LOST
       fi;
       a = 0
     }
  :: atomic {  /* Bounded memory: an entry is evicted. */
       if
       :: CAN_EVICT(1) -> a = 1
       :: CAN_EVICT(2) -> a = 2
       fi;
       faults++;
#ifdef NO_FLOOR
       memory[a] = NEVER_SEEN;
#else
       memory[a] = EVICTED;
#endif
       a = 0
     }
  :: atomic {  /* A node restarts and loses its memory. */
       faults < MAX_FAULTS ->
       faults++;
       if
       :: a = 0
       :: a = 1
       fi;
       incarnation[a]++;
       if :: attempt_node[1] == a -> memory[1] = NEVER_SEEN :: else fi;
       if :: attempt_node[2] == a -> memory[2] = NEVER_SEEN :: else fi;
#if MAX_ATTEMPT > 2
       if :: attempt_node[3] == a -> memory[3] = NEVER_SEEN :: else fi;
#endif
       a = 0
     }
  od
}

/* Applies commands after their proposers have given up on them. */
active proctype apply_delayed_commands() {
  byte c;
  byte ignored;
end:
  do
  :: atomic {
       if
       :: delayed_command[1] != NO_COMMAND -> c = 1
#if COPIES > 1
       :: delayed_command[2] != NO_COMMAND -> c = 2
#endif
#if COPIES > 2
       :: delayed_command[3] != NO_COMMAND -> c = 3
#endif
       fi;
       apply(delayed_command[c], c, delayed_attempt[c], delayed_node[c],
             delayed_incarnation[c], ignored);
       delayed_command[c] = NO_COMMAND;
       delayed_attempt[c] = 0;
       delayed_node[c] = 0;
       delayed_incarnation[c] = 0;
       c = 0;
       ignored = 0
     }
  od
}

/* Sends the copies; a copy may follow before the previous one is answered. */
active proctype caller() {
  do
  :: atomic { received < COPIES -> received++; run ingress(received) }
  :: received == COPIES -> break
  od;
  if
  :: copies_completed == COPIES
  :: timeout -> assert(copies_completed == COPIES) /* P3 */
  fi;
  /* P3: an operation that ran is recorded in the ledger. */
  assert(runs == 0 || ledger_state == DONE || ledger_state == CLAIMED ||
         ledger_state == UNKNOWN)
}
