#include "support/load_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <string>
#include <utility>

#include "base/seeded_random_source.h"
#include "support/caller_pool.h"
#include "support/endpoint_text.h"
#include "support/uuid_v7.h"

namespace hornbeam {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxFailures = 20;
constexpr int kFirstErrorStatus = 300;

// Returns the factor by which load peaks multiply the rate at `since_start`.
double PeakFactor(const load_plan& plan, microseconds since_start) {
  if (plan.peak_factor == 1) return 1;
  const double period = std::chrono::duration<double>(plan.peak_period).count();
  const double length = std::chrono::duration<double>(plan.peak_length).count();
  const double ramp = std::chrono::duration<double>(plan.peak_ramp).count();
  const double now = std::chrono::duration<double>(since_start).count();
  const double into = std::fmod(now, period) - (period - length) / 2;
  const double rise = std::clamp(into / ramp, 0.0, 1.0);
  const double fall = std::clamp((length - into) / ramp, 0.0, 1.0);
  return 1 + (plan.peak_factor - 1) * std::min(rise, fall);
}

// State of one run. Used on one thread.
class load_run {
 public:
  load_run(const load_plan& plan,
           const std::vector<asio::ip::tcp::endpoint>& nodes)
      : plan_(plan),
        random_(plan.seed),
        pool_(nodes, plan.connections_per_node, plan.timeout) {}

  load_result Run() {
    start_ = clock::now();
    asio::co_spawn(io_, SendAll(), asio::detached);
    io_.run();
    result_.retries = pool_.Retries();
    return std::move(result_);
  }

 private:
  // One call with the data needed to check its answer.
  struct planned_call {
    call_kind kind = call_kind::kLookup;
    std::size_t node = 0;
    caller_request request;
    std::string first_body;  // For a resend: the answer that must be repeated.
    microseconds intended{0};
  };

  microseconds SinceStart() const {
    return std::chrono::duration_cast<microseconds>(clock::now() - start_);
  }

  // Sends calls with exponentially distributed gaps (Poisson arrivals).
  asio::awaitable<void> SendAll() {
    asio::steady_timer timer(io_);
    microseconds due{0};
    for (std::size_t sent = 0; sent < plan_.max_calls; ++sent) {
      const double rate = plan_.rate * PeakFactor(plan_, due);
      const double gap = -std::log(1 - random_.NextUnit()) / rate;
      due += microseconds(static_cast<std::int64_t>(gap * 1e6));
      if (due >= plan_.duration) co_return;
      timer.expires_at(start_ + due);
      co_await timer.async_wait(kAwaitTuple);
      asio::co_spawn(io_, SendPlanned(PlanCall(due)), asio::detached);
    }
  }

  planned_call PlanCall(microseconds due) {
    planned_call call;
    call.intended = due;
    call.node = random_.NextBelow(plan_.nodes.size());
    call.request.deadline = plan_.deadline;
    const std::string& service =
        plan_.services[random_.NextBelow(plan_.services.size())];
    const std::uint64_t number = ++call_count_;
    const double draw = random_.NextUnit();
    if (draw < plan_.history_share) {
      call.kind = call_kind::kHistory;
      call.request.target = fmt::format("/{}/history?call={}", service, number);
    } else if (draw < plan_.history_share + plan_.filing_share) {
      call.kind = call_kind::kFiling;
      call.request.method = "POST";
      call.request.target = fmt::format("/{}/filing?call={}", service, number);
      call.request.key = MakeUuidV7(random_);
      call.request.body = fmt::format("{{\"filing\":{}}}", number);
    } else {
      call.request.target = fmt::format("/{}/lookup?call={}", service, number);
    }
    return call;
  }

  asio::awaitable<void> SendPlanned(planned_call call) {
    if (call.kind != call_kind::kFiling) {
      co_await SendOne(call, nullptr);
      co_return;
    }
    const std::size_t index = result_.filings.size();
    result_.filings.push_back(
        filing_result{.key = call.request.key, .copies = {}});
    const bool resends = random_.NextUnit() < plan_.resend_share;
    if (resends && plan_.eager_resends) SpawnResends(call, index);
    std::string first_body;
    const call_status result = co_await SendOne(call, &first_body);
    result_.filings[index].copies.push_back(result);
    if (!resends || plan_.eager_resends) co_return;
    for (std::size_t copy = 1; copy <= plan_.resends; ++copy) {
      co_await Resend(call, index, copy, first_body);
    }
  }

