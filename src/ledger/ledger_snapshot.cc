#include "ledger/ledger_snapshot.h"

#include <algorithm>
#include <utility>

#include "base/byte_archive.h"
#include "ledger/key_time.h"

namespace hornbeam {

namespace {

bool IsValid(const live_operation& operation) {
  return operation.state <= live_state::kFree &&
         operation.reason <= unknown_reason::kRecordEvicted &&
         KeyIssuedAtMs(operation.key).has_value();
}

bool IsValid(const service_image& service) {
  const auto valid = [](const live_operation& operation) {
    return IsValid(operation);
  };
  const auto has_key_time = [](const answered_operation_image& operation) {
    return KeyIssuedAtMs(operation.key).has_value();
  };
  return std::ranges::all_of(service.live, valid) &&
         std::ranges::all_of(service.answered, has_key_time);
}

bool IsValid(const ledger_image& image) {
  return image.version == ledger_image().version &&
         std::ranges::all_of(image.services, [](const auto& service) {
           return IsValid(service);
         });
}

}  // namespace

std::string EncodeLedgerImage(const ledger_image& image) {
  return EncodeBytes(image);
}

std::optional<ledger_image> DecodeLedgerImage(std::string_view bytes) {
  auto decoded = DecodeBytes<ledger_image>(bytes);
  if (!decoded.has_value() || !IsValid(decoded.value())) return std::nullopt;
  return std::move(decoded).value();
}

}  // namespace hornbeam
