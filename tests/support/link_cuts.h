// Cuts between the control VMs of a test, and between them and nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "support/gone_vm.h"
#include "support/link_cut_map.h"

namespace hornbeam {

// Owned by the test. Acts on processes that have been started with
// Environment(). Thread-safe.
class link_cuts {
 public:
  // `file` is created; `peers_port` is where control VMs listen.
  link_cuts(const std::filesystem::path& file, std::uint16_t peers_port);
  ~link_cuts();
  link_cuts(const link_cuts&) = delete;
  link_cuts& operator=(const link_cuts&) = delete;

  // Cuts links of a control VM: `bits` are link_cut_bits.
  void Cut(std::size_t control, unsigned bits);
  void Heal(std::size_t control) { Cut(control, 0); }

  // Returns the environment of a control VM, or of nodes if `self` is kCutNode.
  [[nodiscard]] std::vector<std::string> Environment(int self) const;

 private:
  const std::filesystem::path file_;
  const std::uint16_t peers_port_;
  const gone_vm hole_;
  volatile std::uint8_t* map_ = nullptr;
};

}  // namespace hornbeam
