#include "base/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace hornbeam {

namespace {

// A longer name is not a typing error, and the edit distance costs the product
// of both lengths.
constexpr std::size_t kMaxNameLength = 128;

// Levenshtein distance by dynamic programming with a single row.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string_view NearestName(std::string_view name,
                             std::span<const std::string_view> names) {
  if (names.empty() || name.size() > kMaxNameLength) return {};
  const auto distance = [name](std::string_view other) {
    return EditDistance(name, other);
  };
  const std::string_view nearest =
      *std::ranges::min_element(names, std::ranges::less{}, distance);
  return distance(nearest) * 2 < nearest.size() ? nearest : std::string_view{};
}

}  // namespace hornbeam
