// Tests of fibers, timers and Asio operations on one thread.
#include "io/io_loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "base/system_clock_source.h"
#include "io/fiber_group.h"
#include "io/fiber_signal.h"
#include "io/fiber_token.h"

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;

constexpr auto kDefaultWaitLimit = std::chrono::seconds(30);

// Runs `body` on the main fiber of a separate thread with its own loop.
template <class Body>
void RunOnLoop(Body body) {
  std::thread thread([&body] {
    io_loop loop;
    body(loop);
  });
  thread.join();
}

time_point Limit() { return system_clock_source().Now() + kDefaultWaitLimit; }

}  // namespace

BOOST_AUTO_TEST_SUITE(io_loop_test)

BOOST_AUTO_TEST_CASE(fibers_exchange_bytes_over_socket) {
  std::string received(4, '\0');
  RunOnLoop([&received](io_loop& loop) {
    tcp::acceptor acceptor(loop.context(),
                           {boost::asio::ip::address_v4::loopback(), 0});
    fiber_group fibers;
    fibers.Start([&] {
      boost::system::error_code error;
      tcp::socket socket(loop.context());
      acceptor.async_accept(socket, FiberWait(error));
      boost::asio::async_write(socket, boost::asio::buffer("ping", 4),
                               FiberWait(error));
    });
    fibers.Start([&] {
      boost::system::error_code error;
      tcp::socket socket(loop.context());
      socket.async_connect(acceptor.local_endpoint(), FiberWait(error));
      boost::asio::async_read(socket, boost::asio::buffer(received),
                              FiberWait(error));
    });
    fibers.WaitEmpty(Limit());
  });
  BOOST_TEST(received == "ping");
}

BOOST_AUTO_TEST_CASE(posted_task_wakes_waiting_fiber) {
  bool signalled = false;
  RunOnLoop([&signalled](io_loop& loop) {
    fiber_signal<int> signal;
    std::thread other([&] { loop.Post([&signal] { signal.Set(1); }); });
    signalled = signal.WaitUntil(Limit()) != nullptr;
    other.join();
  });
  BOOST_TEST(signalled);
}

BOOST_AUTO_TEST_CASE(wait_times_out_at_its_deadline) {
  bool signalled = true;
  RunOnLoop([&signalled](io_loop&) {
    fiber_signal<int> signal;
    signalled = signal.WaitUntil(system_clock_source().Now() +
                                 std::chrono::milliseconds(5)) != nullptr;
  });
  BOOST_TEST(!signalled);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
