#include "support/port_block.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

namespace hornbeam {

namespace {

constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kBlockSize = 200;
constexpr std::uint16_t kBlockCount = 100;
constexpr int kFileMode = 0666;

// Returns whether a socket can be bound to `port` on loopback.
bool IsFree(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return false;
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
  ::close(descriptor);
  return bound;
}

}  // namespace

std::unique_ptr<port_block> port_block::MakePortBlock() {
  const auto directory = std::filesystem::temp_directory_path();
  for (std::uint16_t block = 0; block < kBlockCount; ++block) {
    const std::string path =
        (directory / fmt::format("hornbeam-ports-{}.lock", block)).string();
    const int lock =
        ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    if (lock < 0) continue;
    if (::flock(lock, LOCK_EX | LOCK_NB) == 0) {
      const auto first =
          static_cast<std::uint16_t>(kFirstPort + block * kBlockSize);
      return std::unique_ptr<port_block>(new port_block(lock, first));
    }
    ::close(lock);
  }
  return nullptr;
}

port_block::port_block(int lock, std::uint16_t first)
    : lock_(lock),
      next_(first),
      end_(static_cast<std::uint16_t>(first + kBlockSize)) {}

port_block::~port_block() { ::close(lock_); }

std::uint16_t port_block::NextPort() {
  while (next_ < end_) {
    const std::uint16_t port = next_++;
    if (IsFree(port)) return port;
  }
  return 0;
}

std::string port_block::NextAddress() {
  return fmt::format("127.0.0.1:{}", NextPort());
}

}  // namespace hornbeam
