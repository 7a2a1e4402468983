// Tests of silent_relay, which the tests of silent connections rely on.
#include "support/silent_relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "support/endpoint_text.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kDelay{100};

// A relay, and the listener that it forwards connections to.
struct relayed_fixture {
  relayed_fixture()
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        relay(silent_relay::MakeSilentRelay(
            "127.0.0.1:0", FormatEndpoint(acceptor.local_endpoint()))) {}

  void Connect(tcp::socket& caller, tcp::socket& target) {
    caller.connect(*ParseEndpoint(relay->Address()));
    acceptor.accept(target);
  }

  static std::string Read(tcp::socket& from, std::size_t size) {
    std::string text(size, ' ');
    asio::read(from, asio::buffer(text));
    return text;
  }

  asio::io_context io;
  tcp::acceptor acceptor;
  std::unique_ptr<silent_relay> relay;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(silent_relay_test, relayed_fixture)

BOOST_AUTO_TEST_CASE(silenced_connections_stay_open_and_new_ones_work) {
  tcp::socket old_caller(io);
  tcp::socket old_target(io);
  Connect(old_caller, old_target);
  asio::write(old_caller, asio::buffer(std::string("before")));
  BOOST_TEST(Read(old_target, 6) == "before");

  relay->SilenceOpenConnections();
  asio::write(old_caller, asio::buffer(std::string("lost")));
  tcp::socket caller(io);
  tcp::socket target(io);
  Connect(caller, target);
  asio::write(target, asio::buffer(std::string("answer")));
  BOOST_TEST(Read(caller, 6) == "answer");

  old_target.non_blocking(true);
  char byte = 0;
  boost::system::error_code error;
  old_target.read_some(asio::buffer(&byte, 1), error);
  BOOST_TEST((error == asio::error::would_block));
}

BOOST_AUTO_TEST_CASE(first_bytes_select_the_delay) {
  relay->SetDelayRule([](std::string_view first) {
    return first == "far" ? kDelay : std::chrono::milliseconds(0);
  });
  tcp::socket caller(io);
  tcp::socket target(io);
  Connect(caller, target);
  const auto start = std::chrono::steady_clock::now();
  asio::write(caller, asio::buffer(std::string("far")));
  BOOST_TEST(Read(target, 3) == "far");
  BOOST_TEST((std::chrono::steady_clock::now() - start >= kDelay));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
