#include "policy/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace hornbeam {

namespace {

constexpr std::size_t kPerMille = 1000;

struct ranked_member {
  std::uint64_t rank = 0;
  std::size_t index = 0;

  auto operator<=>(const ranked_member&) const = default;
};

// Moves the `count` members of `pool` with the lowest ranks to `chosen`.
void MoveLowestRanked(std::vector<ranked_member>& pool, std::size_t count,
                      std::vector<std::size_t>& chosen) {
  const auto middle =
      pool.begin() + static_cast<std::ptrdiff_t>(std::min(count, pool.size()));
  std::ranges::nth_element(pool, middle);
  std::transform(pool.begin(), middle, std::back_inserter(chosen),
                 [](const ranked_member& each) { return each.index; });
  pool.erase(pool.begin(), middle);
}

}  // namespace

std::vector<std::size_t> ChooseSubset(std::span<const subset_member> members,
                                      std::string_view node,
                                      std::string_view availability_zone,
                                      const subset_options& options) {
  std::vector<std::size_t> chosen;
  if (members.size() <= options.size) {
    chosen.resize(members.size());
    std::iota(chosen.begin(), chosen.end(), std::size_t{0});
    return chosen;
  }
  const std::uint64_t seed = XXH3_64bits(node.data(), node.size());
  std::vector<ranked_member> same_zone;
  std::vector<ranked_member> other_zones;
  for (std::size_t index = 0; index < members.size(); ++index) {
    const subset_member& member = members[index];
    const std::string& name = member.id.node;
    auto& pool =
        member.availability_zone == availability_zone ? same_zone : other_zones;
    pool.push_back(ranked_member{
        .rank = XXH3_64bits_withSeed(name.data(), name.size(), seed),
        .index = index});
  }
  const std::size_t same_zone_count =
      options.size * options.same_zone_per_mille / kPerMille;
  const std::size_t other_zone_count =
      std::min(options.size - same_zone_count, other_zones.size());
  MoveLowestRanked(same_zone, options.size - other_zone_count, chosen);
  MoveLowestRanked(other_zones, options.size - chosen.size(), chosen);
  std::ranges::sort(chosen);
  return chosen;
}

}  // namespace hornbeam
