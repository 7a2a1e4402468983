// Whether an upstream works at its usual speed right now.
//
// Load pattern: a noisy neighbour makes a VM several times slower for some
// hundred milliseconds at a time, a third of the time. Work that begins in such
// a spell takes its whole length longer, so beginning it a moment later ends it
// sooner and costs the upstream a fraction of the slot time.
#pragma once

#include <cstdint>
#include <optional>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct spell_options {
  // Above this an upstream is in a slow spell, in hundredths of the usual time.
  std::uint32_t slow_percent = 200;
  // An observation tells the present speed for so long: spells begin and end
  // several times a second.
  duration freshness = std::chrono::milliseconds(10);
  // Slowness that lasts longer is no spell but how the upstream is now; work
  // begins all the same.
  duration longest_spell = std::chrono::milliseconds(1200);
  // Expected length of a spell before any was seen.
  duration first_guess = std::chrono::milliseconds(200);
};

// Fed with what the upstream says of itself. Not thread-safe.
class spell_watch {
 public:
  explicit spell_watch(const spell_options& options);

  void Observe(std::uint32_t slowdown_percent, time_point now);

  // Whether the last observation still tells the present speed.
  [[nodiscard]] bool IsFresh(time_point now) const;
  // Whether work had better wait for the end of a spell.
  [[nodiscard]] bool HoldsBack(time_point now) const;
  // How long the present spell is expected to last yet; 0 outside of one.
  [[nodiscard]] duration Remainder(time_point now) const;
  // The slowdown that work beginning now has to reckon with.
  [[nodiscard]] std::uint32_t Percent() const { return percent_; }

 private:
  const spell_options options_;
  std::uint32_t percent_ = 100;
  std::optional<time_point> observed_at_;
  std::optional<time_point> slow_since_;
  double mean_spell_us_;
};

}  // namespace hornbeam
