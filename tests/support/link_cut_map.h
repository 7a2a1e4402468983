// What a test and the library that it preloads into processes share.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hornbeam {

// The map has one byte for each control VM, a combination of these bits.
enum link_cut_bits : std::uint8_t {
  kCutLinksTo = 1,    // Links that other control VMs opened to it.
  kCutLinksFrom = 2,  // Links that it opened to other control VMs.
  kCutNodes = 4,      // Links that nodes opened to it.
  kCutResets = 8,     // The links are reset; otherwise they are silent.
};

inline constexpr std::size_t kCutMapBytes = 4096;
inline constexpr int kCutNode = -1;  // Own index in processes of nodes.

inline constexpr const char* kCutFileVariable = "HORNBEAM_CUT_FILE";
inline constexpr const char* kCutSelfVariable = "HORNBEAM_CUT_SELF";
inline constexpr const char* kCutPortVariable = "HORNBEAM_CUT_PORT";
inline constexpr const char* kCutHolePortVariable = "HORNBEAM_CUT_HOLE_PORT";

// Control VM i listens on the loopback address 127.1.(i / 200).(1 + i % 200).
inline constexpr std::uint32_t kHostsPerNetwork = 200;
inline constexpr std::uint32_t kControlNetwork = 1;

// Returns the index of the control VM at an IPv4 address; -1 for others.
constexpr int ControlIndex(std::uint32_t address) {
  const std::uint32_t host = address & 255U;
  if (address >> 16U != (127U << 8U | kControlNetwork) || host == 0) return -1;
  return static_cast<int>((address >> 8U & 255U) * kHostsPerNetwork + host - 1);
}

}  // namespace hornbeam
