// Announces an upstream to the node of its VM once a second.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

namespace hornbeam {

// The content of an announcement.
struct announcement {
  std::string service;
  std::string address;  // Where the upstream accepts calls.
  std::size_t slots = 0;
};

// Owned by the stand-in server. Single-threaded.
class upstream_announcer {
 public:
  upstream_announcer(boost::asio::ip::tcp::endpoint node,
                     announcement announced);

  // Repeats the announcement until Withdraw. Failed announcements are ignored:
  // the next one follows after the usual interval.
  boost::asio::awaitable<void> Run();
  // Sets the announced state from the next announcement on.
  void SetDraining(bool draining) { draining_ = draining; }
  // Announces the current state at once. Returns whether the node accepted the
  // announcement.
  boost::asio::awaitable<bool> AnnounceNow();
  // Deregisters the upstream at the node and ends Run.
  boost::asio::awaitable<void> Withdraw();

 private:
  boost::asio::ip::tcp::endpoint node_;
  announcement announcement_;
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace hornbeam
