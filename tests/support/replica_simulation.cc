#include "support/replica_simulation.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

namespace hornbeam {

namespace {

constexpr std::uint64_t kSeed = 11;
constexpr std::uint64_t kClusterId = 5;
constexpr int kStepRounds = 6;
constexpr int kRecoveryRounds = 400;
// Most deliveries pick one of this many oldest messages, to limit reordering.
constexpr std::uint32_t kReorderSpan = 6;
constexpr duration kShortWait = std::chrono::milliseconds(50);
// Long enough for an election within kStepRounds rounds.
constexpr duration kMediumWait = std::chrono::milliseconds(200);
constexpr duration kLongWait = std::chrono::seconds(1);

// Kinds of simulation steps.
enum class step_kind : std::uint8_t {
  kDeliver,
  kDuplicate,
  kDrop,
  kTick,
  kWait,
  kPersist,
  kPropose,
  kRead,
  kCrash,
  kLoseDisk,
  kRestoreDisk,
  kIsolate,
  kReconnect,
  kSnapshot,
  kRunRounds,
};

struct step_weight {
  step_kind kind;
  std::uint32_t weight;
};

constexpr step_weight kStepWeights[] = {
    {step_kind::kDeliver, 38},    {step_kind::kDuplicate, 4},
    {step_kind::kDrop, 3},        {step_kind::kTick, 10},
    {step_kind::kWait, 5},        {step_kind::kPersist, 18},
    {step_kind::kPropose, 10},    {step_kind::kRead, 8},
    {step_kind::kCrash, 3},       {step_kind::kLoseDisk, 2},
    {step_kind::kRestoreDisk, 1}, {step_kind::kIsolate, 3},
    {step_kind::kReconnect, 4},   {step_kind::kSnapshot, 4},
    {step_kind::kRunRounds, 15},
};

step_kind StepKindOf(std::uint32_t remainder) {
  for (const step_weight& weight : kStepWeights) {
    if (remainder < weight.weight) return weight.kind;
    remainder -= weight.weight;
  }
  return step_kind::kDeliver;
}

std::string EncodeState(const applied_state& state) {
  std::string bytes(sizeof(state), '\0');
  std::memcpy(bytes.data(), &state, sizeof(state));
  return bytes;
}

applied_state DecodeState(const std::string& bytes) {
  applied_state state;
  std::memcpy(&state, bytes.data(), sizeof(state));
  return state;
}

}  // namespace

replica_simulation::replica_simulation(std::size_t replicas, bool formed)
    : replica_simulation(replicas, replicas, formed) {}

std::unique_ptr<replica_simulation> replica_simulation::MakeOpenGroup(
    std::size_t replicas, std::size_t founders) {
  return std::unique_ptr<replica_simulation>(
      new replica_simulation(replicas, founders, false));
}

replica_simulation::replica_simulation(std::size_t replicas,
                                       std::size_t founders, bool formed)
    : random_(kSeed), founders_(founders), replicas_(replicas) {
  replica_membership membership;
  for (std::size_t i = 0; i < replicas; ++i) {
    names_.push_back(std::string(1, static_cast<char>('a' + i)));
  }
  for (std::size_t i = 0; i < replicas; ++i) {
    replicas_[i].disk = std::make_unique<memory_disk>(++last_incarnation_);
    membership.members.push_back(
        {.identity = {.name = names_[i], .incarnation = last_incarnation_},
         .voter = true});
  }
  for (replica& each : replicas_) {
    if (formed) {
      storage_batch batch;
      batch.state.emplace().formation = {.cluster_id = kClusterId,
                                         .membership = membership};
      each.disk->Write(batch);
    }
    Start(each);
  }
}

std::size_t replica_simulation::IndexOf(const replica& target) const {
  return static_cast<std::size_t>(&target - replicas_.data());
}

replica_options replica_simulation::MakeOptions(std::size_t at) const {
  replica_options options{.name = names_[at], .configured_names = names_};
  if (IsOpen()) {
    options.configured_names.resize(founders_);
    // The platform sets may_found only for the first start.
    options.may_found = at < founders_ && oracle_.CommittedCount() == 0;
    options.target_voters = founders_;
  }
  options.max_batch_bytes = 8;  // A few entries per message.
  options.max_snapshot_chunk_bytes = 64;
  options.retained.entries = 1;
  return options;
}

void replica_simulation::Start(replica& target) {
  target.core = std::make_unique<replica_core>(MakeOptions(IndexOf(target)),
                                               target.disk->Recover(), random_,
                                               target.now);
  target.state = {};
  CollectOutput(target);
}

replica_simulation::replica& replica_simulation::AnyLeader(std::size_t which) {
  std::vector<replica*> leaders;
  for (replica& each : replicas_) {
    if (each.core->Role() == replica_role::kLeader) leaders.push_back(&each);
  }
  if (leaders.empty()) return replicas_[which % replicas_.size()];
  return *leaders[which % leaders.size()];
}

void replica_simulation::Step(std::uint32_t choice) {
  const step_kind kind = StepKindOf(choice % kTotalWeight);
  const std::uint32_t which = choice / kTotalWeight;
  replica& target = replicas_[which % replicas_.size()];
  const auto detail = static_cast<std::size_t>(which / replicas_.size());
  switch (kind) {
    case step_kind::kDeliver:
    case step_kind::kDuplicate:
      if (!messages_.empty()) {
        const std::size_t at = detail % 4 == 0 ? which : which % kReorderSpan;
        Deliver(at % messages_.size(), kind == step_kind::kDuplicate);
      }
      return;
    case step_kind::kDrop:
      if (!messages_.empty()) {
        messages_.erase(messages_.begin() +
                        static_cast<std::ptrdiff_t>(which % messages_.size()));
      }
      return;
    case step_kind::kTick:
    case step_kind::kWait:
      AdvanceClock(target, kind == step_kind::kTick ? kShortWait : kLongWait);
      target.core->OnTick(target.now);
      CollectOutput(target);
      return;
    case step_kind::kPersist:
      return Persist(target);
    case step_kind::kPropose:
      return Propose(AnyLeader(which));
    case step_kind::kRead:
      return Read(AnyLeader(which));
    case step_kind::kCrash:
      return Crash(target, detail % memory_disk::kAllSteps);
    case step_kind::kLoseDisk:
      return LoseDisk(target);
    case step_kind::kRestoreDisk:
      return RestoreEarlierDisk(target);
    case step_kind::kIsolate:
      target.isolated = true;
      return;
    case step_kind::kReconnect:
      target.isolated = false;
      return;
    case step_kind::kSnapshot:
      return TakeSnapshot(target);
    case step_kind::kRunRounds:
      return RunRounds(kStepRounds, detail % 4 < 2 ? kShortWait : kMediumWait,
                       detail % 2 == 0 ? nullptr : &target);
  }
}

// ---- Faults ----

void replica_simulation::Crash(replica& target, std::size_t written_steps) {
  if (target.writing) target.disk->Write(*target.writing, written_steps);
  target.writing.reset();
  target.proposals.clear();
  target.reads.clear();
  Start(target);
}

bool replica_simulation::CanReplaceIdentity(
    const replica& target, const replica_identity& replacement) const {
  const auto is_intact = [&](const replica_member& member) {
    if (!member.voter) return false;
    if (member.identity.name == names_[IndexOf(target)]) {
      return member.identity == replacement;
    }
    return std::ranges::any_of(replicas_, [&](const replica& other) {
      return other.core->Self() == member.identity;
    });
  };
  const auto keeps_quorum = [&](const replica_membership& membership) {
    const auto intact = static_cast<std::size_t>(
        std::ranges::count_if(membership.members, is_intact));
    return membership.members.empty() || intact >= membership.QuorumSize();
  };
  // A leader does not notice a lost disk immediately, so the memberships to
  // which it may change next must keep a quorum as well.
  const auto keeps_quorums = [&](const replica_membership& membership) {
    return keeps_quorum(membership) &&
           std::ranges::all_of(NextMemberships(membership), keeps_quorum);
  };
  // Until the cluster is formed, its membership may include any founder that
  // reported an empty disk: only a minority of them may lose their disks.
  if (oracle_.CommittedCount() == 0 && IsFounder(target) &&
      lost_founders_ >= (founders_ - 1) / 2) {
    return false;
  }
  const replica_membership* committed = oracle_.LastMembership();
  if (committed != nullptr && !keeps_quorums(*committed)) return false;
  return std::ranges::all_of(replicas_, [&](const replica& other) {
    const replica_core& core = *other.core;
    if (committed != nullptr &&
        core.Log().MembershipIndex() < oracle_.LastMembershipIndex()) {
      return true;  // The committed membership is newer.
    }
    return keeps_quorums(core.Log().Membership());
  });
}

std::vector<replica_membership> replica_simulation::NextMemberships(
    const replica_membership& membership) const {
  const auto is_superseded = [&](const replica_member& voter) {
    return voter.voter &&
           std::ranges::any_of(membership.members, [&](const auto& other) {
             return !other.voter && other.identity.name == voter.identity.name;
           });
  };
  std::vector<replica_membership> next;
  if (!IsOpen()) return next;
  for (std::size_t at = 0; at < membership.members.size(); ++at) {
    if (!is_superseded(membership.members[at])) continue;
    next.push_back(membership);
    next.back().members.erase(next.back().members.begin() +
                              static_cast<std::ptrdiff_t>(at));
  }
  if (!next.empty()) return next;
  for (std::size_t at = 0; at < membership.members.size(); ++at) {
    if (membership.members[at].voter) continue;
    next.push_back(membership);
    next.back().members[at].voter = true;
  }
  return next;
}

void replica_simulation::LoseDisk(replica& target) {
  const replica_identity next{.name = names_[IndexOf(target)],
                              .incarnation = last_incarnation_ + 1};
  if (!CanReplaceIdentity(target, next)) return;
  ++lost_disks_;
  if (IsFounder(target)) ++lost_founders_;
  ++last_incarnation_;
  Crash(target, 0);
  target.earlier_disk = std::exchange(
      target.disk, std::make_unique<memory_disk>(last_incarnation_));
  Start(target);
}

void replica_simulation::RestoreEarlierDisk(replica& target) {
  if (!target.earlier_disk) return;
  const replica_identity earlier{
      .name = names_[IndexOf(target)],
      .incarnation = target.earlier_disk->Content().incarnation};
  if (!CanReplaceIdentity(target, earlier)) return;
  Crash(target, 0);
  target.disk = std::move(target.earlier_disk);
  Start(target);
}

// ---- Steps without faults ----

void replica_simulation::Deliver(std::size_t at, bool duplicate) {
  const sent_message sent = messages_[at];
  if (!duplicate) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(at));
  }
  const auto to = std::ranges::find(names_, sent.message.to);
  replica& target = replicas_[static_cast<std::size_t>(to - names_.begin())];
  if (target.isolated || replicas_[sent.from].isolated) return;
  if (target.down) return;
  target.core->OnMessage(sent.message.message, target.now);
  CollectOutput(target);
}

