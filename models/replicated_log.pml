/*
 * The replicated log of src/replication with three replicas: elections,
 * replication, commitment, confirmed reads, lost disks and replacement.
 * models/README.md says what is covered and what is abstracted.
 *
 * Every message can be lost, repeated and delayed: requests and replies stay in
 * sets (`granted`, `ack` and the log of each leader), from which a replica
 * takes them at any time or never. A write and its sync are one step: a crash
 * between them is the same as a message that was never received, as long as no
 * reply is sent before the sync. The mutants that break this rule reply without
 * writing.
 */
// CHECK committed_entries_survive: -DTERMS=3 -DENTRIES=2
// CHECK committed_entries_survive_four_terms: -DTERMS=4 -DENTRIES=1
// CHECK reads_are_current: -DTERMS=2 -DENTRIES=2 -DREADS
// CHECK lost_disks_and_replacement: -DTERMS=2 -DENTRIES=4 -DMAX_LOST_DISKS=2 -DONE_COMMAND_PER_TERM
// MUTANT commits_entry_of_older_term: -DTERMS=4 -DENTRIES=1 -DCOMMITS_OLDER_TERM
// MUTANT votes_before_sync: -DTERMS=2 -DENTRIES=2 -DVOTES_BEFORE_SYNC
// MUTANT acknowledges_before_sync: -DTERMS=2 -DENTRIES=2 -DACKS_BEFORE_SYNC
// MUTANT votes_for_shorter_log: -DTERMS=2 -DENTRIES=2 -DNO_LOG_CHECK
// MUTANT reads_without_quorum: -DTERMS=2 -DENTRIES=2 -DREADS -DREADS_WITHOUT_QUORUM
// MUTANT reads_before_own_commit: -DTERMS=2 -DENTRIES=2 -DREADS -DREADS_BEFORE_COMMIT
// MUTANT lost_disk_keeps_identity: -DTERMS=2 -DENTRIES=2 -DMAX_LOST_DISKS=1 -DKEEPS_IDENTITY
// MUTANT majority_of_empty_disks_forms: -DTERMS=2 -DENTRIES=2 -DMAX_LOST_DISKS=2 -DFORMS_BY_MAJORITY

#ifndef TERMS
#define TERMS 2
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef MAX_LOST_DISKS
#define MAX_LOST_DISKS 0
#endif

#define SLOTS 3      /* Configured replicas. */
#define IDENTITIES 6 /* A slot gets a new identity when its disk is lost. */
#define NO_REPLICA 7

/* An entry holds its term and, for a membership change, the voters; else 0. */
#define ENTRY(t, voters) ((t) + 8 * (voters))
#define TERM_OF(e) ((e) % 8)
#define VOTERS_OF(e) ((e) / 8)
#define INITIAL_VOTERS 7 /* Identities 0, 1 and 2. */
#define BIT(id) (1 << (id))

typedef replica {
  /* On disk. */
  byte id;
  byte term;
  byte voted_for;
  byte size;
  short log[ENTRIES];
  bool unbound; /* The disk was lost and the replica has no cluster yet. */
  /* In memory. */
  bool is_leader;
  bool is_candidate; /* Candidate of its term. */
  byte granted; /* Identities that voted for it in this election. */
};

/* Messages that the leader of a term sent and received. */
typedef leadership {
  byte leader; /* Identity. */
  byte size;
  short log[ENTRIES];
  byte commit;
  byte ack[IDENTITIES]; /* Acknowledged log length of each identity. */
};

replica rep[SLOTS];
leadership leaders[TERMS + 1]; /* By term, from 1. */

/* All entries that any leader has committed. */
byte committed_size;
short committed[ENTRIES];

/* One read at a time. */
bool read_active;
byte read_slot;
byte read_term;
byte read_min_commit;
byte read_confirmed;

byte lost_disks;

/* Scratch variables, set before use in each step and not part of the state. */
hidden byte i;
hidden byte n;
hidden byte voters;
hidden byte quorum;
hidden byte votes;
hidden byte k;
hidden byte unchanged;

