// Answers that the load tool and the tests read.
#include "support/caller_pool.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "support/http_call.h"
#include "support/platform_site.h"
#include "support/port_block.h"

namespace hornbeam {

BOOST_AUTO_TEST_SUITE(caller_pool_test)

// Guards against a load test that takes bytes that are no answer for one.
BOOST_AUTO_TEST_CASE(answer_with_an_invalid_status_is_none) {
  const auto ports = port_block::MakePortBlock();
  BOOST_REQUIRE(ports != nullptr);
  const std::string address = ports->NextAddress();
  const platform_upstream node(
      address, [](auto& socket, const std::string& head) {
        // The target is the status.
        const std::string answer = "HTTP/1.1 " + head.substr(5, 3) +
                                   " X\r\nContent-Length: 2\r\n\r\nok";
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(answer), error);
        return !error;
      });
  for (const char* status : {"000", "099", "600", "999"}) {
    const caller_response broken =
        CallOnce(address, {.target = std::string("/") + status});
    BOOST_TEST(broken.status == 0, status);
    BOOST_TEST(broken.body.empty(), status);
    BOOST_TEST(broken.reason.starts_with("caller: "), broken.reason);
  }
  for (const int status : {200, 299, 404, 599}) {
    const caller_response valid =
        CallOnce(address, {.target = "/" + std::to_string(status)});
    BOOST_TEST(valid.status == status);
    BOOST_TEST(valid.body == "ok");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
