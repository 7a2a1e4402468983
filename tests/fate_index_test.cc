#include "wire/fate_index.h"

#include <boost/test/unit_test.hpp>

namespace hornbeam {

namespace {

constexpr request_id kFirst{1, 1};
constexpr request_id kSecond{1, 2};

time_point At(int seconds) { return time_point(std::chrono::seconds(seconds)); }

}  // namespace

BOOST_AUTO_TEST_SUITE(fate_index_test)

BOOST_AUTO_TEST_CASE(fate_is_known_until_its_time_has_passed) {
  fate_index fates;
  fates.Add(kFirst, At(10));
  fates.Add(kSecond, At(5));
  fates.RemoveExpired(At(4));
  BOOST_TEST(fates.Size() == 2U);
  fates.RemoveExpired(At(5));
  BOOST_TEST(fates.Contains(kFirst));
  BOOST_TEST(!fates.Contains(kSecond));
  fates.RemoveExpired(At(10));
  BOOST_TEST(fates.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(erased_fate_does_not_expire_again) {
  fate_index fates;
  fates.Add(kFirst, At(5));
  fates.Erase(kFirst);
  fates.Add(kFirst, At(10));
  fates.RemoveExpired(At(7));
  BOOST_TEST(fates.Contains(kFirst));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
