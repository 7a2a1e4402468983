#include "support/platform_connection.h"

#include <fmt/format.h>
#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>

#include "support/scripted_upstream.h"

namespace hornbeam {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint ParseTcpEndpoint(const std::string& address) {
  const std::size_t colon = address.find(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

platform_connection::platform_connection(const std::string& address)
    : socket_(context_) {
  boost::system::error_code ignored;
  socket_.connect(ParseTcpEndpoint(address), ignored);
}

bool platform_connection::WaitForAnswer() {
  if (!time_limit_) return true;
  pollfd waiting{.fd = socket_.native_handle(), .events = POLLIN, .revents = 0};
  return ::poll(&waiting, 1, static_cast<int>(time_limit_->count())) > 0;
}

platform_answer platform_connection::Call(std::string_view method,
                                          std::string_view target,
                                          const std::string& fields,
                                          const std::string& body) {
  const std::string request =
      fmt::format("{} {} HTTP/1.1\r\nContent-Length: {}\r\n{}\r\n{}", method,
                  target, body.size(), fields, body);
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(request), error);
  if (error || !WaitForAnswer()) return {};
  std::string received;
  const std::size_t head_size = asio::read_until(
      socket_, asio::dynamic_buffer(received), "\r\n\r\n", error);
  if (error) return {};
  platform_answer answer{.status = std::atoi(received.c_str() + 9),
                         .head = received.substr(0, head_size),
                         .body = received.substr(head_size)};
  const std::string length = GetHeadField(answer.head, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  if (answer.body.size() < size) {
    const std::size_t missing = size - answer.body.size();
    asio::read(socket_, asio::dynamic_buffer(answer.body),
               asio::transfer_exactly(missing), error);
    if (error) return {};
  }
  return answer;
}

}  // namespace hornbeam
