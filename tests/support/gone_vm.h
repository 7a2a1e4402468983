// What stands at the address of a VM that is gone.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <thread>

namespace hornbeam {

// Takes an address until it is destroyed.
class gone_vm {
 public:
  enum class kind : std::uint8_t {
    kUnreachable,  // Nothing answers: the kernel drops connection attempts.
    kSilent,       // Accepts connections and sends nothing.
    kClosing,      // Accepts connections and ends them.
  };

  // `port` may be 0 for any.
  gone_vm(kind what, const std::string& host, std::uint16_t port);
  ~gone_vm();
  gone_vm(const gone_vm&) = delete;
  gone_vm& operator=(const gone_vm&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return port_; }

 private:
  void CloseLoop();

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Fill the queue of connections that wait to be accepted.
  boost::asio::ip::tcp::socket first_;
  boost::asio::ip::tcp::socket second_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread closer_;
};

}  // namespace hornbeam
