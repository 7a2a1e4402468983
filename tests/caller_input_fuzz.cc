// Fuzzes the parsers of idempotency keys and upstream announcements.
//
// SOURCES: src/daemon/announcement_reader.cc src/base/request_id.cc
// SOURCES: src/wire/endpoint.cc
// PLAIN_SOURCES: src/filters/idempotency_key.cc
// LIBRARIES: -lboost_json -lfmt
#include <string>

#include "daemon/announcement_reader.h"
#include "filters/idempotency_key.h"
#include "support/fuzz_check.h"

namespace hornbeam {

namespace {

void FuzzKey(std::string_view text) {
  const auto key = ParseIdempotencyKey(text);
  if (key) FuzzCheck(request_id::Parse(key->ToString()) == *key);
}

void FuzzAnnouncement(std::string_view text) {
  const auto announcement = ReadAnnouncement(text);
  FuzzCheck(announcement.has_value() || !announcement.error().reason.empty());
}

// Returns an announcement whose remaining members are the input, so that the
// fuzzer reaches the optional members.
std::string MakeAnnouncement(std::string_view text) {
  return "{\"service\":\"guichet\",\"state\":\"ready\"," + std::string(text) +
         "}";
}

}  // namespace

}  // namespace hornbeam

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = hornbeam::FuzzText(data, size);
  hornbeam::FuzzKey(text);
  hornbeam::FuzzAnnouncement(text);
  hornbeam::FuzzAnnouncement(hornbeam::MakeAnnouncement(text));
  return 0;
}
