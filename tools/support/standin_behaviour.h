// Behaviour of a stand-in upstream. Every field can change while it runs.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeam {

// Which load the load endpoint reports.
enum class reported_load : std::uint8_t {
  kCurrent,  // The current load.
  kLagging,  // The last sample of the load, which is up to 1 s old.
  kZero,     // Always zero.
};

struct standin_behaviour {
  double short_ms = 10;    // Mean service time of short calls.
  double long_ms = 400;    // Mean service time of long calls.
  double slow_factor = 1;  // Multiplies every service time.
  double fail_share = 0;   // Share of calls that fail at once with 500.
  // Time from the start, or from a change of the behaviour, to full speed.
  double cold_start_ms = 0;
  double cold_start_factor = 10;  // Service time factor at the start.
  std::size_t shed_above = 0;     // Queue length that sheds; 0: never.
  std::size_t answer_bytes = 200;
  std::size_t long_answer_bytes = 200;
  std::size_t answer_status = 200;  // Of a call that ran; up to 999.
  bool honour_cancel = true;
  bool draining = false;
  reported_load load = reported_load::kCurrent;
};

// Returns `base` with the members of the JSON object `text` applied;
// std::nullopt when the text is not an object, or a member is unknown or has
// the wrong type.
std::optional<standin_behaviour> MergeBehaviour(standin_behaviour base,
                                                std::string_view text);

}  // namespace hornbeam
