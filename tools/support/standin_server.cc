#include "support/standin_server.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "support/endpoint_text.h"

namespace hornbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

using tcp = asio::ip::tcp;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kBodyLimit = 64ULL << 20U;  // Bytes.
constexpr std::chrono::seconds kLoadLag{1};
constexpr std::chrono::milliseconds kQuietPoll{20};
constexpr std::chrono::milliseconds kQuietTime{500};
constexpr std::chrono::seconds kDrainLimit{20};
constexpr std::string_view kCallsPath = "/hornbeam/calls/";
// Standard deviations of the logarithm of the service times, which are
// log-normal: the 99th percentile of short calls is 4.7 times the mean, that of
// long calls 1.9 times.
constexpr double kShortSigma = 0.8;
constexpr double kLongSigma = 0.3;

bool IsIdempotent(http::verb verb) {
  return verb != http::verb::post && verb != http::verb::patch;
}

std::string ReadHeader(const http::request<http::string_body>& message,
                       std::string_view name) {
  const auto found = message.find(name);
  return found == message.end() ? std::string() : std::string(found->value());
}

}  // namespace

struct standin_server::incoming_request {
  explicit incoming_request(http::request<http::string_body> received)
      : message(std::move(received)),
        request_id(ReadHeader(message, "Hornbeam-Request-Id")),
        key(ReadHeader(message, "Idempotency-Key")) {}

  http::request<http::string_body> message;
  std::string request_id;
  std::string key;

  [[nodiscard]] bool IsLong() const {
    return message.target().find("/history") != beast::string_view::npos;
  }
};

struct standin_server::outgoing_response {
  http::response<http::string_body> message;
  bool has_run = false;  // The call ran before this response.

  void Set(http::status status, std::string body) {
    message.result(status);
    message.set(http::field::content_type, "application/json");
    message.body() = std::move(body);
  }
};

std::unique_ptr<standin_server> standin_server::MakeStandinServer(
    asio::io_context& io, const standin_options& options, std::string& reason) {
  const auto endpoint = ParseEndpoint(options.listen);
  if (!endpoint ||
      (!options.node_local.empty() && !ParseEndpoint(options.node_local))) {
    reason = "the address to listen on or of the node is malformed";
    return nullptr;
  }
  auto record = run_record::MakeRunRecord(options.record_path);
  if (record == nullptr) {
    reason = "cannot open the record " + options.record_path;
    return nullptr;
  }
  tcp::acceptor acceptor(io);
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    reason = error.message();
    return nullptr;
  }
  return std::unique_ptr<standin_server>(
      new standin_server(io, options, std::move(acceptor), std::move(record)));
}

standin_server::standin_server(asio::io_context& io,
                               const standin_options& options,
                               tcp::acceptor acceptor,
                               std::unique_ptr<run_record> record)
    : io_(io),
      options_(options),
      acceptor_(std::move(acceptor)),
      record_(std::move(record)),
      slots_(options.slots),
      random_(options.seed),
      started_(std::chrono::steady_clock::now()),
      synced_changed_(io) {
  if (options_.node_local.empty()) return;
  announcer_.emplace(*ParseEndpoint(options_.node_local),
                     announcement{.service = options_.service,
                                  .address = Address(),
                                  .slots = options_.slots});
}

void standin_server::Start() {
  asio::co_spawn(io_, AcceptCalls(), asio::detached);
  asio::co_spawn(io_, SampleLoad(), asio::detached);
  if (announcer_) asio::co_spawn(io_, announcer_->Run(), asio::detached);
}

void standin_server::Stop() {
  asio::co_spawn(io_, DrainAndStop(), asio::detached);
}

std::string standin_server::Address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

asio::awaitable<void> standin_server::AcceptCalls() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error) co_return;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(io_, ServeConnection(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> standin_server::ServeConnection(tcp::socket socket) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    auto [read_error, read] =
        co_await http::async_read(socket, buffer, parser, kAwaitTuple);
    if (read_error) co_return;
    const incoming_request request(parser.release());
    outgoing_response response;
    co_await HandleRequest(request, response);
    response.message.keep_alive(request.message.keep_alive());
    response.message.prepare_payload();
    auto [write_error, written] =
        co_await http::async_write(socket, response.message, kAwaitTuple);
    if (write_error && response.has_run) {
      Append(run_event::kCallerGone, request);
    }
    if (write_error || !request.message.keep_alive()) co_return;
  }
}

