// Pipelining in the HTTP server, and irregular answers of upstreams in the HTTP
// client.
#include "support/http_exchange.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
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

// Answers each request with its path; answers /slow only after /quick was
// handled, and /gone after its caller disconnected.
class ordered_handler final : public http_handler {
 public:
  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override {
    if (request.target == "/quick") quick_done_.Set(true);
    if (request.target == "/slow") quick_done_.WaitUntil(TestDeadline());
    if (request.target == "/gone") {
      caller_disconnected.OnCancel([this] { gone.Set(true); });
      gone.WaitUntil(TestDeadline());
      caller_disconnected.OnCancel(nullptr);
    }
    return MakeTextResponse(200, request.target);
  }

  fiber_signal<bool> gone;

 private:
  fiber_signal<bool> quick_done_;
};

constexpr std::string_view kLateRequest =
    "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

// One caller of a server that is drained while the caller's request runs.
class draining_exchange {
 public:
  explicit draining_exchange(io_loop& loop)
      : server_(http_server::MakeHttpServer(loop, "127.0.0.1", 0, {}, clock_)),
        socket_(loop.context()) {
    server_->Start(handler_, fibers_);
    boost::system::error_code error;
    socket_.async_connect(
        {boost::asio::ip::address_v4::loopback(), server_->Port()},
        FiberWait(error));
  }
  ~draining_exchange() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    fibers_.WaitEmpty(TestDeadline());
  }
  draining_exchange(const draining_exchange&) = delete;
  draining_exchange& operator=(const draining_exchange&) = delete;

  void StartSlowRequest() {
    Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    while (handler_.handled == 0) io_loop::SleepFor(milliseconds(5));
  }
  void Drain() { server_->Drain(); }
  void StartSlowRequestAndDrain() {
    StartSlowRequest();
    Drain();
  }
  void Send(std::string_view bytes) {
    boost::system::error_code error;
    boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                             FiberWait(error));
  }
  // Returns all bytes until the server ends the connection.
  std::string ReadSlowAnswerAndEnd() {
    handler_.open.Set(true);
    return SendAndRead(socket_, "", "never sent");
  }
  [[nodiscard]] int Handled() const { return handler_.handled; }

 private:
  const system_clock_source clock_;
  fiber_group fibers_;
  counting_handler handler_;
  std::unique_ptr<http_server> server_;
  tcp::socket socket_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_exchange_test)

// Guards against a slow request that blocks later requests of its connection,
// and against answers in another order than the requests.
BOOST_AUTO_TEST_CASE(pipelined_requests_run_concurrently_with_ordered_answers) {
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
    fibers.WaitEmpty(TestDeadline());
  });
  const std::size_t slow = received.find("/slow");
  BOOST_TEST(slow != std::string::npos);
  BOOST_TEST(slow < received.find("/quick"));
}

// Guards against a server that stops reading while a request runs: it would not
// see that the caller closed the connection.
// Guards against a caller that keeps sending during a planned stop: a server
// that takes the requests behind a running one never sends its last answer, and
// cuts the connection at the end of the stop.
BOOST_AUTO_TEST_CASE(request_behind_a_running_one_is_not_taken_during_drain) {
  int handled = 0;
  std::string received;
  RunOnLoop([&](io_loop& loop) {
    draining_exchange exchange(loop);
    exchange.StartSlowRequestAndDrain();
    exchange.Send(kLateRequest);
    io_loop::SleepFor(milliseconds(100));
    received = exchange.ReadSlowAnswerAndEnd();
    handled = exchange.Handled();
  });
  BOOST_TEST(handled == 1);
  BOOST_TEST(received.find("/slow") != std::string::npos);
  BOOST_TEST(received.find("/late") == std::string::npos);
  BOOST_TEST(received.find("Connection: close") != std::string::npos);
}

// Guards against a request that crosses the last answer and runs although its
// answer cannot be sent any more.
BOOST_AUTO_TEST_CASE(request_after_last_answer_is_not_taken_during_drain) {
  int handled = 0;
  RunOnLoop([&](io_loop& loop) {
    draining_exchange exchange(loop);
    exchange.StartSlowRequestAndDrain();
    exchange.ReadSlowAnswerAndEnd();
    exchange.Send(kLateRequest);
    io_loop::SleepFor(milliseconds(100));
    handled = exchange.Handled();
  });
  BOOST_TEST(handled == 1);
}

