#include "filters/classify_filter.h"

#include "filters/failure_response.h"
#include "filters/idempotency_key.h"

namespace hornbeam {

http_response classify_filter::Apply(call_context& call,
                                     call_continuation& rest) {
  call.kind = call.service->Classifier().Classify(call.request.method,
                                                  call.request.target);
  call.idempotent = IsIdempotentMethod(call.request.method);
  if (call.idempotent) return rest.Proceed(call);
  const auto text = call.request.Header("Idempotency-Key");
  if (!text) {
    return MakeFailure(428, outcome::kNotRun,
                       "this method needs an Idempotency-Key, a UUIDv7");
  }
  call.key = ParseIdempotencyKey(*text);
  if (!call.key) {
    return MakeFailure(400, outcome::kNotRun,
                       "the Idempotency-Key is not a UUIDv7");
  }
  return rest.Proceed(call);
}

}  // namespace hornbeam