void replica_simulation::Persist(replica& target) {
  if (!target.writing) return;
  target.disk->Write(*target.writing);
  target.writing.reset();
  target.core->OnPersisted(target.now);
  CollectOutput(target);
}

void replica_simulation::Propose(replica& target) {
  // The wall clocks of the replicas are skewed against each other.
  const auto skew = std::chrono::seconds(IndexOf(target));
  const auto position = target.core->Propose(
      std::to_string(++last_command_),
      wall_time_point(target.now.time_since_epoch() + skew));
  if (!position) return;
  target.proposals[position.value().index] = position.value().term;
  CollectOutput(target);
}

void replica_simulation::Read(replica& target) {
  target.reads[++last_read_] = oracle_.Acknowledged();
  target.core->RequestRead(last_read_);
  CollectOutput(target);
}

void replica_simulation::TakeSnapshot(replica& target) {
  if (target.state.index == 0) return;
  target.core->OnSnapshotTaken(target.state.index, EncodeState(target.state));
  CollectOutput(target);
}

void replica_simulation::AdvanceClock(replica& target, duration step) {
  target.now += step;
  target.acknowledged_at[target.now] = oracle_.Acknowledged();
}

void replica_simulation::CheckCurrency(const replica& target) {
  const auto after =
      target.acknowledged_at.upper_bound(target.core->CurrentAsOf());
  if (after == target.acknowledged_at.begin()) return;
  const std::uint64_t required = std::prev(after)->second;
  if (target.state.index < required)
    oracle_.ReportViolation("current replica lacks index", required);
}