// Guards against a request that is run and never answered (review/9): it was
// half read when the answer before it announced that the connection closes.
BOOST_AUTO_TEST_CASE(request_half_read_at_last_answer_is_not_handled) {
  constexpr std::string_view kHead =
      "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n";
  const std::vector<std::pair<std::string, std::string>> halves = {
      {"POST /la", std::string(kLateRequest).substr(8)},
      {std::string(kHead) + "\r\nhalf", "body"},
      {std::string(kHead) + "Expect: 100-continue\r\n\r\n", "halfbody"},
  };
  for (const auto& [first, second] : halves) {
    RunOnLoop([&](io_loop& loop) {
      draining_exchange exchange(loop);
      exchange.StartSlowRequest();
      exchange.Send(first);
      io_loop::SleepFor(milliseconds(20));
      exchange.Drain();
      const std::string answer = exchange.ReadSlowAnswerAndEnd();
      BOOST_TEST(answer.find("Connection: close") != std::string::npos);
      exchange.Send(second);
      io_loop::SleepFor(milliseconds(50));
      BOOST_TEST(exchange.Handled() == 1, first);
    });
  }
}

BOOST_AUTO_TEST_CASE(disconnected_caller_is_detected_while_its_request_runs) {
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
    noticed = handler.gone.WaitUntil(TestDeadline()) != nullptr;
    server->Drain();
    fibers.WaitEmpty(TestDeadline());
  });
  BOOST_TEST(noticed);
}

// Guards against callers whose request never ends: in its head, in a chunk
// header, or in bodies that exceed the memory together.
BOOST_AUTO_TEST_CASE(request_without_end_is_rejected_at_its_limit) {
  constexpr std::size_t kMany = 1024UL * 1024;
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> requests = {
      {start + "X-Long: " + std::string(kMany, 'a'), "431"},
      {chunked + "5;" + std::string(kMany, 'a'), "400"},
      {chunked + "40000\r\n" + std::string(0x40000, 'a'), "503"},
  };
  for (const auto& [request, status] : requests) {
    std::string received;
    std::string own;
    RunOnLoop([&](io_loop& loop) {
      const system_clock_source clock;
      fiber_group fibers;
      ordered_handler handler;
      const auto server = http_server::MakeHttpServer(
          loop, "127.0.0.1", 0, {.total_body_limit_bytes = 128UL * 1024},
          clock);
      server->Start(handler, fibers);
      tcp::socket endless(loop.context());
      tcp::socket small(loop.context());
      const tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                  server->Port());
      boost::system::error_code error;
      endless.async_connect(address, FiberWait(error));
      small.async_connect(address, FiberWait(error));
      received = SendAndRead(endless, request, "\r\n\r\n");
      own = SendAndRead(small, start + "Content-Length: 2\r\n\r\nok", "/x");
      endless.close(error);
      small.close(error);
      server->Drain();
      fibers.WaitEmpty(TestDeadline());
    });
    BOOST_TEST(received.starts_with("HTTP/1.1 " + status), received);
    BOOST_TEST(own.find("/x") != std::string::npos);
  }
}

// Guards against a late answer to an earlier request of the same connection
// that is returned as the answer to the current request.
BOOST_AUTO_TEST_CASE(answer_to_earlier_request_is_skipped) {
  const client_run run = CallSequentially(
      [](const std::string& head) {
        const std::string id = GetHeadField(head, "X-Id");
        return id == "1" ? Answer("0", "stale") + Answer(id, "own")
                         : Answer(id, "own");
      },
      3);
  BOOST_TEST((run.bodies == std::vector<std::string>{"own", "own", "own"}));
}

// Guards against extra bytes that would be read as the beginning of the next
// answer.
BOOST_AUTO_TEST_CASE(connection_with_bytes_after_answer_is_not_reused) {
  const client_run run = CallSequentially(
      [](const std::string& head) {
        return Answer(GetHeadField(head, "X-Id"), "own") + "extra";
      },
      2);
  BOOST_TEST((run.bodies == std::vector<std::string>{"own", "own"}));
  BOOST_TEST(run.connections == 2);
}

// Without the echoed field an answer cannot be attributed to its request.
BOOST_AUTO_TEST_CASE(answer_without_echoed_field_is_malformed) {
  const client_run run = CallSequentially(
      [](const std::string&) {
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      },
      1);
  BOOST_TEST(run.bodies.front() == ErrorText(http_call_error::kMalformed));
}

