// Conversion of an upstream's answer to the form that the ledger stores.
#pragma once

#include <cstddef>
#include <string_view>

#include "ledger/attempt_guard.h"
#include "ledger/ledger_messages.h"

namespace hornbeam {

// Returns the XXH3 128-bit hash of `body`.
body_digest DigestBody(std::string_view body);

// Returns the record of `answer`. Headers and body are included only if their
// total size is at most `limit_bytes`; size and digest of the body are always
// included. `holder` is the node that may still have the complete answer.
recorded_answer MakeRecordedAnswer(const operation_answer& answer,
                                   const node_identity& holder,
                                   std::size_t limit_bytes);

}  // namespace hornbeam
