// Text format of events and the event catalogue.
#include "base/event_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "base/event_catalogue.h"

namespace hornbeam {

BOOST_AUTO_TEST_SUITE(event_log_test)

BOOST_AUTO_TEST_CASE(event_text_names_fields_and_quotes_special_characters) {
  const std::string line =
      FormatEvent(event_id::kCallRouted, {{"service", "guichet"},
                                          {"reason", "no \"room\""},
                                          {"attempt", 2U},
                                          {"idempotent", true}});
  BOOST_TEST(line ==
             "event=1001 name=call_routed service=guichet reason=\"no "
             "\\\"room\\\"\" attempt=2 "
             "idempotent=true");
}

BOOST_AUTO_TEST_CASE(event_numbers_are_sorted_and_unique) {
  const auto is_out_of_order = [](const event_info& a, const event_info& b) {
    return a.id >= b.id;
  };
  BOOST_TEST((std::ranges::adjacent_find(EventCatalogue(), is_out_of_order) ==
              EventCatalogue().end()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
