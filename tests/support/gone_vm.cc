#include "support/gone_vm.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;
constexpr int kPollMs = 20;

}  // namespace

gone_vm::gone_vm(kind what, const std::string& host, std::uint16_t port)
    : acceptor_(context_), first_(context_), second_(context_) {
  const tcp::endpoint wanted(boost::asio::ip::make_address(host), port);
  acceptor_.open(wanted.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(wanted);
  const bool drops = what == kind::kUnreachable;
  acceptor_.listen(drops ? 0 : tcp::acceptor::max_listen_connections);
  const tcp::endpoint address = acceptor_.local_endpoint();
  port_ = address.port();
  if (drops) {
    for (auto* const each : {&first_, &second_}) {
      each->open(wanted.protocol());
      each->non_blocking(true);
      // Asio's own connect would wait.
      const int code = ::connect(each->native_handle(), address.data(),
                                 static_cast<socklen_t>(address.size()));
      if (code != 0 && errno != EINPROGRESS)
        throw std::runtime_error("connect failed");
    }
  }
  if (what == kind::kClosing) closer_ = std::thread([this] { CloseLoop(); });
}

gone_vm::~gone_vm() {
  stopped_ = true;
  if (closer_.joinable()) closer_.join();
}

void gone_vm::CloseLoop() {
  while (!stopped_) {
    pollfd waiting{
        .fd = acceptor_.native_handle(), .events = POLLIN, .revents = 0};
    if (::poll(&waiting, 1, kPollMs) <= 0) continue;
    boost::system::error_code ignored;
    tcp::socket accepted(context_);
    acceptor_.accept(accepted, ignored);
  }
}

}  // namespace hornbeam
