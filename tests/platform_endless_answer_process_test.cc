// Upstream that sends bytes without an end in place of an answer.
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "support/platform_site.h"
#include "support/process_usage.h"

namespace hornbeam {

namespace {

using clock = std::chrono::steady_clock;

// Memory of a node at the smallest deployment, above which its platform ends
// the process.
constexpr std::uint64_t kMemoryLimitBytes = std::uint64_t{160} << 20U;
constexpr int kEndlessCallers = 32;
constexpr std::chrono::seconds kPlayTime{6};
constexpr std::size_t kPieceBytes = std::size_t{256} << 10U;

// Begin of an answer to the request with `head`, and what follows again and
// again.
struct endless_answer {
  std::string start;
  std::string piece;
};

endless_answer MakeEndlessAnswer(const std::string& head) {
  const auto asks_for = [&head](std::string_view kind) {
    return head.find(kind) != std::string::npos;
  };
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
  if (asks_for("/body"))
    return {status + "\r\n", std::string(kPieceBytes, 'b')};
  if (asks_for("/head"))
    return {status, "X-Field: " + std::string(1000, 'h') + "\r\n"};
  if (asks_for("/line"))
    return {status + "X-Field: ", std::string(kPieceBytes, 'l')};
  if (asks_for("/chunks")) {
    return {chunked, fmt::format("{:x}\r\n{}\r\n", kPieceBytes,
                                 std::string(kPieceBytes, 'c'))};
  }
  if (asks_for("/extension"))
    return {chunked + "1;x=", std::string(kPieceBytes, 'e')};
  if (asks_for("/trailers"))
    return {chunked + "0\r\n", "X-T: " + std::string(1000, 't') + "\r\n"};
  if (asks_for("/interim")) return {"", "HTTP/1.1 102 Processing\r\n\r\n"};
  return {"", std::string(kPieceBytes, 'g')};
}

bool ServeEndless(boost::asio::ip::tcp::socket& socket,
                  const std::string& head) {
  if (head.find("/history/endless") == std::string::npos)
    return WriteUpstreamAnswer(socket, head, "history");
  const endless_answer answer = MakeEndlessAnswer(head);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(answer.start), error);
  while (!error) {
    boost::asio::write(socket, boost::asio::buffer(answer.piece), error);
  }
  return false;
}

std::string CallFields(const std::string& id) {
  return "Host: history.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 2000\r\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_endless_answer_process_test)

// Guards against a node that keeps an answer without an end until its platform
// ends it, and with it the requests of other callers.
BOOST_AUTO_TEST_CASE(endless_answers_neither_exhaust_memory_nor_end_others) {
  platform_site_options options;
  options.route_kind = "safe";
  const auto site = platform_site::MakePlatformSite(options, ServeEndless);
  BOOST_REQUIRE(site);
  const auto kinds =
      std::to_array<std::string>({"body", "head", "line", "chunks", "extension",
                                  "trailers", "interim", "bytes"});
  const auto end = clock::now() + kPlayTime;
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  callers.reserve(kEndlessCallers);
  for (int i = 0; i < kEndlessCallers; ++i) {
    callers.emplace_back([&, i] {
      const std::string target =
          "/history/endless/" +
          kinds[static_cast<std::size_t>(i) % kinds.size()];
      for (int n = 0; clock::now() < end; ++n) {
        const platform_answer answer =
            platform_connection(site->Callers())
                .Call("GET", target, CallFields(fmt::format("e{}-{}", i, n)));
        served += answer.status == 200 ? 1 : 0;
      }
    });
  }
  int answered = 0;
  int lost = 0;
  for (int n = 0; clock::now() < end; ++n) {
    const platform_answer answer =
        platform_connection(site->Callers())
            .Call("GET", "/history/own", CallFields(fmt::format("own{}", n)));
    answered += answer.status == 200 && answer.body == "history" ? 1 : 0;
    lost += answer.status == 200 || answer.status == 503 ? 0 : 1;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (std::thread& each : callers) each.join();
  BOOST_TEST(served == 0);
  BOOST_TEST(answered > 0);
  BOOST_TEST(lost == 0);
  BOOST_TEST(site->ServingNode().IsRunning());
  BOOST_TEST(site->Ingress().IsRunning());
  const process_usage serving = ReadProcessUsage(site->ServingNode().Pid());
  const process_usage ingress = ReadProcessUsage(site->Ingress().Pid());
  BOOST_TEST_MESSAGE("answered " << answered << ", peak bytes: serving "
                                 << serving.peak_resident_bytes << ", ingress "
                                 << ingress.peak_resident_bytes);
  BOOST_TEST(serving.peak_resident_bytes < kMemoryLimitBytes);
  BOOST_TEST(ingress.peak_resident_bytes < kMemoryLimitBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
