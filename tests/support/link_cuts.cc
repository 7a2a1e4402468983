#include "support/link_cuts.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <stdexcept>

namespace hornbeam {

namespace {

constexpr int kFileMode = 0644;

std::filesystem::path CutLibrary() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
         "libhornbeam_link_cut.so";
}

}  // namespace

link_cuts::link_cuts(const std::filesystem::path& file,
                     std::uint16_t peers_port)
    : file_(file),
      peers_port_(peers_port),
      hole_(gone_vm::kind::kUnreachable, "127.0.0.1", 0) {
  const int descriptor =
      ::open(file.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  const bool has_size =
      descriptor >= 0 && ::ftruncate(descriptor, kCutMapBytes) == 0;
  void* const map = has_size
                        ? ::mmap(nullptr, kCutMapBytes, PROT_READ | PROT_WRITE,
                                 MAP_SHARED, descriptor, 0)
                        : MAP_FAILED;
  if (descriptor >= 0) ::close(descriptor);
  if (map == MAP_FAILED || !std::filesystem::exists(CutLibrary()))
    throw std::runtime_error("no map or no library for cuts");
  map_ = static_cast<volatile std::uint8_t*>(map);
}

link_cuts::~link_cuts() {
  ::munmap(const_cast<std::uint8_t*>(map_), kCutMapBytes);
}

void link_cuts::Cut(std::size_t control, unsigned bits) {
  map_[control] = static_cast<std::uint8_t>(bits);
}

std::vector<std::string> link_cuts::Environment(int self) const {
  return {
      "LD_PRELOAD=" + CutLibrary().string(),
      std::string(kCutFileVariable) + "=" + file_.string(),
      std::string(kCutSelfVariable) + "=" + std::to_string(self),
      std::string(kCutPortVariable) + "=" + std::to_string(peers_port_),
      std::string(kCutHolePortVariable) + "=" + std::to_string(hole_.Port())};
}

}  // namespace hornbeam