/* Macro parameters: s is the slot of a replica, v that of a voter or follower,
 * c that of a candidate, and t a term. */

#define IS_VOTER(mask, id) (((mask) >> (id)) & 1)

#define CountBits(mask, count)                                               \
  count = ((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) +         \
          (((mask) >> 3) & 1) + (((mask) >> 4) & 1) + (((mask) >> 5) & 1);

/* The latest voters in `log`, committed or not. */
#define FindVoters(entries, count)                                           \
  voters = INITIAL_VOTERS;                                                   \
  i = 0;                                                                     \
  do                                                                         \
  :: i < count ->                                                            \
     if                                                                      \
     :: VOTERS_OF(entries[i]) != 0 -> voters = VOTERS_OF(entries[i])         \
     :: else                                                                 \
     fi;                                                                     \
     i++                                                                     \
  :: else -> break                                                           \
  od;                                                                        \
  CountBits(voters, quorum);                                                 \
  quorum = quorum / 2 + 1;

#define StepDown(s)                                                          \
  rep[s].is_leader = false;                                                  \
  rep[s].is_candidate = false;                                               \
  rep[s].granted = 0;                                                        \
  if                                                                         \
  :: read_active && read_slot == s ->                                        \
     read_active = false; read_slot = 0; read_term = 0; read_min_commit = 0; \
     read_confirmed = 0                                                      \
  :: else                                                                    \
  fi

#define AdoptTerm(s, t)                                                      \
  if                                                                         \
  :: rep[s].term < t ->                                                      \
     rep[s].term = t;                                                        \
     rep[s].voted_for = NO_REPLICA;                                          \
     StepDown(s)                                                             \
  :: else                                                                    \
  fi

/* ---- Elections ---- */

#define StartElection(s)                                                     \
  d_step {                                                                   \
    FindVoters(rep[s].log, rep[s].size);                                     \
    if                                                                       \
    :: IS_VOTER(voters, rep[s].id) ->                                        \
       StepDown(s);                                                          \
       rep[s].term++;                                                        \
       rep[s].voted_for = rep[s].id;                                         \
       rep[s].is_candidate = true;                                           \
       rep[s].granted = BIT(rep[s].id)                                       \
    :: else                                                                  \
    fi                                                                       \
  }

#define LAST_TERM(s) \
  (rep[s].size == 0 -> 0 : TERM_OF(rep[s].log[rep[s].size - 1]))
#ifdef NO_LOG_CHECK
#define LOG_IS_CURRENT(c, v) true
#else
#define LOG_IS_CURRENT(c, v)                                        \
  (LAST_TERM(c) > LAST_TERM(v) ||                                   \
   (LAST_TERM(c) == LAST_TERM(v) && rep[c].size >= rep[v].size))
#endif

#define MAY_VOTE(v, c)                                              \
  (rep[c].is_candidate && !rep[v].unbound &&                        \
   !IS_VOTER(rep[c].granted, rep[v].id) &&                          \
   (rep[v].term < rep[c].term ||                                    \
    (rep[v].term == rep[c].term &&                                  \
     (rep[v].voted_for == NO_REPLICA ||                             \
      rep[v].voted_for == rep[c].id))) &&                           \
   LOG_IS_CURRENT(c, v))

#define Vote(v, c)                                                           \
  d_step {                                                                   \
    AdoptTerm(v, rep[c].term);                                               \
    rep[v].voted_for = rep[c].id;                                            \
    rep[c].granted = rep[c].granted | BIT(rep[v].id)                         \
  }

/* The vote was sent and the process crashed before the vote was on disk. */
#define VoteUnsynced(v, c)                                                   \
  d_step {                                                                   \
    StepDown(v);                                                             \
    rep[c].granted = rep[c].granted | BIT(rep[v].id)                         \
  }

#define BecomeLeader(s)                                                       \
  d_step {                                                                    \
    FindVoters(rep[s].log, rep[s].size);                                      \
    CountBits(rep[s].granted & voters, votes);                                \
    if                                                                        \
    :: votes >= quorum ->                                                     \
       assert(leaders[rep[s].term].leader == NO_REPLICA); /* One per term. */ \
       /* The new leader holds all that earlier terms committed. */           \
       k = 0;                                                                 \
       n = 1;                                                                 \
       do                                                                     \
       :: n < rep[s].term ->                                                  \
          k = (leaders[n].commit > k -> leaders[n].commit : k);               \
          n++                                                                 \
       :: else -> break                                                       \
       od;                                                                    \
       assert(rep[s].size >= k);                                              \
       i = 0;                                                                 \
       do                                                                     \
       :: i < k ->                                                            \
          assert(rep[s].log[i] == committed[i]);                              \
          i++                                                                 \
       :: else -> break                                                       \
       od;                                                                    \
       rep[s].is_candidate = false;                                           \
       rep[s].granted = 0;                                                    \
       rep[s].is_leader = true;                                               \
       leaders[rep[s].term].leader = rep[s].id;                               \
       leaders[rep[s].term].size = rep[s].size;                               \
       leaders[rep[s].term].ack[rep[s].id] = rep[s].size;                     \
       i = 0;                                                                 \
       do                                                                     \
       :: i < rep[s].size ->                                                  \
          leaders[rep[s].term].log[i] = rep[s].log[i];                        \
          i++                                                                 \
       :: else -> break                                                       \
       od                                                                     \
    :: else                                                                   \
    fi                                                                        \
  }

/* ---- Replication ---- */

#define T(s) rep[s].term
#define CAN_APPEND(s) (rep[s].is_leader && leaders[T(s)].size < ENTRIES)

#define Append(s, new_voters)                                                \
  leaders[T(s)].log[leaders[T(s)].size] = ENTRY(T(s), new_voters);           \
  leaders[T(s)].size++

#define SyncLeader(s)                                                        \
  d_step {                                                                   \
    rep[s].size = leaders[T(s)].size;                                        \
    i = 0;                                                                   \
    do                                                                       \
    :: i < rep[s].size -> rep[s].log[i] = leaders[T(s)].log[i]; i++          \
    :: else -> break                                                         \
    od;                                                                      \
    leaders[T(s)].ack[rep[s].id] = rep[s].size                               \
  }

#define MAY_HANDLE_APPEND(v, t, length)                             \
  (leaders[t].leader != NO_REPLICA && rep[v].term <= t &&           \
   rep[v].id != leaders[t].leader && length <= leaders[t].size &&   \
   length > leaders[t].ack[rep[v].id])

/* Replica `v` handles an append, which carries any prefix of the leader's log.
 * A replica without a cluster joins the leader's cluster. */
#define HandleAppend(v, t, length)                                           \
  d_step {                                                                   \
    AdoptTerm(v, t);                                                         \
    if                                                                       \
    :: rep[v].is_candidate -> StepDown(v)                                    \
    :: else                                                                  \
    fi;                                                                      \
    rep[v].unbound = false;                                                  \
    unchanged = rep[v].size >= length;                                       \
    i = 0;                                                                   \
    do                                                                       \
    :: i < length ->                                                         \
       if                                                                    \
       :: i < rep[v].size && rep[v].log[i] != leaders[t].log[i] ->           \
          unchanged = false                                                  \
       :: else                                                               \
       fi;                                                                   \
       rep[v].log[i] = leaders[t].log[i];                                    \
       i++                                                                   \
    :: else -> break                                                         \
    od;                                                                      \
    if                                                                       \
    :: !unchanged ->                                                         \
       /* Remove entries that conflict and all behind the prefix. */         \
       i = length;                                                           \
       do                                                                    \
       :: i < ENTRIES -> rep[v].log[i] = 0; i++                              \
       :: else -> break                                                      \
       od;                                                                   \
       rep[v].size = length                                                  \
    :: else                                                                  \
    fi;                                                                      \
    leaders[t].ack[rep[v].id] = length                                       \
  }

/* The acknowledgement was sent and the process crashed before the entries were
 * on disk. */
#define AcknowledgeUnsynced(v, t, length)                                    \
  d_step {                                                                   \
    StepDown(v);                                                             \
    leaders[t].ack[rep[v].id] = length                                       \
  }

/* ---- Commitment ---- */

#ifdef COMMITS_OLDER_TERM
#define TERM_ALLOWS(s, index) true
#else
#define TERM_ALLOWS(s, index) (TERM_OF(leaders[T(s)].log[index - 1]) == T(s))
#endif

#define Commit(s)                                                            \
  d_step {                                                                   \
    FindVoters(leaders[T(s)].log, leaders[T(s)].size);                       \
    k = leaders[T(s)].size;                                                  \
    do                                                                       \
    :: k > leaders[T(s)].commit ->                                           \
       votes = 0;                                                            \
       n = 0;                                                                \
       do                                                                    \
       :: n < IDENTITIES ->                                                  \
          if                                                                 \
          :: IS_VOTER(voters, n) && leaders[T(s)].ack[n] >= k -> votes++     \
          :: else                                                            \
          fi;                                                                \
          n++                                                                \
       :: else -> break                                                      \
       od;                                                                   \
       if                                                                    \
       :: votes >= quorum && TERM_ALLOWS(s, k) -> break                      \
       :: else -> k--                                                        \
       fi                                                                    \
    :: else -> break                                                         \
    od;                                                                      \
    if                                                                       \
    :: k > leaders[T(s)].commit ->                                           \
       leaders[T(s)].commit = k;                                             \
       i = 0;                                                                \
       do                                                                    \
       :: i < k ->                                                           \
          if                                                                 \
          :: i < committed_size ->                                           \
             assert(committed[i] == leaders[T(s)].log[i])                    \
          :: else -> committed[i] = leaders[T(s)].log[i]                     \
          fi;                                                                \
          i++                                                                \
       :: else -> break                                                      \
       od;                                                                   \
       if                                                                    \
       :: k > committed_size -> committed_size = k                           \
       :: else                                                               \
       fi                                                                    \
    :: else                                                                  \
    fi                                                                       \
  }

#define COMMITTED_IN_OWN_TERM(s)                                    \
  (leaders[T(s)].commit > 0 &&                                      \
   TERM_OF(leaders[T(s)].log[leaders[T(s)].commit - 1]) == T(s))

/* ---- Reads ---- */

#define BeginRead(s)                                                         \
  d_step {                                                                   \
    read_active = true;                                                      \
    read_slot = s;                                                           \
    read_term = T(s);                                                        \
    read_min_commit = committed_size;                                        \
    read_confirmed = BIT(rep[s].id)                                          \
  }

/* A heartbeat sent after the read began, and its reply. */
#define MAY_CONFIRM(v)                                              \
  (read_active && v != read_slot && rep[v].term <= read_term &&     \
   !rep[v].unbound && !IS_VOTER(read_confirmed, rep[v].id))

#define Confirm(v)                                                           \
  d_step {                                                                   \
    AdoptTerm(v, read_term);                                                 \
    read_confirmed = read_confirmed | BIT(rep[v].id)                         \
  }

#ifdef READS_WITHOUT_QUORUM
#define READ_HAS_QUORUM true
#else
#define READ_HAS_QUORUM (votes >= quorum)
#endif
#ifdef READS_BEFORE_COMMIT
#define READ_FOLLOWS_COMMIT true
#else
#define READ_FOLLOWS_COMMIT COMMITTED_IN_OWN_TERM(read_slot)
#endif

#define ServeRead                                                              \
  d_step {                                                                     \
    FindVoters(leaders[read_term].log, leaders[read_term].size);               \
    CountBits(read_confirmed & voters, votes);                                 \
    if                                                                         \
    :: READ_HAS_QUORUM && READ_FOLLOWS_COMMIT ->                               \
       /* No entry committed before the read began is missing. */              \
       assert(leaders[read_term].commit >= read_min_commit);                   \
       read_active = false; read_slot = 0; read_term = 0; read_min_commit = 0; \
       read_confirmed = 0                                                      \
    :: else                                                                    \
    fi                                                                         \
  }

/* ---- Faults ---- */

#define Crash(s) d_step { StepDown(s) }

#ifdef KEEPS_IDENTITY
#define NewIdentity(s) skip
#else
#define NewIdentity(s) rep[s].id = rep[s].id + SLOTS; rep[s].unbound = true
#endif

#define LoseDisk(s)                                                          \
  d_step {                                                                   \
    StepDown(s);                                                             \
    lost_disks++;                                                            \
    rep[s].term = 0;                                                         \
    rep[s].voted_for = NO_REPLICA;                                           \
    rep[s].size = 0;                                                         \
    i = 0;                                                                   \
    do                                                                       \
    :: i < ENTRIES -> rep[s].log[i] = 0; i++                                 \
    :: else -> break                                                         \
    od;                                                                      \
    NewIdentity(s)                                                           \
  }

/* ---- Membership ---- */

/* The replica of `slot` has a new identity and has caught up. */
#define MAY_CHANGE(s, slot)                                         \
  (CAN_APPEND(s) && slot != s && rep[slot].id >= SLOTS &&           \
   COMMITTED_IN_OWN_TERM(s) &&                                      \
   leaders[T(s)].ack[rep[slot].id] >= leaders[T(s)].commit)

/* Removes the old identity of `slot`, or makes the new one a voter; one change
 * at a time. */
#define ChangeMembership(s, slot)                                            \
  d_step {                                                                   \
    unchanged = true; /* No change is under way. */                          \
    i = leaders[T(s)].commit;                                                \
    do                                                                       \
    :: i < leaders[T(s)].size ->                                             \
       if                                                                    \
       :: VOTERS_OF(leaders[T(s)].log[i]) != 0 -> unchanged = false          \
       :: else                                                               \
       fi;                                                                   \
       i++                                                                   \
    :: else -> break                                                         \
    od;                                                                      \
    FindVoters(leaders[T(s)].log, leaders[T(s)].size);                       \
    if                                                                       \
    :: unchanged && IS_VOTER(voters, slot) ->                                \
       voters = voters & (63 - BIT(slot));                                   \
       Append(s, voters)                                                     \
    :: unchanged && !IS_VOTER(voters, slot) &&                               \
       !IS_VOTER(voters, rep[slot].id) ->                                    \
       voters = voters | BIT(rep[slot].id);                                  \
       Append(s, voters)                                                     \
    :: else                                                                  \
    fi                                                                       \
  }

/* ---- Formation ---- */

/* A second cluster of empty disks loses all committed entries. */
#ifdef FORMS_BY_MAJORITY
#define MAY_FORM                                                               \
  ((rep[0].unbound && rep[1].unbound) || (rep[0].unbound && rep[2].unbound) || \
   (rep[1].unbound && rep[2].unbound))
#else
#define MAY_FORM (rep[0].unbound && rep[1].unbound && rep[2].unbound)
#endif

#define FOR_EACH_SLOT(step) step(0) step(1) step(2)
#define FOR_EACH_PAIR(step)                                         \
  step(0, 1) step(0, 2) step(1, 0) step(1, 2) step(2, 0) step(2, 1)

/* By symmetry, only replica 0 needs to start an election in term 1. */
#define MAY_START_ELECTION(s)                                       \
  (rep[s].term < TERMS && !rep[s].unbound && !rep[s].is_leader &&   \
   (s == 0 || rep[s].term > 0))

#ifdef ONE_COMMAND_PER_TERM
#define MAY_APPEND_COMMAND(s)                                       \
  (CAN_APPEND(s) && (leaders[T(s)].size == 0 ||                     \
   TERM_OF(leaders[T(s)].log[leaders[T(s)].size - 1]) != T(s)))
#else
#define MAY_APPEND_COMMAND(s) CAN_APPEND(s)
#endif

#ifdef READS
#define READ_STEPS(s)                                               \
  :: rep[s].is_leader && !read_active -> BeginRead(s)               \
  :: MAY_CONFIRM(s) -> Confirm(s)
#else
#define READ_STEPS(s)
#endif

#define STEPS_OF_REPLICA(s)                                                  \
  :: MAY_START_ELECTION(s) -> StartElection(s)                               \
  :: rep[s].is_candidate -> BecomeLeader(s)                                  \
  :: MAY_APPEND_COMMAND(s) -> d_step { Append(s, 0) }                        \
  :: rep[s].is_leader && rep[s].size < leaders[T(s)].size -> SyncLeader(s)   \
  :: rep[s].is_leader && leaders[T(s)].commit < leaders[T(s)].size ->        \
     Commit(s)                                                               \
  :: rep[s].is_leader -> Crash(s)                                            \
  :: lost_disks < MAX_LOST_DISKS && rep[s].id < SLOTS -> LoseDisk(s)         \
  READ_STEPS(s)

#ifdef VOTES_BEFORE_SYNC
#define UNSYNCED_VOTE(v, c) :: MAY_VOTE(v, c) -> VoteUnsynced(v, c)
#else
#define UNSYNCED_VOTE(v, c)
#endif
#define STEPS_OF_PAIR(v, c)                                         \
  :: MAY_VOTE(v, c) -> Vote(v, c)                                   \
     UNSYNCED_VOTE(v, c)

#if MAX_LOST_DISKS > 0
#define MEMBERSHIP_STEP(s, slot)                                    \
  :: MAY_CHANGE(s, slot) -> ChangeMembership(s, slot)
#else
#define MEMBERSHIP_STEP(s, slot)
#endif

#ifdef ACKS_BEFORE_SYNC
#define UNSYNCED_APPEND(v, t, length)                               \
  :: MAY_HANDLE_APPEND(v, t, length) -> AcknowledgeUnsynced(v, t, length)
#else
#define UNSYNCED_APPEND(v, t, length)
#endif
#define APPEND_STEP(v, t, length)                                   \
  :: MAY_HANDLE_APPEND(v, t, length) -> HandleAppend(v, t, length)  \
     UNSYNCED_APPEND(v, t, length)
#if ENTRIES == 1
#define APPEND_TERM(v, t) APPEND_STEP(v, t, 1)
#elif ENTRIES == 2
#define APPEND_TERM(v, t) APPEND_STEP(v, t, 1) APPEND_STEP(v, t, 2)
#elif ENTRIES == 3
#define APPEND_TERM(v, t) \
  APPEND_STEP(v, t, 1) APPEND_STEP(v, t, 2) APPEND_STEP(v, t, 3)
#else
#define APPEND_TERM(v, t) \
  APPEND_STEP(v, t, 1) APPEND_STEP(v, t, 2) \
  APPEND_STEP(v, t, 3) APPEND_STEP(v, t, 4)
#endif
#if TERMS == 2
#define APPEND_STEPS(v) APPEND_TERM(v, 1) APPEND_TERM(v, 2)
#elif TERMS == 3
#define APPEND_STEPS(v)                                             \
  APPEND_TERM(v, 1) APPEND_TERM(v, 2) APPEND_TERM(v, 3)
#else
#define APPEND_STEPS(v)                                             \
  APPEND_TERM(v, 1) APPEND_TERM(v, 2) APPEND_TERM(v, 3) APPEND_TERM(v, 4)
#endif

active proctype cluster() {
  d_step {
    i = 0;
    do
    :: i < SLOTS -> rep[i].id = i; rep[i].voted_for = NO_REPLICA; i++
    :: else -> break
    od;
    i = 1;
    do
    :: i <= TERMS -> leaders[i].leader = NO_REPLICA; i++
    :: else -> break
    od
  }
end:
  do
  FOR_EACH_SLOT(STEPS_OF_REPLICA)
  FOR_EACH_PAIR(STEPS_OF_PAIR)
  FOR_EACH_SLOT(APPEND_STEPS)
  FOR_EACH_PAIR(MEMBERSHIP_STEP)
  :: read_active -> ServeRead
  :: MAY_FORM -> assert(committed_size == 0); break
  od
}
