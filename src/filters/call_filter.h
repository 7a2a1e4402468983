// Interface of the filters that process each caller's request.
#pragma once

#include "filters/call_context.h"
#include "http/http_messages.h"

namespace hornbeam {

// The remaining filters of the chain.
class call_continuation {
 public:
  call_continuation() = default;
  call_continuation(const call_continuation&) = delete;
  call_continuation& operator=(const call_continuation&) = delete;
  virtual ~call_continuation() = default;

  virtual http_response Proceed(call_context& call) = 0;
};

// One filter: answers the call itself, or fills in the context and proceeds.
// Shared by concurrent calls; keeps no state of a single call.
class call_filter {
 public:
  call_filter() = default;
  call_filter(const call_filter&) = delete;
  call_filter& operator=(const call_filter&) = delete;
  virtual ~call_filter() = default;

  virtual http_response Apply(call_context& call, call_continuation& rest) = 0;
};

}  // namespace hornbeam
