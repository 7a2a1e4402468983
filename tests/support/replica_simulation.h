// Step-by-step simulation of a group of replica cores with fault injection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/seeded_random_source.h"
#include "replication/replica_core.h"
#include "support/commit_oracle.h"
#include "support/memory_log_storage.h"

namespace hornbeam {

// Simulates replica cores, their disks and the messages in flight between them,
// and checks them with a commit_oracle. Each step does one thing: delivers,
// duplicates or drops a message, advances the clock of one replica, completes
// its write, crashes it, replaces its disk with an empty one, restores its
// earlier disk, isolates or reconnects it, proposes a command, reads, takes a
// snapshot, or runs the group for a few rounds. A disk is replaced or restored
// only if the voters of every membership that may be in effect keep a quorum.
class replica_simulation {
 public:
  // Sum of the weights of the step kinds. The remainder of a choice divided by
  // this selects the step kind, the quotient its target.
  static constexpr std::uint32_t kTotalWeight = 128;

  // If `formed` is false, all disks are empty at the start.
  replica_simulation(std::size_t replicas, bool formed);
  // Returns an open group: the first `founders` replicas are configured
  // everywhere and form the cluster; the others join as learners and replace
  // voters that stay silent.
  static std::unique_ptr<replica_simulation> MakeOpenGroup(
      std::size_t replicas, std::size_t founders);

  // Takes the step that `choice` selects.
  void Step(std::uint32_t choice);
  // Ends all faults and runs the group until every replica has applied all
  // committed entries. Returns false if that does not happen within a fixed
  // number of rounds.
  bool Recover();

  // ---- Planned work and losses by the caller's choice ----

  // Runs all replicas that are not down for `time`.
  void Run(duration time);
  // Returns the replica that leads in the latest term; std::nullopt if none
  // does.
  [[nodiscard]] std::optional<std::size_t> Leader() const;
  // Returns the replicas that vote by the leader's log; empty without a leader.
  [[nodiscard]] std::vector<std::size_t> Voters() const;
  [[nodiscard]] std::size_t Size() const { return replicas_.size(); }
  void BeginLeave(std::size_t at) { replicas_[at].core->BeginLeave(); }
  [[nodiscard]] bool IsReadyToStop(std::size_t at) const {
    return replicas_[at].core->IsReadyToStop();
  }
  // Stops the process: no messages, ticks or writes from now on.
  void TakeDown(std::size_t at);
  // Starts the process again, with an empty disk if `wiped`.
  void BringUp(std::size_t at, bool wiped);
  [[nodiscard]] bool IsDown(std::size_t at) const { return replicas_[at].down; }
  // Proposes a command and returns whether it was acknowledged within `time`.
  bool Commits(duration time);

  // Returns the first violation of the protocol; empty if there is none.
  [[nodiscard]] const std::string& Violation() const {
    return oracle_.Violation();
  }
  [[nodiscard]] const commit_oracle& Oracle() const { return oracle_; }
  [[nodiscard]] std::size_t LostDisks() const { return lost_disks_; }

 private:
  struct replica {
    std::unique_ptr<memory_disk> disk;
    std::unique_ptr<memory_disk> earlier_disk;
    std::unique_ptr<replica_core> core;
    std::optional<storage_batch> writing;
    time_point now{std::chrono::hours(1)};  // Each replica has its own clock.
    // Highest acknowledged index when its clock reached each time.
    std::map<time_point, std::uint64_t> acknowledged_at;
    bool isolated = false;
    bool down = false;
    applied_state state;
    std::map<std::uint64_t, std::uint64_t> proposals;  // Terms by index.
    // Minimum index that each pending read must observe, by read id.
    std::map<std::uint64_t, std::uint64_t> reads;
  };
  struct sent_message {
    std::size_t from = 0;
    addressed_message message;
  };

  // Returns one of the replicas in the leader role; any replica if there is
  // none.
  replica& AnyLeader(std::size_t which);
  void Start(replica& target);
  // Restarts `target`. Of the write in progress, only the first `written_steps`
  // steps are on its disk.
  void Crash(replica& target, std::size_t written_steps);
  void LoseDisk(replica& target);
  void RestoreEarlierDisk(replica& target);
  void Deliver(std::size_t at, bool duplicate);
  void Persist(replica& target);
  void Propose(replica& target);
  void Read(replica& target);
  void TakeSnapshot(replica& target);
  // Runs `rounds` rounds in which every replica except `frozen` (which may be
  // null) ticks by `step`, receives its messages and completes its write.
  void RunRounds(int rounds, duration step, const replica* frozen);
  void AdvanceClock(replica& target, duration step);
  void CollectOutput(replica& target);
  // Checks that `target` has applied all that it claims to have.
  void CheckCurrency(const replica& target);
  void ApplyOutput(replica& target, const replica_output& output);
  // Returns whether every membership that may be in effect keeps a quorum if
  // the current identity of `target` is replaced with `replacement`.
  [[nodiscard]] bool CanReplaceIdentity(
      const replica& target, const replica_identity& replacement) const;
  // Returns the memberships to which a leader of an open group may change next:
  // without a voter that has a learner of its own name or, if there is no such
  // voter, with one learner promoted.
  [[nodiscard]] std::vector<replica_membership> NextMemberships(
      const replica_membership& membership) const;
  replica_simulation(std::size_t replicas, std::size_t founders, bool formed);
  [[nodiscard]] replica_options MakeOptions(std::size_t at) const;
  [[nodiscard]] bool IsOpen() const { return founders_ < names_.size(); }
  [[nodiscard]] bool IsFounder(const replica& target) const {
    return IndexOf(target) < founders_;
  }
  [[nodiscard]] std::size_t IndexOf(const replica& target) const;
  [[nodiscard]] bool HasRecovered() const;

  seeded_random_source random_;
  std::size_t founders_ = 0;
  std::vector<std::string> names_;
  std::vector<replica> replicas_;
  std::vector<sent_message> messages_;
  commit_oracle oracle_;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_command_ = 0;
  std::uint64_t last_read_ = 0;
  std::size_t lost_disks_ = 0;
  std::size_t lost_founders_ = 0;
};

}  // namespace hornbeam
