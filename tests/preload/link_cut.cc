// Preloaded into processes of tests: makes their connections to control VMs
// silent, or resets them, as the test's link_cuts object says.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>

#include "support/link_cut_map.h"

namespace hornbeam {

namespace {

// The test's orders, as this process has to follow them.
class cut_orders {
 public:
  cut_orders() {
    const char* const file = std::getenv(kCutFileVariable);
    const char* const self = std::getenv(kCutSelfVariable);
    const char* const port = std::getenv(kCutPortVariable);
    const char* const hole = std::getenv(kCutHolePortVariable);
    if (file == nullptr || self == nullptr || port == nullptr ||
        hole == nullptr)
      return;
    const int descriptor = ::open(file, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) std::abort();
    void* const map =
        ::mmap(nullptr, kCutMapBytes, PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    if (map == MAP_FAILED) std::abort();
    map_ = static_cast<const volatile std::uint8_t*>(map);
    self_ = std::atoi(self);
    port_ = static_cast<std::uint16_t>(std::atoi(port));
    hole_port_ = static_cast<std::uint16_t>(std::atoi(hole));
  }

  // Returns what becomes of connections to `address`: a combination of
  // link_cut_bits, 0 if they work.
  [[nodiscard]] unsigned Of(const sockaddr* address) const {
    if (map_ == nullptr || address->sa_family != AF_INET) return 0;
    sockaddr_in peer{};
    std::memcpy(&peer, address, sizeof(peer));
    if (ntohs(peer.sin_port) != port_) return 0;
    const auto other = ControlIndex(ntohl(peer.sin_addr.s_addr));
    if (other < 0 || other == self_) return 0;
    const unsigned to = map_[other];
    if (self_ < 0) return (to & kCutNodes) != 0 ? to : 0;
    const unsigned from = map_[self_];
    unsigned cut = 0;
    if ((to & kCutLinksTo) != 0) cut |= to;
    if ((from & kCutLinksFrom) != 0) cut |= from;
    return cut;
  }

  [[nodiscard]] unsigned Of(int socket) const {
    if (map_ == nullptr) return 0;
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    auto* const address = reinterpret_cast<sockaddr*>(&peer);
    if (::getpeername(socket, address, &size) != 0) return 0;
    return Of(address);
  }

  // An address at which nothing answers.
  [[nodiscard]] sockaddr_in Hole() const {
    sockaddr_in hole{};
    hole.sin_family = AF_INET;
    hole.sin_port = htons(hole_port_);
    hole.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return hole;
  }

 private:
  const volatile std::uint8_t* map_ = nullptr;
  int self_ = kCutNode;
  std::uint16_t port_ = 0;
  std::uint16_t hole_port_ = 0;
};

const cut_orders& Orders() {
  static const cut_orders kOrders;
  return kOrders;
}

template <class Function>
Function* Next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// Returns 0 if the socket works, or sets errno and returns -1.
int CheckLink(int socket) {
  const unsigned cut = Orders().Of(socket);
  if (cut == 0) return 0;
  errno = (cut & kCutResets) != 0 ? ECONNRESET : EAGAIN;
  return -1;
}

}  // namespace

}  // namespace hornbeam

extern "C" {

int connect(int socket, const sockaddr* address, socklen_t size) {
  static auto* const kNext = hornbeam::Next<decltype(connect)>("connect");
  const unsigned cut = hornbeam::Orders().Of(address);
  if (cut == 0) return kNext(socket, address, size);
  if ((cut & hornbeam::kCutResets) != 0) {
    errno = ECONNREFUSED;
    return -1;
  }
  const sockaddr_in hole = hornbeam::Orders().Hole();
  return kNext(socket, reinterpret_cast<const sockaddr*>(&hole), sizeof(hole));
}

ssize_t recv(int socket, void* bytes, size_t size, int flags) {
  static auto* const kNext = hornbeam::Next<decltype(recv)>("recv");
  if (hornbeam::CheckLink(socket) != 0) return -1;
  return kNext(socket, bytes, size, flags);
}

ssize_t recvmsg(int socket, msghdr* content, int flags) {
  static auto* const kNext = hornbeam::Next<decltype(recvmsg)>("recvmsg");
  if (hornbeam::CheckLink(socket) != 0) return -1;
  return kNext(socket, content, flags);
}

ssize_t send(int socket, const void* bytes, size_t size, int flags) {
  static auto* const kNext = hornbeam::Next<decltype(send)>("send");
  if (hornbeam::CheckLink(socket) != 0) return -1;
  return kNext(socket, bytes, size, flags);
}

ssize_t sendmsg(int socket, const msghdr* content, int flags) {
  static auto* const kNext = hornbeam::Next<decltype(sendmsg)>("sendmsg");
  if (hornbeam::CheckLink(socket) != 0) return -1;
  return kNext(socket, content, flags);
}

}  // extern "C"
