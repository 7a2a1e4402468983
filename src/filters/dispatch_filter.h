// Last filter of the chain: routes the call to an upstream's serving node.
#pragma once

#include "filters/call_filter.h"

namespace hornbeam {

class call_router;

class dispatch_filter final : public call_filter {
 public:
  explicit dispatch_filter(call_router& router);

  http_response Apply(call_context& call, call_continuation& rest) override;

 private:
  call_router& router_;
};

}  // namespace hornbeam