  void SpawnResends(const planned_call& call, std::size_t index) {
    for (std::size_t copy = 1; copy <= plan_.resends; ++copy) {
      asio::co_spawn(io_, Resend(call, index, copy, ""), asio::detached);
    }
  }

  // Sends a filing again through another node. The answer must equal the first
  // one, where that is known.
  asio::awaitable<void> Resend(planned_call call, std::size_t index,
                               std::size_t copy, std::string first_body) {
    call.kind = call_kind::kResend;
    call.node = (call.node + copy) % plan_.nodes.size();
    call.intended = SinceStart();
    call.first_body = std::move(first_body);
    const call_status result = co_await SendOne(call, nullptr);
    result_.filings[index].copies.push_back(result);
  }

  asio::awaitable<call_status> SendOne(const planned_call& call,
                                       std::string* body) {
    const caller_response response =
        co_await pool_.Send(call.node, call.request);
    const call_status result = EvaluateResponse(call, response);
    result_.calls.push_back(
        call_sample{.kind = call.kind,
                    .result = result,
                    .status = response.status,
                    .intended = call.intended,
                    .latency = SinceStart() - call.intended});
    if (body != nullptr && result == call_status::kAnswered)
      *body = response.body;
    co_return result;
  }

  // Checks the response of `call` and records any failure.
  call_status EvaluateResponse(const planned_call& call,
                               const caller_response& response) {
    if (!response.outcome.empty()) {
      RecordFailure(call, fmt::format("status {} {}: {}", response.status,
                                      response.outcome, response.reason));
      return response.outcome == "not-run" ? call_status::kNotRun
                                           : call_status::kUnknown;
    }
    if (response.status == 0 || response.status >= kFirstErrorStatus) {
      RecordFailure(
          call, fmt::format("status {} {}", response.status, response.reason));
      return call_status::kFailed;
    }
    if (!IsOwnAnswer(call, response.body)) {
      RecordFailure(call,
                    "the answer is incomplete or belongs to another call: " +
                        response.body.substr(0, 200));
      return call_status::kWrong;
    }
    if (!call.first_body.empty() && response.body != call.first_body) {
      RecordFailure(call,
                    "the answer to the resend differs from the first answer");
      return call_status::kWrong;
    }
    return call_status::kAnswered;
  }

  // Returns whether `body` names the target, key and method of `call`.
  static bool IsOwnAnswer(const planned_call& call, const std::string& body) {
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object()) return false;
    const json::object& answer = parsed.as_object();
    const auto matches = [&](std::string_view member, const std::string& text) {
      const json::value* found = answer.if_contains(member);
      return found != nullptr && found->is_string() &&
             found->as_string() == text;
    };
    return matches("target", call.request.target) &&
           matches("key", call.request.key) &&
           matches("method", call.request.method);
  }

  void RecordFailure(const planned_call& call, const std::string& text) {
    if (result_.failures.size() >= kMaxFailures) return;
    result_.failures.push_back(
        fmt::format("{:.3f} s: {} {} at {}: {}",
                    std::chrono::duration<double>(SinceStart()).count(),
                    call.request.method, call.request.target,
                    plan_.nodes[call.node], text));
  }

  const load_plan& plan_;
  asio::io_context io_{1};
  seeded_random_source random_;
  caller_pool pool_;
  clock::time_point start_;
  load_result result_;
  std::uint64_t call_count_ = 0;
};

}  // namespace

std::optional<load_result> RunLoad(const load_plan& plan) {
  std::vector<asio::ip::tcp::endpoint> nodes;
  for (const std::string& node : plan.nodes) {
    const auto endpoint = ParseEndpoint(node);
    if (!endpoint) return std::nullopt;
    nodes.push_back(*endpoint);
  }
  if (nodes.empty() || plan.services.empty()) return std::nullopt;
  return load_run(plan, nodes).Run();
}

}  // namespace hornbeam
