// Tests of the subsets of a large service: distribution of load, changes of
// membership, and zones.
#include "policy/subset.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <numeric>
#include <set>
#include <string>
#include <vector>

namespace hornbeam {

namespace {

constexpr std::size_t kUpstreams = 1300;
constexpr std::size_t kZones = 3;

std::vector<subset_member> Members(std::size_t count) {
  std::vector<subset_member> members;
  members.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({.id = {.node = "vm-" + std::to_string(i)},
                       .availability_zone = std::to_string(i % kZones)});
  }
  return members;
}

std::vector<std::size_t> SubsetOf(std::span<const subset_member> members,
                                  std::size_t ingress) {
  return ChooseSubset(members, "vm-" + std::to_string(ingress),
                      std::to_string(ingress % kZones), {});
}

std::set<std::string> Names(std::span<const subset_member> members,
                            const std::vector<std::size_t>& subset) {
  std::set<std::string> names;
  for (const std::size_t index : subset) names.insert(members[index].id.node);
  return names;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(subset_test)

BOOST_AUTO_TEST_CASE(load_is_spread_over_all_upstreams) {
  const auto members = Members(kUpstreams);
  std::vector<std::vector<std::size_t>> subsets;
  std::vector<int> users(kUpstreams, 0);
  for (std::size_t ingress = 0; ingress < kUpstreams; ++ingress) {
    subsets.push_back(SubsetOf(members, ingress));
    for (const std::size_t upstream : subsets.back()) ++users[upstream];
  }
  BOOST_TEST(std::ranges::min(users) >= 5);
  BOOST_TEST(std::ranges::max(users) <= 40);
  // Every ingress node sends 45 calls, each to the least loaded upstream of its
  // subset.
  std::vector<int> load(kUpstreams, 0);
  for (int call = 0; call < 45; ++call) {
    for (const auto& subset : subsets) {
      ++load[*std::ranges::min_element(
          subset, {}, [&](std::size_t upstream) { return load[upstream]; })];
    }
  }
  BOOST_TEST(std::ranges::max(load) <= 47);
  BOOST_TEST(std::ranges::min(load) >= 40);
}

BOOST_AUTO_TEST_CASE(departed_member_changes_one_member_of_few_subsets) {
  const auto members = Members(kUpstreams);
  auto fewer = members;
  fewer.erase(fewer.begin() + 600);
  // The order and the incarnations of the members must not matter.
  std::ranges::reverse(fewer);
  for (auto& member : fewer) ++member.id.incarnation;
  std::size_t moved = 0;
  for (std::size_t ingress = 0; ingress < kUpstreams; ++ingress) {
    const auto before = Names(members, SubsetOf(members, ingress));
    const auto after = Names(fewer, SubsetOf(fewer, ingress));
    std::vector<std::string> gone;
    std::ranges::set_difference(before, after, std::back_inserter(gone));
    const bool had_departed = before.contains("vm-600");
    BOOST_REQUIRE(gone.size() == (had_departed ? 1U : 0U));
    moved += gone.size();
  }
  BOOST_TEST(moved <= 40U);
}

BOOST_AUTO_TEST_CASE(subset_prefers_own_zone_and_includes_other_zones) {
  const auto members = Members(kUpstreams);
  const auto subset = SubsetOf(members, 1);
  const auto same_zone = std::ranges::count_if(
      subset, [](std::size_t index) { return index % kZones == 1; });
  BOOST_TEST(subset.size() == 20U);
  BOOST_TEST(same_zone == 14);
}

BOOST_AUTO_TEST_CASE(small_service_is_used_completely) {
  BOOST_TEST(SubsetOf(Members(5), 1).size() == 5U);
  BOOST_TEST(ChooseSubset({}, "vm-1", "0", {}).empty());
}

BOOST_AUTO_TEST_CASE(zone_without_upstreams_uses_other_zones) {
  const auto members = Members(kUpstreams);
  BOOST_TEST(ChooseSubset(members, "vm-1", "elsewhere", {}).size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
