#include "ledger/answer_record.h"

#include <xxhash.h>

#include <numeric>

namespace hornbeam {

body_digest DigestBody(std::string_view body) {
  const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
  return {.high = hash.high64, .low = hash.low64};
}

recorded_answer MakeRecordedAnswer(const operation_answer& answer,
                                   const node_identity& holder,
                                   std::size_t limit_bytes) {
  const std::size_t size = std::accumulate(
      answer.headers.begin(), answer.headers.end(), answer.body.size(),
      [](std::size_t sum, const header_field& field) {
        return sum + field.name.size() + field.value.size();
      });
  recorded_answer record{.status = answer.status,
                         .body_recorded = size <= limit_bytes,
                         .body_size = answer.body.size(),
                         .digest = DigestBody(answer.body),
                         .holder = holder,
                         .headers = {},
                         .body = {}};
  if (record.body_recorded) {
    record.headers = answer.headers;
    record.body = answer.body;
  }
  return record;
}

}  // namespace hornbeam