void replica_simulation::CollectOutput(replica& target) {
  replica_output output = target.core->TakeOutput(target.now);
  if (output.batch) target.writing = std::move(output.batch);
  for (addressed_message& message : output.messages) {
    messages_.push_back(
        {.from = IndexOf(target), .message = std::move(message)});
  }
  ApplyOutput(target, output);
  CheckCurrency(target);
}

void replica_simulation::ApplyOutput(replica& target,
                                     const replica_output& output) {
  if (output.restore) {
    target.state = DecodeState(output.restore->state);
    oracle_.OnRestored(target.state);
    std::erase_if(target.proposals, [&](const auto& proposal) {
      return proposal.first <= target.state.index;
    });
  }
  for (const log_entry& entry : output.committed) {
    if (entry.index != target.state.index + 1) {
      oracle_.ReportViolation("entry applied out of order at", entry.index);
    }
    target.state.Apply(entry);
    oracle_.OnCommitted(entry, target.state);
    const auto proposal = target.proposals.find(entry.index);
    if (proposal == target.proposals.end()) continue;
    if (proposal->second == entry.term) oracle_.OnAcknowledged(entry.index);
    target.proposals.erase(proposal);
  }
  for (const std::uint64_t read : output.confirmed_reads) {
    oracle_.OnRead(target.state.index, target.reads.at(read));
    target.reads.erase(read);
  }
  for (const std::uint64_t read : output.failed_reads) {
    target.reads.erase(read);
  }
}

