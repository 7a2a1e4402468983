// Planned stop of a node on the platform's path: a request that reaches the
// node while it drains is answered by its upstream or does not run.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include "support/platform_site.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr milliseconds kLongWork{2750};
// The node refuses new connections from 2.6 s after the signal on and closes
// kept ones 0.5 s later.
constexpr milliseconds kFirstLateRequest{2750};
constexpr milliseconds kLateRequestInterval{50};
constexpr int kLateRequests = 6;

std::string CallFields(const std::string& id, milliseconds time_limit) {
  return "Host: history.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(time_limit.count()) + "\r\n";
}

// Ids of the requests that the upstream has begun.
class run_set {
 public:
  void Add(std::string id) {
    const std::scoped_lock lock(mutex_);
    ids_.insert(std::move(id));
  }
  [[nodiscard]] bool Contains(const std::string& id) const {
    const std::scoped_lock lock(mutex_);
    return ids_.contains(id);
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::string> ids_;
};

platform_upstream::handler MakeUpstream(run_set& runs) {
  return
      [&runs](boost::asio::ip::tcp::socket& socket, const std::string& head) {
        constexpr std::string_view kId = "X-Request-Id: ";
        const std::size_t id = head.find(kId) + kId.size();
        runs.Add(head.substr(id, head.find("\r\n", id) - id));
        if (head.find("/history/long") != std::string::npos)
          std::this_thread::sleep_for(kLongWork);
        return WriteUpstreamAnswer(socket, head, "history");
      };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_stop_process_test)

// Guards against a draining node that takes a request which it breaks off when
// its time to stop is over.
BOOST_AUTO_TEST_CASE(request_taken_while_draining_is_not_broken_off) {
  run_set runs;
  const auto site = platform_site::MakePlatformSite({}, MakeUpstream(runs));
  BOOST_REQUIRE(site);
  std::vector<std::unique_ptr<platform_connection>> kept;
  for (int i = 0; i <= kLateRequests; ++i) {
    kept.push_back(std::make_unique<platform_connection>(site->Callers()));
    BOOST_REQUIRE_EQUAL(
        kept.back()
            ->Call("GET", "/history/short",
                   CallFields("warm" + std::to_string(i), milliseconds(1000)))
            .status,
        200);
  }
  const auto stopped_at = clock::now();
  BOOST_REQUIRE(site->Ingress().Signal(SIGTERM));
  std::vector<std::future<platform_answer>> answers;
  answers.reserve(kLateRequests);
  for (int i = 0; i < kLateRequests; ++i) {
    answers.push_back(std::async(std::launch::async, [&, i] {
      std::this_thread::sleep_until(stopped_at + kFirstLateRequest +
                                    i * kLateRequestInterval);
      return kept[static_cast<std::size_t>(i)]->Call(
          "POST", "/history/long",
          CallFields("late" + std::to_string(i), milliseconds(4000)));
    }));
  }
  // A request that certainly ends in time is not refused.
  std::this_thread::sleep_until(stopped_at + kFirstLateRequest);
  const platform_answer quick = kept.back()->Call(
      "POST", "/history/short", CallFields("quick", milliseconds(1000)));
  BOOST_TEST(quick.status == 200);
  for (int i = 0; i < kLateRequests; ++i) {
    const platform_answer answer = answers[static_cast<std::size_t>(i)].get();
    const std::string id = "late" + std::to_string(i);
    BOOST_TEST((answer.IsOfUpstream() || !runs.Contains(id)),
               id << " ran and got status " << answer.status);
    BOOST_TEST(
        (answer.status == 503 || answer.status == 200 || answer.status == 0),
        id << " got status " << answer.status);
  }
  BOOST_TEST(site->Ingress().WaitForExit(milliseconds(6000)).has_value());
  BOOST_TEST((clock::now() - stopped_at < milliseconds(6000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
