// Fuzzes the decoders of announcements, platform terms and routing changes.
//
// SOURCES: platform/json_fields.cc platform/routing_json.cc
// SOURCES: src/routing/routing_codec.cc
// PLAIN_SOURCES: platform/platform_codec_impl.cc src/http/http_messages.cc
// PLAIN_SOURCES: src/routing/routing_rules.cc src/base/request_id.cc
// LIBRARIES: -lfmt -lboost_json -lxxhash
#include <string>

#include "http/http_messages.h"
#include "platform/platform_codec_impl.h"
#include "platform/routing_json.h"
#include "routing/routing_codec.h"
#include "routing/routing_rules.h"
#include "support/fuzz_check.h"

namespace hornbeam {

namespace {

void FuzzChange(std::string_view text, bool full_table) {
  const auto change = platform::ReadRoutingChange(text, full_table);
  if (!change) {
    FuzzCheck(!change.error().reason.empty());
    return;
  }
  const std::string bytes = EncodeRoutingChange(change.value());
  const auto again = DecodeRoutingChange(bytes);
  FuzzCheck(again.has_value());
  FuzzCheck(EncodeRoutingChange(*again) == bytes);
  const auto table = ApplyRoutingChange({}, change.value());
  if (table) FuzzCheck(FindRoutingErrors(table.value()).empty());
}

void FuzzAnnouncement(std::string_view text) {
  const platform::platform_codec_impl codec;
  const http_request request{.method = "POST",
                             .target = "/hornbeamlb/Instances.Heartbeat/i-1",
                             .body = std::string(text)};
  const auto read = codec.ReadNodeRequest(request);
  if (!read) {
    FuzzCheck(!read.error().reason.empty());
    return;
  }
  const auto& announced = std::get<instance_announcement>(read.value());
  FuzzCheck(announced.slots > 0);
  FuzzCheck(announced.cold_start_remaining >= duration(0));
}

void FuzzTerms(std::string_view text) {
  const platform::platform_codec_impl codec;
  const auto terms = codec.ReadTerms(text);
  if (!terms) {
    FuzzCheck(!terms.error().reason.empty());
    return;
  }
  FuzzCheck(terms.value().retry_share.value_or(0) >= 0);
}

}  // namespace

}  // namespace hornbeam

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = hornbeam::FuzzText(data, size);
  hornbeam::FuzzChange(text, true);
  hornbeam::FuzzChange(text, false);
  hornbeam::FuzzAnnouncement(text);
  hornbeam::FuzzTerms(text);
  // Most inputs are not valid JSON. They are also tried as a value inside valid
  // messages.
  const std::string value(text);
  hornbeam::FuzzChange(
      R"({"version":"r7","baseVersion":"r5","services":{"s":{}},"routes":)"
      R"({"a":{"host":"h","pathPrefix":"/a/","kind":"safe","service":"s",)"
      R"("timeoutS":1,"aimS":)" +
          value + "}}}",
      true);
  hornbeam::FuzzChange(
      R"({"version":"r7","remove":{"routes":[)" + value + "]}}", false);
  hornbeam::FuzzAnnouncement(
      R"({"address":"10.0.0.9:1","born":1,"info":{"service":"s","slots":)" +
      value + R"(},"status":{"state":"ready","seq":1,"coldRemainingS":0}})");
  return 0;
}
