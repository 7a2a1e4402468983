// The list of control VMs with their availability zones.
#include "controllers/control_places.h"

#include <boost/test/unit_test.hpp>

namespace hornbeam {

BOOST_AUTO_TEST_SUITE(control_places_test)

BOOST_AUTO_TEST_CASE(the_list_changes_with_members_and_zones_only) {
  control_places places;
  BOOST_TEST(!places.SetZone("10.1.0.1:7000", "a"));
  BOOST_TEST(places.SetMembers({"10.2.0.1:7000", "10.1.0.1:7000"}));
  BOOST_TEST(
      !places.SetMembers({"10.1.0.1:7000", "10.2.0.1:7000", "10.1.0.1:7000"}));
  BOOST_TEST(places.SetZone("10.2.0.1:7000", "b"));
  BOOST_TEST(!places.SetZone("10.2.0.1:7000", "b"));
  const std::vector<control_place> expected = {
      {.address = "10.1.0.1:7000", .availability_zone = "a"},
      {.address = "10.2.0.1:7000", .availability_zone = "b"}};
  BOOST_TEST((places.List().places == expected));
}

// An empty list means that the members are not known, not that there are none.
BOOST_AUTO_TEST_CASE(no_members_are_no_change) {
  control_places places;
  places.SetMembers({"10.1.0.1:7000"});
  BOOST_TEST(!places.SetMembers({}));
  BOOST_TEST(places.Members().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
