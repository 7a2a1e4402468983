// A process's connections to the control VMs.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
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
#include "wire/registrar_search.h"

namespace hornbeam {

class fiber_group;
class io_loop;

// Receives the memberships and settings that the registrar pushes.
class control_observer {
 public:
  control_observer() = default;
  control_observer(const control_observer&) = delete;
  control_observer& operator=(const control_observer&) = delete;
  virtual ~control_observer() = default;

  // Called when a current control VM has become the registrar. Leases and
  // watches have to be sent again.
  virtual void OnRegistrarUp() = 0;
  // Called for each message of the registrar that is not a reply to a request.
  virtual void OnRegistrarMessage(message content) = 0;
  // Called when the connection to the registrar is lost or the registrar is no
  // longer current.
  virtual void OnRegistrarDown() = 0;
};

// Keeps a connection to one control VM, the registrar, for leases and watches,
// and finds another one by a registrar_search when it is lost or no longer
// current. Finds the leader of each store for
// commands and queries. Owned by the daemon or the tool. For the I/O thread
// only.
class control_client final : public store_client {
 public:
  static constexpr duration kDefaultSilenceTimeout =
      std::chrono::milliseconds(1500);

  // `addresses` are those of the control VMs and must not be empty. The first
  // registrar to try is the one at `first_registrar`. `observer` may be null
  // and outlives the client. A connection without a received byte for
  // `silence_timeout` is replaced; the lease duration must exceed the sum of
  // this timeout, a lease interval and the time to reconnect.
  static std::unique_ptr<control_client> MakeControlClient(
      io_loop& loop, const clock_source& clock, const process_identity& self,
      std::span<const endpoint> addresses, std::size_t first_registrar,
      control_observer* observer,
      duration silence_timeout = kDefaultSilenceTimeout);
  ~control_client() override;

  // Replace the configured control VMs and those of the list that the registrar
  // sent. All others are forgotten, but for the registrar. An empty list is
  // ignored.
  registrar_search::list_change SetConfigured(
      std::span<const endpoint> addresses);
  registrar_search::list_change SetListed(std::span<const endpoint> addresses);

  // Sets the control VMs to use as registrar while they are current. Their
  // addresses have to be known.
  void PreferRegistrars(std::span<const endpoint> addresses);
  // If the current registrar is not a preferred one, connects to the first
  // preferred one that has not failed recently, and moves to it once it has
  // said that it is current.
  void SelectPreferredRegistrar();

  // Keeps connections open on fibers of `fibers` until Stop.
  void Start(fiber_group& fibers);
  void Stop();

  // Returns the address of the registrar, or of the last one during a search.
  [[nodiscard]] const endpoint& Registrar() const {
    return search_.LastRegistrar();
  }
  // Returns how the search for the registrar went.
  [[nodiscard]] const registrar_search_summary& LastSearch() const {
    return search_.LastSearch();
  }

  // Returns whether the control VM at `address` is the registrar and connected.
  [[nodiscard]] bool IsRegistered(const endpoint& address) const;

  // Sends `content` to the registrar. Returns false if it is not connected or
  // the send queue is full.
  bool SendToRegistrar(const message& content);

  // Requests for the routing store go through the registrar, which forwards
  // them to the leader, so that nodes need no further connection.
  result<std::string, store_error> Propose(store_id store,
                                           std::string_view command,
                                           time_point deadline) override;
  result<std::string, store_error> Query(store_id store, std::string_view query,
                                         time_point deadline) override;

  // Returns the status of the control VM at `index` of the addresses, which
  // must be below ControlCount(). Returns kUnreachable if the request was not
  // sent and kTimeout if no reply arrived.
  result<status_reply, store_error> Status(std::size_t index,
                                           time_point deadline);
  // Returns the number of known control VMs.
  [[nodiscard]] std::size_t ControlCount() const { return channels_.size(); }

  // Returns the bytes sent to and received from control VMs so far.
  [[nodiscard]] std::uint64_t TotalBytes() const;

 private:
  class channel;
  struct attempt;

  control_client(io_loop& loop, const clock_source& clock,
                 process_identity self, std::span<const endpoint> addresses,
                 std::size_t first_registrar, control_observer* observer,
                 duration silence_timeout);
  registrar_search::list_change ApplyList(registrar_search::list_change change);
  // Opens and closes connections and tells the observer as the search decides.
  void ApplySearch();
  bool OpenAndCloseChannels();
  void TellObserver();
  void SearchLoop();
  // Returns the channel to the registrar; null during a search.
  [[nodiscard]] std::shared_ptr<channel> RegistrarChannel() const;

  result<std::string, store_error> Request(store_id store,
                                           store_operation operation,
                                           std::string_view bytes,
                                           time_point deadline);
  result<std::string, store_error> RequestFromRegistrar(
      store_operation operation, std::string_view bytes, time_point deadline);
  attempt TryOnce(const std::shared_ptr<channel>& target,
                  const store_request& request, time_point deadline);
  std::shared_ptr<channel> ChooseTarget(store_id store);
  void FollowLeader(store_id store, const std::string& address);
  bool SkipSuspects(store_id store);
  void AdvanceLeader(store_id store);
  std::size_t& LeaderOf(store_id store);
  void HandleOffer(const channel& source, bool is_current);
  void HandleDown(const channel& source);
  void HandlePush(const channel& source, message content);

  io_loop& loop_;
  const clock_source& clock_;
  const process_identity self_;
  control_observer* observer_;
  const duration silence_timeout_;
  fiber_group* fibers_ = nullptr;
  registrar_search search_;
  std::optional<endpoint> told_registrar_;  // As the observer knows it.
  std::vector<std::shared_ptr<channel>> channels_;
  // Channels to forgotten control VMs that fibers still use.
  std::vector<std::shared_ptr<channel>> retired_;
  // Indexes into channels_ of the assumed store leaders.
  std::size_t settings_leader_;
  std::size_t ledger_leader_;
  std::uint64_t next_correlation_ = 1;
  std::uint64_t retired_bytes_ = 0;
  bool stopped_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable search_changed_;
};

}  // namespace hornbeam
