#include "routing/weighted_choice.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include "hornbeam/random_source.h"

namespace hornbeam {

const std::string& weighted_choice::Next(const std::string& name,
                                         const route& definition) {
  const auto& parts = definition.parts;
  if (parts.size() == 1) return parts.front().service;
  const double total = std::transform_reduce(
      parts.begin(), parts.end(), 0.0, std::plus<>(),
      [](const weighted_service& part) { return part.weight; });
  share& current = shares_[name];
  if (current.parts != parts) {
    current.parts = parts;
    current.owed.assign(parts.size(), 0);
    double offset = random_.NextUnit();
    // A random phase: as if a random share of a round had gone by already.
    for (std::size_t i = 0; i < parts.size(); ++i) {
      const double weight = parts[i].weight / total;
      current.owed[i] = offset < weight && offset >= 0 ? weight - 1 : weight;
      offset -= weight;
    }
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    current.owed[i] += parts[i].weight / total;
  }
  const auto most = std::ranges::max_element(current.owed);
  const auto chosen = static_cast<std::size_t>(most - current.owed.begin());
  *most -= 1;
  return current.parts[chosen].service;
}

}  // namespace hornbeam
