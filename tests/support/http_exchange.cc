#include "support/http_exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <thread>

#include "base/system_clock_source.h"

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

constexpr auto kTestTimeout = seconds(20);

}  // namespace

void RunOnLoop(const std::function<void(io_loop& loop)>& body) {
  std::thread([&body] {
    io_loop loop;
    body(loop);
  }).join();
}

time_point TestDeadline() { return system_clock_source().Now() + kTestTimeout; }

std::string SendAndRead(tcp::socket& socket, const std::string& bytes,
                        const std::string& wanted) {
  boost::system::error_code error;
  boost::asio::async_write(socket, boost::asio::buffer(bytes),
                           FiberWait(error));
  std::string received;
  while (!error && received.find(wanted) == std::string::npos) {
    std::string chunk(4096, '\0');
    chunk.resize(
        socket.async_read_some(boost::asio::buffer(chunk), FiberWait(error)));
    received += chunk;
  }
  return received;
}

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

client_run CallSequentially(const scripted_upstream::answer_maker& script,
                            int calls, connection_end end) {
  client_run run;
  RunOnLoop([&](io_loop& loop) {
    const system_clock_source clock;
    fiber_group fibers;
    scripted_upstream upstream(loop, fibers, script);
    if (end == connection_end::kAfterAnswer) upstream.CloseAfterAnswers();
    const auto client = http_client::MakeHttpClient(
        loop, "127.0.0.1", upstream.Port(),
        http_client_options{.echoed_field = "X-Id"}, clock);
    for (int call = 0; call < calls; ++call) {
      cancel_source never;
      const auto answer =
          client->Call({.method = "GET",
                        .target = "/",
                        .headers = {{"X-Id", std::to_string(call)}}},
                       clock.Now() + seconds(5), never);
      run.bodies.push_back(
          answer ? answer.value().body
                 : std::to_string(static_cast<int>(answer.error())));
    }
    run.connections = upstream.Connections();
    upstream.Stop();
    fibers.WaitEmpty(TestDeadline());
  });
  return run;
}

std::string ErrorText(http_call_error error) {
  return std::to_string(static_cast<int>(error));
}

}  // namespace hornbeam
