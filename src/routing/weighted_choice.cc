#include "routing/weighted_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

// Fractional part of the golden ratio; its multiples modulo 1 are spread evenly
// over the unit interval.
constexpr double kGoldenRatioFraction = 0.6180339887498949;

}  // namespace

const std::string& weighted_choice::Next(const std::string& name,
                                         const route& definition) {
  const auto& parts = definition.parts;
  if (parts.size() == 1) return parts.front().service;
  const double total = std::transform_reduce(
      parts.begin(), parts.end(), 0.0, std::plus<>(),
      [](const weighted_service& part) { return part.weight; });
  const auto [entry, is_new] = positions_.try_emplace(name, 0.0);
  double& position = entry->second;
  position = is_new ? random_.NextUnit()
                    : std::fmod(position + kGoldenRatioFraction, 1.0);
  double remaining = position * total;
  const auto chosen =
      std::ranges::find_if(parts, [&remaining](const weighted_service& part) {
        remaining -= part.weight;
        return remaining < 0;
      });
  return chosen == parts.end() ? parts.front().service : chosen->service;
}

}  // namespace hornbeam
