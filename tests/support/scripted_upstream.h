// An upstream on loopback that sends exactly the bytes that the test supplies.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <istream>
#include <string>
#include <vector>

#include "io/fiber_group.h"
#include "io/fiber_token.h"
#include "io/io_loop.h"

namespace hornbeam {

// Answers each request head with the result of `answer`, and closes the
// connection when the result is empty. Used only on the I/O thread.
class scripted_upstream {
 public:
  using answer_maker = std::function<std::string(const std::string& head)>;

  scripted_upstream(io_loop& loop, fiber_group& fibers, answer_maker answer)
      : acceptor_(loop.context(), {boost::asio::ip::address_v4::loopback(), 0}),
        fibers_(fibers),
        answer_(std::move(answer)) {
    fibers_.Start([this] { Accept(); });
  }

  [[nodiscard]] std::uint16_t Port() const {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] int Connections() const { return connections_; }
  // Returns the number of the connection whose head is being answered, from 1.
  [[nodiscard]] int CurrentConnection() const { return current_connection_; }
  [[nodiscard]] const std::vector<std::string>& Heads() const { return heads_; }
  // Closes each connection after its next answer.
  void CloseAfterAnswers() { closes_after_answers_ = true; }
  void Stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& socket : sockets_) socket->close(ignored);
  }

 private:
  using tcp = boost::asio::ip::tcp;

  void Accept() {
    while (acceptor_.is_open()) {
      boost::system::error_code error;
      const auto socket =
          std::make_shared<tcp::socket>(acceptor_.get_executor());
      acceptor_.async_accept(*socket, FiberWait(error));
      if (error) return;
      ++connections_;
      sockets_.push_back(socket);
      fibers_.Start(
          [this, socket, number = connections_] { Serve(*socket, number); });
    }
  }

  void Serve(tcp::socket& socket, int number) {
    std::string buffer;
    while (true) {
      boost::system::error_code error;
      const std::size_t size = boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n",
          FiberWait(error));
      if (error) return;
      heads_.push_back(buffer.substr(0, size));
      buffer.erase(0, size);
      current_connection_ = number;
      const std::string answer = answer_(heads_.back());
      if (answer.empty()) {
        socket.close(error);
        return;
      }
      boost::asio::async_write(socket, boost::asio::buffer(answer),
                               FiberWait(error));
      if (error) return;
      if (closes_after_answers_) {
        socket.close(error);
        return;
      }
    }
  }

  tcp::acceptor acceptor_;
  fiber_group& fibers_;
  const answer_maker answer_;
  bool closes_after_answers_ = false;
  int connections_ = 0;
  int current_connection_ = 0;
  std::vector<std::string> heads_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

// Returns the value of field `name` in a request head, or an empty string when
// the head has no such field.
inline std::string GetHeadField(const std::string& head,
                                const std::string& name) {
  const std::size_t start = head.find("\r\n" + name + ": ");
  if (start == std::string::npos) return {};
  const std::size_t value = start + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

}  // namespace hornbeam
