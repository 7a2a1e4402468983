// HTTP connections that are read ahead, and upstreams that answer oddly.
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "io/cancel_source.h"
#include "io/fiber_signal.h"
#include "support/scripted_upstream.h"

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kDefaultWaitLimit = seconds(20);

template <class Body>
void RunOnLoop(Body body) {
  std::thread thread([&body] {
    io_loop loop;
    body(loop);
  });
  thread.join();
}

time_point Limit() { return system_clock_source().Now() + kDefaultWaitLimit; }

// Answers /slow only once /quick was answered, each with its own path.
class ordered_handler final : public http_handler {
 public:
  http_response Handle(const http_request& request,
                       cancel_source& caller_gone) override {
    if (request.target == "/quick") quick_done_.Set(true);
    if (request.target == "/slow") quick_done_.WaitUntil(Limit());
    if (request.target == "/gone") {
      caller_gone.OnCancel([this] { gone.Set(true); });
      gone.WaitUntil(Limit());
      caller_gone.OnCancel(nullptr);
    }
    return MakeTextResponse(200, request.target);
  }

  fiber_signal<bool> gone;

 private:
  fiber_signal<bool> quick_done_;
};

// Sends `bytes` and reads until `wanted` stands in what came back.
std::string SendAndRead(tcp::socket& socket, const std::string& bytes,
                        const std::string& wanted) {
  boost::system::error_code error;
  boost::asio::async_write(socket, boost::asio::buffer(bytes),
                           FiberWait(error));
  std::string received;
  while (!error && received.find(wanted) == std::string::npos) {
    std::string part(4096, '\0');
    part.resize(
        socket.async_read_some(boost::asio::buffer(part), FiberWait(error)));
    received += part;
  }
  return received;
}

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct client_run {
  std::vector<std::string> bodies;  // Of a failed call: its error's number.
  int connections = 0;
};

// Sends requests one after another to an upstream that answers by script.
client_run CallInTurn(const scripted_upstream::answer_maker& script,
                      int calls) {
  client_run run;
  RunOnLoop([&](io_loop& loop) {
    const system_clock_source clock;
    fiber_group fibers;
    scripted_upstream upstream(loop, fibers, script);
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
    fibers.WaitEmpty(Limit());
  });
  return run;
}

std::string ErrorText(http_call_error error) {
  return std::to_string(static_cast<int>(error));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_exchange_test)

BOOST_AUTO_TEST_CASE(requests_run_at_once_and_are_answered_in_order) {
  std::string received;
  RunOnLoop([&](io_loop& loop) {
    const system_clock_source clock;
    fiber_group fibers;
    ordered_handler handler;
    const auto server =
        http_server::MakeHttpServer(loop, "127.0.0.1", 0, {}, clock);
    server->Start(handler, fibers);
    tcp::socket socket(loop.context());
    boost::system::error_code error;
    socket.async_connect(
        {boost::asio::ip::address_v4::loopback(), server->Port()},
        FiberWait(error));
    received = SendAndRead(socket,
                           "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
                           "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n",
                           "/quick");
    socket.close(error);
    server->Drain();
    fibers.WaitEmpty(Limit());
  });
  const std::size_t slow = received.find("/slow");
  BOOST_TEST(slow != std::string::npos);
  BOOST_TEST(slow < received.find("/quick"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_goes_away_is_noticed_while_its_call_runs) {
  bool noticed = false;
  RunOnLoop([&](io_loop& loop) {
    const system_clock_source clock;
    fiber_group fibers;
    ordered_handler handler;
    const auto server =
        http_server::MakeHttpServer(loop, "127.0.0.1", 0, {}, clock);
    server->Start(handler, fibers);
    tcp::socket socket(loop.context());
    boost::system::error_code error;
    socket.async_connect(
        {boost::asio::ip::address_v4::loopback(), server->Port()},
        FiberWait(error));
    boost::asio::async_write(
        socket,
        boost::asio::buffer(std::string("GET /gone HTTP/1.1\r\n"
                                        "Host: h\r\n\r\n")),
        FiberWait(error));
    io_loop::SleepFor(milliseconds(20));
    socket.close(error);
    noticed = handler.gone.WaitUntil(Limit()) != nullptr;
    server->Drain();
    fibers.WaitEmpty(Limit());
  });
  BOOST_TEST(noticed);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_passed_over) {
  const client_run run = CallInTurn(
      [](const std::string& head) {
        const std::string id = GetHeadField(head, "X-Id");
        return id == "1" ? Answer("0", "stale") + Answer(id, "own")
                         : Answer(id, "own");
      },
      3);
  BOOST_TEST((run.bodies == std::vector<std::string>{"own", "own", "own"}));
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_end_the_connection) {
  const client_run run = CallInTurn(
      [](const std::string& head) {
        return Answer(GetHeadField(head, "X-Id"), "own") + "extra";
      },
      2);
  BOOST_TEST((run.bodies == std::vector<std::string>{"own", "own"}));
  BOOST_TEST(run.connections == 2);
}

BOOST_AUTO_TEST_CASE(an_answer_without_the_id_is_no_answer) {
  const client_run run = CallInTurn(
      [](const std::string&) {
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      },
      1);
  BOOST_TEST(run.bodies.front() == ErrorText(http_call_error::kMalformed));
}

BOOST_AUTO_TEST_CASE(a_connection_that_ends_early_is_a_lost_answer) {
  int heads = 0;
  const client_run run = CallInTurn(
      [&heads](const std::string& head) {
        return ++heads == 1 ? std::string()
                            : Answer(GetHeadField(head, "X-Id"), "x");
      },
      2);
  BOOST_TEST(run.bodies.front() == ErrorText(http_call_error::kLost));
  BOOST_TEST(run.bodies.back() == "x");
}

BOOST_AUTO_TEST_CASE(a_stated_idle_time_is_kept) {
  const client_run run = CallInTurn(
      [](const std::string& head) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + GetHeadField(head, "X-Id") +
               "\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n";
      },
      2);
  BOOST_TEST(run.connections == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