asio::awaitable<void> standin_server::HandleRequest(
    const incoming_request& request, outgoing_response& response) {
  const beast::string_view target = request.message.target();
  const http::verb verb = request.message.method();
  if (target == "/standin/behaviour" && verb == http::verb::put) {
    ChangeBehaviour(request, response);
  } else if (target == "/hornbeam/load") {
    ReportLoad(response);
  } else if (target.starts_with(kCallsPath) && verb == http::verb::delete_) {
    CancelCall(request, response);
  } else {
    co_await RunCall(request, response);
  }
}

asio::awaitable<void> standin_server::RunCall(const incoming_request& request,
                                              outgoing_response& response) {
  const standin_behaviour& behaviour = options_.behaviour;
  const bool is_full = slots_.Running() >= slots_.Slots();
  if (behaviour.shed_above > 0 && is_full &&
      slots_.Queued() >= behaviour.shed_above) {
    co_await Shed(request, response);
    co_return;
  }
  auto call = std::make_shared<standin_call>(io_.get_executor());
  if (!request.request_id.empty()) calls_[request.request_id] = call;
  const bool acquired = co_await slots_.Acquire(call);
  if (acquired) {
    co_await RunInSlot(request, response, call);
    slots_.Release();
  } else {
    co_await Shed(request, response);
  }
  calls_.erase(request.request_id);
}

asio::awaitable<void> standin_server::RunInSlot(
    const incoming_request& request, outgoing_response& response,
    std::shared_ptr<standin_call> call) {
  const std::uint64_t run = ++runs_;
  response.has_run = true;
  co_await Record(run_event::kReceived, request);
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  if (draw < options_.behaviour.fail_share) {
    co_await Record(run_event::kFinished, request);
    response.Set(http::status::internal_server_error, "{\"failed\":true}");
    co_return;
  }
  call->timer.expires_after(ServiceTime(request.IsLong()));
  if (!call->cancelled) co_await call->timer.async_wait(kAwaitTuple);
  if (call->cancelled) {
    co_await Record(run_event::kCancelled, request);
    response.Set(http::status::internal_server_error, "{\"cancelled\":true}");
    co_return;
  }
  co_await Record(run_event::kFinished, request);
  json::object body = {{"upstream", options_.name},
                       {"method", request.message.method_string()},
                       {"target", request.message.target()},
                       {"key", request.key},
                       {"run", run},
                       {"body_bytes", request.message.body().size()}};
  const std::size_t wanted = request.IsLong()
                                 ? options_.behaviour.long_answer_bytes
                                 : options_.behaviour.answer_bytes;
  body["padding"] = std::string(wanted, 'x');
  response.Set(http::status::ok, json::serialize(body));
  response.message.result(
      static_cast<unsigned>(options_.behaviour.answer_status));
}

asio::awaitable<void> standin_server::Shed(const incoming_request& request,
                                           outgoing_response& response) {
  co_await Record(run_event::kShed, request);
  response.Set(http::status::service_unavailable, "{\"shed\":true}");
  response.message.set("Hornbeam-Outcome", "not-run");
}

void standin_server::CancelCall(const incoming_request& request,
                                outgoing_response& response) {
  const std::string id(request.message.target().substr(kCallsPath.size()));
  response.message.result(http::status::no_content);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  incoming_request cancelled_request(request.message);
  cancelled_request.request_id = id;
  Append(run_event::kCallerGone, cancelled_request);
  standin_call& call = *found->second;
  if (call.running && !options_.behaviour.honour_cancel) return;
  call.cancelled = true;
  call.timer.cancel();
}

