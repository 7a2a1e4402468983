#include "filters/filter_chain.h"

#include <cassert>
#include <cstddef>
#include <utility>

#include "hornbeam/clock_source.h"
#include "hornbeam/random_source.h"

namespace hornbeam {

// The part of the chain that begins at one filter.
class filter_chain::remaining_filters final : public call_continuation {
 public:
  remaining_filters(const filter_chain& chain, std::size_t index)
      : chain_(chain), index_(index) {}

  http_response Proceed(call_context& call) override {
    assert(index_ < chain_.filters_.size());
    remaining_filters rest(chain_, index_ + 1);
    return chain_.filters_[index_]->Apply(call, rest);
  }

 private:
  const filter_chain& chain_;
  const std::size_t index_;
};

filter_chain::filter_chain(const clock_source& clock, random_source& random,
                           std::vector<std::unique_ptr<call_filter>> filters)
    : clock_(clock), random_(random), filters_(std::move(filters)) {}

filter_chain::~filter_chain() = default;

http_response filter_chain::Handle(const http_request& request,
                                   cancel_source& caller_disconnected) {
  call_context call{.request = request,
                    .caller_disconnected = caller_disconnected,
                    .id = request_id::MakeRandom(random_),
                    .received_at = clock_.Now()};
  remaining_filters all_filters(*this, 0);
  http_response response = all_filters.Proceed(call);
  response.headers.push_back({"Hornbeam-Request-Id", call.id.ToString()});
  return response;
}

}  // namespace hornbeam
