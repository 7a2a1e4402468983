// Exchanges with the HTTP server and client on one event loop.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "io/cancel_source.h"
#include "io/fiber_signal.h"
#include "support/scripted_upstream.h"

namespace hornbeam {

// Runs `body` with an event loop on a thread of its own.
void RunOnLoop(const std::function<void(io_loop& loop)>& body);

// Returns the time at which a test gives up.
time_point TestDeadline();

// Counts the requests and answers each with its path, /slow not before `open`.
class counting_handler final : public http_handler {
 public:
  http_response Handle(const http_request& request,
                       cancel_source& /*caller_disconnected*/) override {
    ++handled;
    if (request.target == "/slow") open.WaitUntil(TestDeadline());
    return MakeTextResponse(200, request.target);
  }

  int handled = 0;
  fiber_signal<bool> open;
};

// Sends `bytes` and reads until the received bytes contain `wanted`.
std::string SendAndRead(boost::asio::ip::tcp::socket& socket,
                        const std::string& bytes, const std::string& wanted);

// Returns the answer of an upstream to the request with the given X-Id.
std::string Answer(const std::string& id, const std::string& body);

struct client_run {
  std::vector<std::string> bodies;  // The error number for a failed call.
  int connections = 0;
};

enum class connection_end : std::uint8_t { kByClient, kAfterAnswer };

// Sends `calls` requests one after another to an upstream that answers as
// `script` says.
client_run CallSequentially(const scripted_upstream::answer_maker& script,
                            int calls,
                            connection_end end = connection_end::kByClient);

// Returns the error as client_run has it.
std::string ErrorText(http_call_error error);

}  // namespace hornbeam