void standin_server::ChangeBehaviour(const incoming_request& request,
                                     outgoing_response& response) {
  const auto merged =
      MergeBehaviour(options_.behaviour, request.message.body());
  response.message.result(merged ? http::status::no_content
                                 : http::status::bad_request);
  if (!merged) return;
  if (merged->cold_start_ms > 0) started_ = std::chrono::steady_clock::now();
  options_.behaviour = *merged;
  if (announcer_) announcer_->SetDraining(merged->draining);
}

void standin_server::ReportLoad(outgoing_response& response) const {
  std::size_t running = slots_.Running();
  std::size_t queued = slots_.Queued();
  if (options_.behaviour.load == reported_load::kZero) running = queued = 0;
  if (options_.behaviour.load == reported_load::kLagging) {
    running = lagging_running_;
    queued = lagging_queued_;
  }
  const json::object body = {
      {"running", running}, {"queued", queued}, {"slots", slots_.Slots()}};
  response.Set(http::status::ok, json::serialize(body));
}

asio::awaitable<void> standin_server::SampleLoad() {
  asio::steady_timer timer(io_);
  for (;;) {
    lagging_running_ = slots_.Running();
    lagging_queued_ = slots_.Queued();
    timer.expires_after(kLoadLag);
    co_await timer.async_wait(kAwaitTuple);
  }
}

asio::awaitable<void> standin_server::DrainAndStop() {
  using clock = std::chrono::steady_clock;
  if (announcer_) {
    announcer_->SetDraining(true);
    co_await announcer_->AnnounceNow();
  }
  asio::steady_timer timer(io_);
  const auto limit = clock::now() + kDrainLimit;
  auto quiet_since = clock::now();
  while (clock::now() < limit && clock::now() - quiet_since < kQuietTime) {
    if (slots_.Running() + slots_.Queued() > 0) quiet_since = clock::now();
    timer.expires_after(kQuietPoll);
    co_await timer.async_wait(kAwaitTuple);
  }
  if (announcer_) co_await announcer_->Withdraw();
  io_.stop();
}

asio::awaitable<void> standin_server::Record(run_event event,
                                             const incoming_request& request) {
  Append(event, request);
  const bool needs_sync =
      options_.sync_record && !IsIdempotent(request.message.method());
  if (needs_sync) co_await SyncRecord();
}

void standin_server::Append(run_event event, const incoming_request& request) {
  ++appended_;
  record_->Append(
      run_entry{.event = event,
                .request_id = request.request_id,
                .key = request.key,
                .method = std::string(request.message.method_string()),
                .target = std::string(request.message.target()),
                .wall_time = {}});
}

asio::awaitable<void> standin_server::SyncRecord() {
  const std::uint64_t wanted = appended_;
  while (synced_ < wanted) {
    if (is_syncing_) {
      synced_changed_.expires_at(std::chrono::steady_clock::time_point::max());
      co_await synced_changed_.async_wait(kAwaitTuple);
      continue;
    }
    is_syncing_ = true;
    const std::uint64_t covered = appended_;
    const auto sync = [this]() -> asio::awaitable<void> {
      record_->Sync();
      co_return;
    };
    co_await asio::co_spawn(sync_thread_, sync, asio::use_awaitable);
    is_syncing_ = false;
    synced_ = covered;
    synced_changed_.cancel();
  }
}

std::chrono::microseconds standin_server::ServiceTime(bool is_long) {
  const standin_behaviour& behaviour = options_.behaviour;
  const double mean = is_long ? behaviour.long_ms : behaviour.short_ms;
  const double sigma = is_long ? kLongSigma : kShortSigma;
  if (mean <= 0) return std::chrono::microseconds(0);
  std::lognormal_distribution<> spread(std::log(mean) - sigma * sigma / 2,
                                       sigma);
  double factor = behaviour.slow_factor;
  const std::chrono::duration<double, std::milli> age =
      std::chrono::steady_clock::now() - started_;
  if (age.count() < behaviour.cold_start_ms) {
    const double left = 1 - age.count() / behaviour.cold_start_ms;
    factor *= 1 + (behaviour.cold_start_factor - 1) * left;
  }
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return std::chrono::microseconds(static_cast<std::int64_t>(
      spread(random_) * factor * kMicrosecondsPerMillisecond));
}

}  // namespace hornbeam