BOOST_AUTO_TEST_CASE(connection_closed_before_answer_is_reported_lost) {
  int heads = 0;
  const client_run run = CallSequentially(
      [&heads](const std::string& head) {
        return ++heads == 1 ? std::string()
                            : Answer(GetHeadField(head, "X-Id"), "x");
      },
      2);
  BOOST_TEST(run.bodies.front() == ErrorText(http_call_error::kLost));
  BOOST_TEST(run.bodies.back() == "x");
}

// Guards against an answer that ends early and is passed on as a whole one with
// an empty or short body.
BOOST_AUTO_TEST_CASE(answer_cut_at_any_byte_is_not_taken_for_a_whole_one) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-More: a, b\r\n";
  const std::vector<std::string> answers = {
      head + "Content-Length: 5\r\n\r\nwhole",
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
      // The body ends with the connection, so only its head can be incomplete.
      head + "\r\n",
  };
  for (const std::string& answer : answers) {
    for (std::size_t size = 1; size < answer.size(); ++size) {
      const client_run run = CallSequentially(
          [&](const std::string&) { return answer.substr(0, size); }, 1,
          connection_end::kAfterAnswer);
      BOOST_TEST(run.bodies.front() == ErrorText(http_call_error::kLost),
                 size << " bytes of " << answer);
    }
  }
}

// Guards against an upstream that sends bytes that are no answer until the
// caller closes the connection: the call must end at a limit, not at its
// deadline, and the node must not buffer all of them.
BOOST_AUTO_TEST_CASE(answer_without_end_fails_at_its_limit) {
  constexpr std::size_t kMany = 1024UL * 1024;
  const auto repeated = [](const std::string& text) {
    std::string all;
    while (all.size() < kMany) all += text;
    return all;
  };
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked =
      status + "X-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> answers = {
      status + repeated("X-More: of the same\r\n"),
      status + "X-Long: " + std::string(kMany, 'a'),
      std::string(kMany, 'a'),
      chunked + "5;" + std::string(kMany, 'a'),
      chunked + "0\r\n" + repeated("X-Trailer: more\r\n"),
      repeated("HTTP/1.1 102 Processing\r\n\r\n"),
  };
  for (const std::string& answer : answers) {
    const client_run run =
        CallSequentially([&](const std::string&) { return answer; }, 1);
    BOOST_TEST(run.bodies.front() == ErrorText(http_call_error::kMalformed));
  }
}

// Guards against bodies without an end that exhaust the memory, or that end the
// calls of others when the limit on all of them is reached.
BOOST_AUTO_TEST_CASE(bodies_without_end_share_a_limit_and_spare_others) {
  constexpr std::size_t kTotal = 256UL * 1024;
  const std::string endless =
      "HTTP/1.1 200 OK\r\nX-Id: endless\r\n\r\n" + std::string(kTotal, 'a');
  std::vector<std::string> ends;
  std::string own;
  RunOnLoop([&](io_loop& loop) {
    const system_clock_source clock;
    fiber_group fibers;
    fiber_group calls;
    scripted_upstream upstream(loop, fibers, [&](const std::string& head) {
      const std::string id = GetHeadField(head, "X-Id");
      return id == "endless" ? endless : Answer(id, "own");
    });
    const auto client = http_client::MakeHttpClient(
        loop, "127.0.0.1", upstream.Port(),
        http_client_options{.total_answer_limit_bytes = kTotal,
                            .echoed_field = "X-Id"},
        clock);
    const auto call = [&](const std::string& id) {
      cancel_source never;
      const auto answer = client->Call(
          {.method = "GET", .target = "/", .headers = {{"X-Id", id}}},
          clock.Now() + seconds(5), never);
      return answer ? answer.value().body : ErrorText(answer.error());
    };
    for (int each = 0; each < 4; ++each) {
      calls.Start([&] { ends.push_back(call("endless")); });
    }
    io_loop::SleepFor(milliseconds(20));
    own = call("small");
    calls.WaitEmpty(TestDeadline());
    upstream.Stop();
    fibers.WaitEmpty(TestDeadline());
  });
  BOOST_TEST(own == "own");
  const std::string too_large = ErrorText(http_call_error::kTooLarge);
  // The last one may fit once the others have ended.
  BOOST_TEST(std::ranges::count(ends, too_large) >= 3);
}

// Guards against reuse of a connection that the server is about to close.
BOOST_AUTO_TEST_CASE(announced_idle_timeout_is_respected) {
  const client_run run = CallSequentially(
      [](const std::string& head) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + GetHeadField(head, "X-Id") +
               "\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n";
      },
      2);
  BOOST_TEST(run.connections == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
