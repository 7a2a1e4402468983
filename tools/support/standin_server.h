// Stand-in for an upstream: answers calls after a random service time and
// records every run.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "support/run_record.h"
#include "support/slot_pool.h"
#include "support/standin_behaviour.h"
#include "support/upstream_announcer.h"

namespace hornbeam {

// Start options of a stand-in upstream.
struct standin_options {
  std::string name;
  std::string service;
  std::string listen;      // Address with port; port 0 picks a free one.
  std::string node_local;  // Local listener of its node; empty: no
                           // announcements.
  std::string record_path;
  std::size_t slots = 20;
  std::uint64_t seed = 1;
  bool sync_record = true;  // Syncs runs of non-idempotent calls to disk.
  standin_behaviour behaviour;
};

// Owned by the program. Single-threaded: runs on the io_context, except for
// syncs of the record.
class standin_server {
 public:
  // Returns null and sets `reason` when the server cannot listen or the record
  // cannot be opened.
  static std::unique_ptr<standin_server> MakeStandinServer(
      boost::asio::io_context& io, const standin_options& options,
      std::string& reason);

  // Serves calls and announces the upstream until Stop.
  void Start();
  // Drains: announces the upstream as draining until no call has been queued or
  // running for 500 ms, for at most 20 s; then deregisters it and stops the
  // io_context.
  void Stop();
  // Returns the address on which the server listens.
  [[nodiscard]] std::string Address() const;

 private:
  struct incoming_request;
  struct outgoing_response;

  standin_server(boost::asio::io_context& io, const standin_options& options,
                 boost::asio::ip::tcp::acceptor acceptor,
                 std::unique_ptr<run_record> record);

  boost::asio::awaitable<void> AcceptCalls();
  boost::asio::awaitable<void> ServeConnection(
      boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> HandleRequest(const incoming_request& request,
                                             outgoing_response& response);
  boost::asio::awaitable<void> RunCall(const incoming_request& request,
                                       outgoing_response& response);
  boost::asio::awaitable<void> RunInSlot(const incoming_request& request,
                                         outgoing_response& response,
                                         std::shared_ptr<standin_call> call);
  boost::asio::awaitable<void> SampleLoad();
  boost::asio::awaitable<void> DrainAndStop();
  void ChangeBehaviour(const incoming_request& request,
                       outgoing_response& response);
  void CancelCall(const incoming_request& request, outgoing_response& response);
  void ReportLoad(outgoing_response& response) const;
  boost::asio::awaitable<void> Shed(const incoming_request& request,
                                    outgoing_response& response);
  boost::asio::awaitable<void> Record(run_event event,
                                      const incoming_request& request);
  void Append(run_event event, const incoming_request& request);
  boost::asio::awaitable<void> SyncRecord();
  std::chrono::microseconds ServiceTime(bool is_long);

  boost::asio::io_context& io_;
  standin_options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unique_ptr<run_record> record_;
  std::optional<upstream_announcer> announcer_;
  slot_pool slots_;
  std::map<std::string, std::shared_ptr<standin_call>, std::less<>> calls_;
  std::mt19937_64 random_;
  std::chrono::steady_clock::time_point started_;
  std::size_t lagging_running_ = 0;
  std::size_t lagging_queued_ = 0;
  std::uint64_t runs_ = 0;
  // Syncs block and therefore run on their own thread; one sync serves all
  // waiting calls.
  boost::asio::thread_pool sync_thread_{1};
  boost::asio::steady_timer synced_changed_;
  std::uint64_t appended_ = 0;
  std::uint64_t synced_ = 0;
  bool is_syncing_ = false;
};

}  // namespace hornbeam
