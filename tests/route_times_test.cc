// Tests of the service time estimates of an upstream's routes.
#include "policy/route_times.h"

#include <boost/test/unit_test.hpp>

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(route_times_test)

BOOST_AUTO_TEST_CASE(slowdown_does_not_raise_later_estimates) {
  route_times times;
  times.Record("lookup", milliseconds(1000), 5);
  BOOST_TEST((times.Expected("lookup", 1, duration(0)) == milliseconds(200)));
  BOOST_TEST((times.Expected("lookup", 2, duration(0)) == milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(unmeasured_route_is_estimated_from_objective) {
  const route_times times;
  BOOST_TEST(
      (times.Expected("lookup", 3, milliseconds(400)) == milliseconds(100)));
  BOOST_TEST((times.Expected("lookup", 3, milliseconds(-5)) == duration(0)));
  BOOST_TEST(times.MeanUs() == 0);
}

BOOST_AUTO_TEST_CASE(calls_much_shorter_than_another_route_are_expedited) {
  route_times times;
  times.Record("history", milliseconds(500), 1);
  times.Record("check", milliseconds(60), 1);
  BOOST_TEST(times.IsExpedited(milliseconds(60)));
  BOOST_TEST(!times.IsExpedited(milliseconds(260)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
