#include "controllers/replica_host_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/state_machine.h"
#include "controllers/replica_transport.h"
#include "replication/replica_codec.h"

namespace hornbeam {

namespace {

// Delay before the first attempt to reopen failed storage; doubles with each
// failed attempt up to the maximum.
constexpr duration kFirstReopenDelay = std::chrono::milliseconds(100);
constexpr duration kMaxReopenDelay = std::chrono::seconds(1);

replica_error ToReplicaError(propose_error error,
                             const std::optional<replica_identity>& leader) {
  switch (error) {
    case propose_error::kNotLeader:
      return leader ? replica_error::kNotLeader : replica_error::kNoQuorum;
    case propose_error::kTooLarge:
      return replica_error::kTooLarge;
    case propose_error::kOverloaded:
      return replica_error::kOverloaded;
  }
  return replica_error::kOverloaded;
}

}  // namespace

replica_host_impl::replica_host_impl(replica_options options,
                                     replica_host_dependencies dependencies,
                                     recovered_state recovered)
    : options_(std::move(options)),
      machine_(std::move(dependencies.machine)),
      transport_(dependencies.transport),
      clock_(dependencies.clock),
      random_(dependencies.random),
      events_(dependencies.events),
      post_(std::move(dependencies.post)),
      core_(std::make_unique<replica_core>(options_, std::move(recovered),
                                           random_, clock_.Now())),
      alive_(std::make_shared<replica_host_impl*>(this)) {
  const std::weak_ptr<replica_host_impl*> host = alive_;
  disk_ = std::make_unique<storage_thread>(
      std::move(dependencies.storage),
      [post = post_, host](result<void, storage_error> written) {
        post([host, written = std::move(written)] {
          const auto alive = host.lock();
          if (alive) (*alive)->OnWritten(written);
        });
      },
      [post = post_, host](result<recovered_state, storage_error> reopened) {
        post([host, reopened = std::move(reopened)]() mutable {
          const auto alive = host.lock();
          if (alive) (*alive)->OnReopened(std::move(reopened));
        });
      });
  Advance();
}

replica_host_impl::~replica_host_impl() {
  alive_.reset();
  disk_.reset();
  storage_fault_ = "stopped";
  FinishAll(replica_error::kStopped);
}

void replica_host_impl::Propose(std::string command, time_point deadline,
                                replica_callback done) {
  if (!storage_fault_.empty()) return done(replica_error::kStorageFailed);
  if (proposals_.size() >= options_.max_waiting) {
    return done(replica_error::kOverloaded);
  }
  const auto position = core_->Propose(std::move(command), clock_.WallNow());
  if (!position) return done(ToReplicaError(position.error(), core_->Leader()));
  waiting_proposal& waiting = proposals_[position.value().index];
  // A proposal from an earlier term at the same index has been overwritten in
  // this replica's log, but another replica may still hold it and get it
  // committed, so its result is unknown.
  const replica_callback replaced = std::move(waiting.done);
  waiting = {.term = position.value().term,
             .deadline = deadline,
             .done = std::move(done)};
  if (replaced) replaced(replica_error::kTimeout);
  Advance();
}

void replica_host_impl::Query(std::string query, time_point deadline,
                              replica_callback done) {
  if (!storage_fault_.empty()) return done(replica_error::kStorageFailed);
  if (core_->Role() != replica_role::kLeader) {
    return done(ToReplicaError(propose_error::kNotLeader, core_->Leader()));
  }
  if (queries_.size() >= options_.max_waiting) {
    return done(replica_error::kOverloaded);
  }
  const std::uint64_t number = next_query_++;
  queries_[number] = {
      .query = std::move(query), .deadline = deadline, .done = std::move(done)};
  core_->RequestRead(number);
  Advance();
}

std::string replica_host_impl::QueryStale(std::string_view query) const {
  return machine_->Query(query);
}

void replica_host_impl::OnMessage(std::string_view from,
                                  std::string_view bytes) {
  if (!storage_fault_.empty()) return;
  const auto message = DecodeReplicaMessage(bytes);
  if (!message || message->from.name != from) return;
  core_->OnMessage(*message, clock_.Now());
  Advance();
}

void replica_host_impl::Tick(time_point now) {
  ExpireWaiting(now);
  if (!storage_fault_.empty()) return MaybeReopen(now);
  core_->OnTick(now);
  Advance();
}

void replica_host_impl::OnWritten(const result<void, storage_error>& written) {
  if (written) {
    core_->OnPersisted(clock_.Now());
    Advance();
    return;
  }
  LoseStorage(written.error());
}

// What the core believes may be lost, so the core gets no further messages or
// ticks. The state machine stays: what it has applied is committed.
void replica_host_impl::LoseStorage(const storage_error& error) {
  storage_fault_ = error.detail;
  storage_lost_at_ = clock_.Now();
  reopen_delay_ = kFirstReopenDelay;
  if (error.kind != storage_error_kind::kCorrupt)
    reopen_at_ = storage_lost_at_ + reopen_delay_;
  LogStorageFault();
  FinishAll(replica_error::kStorageFailed);
}

void replica_host_impl::LogStorageFault() {
  events_.Write(event_id::kReplicaStorageFailed,
                {{"store", options_.store_name},
                 {"replica", options_.name},
                 {"reason", storage_fault_},
                 {"reopens", reopen_at_.has_value()}});
}

void replica_host_impl::MaybeReopen(time_point now) {
  if (!reopen_at_ || now < *reopen_at_) return;
  reopen_at_.reset();
  disk_->Reopen();
}

void replica_host_impl::OnReopened(
    result<recovered_state, storage_error> reopened) {
  const time_point now = clock_.Now();
  if (!reopened) {
    const storage_error& error = reopened.error();
    reopen_delay_ = std::min(2 * reopen_delay_, kMaxReopenDelay);
    if (error.kind != storage_error_kind::kCorrupt)
      reopen_at_ = now + reopen_delay_;
    if (error.detail == storage_fault_) return;
    storage_fault_ = error.detail;
    return LogStorageFault();
  }
  storage_fault_.clear();
  core_ = std::make_unique<replica_core>(options_, std::move(reopened).value(),
                                         random_, now);
  events_.Write(event_id::kReplicaStorageRegained,
                {{"store", options_.store_name},
                 {"replica", options_.name},
                 {"term", core_->Term()},
                 {"last_index", core_->Log().LastIndex()},
                 {"lost_ms", (now - storage_lost_at_).count() / 1000}});
  Advance();
}

void replica_host_impl::Advance() {
  // A callback may propose or query. Its step runs after the current one, so
  // that no reply comes from a partially applied state.
  advance_again_ = true;
  if (std::exchange(advancing_, true)) return;
  while (std::exchange(advance_again_, false)) AdvanceOnce();
  advancing_ = false;
}

void replica_host_impl::AdvanceOnce() {
  replica_output output = core_->TakeOutput(clock_.Now());
  LogRoleChange();
  if (output.batch) disk_->Write(std::move(*output.batch));
  for (const addressed_message& message : output.messages) {
    transport_.Send(message.to, EncodeReplicaMessage(message.message));
  }
  if (output.restore) Restore(*output.restore);
  if (!storage_fault_.empty()) return;
  for (const log_entry& entry : output.committed) Apply(entry);
  for (const std::uint64_t number : output.confirmed_reads) {
    FinishQuery(number, true);
  }
  for (const std::uint64_t number : output.failed_reads) {
    FinishQuery(number, false);
  }
  if (!output.committed.empty()) MaybeTakeSnapshot();
}

void replica_host_impl::Apply(const log_entry& entry) {
  // Applied before the storage was reopened.
  if (entry.index <= applied_index_) return;
  applied_index_ = entry.index;
  bytes_since_snapshot_ += entry.command.size() + sizeof(log_entry);
  std::string reply;
  if (entry.kind == entry_kind::kCommand) {
    reply = machine_->Apply(
        {.index = entry.index,
         .accepted_at = wall_time_point(duration(entry.accepted_at_us)),
         .command = entry.command});
  }
  const auto waiting = proposals_.find(entry.index);
  if (waiting == proposals_.end()) return;
  const waiting_proposal proposal = std::move(waiting->second);
  proposals_.erase(waiting);
  if (proposal.term == entry.term) {
    proposal.done(std::move(reply));
  } else {
    proposal.done(replica_error::kReplaced);
  }
}

void replica_host_impl::Restore(const log_snapshot& snapshot) {
  // Applied before the storage was reopened.
  if (snapshot.index <= applied_index_) return;
  if (!machine_->RestoreSnapshot(snapshot.state)) {
    return LoseStorage({.kind = storage_error_kind::kCorrupt,
                        .detail = "the state machine rejected a snapshot"});
  }
  applied_index_ = snapshot.index;
  snapshot_index_ = snapshot.index;
  snapshot_bytes_ = snapshot.state.size();
  bytes_since_snapshot_ = 0;
  // The snapshot does not show whether the entries that it covers are the ones
  // proposed at this replica, so their result is unknown.
  while (!proposals_.empty() && proposals_.begin()->first <= snapshot.index) {
    const replica_callback done = std::move(proposals_.begin()->second.done);
    proposals_.erase(proposals_.begin());
    done(replica_error::kTimeout);
  }
}

void replica_host_impl::FinishQuery(std::uint64_t number, bool confirmed) {
  const auto waiting = queries_.find(number);
  if (waiting == queries_.end()) return;
  const waiting_query query = std::move(waiting->second);
  queries_.erase(waiting);
  if (confirmed) {
    query.done(machine_->Query(query.query));
  } else {
    query.done(replica_error::kNoQuorum);
  }
}

void replica_host_impl::FinishAll(replica_error error) {
  for (auto& [index, proposal] : std::exchange(proposals_, {})) {
    proposal.done(error);
  }
  for (auto& [number, query] : std::exchange(queries_, {})) query.done(error);
}

void replica_host_impl::ExpireWaiting(time_point now) {
  std::vector<replica_callback> expired;
  const auto extract_expired = [&](auto& item) {
    if (item.second.deadline > now) return false;
    expired.push_back(std::move(item.second.done));
    return true;
  };
  std::erase_if(proposals_, extract_expired);
  std::erase_if(queries_, extract_expired);
  for (const replica_callback& done : expired) done(replica_error::kTimeout);
}

void replica_host_impl::MaybeTakeSnapshot() {
  // The larger the state, the rarer its snapshots, so that the log written
  // between two of them is never smaller than the state itself.
  const std::size_t log_bytes =
      std::max(options_.snapshot_log_bytes, snapshot_bytes_);
  if (bytes_since_snapshot_ < log_bytes) return;
  std::string state = machine_->TakeSnapshot();
  bytes_since_snapshot_ = 0;
  snapshot_index_ = applied_index_;
  snapshot_bytes_ = state.size();
  core_->OnSnapshotTaken(applied_index_, std::move(state));
  Advance();
}

void replica_host_impl::LogRoleChange() {
  if (core_->Role() == logged_role_ && core_->Term() == logged_term_) return;
  logged_role_ = core_->Role();
  logged_term_ = core_->Term();
  events_.Write(event_id::kReplicaRoleChanged,
                {{"store", options_.store_name},
                 {"replica", options_.name},
                 {"role", ReplicaRoleName(logged_role_)},
                 {"term", logged_term_},
                 {"commit_index", core_->CommitIndex()}});
}

void replica_host_impl::BeginLeave() {
  if (storage_fault_.empty()) core_->BeginLeave();
}

replica_status replica_host_impl::Status() const {
  replica_status status{.role = core_->Role(),
                        .term = core_->Term(),
                        .cluster_id = core_->ClusterId(),
                        .incarnation = core_->Self().incarnation,
                        .leader = core_->Leader() ? core_->Leader()->name : "",
                        .last_index = core_->Log().LastIndex(),
                        .commit_index = core_->CommitIndex(),
                        .applied_index = applied_index_,
                        .snapshot_index = snapshot_index_,
                        .current_as_of = core_->CurrentAsOf(),
                        .storage_fault = storage_fault_,
                        .replicas = {}};
  if (!storage_fault_.empty()) {
    status.role = replica_role::kFollower;
    status.leader.clear();
  }
  status.ready_to_stop = !storage_fault_.empty() || core_->IsReadyToStop();
  for (const replica_member& member : core_->Log().Membership().members) {
    status.replicas.push_back(
        {.name = member.identity.name,
         .incarnation = member.identity.incarnation,
         .voter = member.voter,
         .match_index = core_->MatchIndex(member.identity)});
  }
  return status;
}

}  // namespace hornbeam
