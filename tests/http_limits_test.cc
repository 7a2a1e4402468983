// Input at and beyond the limits of the HTTP client and server.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/system_clock_source.h"
#include "support/http_exchange.h"

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

// Lengths around each limit of the library and of this code: fields hold 65,533
// bytes, heads 65,536, and buffers twice as many.
constexpr std::size_t kFieldLengths[] = {
    1,      32'767, 32'768, 65'500,  65'532,  65'533,  65'534, 65'535,
    65'536, 65'537, 70'000, 100'000, 131'071, 131'072, 200'000};

constexpr std::string_view kSoundRequest =
    "POST /sound HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

// Returns the begin of a server's answer to each of `requests`, each on its own
// connection; empty where that ended without one.
std::vector<std::string> AnswersTo(const std::vector<std::string>& requests,
                                   std::size_t header_limit) {
  std::vector<std::string> answers;
  RunOnLoop([&](io_loop& loop) {
    const system_clock_source clock;
    fiber_group fibers;
    counting_handler handler;
    const auto server = http_server::MakeHttpServer(
        loop, "127.0.0.1", 0,
        http_server_options{.header_limit_bytes = header_limit}, clock);
    server->Start(handler, fibers);
    for (const std::string& request : requests) {
      tcp::socket socket(loop.context());
      boost::system::error_code error;
      socket.async_connect(
          {boost::asio::ip::address_v4::loopback(), server->Port()},
          FiberWait(error));
      answers.push_back(SendAndRead(socket, request, "\r\n\r\n"));
      socket.close(error);
    }
    server->Drain();
    fibers.WaitEmpty(TestDeadline());
  });
  return answers;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_limits_test)

// Guards against one answer that ends the process (review/7): the library
// throws for a trailer field that it cannot store. The answer is whole or
// malformed, and the next call is answered.
BOOST_AUTO_TEST_CASE(field_of_any_length_in_an_answer_ends_no_process) {
  const std::string status = "HTTP/1.1 200 OK\r\nX-Id: 0\r\n";
  const std::string body = "Content-Length: 5\r\n\r\nwhole";
  const std::string chunked =
      status + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
  for (const std::size_t length : kFieldLengths) {
    const std::string text(length, 'x');
    const std::vector<std::string> answers = {
        fmt::format("{}X-Trace: {}\r\n\r\n", chunked, text),
        fmt::format("{}{}: value\r\n\r\n", chunked, text),
        fmt::format("{}X-A: 1\r\nX-Trace: {}\r\nX-B: 2\r\n\r\n", chunked, text),
        fmt::format("{}X-Trace: {}\r\n{}", status, text, body),
        fmt::format("{}{}: value\r\n{}", status, text, body),
        fmt::format("HTTP/1.1 200 {}\r\nX-Id: 0\r\n{}", text, body),
        fmt::format("{}Transfer-Encoding: chunked\r\n\r\n5;x={}\r\nwhole\r\n"
                    "0\r\n\r\n",
                    status, text),
    };
    for (std::size_t form = 0; form < answers.size(); ++form) {
      const client_run run = CallSequentially(
          [&](const std::string& head) {
            return GetHeadField(head, "X-Id") == "0" ? answers[form]
                                                     : Answer("1", "next");
          },
          2);
      const std::string malformed = ErrorText(http_call_error::kMalformed);
      BOOST_TEST(
          (run.bodies[0] == "whole" || run.bodies[0] == malformed),
          "form " << form << ", " << length << " bytes: " << run.bodies[0]);
      BOOST_TEST(run.bodies[1] == "next");
    }
  }
}

// Guards against a rejection that its caller never sees: a connection that is
// closed while the caller still sends is reset.
BOOST_AUTO_TEST_CASE(rejection_reaches_a_caller_that_sends_on) {
  const std::string body(64UL * 1024 * 1024, 'b');
  const std::string line = "POST /quick HTTP/1.1\r\nHost: h\r\n";
  const auto answers =
      AnswersTo({line + "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body,
                 line + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n" + body,
                 line + "X-Long: " + body + "\r\n\r\n"},
                16UL * 1024);
  BOOST_TEST(answers[0].starts_with("HTTP/1.1 413 "));
  BOOST_TEST(answers[1].starts_with("HTTP/1.1 413 "));
  BOOST_TEST(answers[2].starts_with("HTTP/1.1 431 "));
}

// Guards against a caller that ends the process by its choice of method: the
// library throws when it prepares a TRACE request with a body. The upstream
// gets method and body as they are.
BOOST_AUTO_TEST_CASE(request_of_any_method_with_a_body_is_sent) {
  for (const std::string method :
       {"GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "OPTIONS", "CONNECT",
        "PATCH", "PURGE", "M-SEARCH", "X"}) {
    for (const std::string body : {"", "body"}) {
      std::string head;
      std::string answer;
      RunOnLoop([&](io_loop& loop) {
        const system_clock_source clock;
        fiber_group fibers;
        scripted_upstream upstream(loop, fibers, [&](const std::string& got) {
          head = got;
          return Answer("0", method == "HEAD" ? "" : "done");
        });
        upstream.CloseAfterAnswers();
        const auto client = http_client::MakeHttpClient(
            loop, "127.0.0.1", upstream.Port(), http_client_options{}, clock);
        cancel_source never;
        const auto result =
            client->Call({.method = method, .target = "/", .body = body},
                         clock.Now() + seconds(5), never);
        if (result) answer = result.value().body;
        upstream.Stop();
        fibers.WaitEmpty(TestDeadline());
      });
      BOOST_TEST(head.starts_with(method + " / HTTP/1.1\r\n"), method);
      BOOST_TEST(answer == (method == "HEAD" ? "" : "done"), method);
      if (!body.empty())
        BOOST_TEST(GetHeadField(head, "Content-Length") == "4", method);
    }
  }
}

// The same in requests, with limits below and above those of the library.
BOOST_AUTO_TEST_CASE(field_of_any_length_in_a_request_ends_no_process) {
  const std::string line = "POST /quick HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked =
      line + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  std::vector<std::string> requests;
  for (const std::size_t length : kFieldLengths) {
    const std::string text(length, 'x');
    const std::string end = "Content-Length: 0\r\n\r\n";
    requests.push_back(fmt::format("{}X-Trace: {}\r\n\r\n", chunked, text));
    requests.push_back(fmt::format("{}{}: value\r\n\r\n", chunked, text));
    requests.push_back(fmt::format("{}X-Trace: {}\r\n{}", line, text, end));
    requests.push_back(fmt::format("{}{}: value\r\n{}", line, text, end));
    requests.push_back(
        fmt::format("POST /{} HTTP/1.1\r\nHost: h\r\n{}", text, end));
    requests.push_back(
        fmt::format("{} / HTTP/1.1\r\nHost: h\r\n{}", text, end));
    requests.emplace_back(kSoundRequest);
  }
  for (const std::size_t header_limit : {16UL * 1024, 1024UL * 1024}) {
    const auto answers = AnswersTo(requests, header_limit);
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const bool is_sound = requests[i] == kSoundRequest;
      // The server may end the connection before the request is sent whole.
      const bool is_allowed =
          answers[i].starts_with("HTTP/1.1 200 ") ||
          (!is_sound &&
           (answers[i].empty() || answers[i].starts_with("HTTP/1.1 4")));
      BOOST_TEST(is_allowed, requests[i].substr(0, 100)
                                 << ", limit " << header_limit << ": "
                                 << answers[i].substr(0, 100));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
