#include "daemon/announcement_reader.h"

#include <boost/json.hpp>
#include <optional>

namespace hornbeam {

namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxSlots = 100000;

std::optional<std::string> ReadText(const json::object& object,
                                    std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return std::string(value->as_string());
}

std::optional<std::uint32_t> ReadSlots(const json::object& object) {
  const json::value* value = object.if_contains("slots");
  if (value == nullptr || !value->is_int64()) return std::nullopt;
  const std::int64_t slots = value->as_int64();
  if (slots < 1 || slots > kMaxSlots) return std::nullopt;
  return static_cast<std::uint32_t>(slots);
}

announcement_error MakeError(std::string reason) { return {std::move(reason)}; }

}  // namespace

result<upstream_announcement, announcement_error> ReadAnnouncement(
    std::string_view text) {
  boost::system::error_code error;
  const json::value document = json::parse(text, error);
  if (error || !document.is_object()) {
    return MakeError("the body is not a JSON object");
  }
  const json::object& object = document.as_object();
  const auto service = ReadText(object, "service");
  if (!service || service->empty()) {
    return MakeError("service: a name is missing");
  }
  const auto address = ReadText(object, "address");
  const auto parsed = address ? endpoint::Parse(*address) : std::nullopt;
  if (!parsed) return MakeError("address: an IP number with a port is missing");
  const auto slots = ReadSlots(object);
  if (!slots) return MakeError("slots: a whole number from 1 is missing");
  const std::string state = ReadText(object, "state").value_or("ready");
  if (state != "ready" && state != "draining") {
    return MakeError("state: accepted are ready and draining");
  }
  return upstream_announcement{.service = *service,
                               .address = *parsed,
                               .slots = *slots,
                               .draining = state == "draining"};
}

}  // namespace hornbeam