void replica_simulation::RunRounds(int rounds, duration step,
                                   const replica* frozen) {
  for (int round = 0; round < rounds; ++round) {
    for (replica& each : replicas_) {
      if (&each == frozen || each.down) continue;
      AdvanceClock(each, step);
      each.core->OnTick(each.now);
      CollectOutput(each);
    }
    std::size_t at = 0;
    for (std::size_t count = messages_.size(); count > 0; --count) {
      if (frozen != nullptr &&
          messages_[at].message.to == names_[IndexOf(*frozen)]) {
        ++at;
      } else {
        Deliver(at, false);
      }
    }
    for (replica& each : replicas_) {
      if (&each != frozen && !each.down) Persist(each);
    }
  }
}

// ---- Planned work and losses by the caller's choice ----

void replica_simulation::Run(duration time) {
  RunRounds(static_cast<int>(time / kReplicaTickInterval), kReplicaTickInterval,
            nullptr);
}

std::optional<std::size_t> replica_simulation::Leader() const {
  std::optional<std::size_t> latest;
  for (const replica& each : replicas_) {
    if (each.down || each.core->Role() != replica_role::kLeader) continue;
    if (latest && replicas_[*latest].core->Term() > each.core->Term()) continue;
    latest = IndexOf(each);
  }
  return latest;
}

std::vector<std::size_t> replica_simulation::Voters() const {
  std::vector<std::size_t> voters;
  const auto leader = Leader();
  if (!leader) return voters;
  const replica_membership& membership =
      replicas_[*leader].core->Log().Membership();
  for (const replica& each : replicas_) {
    if (membership.IsVoter(each.core->Self())) voters.push_back(IndexOf(each));
  }
  return voters;
}

void replica_simulation::TakeDown(std::size_t at) {
  replicas_[at].down = true;
  replicas_[at].writing.reset();
}

void replica_simulation::BringUp(std::size_t at, bool wiped) {
  replica& target = replicas_[at];
  target.down = false;
  target.proposals.clear();
  target.reads.clear();
  if (wiped) target.disk = std::make_unique<memory_disk>(++last_incarnation_);
  Start(target);
}

bool replica_simulation::Commits(duration time) {
  const std::uint64_t before = oracle_.Acknowledged();
  for (duration ran{0}; ran < time; ran += kReplicaTickInterval) {
    const auto leader = Leader();
    if (leader) Propose(replicas_[*leader]);
    Run(kReplicaTickInterval);
    if (oracle_.Acknowledged() > before) return true;
  }
  return false;
}

bool replica_simulation::HasRecovered() const {
  return std::ranges::all_of(replicas_, [&](const replica& each) {
    const replica_membership& membership = each.core->Log().Membership();
    if (IsOpen()) {
      return each.state.index == oracle_.CommittedCount() &&
             membership.Find(each.core->Self()) != nullptr &&
             membership.VoterCount() == founders_;
    }
    return each.state.index == oracle_.CommittedCount() &&
           membership.members.size() == replicas_.size() &&
           membership.IsVoter(each.core->Self());
  });
}

bool replica_simulation::Recover() {
  for (replica& each : replicas_) each.isolated = false;
  for (int round = 0; round < kRecoveryRounds; ++round) {
    RunRounds(1, kShortWait, nullptr);
    if (oracle_.CommittedCount() > 0 && HasRecovered()) return true;
  }
  return false;
}

}  // namespace hornbeam
