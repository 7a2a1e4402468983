// Structured logging: numbered events with named fields.
#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/event_catalogue.h"

namespace hornbeam {

// One named field of an event. Text is not copied and must outlive the call to
// Write.
struct event_field {
  using value_type =
      std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view>;

  event_field(std::string_view field_name, std::string_view text)
      : name(field_name), value(text) {}
  event_field(std::string_view field_name, const std::string& text)
      : name(field_name), value(std::string_view(text)) {}
  event_field(std::string_view field_name, const char* text)
      : name(field_name), value(std::string_view(text)) {}
  event_field(std::string_view field_name, bool flag)
      : name(field_name), value(flag) {}
  event_field(std::string_view field_name, std::signed_integral auto number)
      : name(field_name), value(std::int64_t{number}) {}
  event_field(std::string_view field_name, std::unsigned_integral auto number)
      : name(field_name), value(std::uint64_t{number}) {}
  event_field(std::string_view field_name, std::floating_point auto number)
      : name(field_name), value(double{number}) {}

  std::string_view name;
  value_type value;
};

// Writes events to a log. Implementations are thread-safe and never block on
// the disk.
class event_log {
 public:
  event_log() = default;
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;
  virtual ~event_log() = default;

  virtual void Write(event_id id,
                     std::initializer_list<event_field> fields) = 0;
};

// Returns an event as text, such as "event=1001 name=call_routed
// service=guichet ...". Texts that are empty or contain spaces or special
// characters are quoted.
std::string FormatEvent(event_id id, std::initializer_list<event_field> fields);

}  // namespace hornbeam
