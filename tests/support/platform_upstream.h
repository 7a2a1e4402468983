// Upstreams of tests of the platform's daemon.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace hornbeam {

// An upstream on loopback, with a thread for each connection.
class platform_upstream {
 public:
  // Serves one request whose head is `head` by writing to `socket`; returns
  // whether the connection is kept.
  using handler = std::function<bool(boost::asio::ip::tcp::socket& socket,
                                     const std::string& head)>;

  // Health checks are answered with 200 unless `serves_health_checks`: then
  // `serve` gets them as well.
  platform_upstream(const std::string& address, handler serve,
                    bool serves_health_checks = false);
  ~platform_upstream();
  platform_upstream(const platform_upstream&) = delete;
  platform_upstream& operator=(const platform_upstream&) = delete;

 private:
  struct served_connection {
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
    bool ended = false;  // The thread ends; the socket is closed.
  };

  void AcceptLoop();
  void Run(served_connection& connection);
  void Serve(boost::asio::ip::tcp::socket& socket) const;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const handler serve_;
  const bool serves_health_checks_;
  std::mutex mutex_;
  std::list<served_connection> connections_;
  std::thread accept_thread_;
};

// Writes a complete answer of the upstream to the request with `head`.
bool WriteUpstreamAnswer(boost::asio::ip::tcp::socket& socket,
                         const std::string& head, const std::string& body);

}  // namespace hornbeam
