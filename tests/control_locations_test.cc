// Tests of the list of control VMs and their availability zones.
#include "controllers/control_locations.h"

#include <boost/test/unit_test.hpp>

namespace hornbeam {

BOOST_AUTO_TEST_SUITE(control_locations_test)

BOOST_AUTO_TEST_CASE(list_changes_only_with_members_and_zones) {
  control_locations locations;
  BOOST_TEST(!locations.SetZone("10.1.0.1:7000", "a"));
  BOOST_TEST(locations.SetMembers({"10.2.0.1:7000", "10.1.0.1:7000"}));
  BOOST_TEST(!locations.SetMembers(
      {"10.1.0.1:7000", "10.2.0.1:7000", "10.1.0.1:7000"}));
  BOOST_TEST(locations.SetZone("10.2.0.1:7000", "b"));
  BOOST_TEST(!locations.SetZone("10.2.0.1:7000", "b"));
  const std::vector<control_location> expected = {
      {.address = "10.1.0.1:7000", .availability_zone = "a"},
      {.address = "10.2.0.1:7000", .availability_zone = "b"}};
  BOOST_TEST((locations.List().locations == expected));
}

// An empty list means that the members are not known, not that there are none.
BOOST_AUTO_TEST_CASE(empty_member_list_is_ignored) {
  control_locations locations;
  locations.SetMembers({"10.1.0.1:7000"});
  BOOST_TEST(!locations.SetMembers({}));
  BOOST_TEST(locations.Members().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
