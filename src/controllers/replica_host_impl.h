// Implementation of replica_host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "controllers/replica_host.h"
#include "controllers/storage_thread.h"
#include "replication/replica_core.h"

namespace hornbeam {

// Keeps the callbacks of proposals by log index and those of queries by number,
// and turns the core's outputs into disk writes, messages and replies.
class replica_host_impl final : public replica_host {
 public:
  replica_host_impl(replica_options options,
                    replica_host_dependencies dependencies,
                    recovered_state recovered);
  ~replica_host_impl() override;

  void Propose(std::string command, time_point deadline,
               replica_callback done) override;
  void Query(std::string query, time_point deadline,
             replica_callback done) override;
  [[nodiscard]] std::string QueryStale(std::string_view query) const override;
  void OnMessage(std::string_view from, std::string_view bytes) override;
  void Tick(time_point now) override;
  void BeginLeave() override;
  [[nodiscard]] replica_status Status() const override;

 private:
  struct waiting_proposal {
    std::uint64_t term = 0;
    time_point deadline;
    replica_callback done;
  };
  struct waiting_query {
    std::string query;
    time_point deadline;
    replica_callback done;
  };

  void OnWritten(const result<void, storage_error>& written);
  // Ends this replica's part in the protocol until its storage is reopened; for
  // good if `error` is kCorrupt.
  void LoseStorage(const storage_error& error);
  void LogStorageFault();
  void MaybeReopen(time_point now);
  void OnReopened(result<recovered_state, storage_error> reopened);
  // Executes the outputs of the core until there are none left.
  void Advance();
  void AdvanceOnce();
  void Apply(const log_entry& entry);
  void Restore(const log_snapshot& snapshot);
  void FinishQuery(std::uint64_t number, bool confirmed);
  void FinishAll(replica_error error);
  void ExpireWaiting(time_point now);
  void MaybeTakeSnapshot();
  void LogRoleChange();

  const replica_options options_;
  const std::unique_ptr<state_machine> machine_;
  replica_transport& transport_;
  const clock_source& clock_;
  random_source& random_;
  event_log& events_;
  const task_poster post_;
  std::unique_ptr<replica_core> core_;  // Replaced when storage is reopened.
  std::map<std::uint64_t, waiting_proposal> proposals_;
  std::map<std::uint64_t, waiting_query> queries_;
  std::uint64_t next_query_ = 1;
  std::uint64_t applied_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  std::size_t snapshot_bytes_ = 0;        // Size of the latest snapshot.
  std::size_t bytes_since_snapshot_ = 0;  // Applied since then.
  bool advancing_ = false;
  bool advance_again_ = false;
  replica_role logged_role_ = replica_role::kUnformed;
  std::uint64_t logged_term_ = 0;
  std::string storage_fault_;  // Empty while the storage works.
  time_point storage_lost_at_;
  // Next attempt to reopen the storage; std::nullopt while one is under way and
  // if there will be none.
  std::optional<time_point> reopen_at_;
  duration reopen_delay_{};
  // Posted tasks hold a weak reference to it, so that a task that runs after
  // the host was destroyed does nothing.
  std::shared_ptr<replica_host_impl*> alive_;
  // Declared last, so that the thread is joined before the other members are
  // destroyed.
  std::unique_ptr<storage_thread> disk_;
};

}  // namespace hornbeam
