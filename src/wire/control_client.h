// A process's connections to the control VMs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/store_client.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/result.h"
#include "wire/call_link.h"
#include "wire/endpoint.h"
#include "wire/messages.h"

namespace hornbeam {

class fiber_group;
class io_loop;

// Receives what the home control VM sends unasked: memberships and settings.
class control_observer {
 public:
  control_observer() = default;
  control_observer(const control_observer&) = delete;
  control_observer& operator=(const control_observer&) = delete;
  virtual ~control_observer() = default;

  // A new home connection: leases and watches have to be sent again.
  virtual void OnHomeUp() = 0;
  virtual void OnHomeMessage(message content) = 0;
  virtual void OnHomeDown() = 0;
};

// Keeps one home control VM for leases and watches, moving to the next when it
// is lost, and finds the leader of each store for commands and queries. Owned
// by the daemon or the tool; for the I/O thread only.
class control_client final : public store_client {
 public:
  static constexpr duration kDefaultSilenceTimeout =
      std::chrono::milliseconds(1500);

  // `addresses` are the control VMs' and must not be empty; the home is tried
  // from `first_home` on. `observer` may be null and outlives the client. A
  // connection without a byte for `silence_timeout` is replaced: a node's lease
  // must outlast that, a lease interval and a reconnection.
  static std::unique_ptr<control_client> MakeControlClient(
      io_loop& loop, const clock_source& clock, const process_identity& self,
      std::span<const endpoint> addresses, std::size_t first_home,
      control_observer* observer,
      duration silence_timeout = kDefaultSilenceTimeout);
  ~control_client() override;

  // Adds control VMs that are not known yet; true when there were any. Those
  // that were known stay: they may come back.
  bool AddAddresses(std::span<const endpoint> addresses);

  // Names the control VMs that are to be the home while they can be reached;
  // their addresses have to be known.
  void PreferHomes(std::span<const endpoint> addresses);
  // Turns to a preferred home when the present one is none and another try is
  // due.
  void SeekPreferredHome();

  // Connects on fibers of `fibers` until Stop.
  void Start(fiber_group& fibers);
  void Stop();

  // Sends to the home control VM; false when it is not connected.
  bool SendHome(const message& content);

  result<std::string, store_error> Propose(store_id store,
                                           std::string_view command,
                                           time_point deadline) override;
  result<std::string, store_error> Query(store_id store, std::string_view query,
                                         time_point deadline) override;

  // The status of the control VM at `index` of the addresses.
  result<status_reply, store_error> Status(std::size_t index,
                                           time_point deadline);
  [[nodiscard]] std::size_t ControlCount() const { return channels_.size(); }

  // Bytes to and from the control VMs so far.
  [[nodiscard]] std::uint64_t TotalBytes() const;

 private:
  class channel;
  struct attempt;

  control_client(io_loop& loop, const clock_source& clock,
                 process_identity self, std::size_t first_home,
                 control_observer* observer, duration silence_timeout);
  void AddChannel(const endpoint& address);

  result<std::string, store_error> Request(store_id store,
                                           store_operation operation,
                                           std::string_view bytes,
                                           time_point deadline);
  attempt TryOnce(channel& target, const store_request& request,
                  time_point deadline);
  void FollowLeader(store_id store, const std::string& address);
  bool AvoidSuspect(store_id store);
  void MoveOn(store_id store);
  std::size_t& LeaderOf(store_id store);
  [[nodiscard]] std::optional<std::size_t> OpenPreferred() const;
  [[nodiscard]] std::size_t NextHome() const;
  void MoveHome(std::size_t index);
  void HandleUp(const channel& source);
  void HandleDown(channel& source);
  void HandlePush(const channel& source, message content);

  io_loop& loop_;
  const clock_source& clock_;
  const process_identity self_;
  control_observer* observer_;
  const duration silence_timeout_;
  fiber_group* fibers_ = nullptr;
  std::vector<std::unique_ptr<channel>> channels_;
  std::size_t home_;
  std::vector<endpoint> preferred_;  // Homes, most wanted first.
  // Indexes into channels_ of the store leaders, as far as known.
  std::size_t settings_leader_;
  std::size_t ledger_leader_;
  std::uint64_t next_correlation_ = 1;
};

}  // namespace hornbeam
