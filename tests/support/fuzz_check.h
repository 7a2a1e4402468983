// Helpers of the fuzz targets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace hornbeam {

// Returns the input of a run as text.
inline std::string_view FuzzText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Aborts the program unless `holds`; the fuzzer reports that as a finding.
inline void FuzzCheck(bool holds) {
  if (!holds) std::abort();
}

// Checks that a decoded value encodes to the same bytes. Every value must have
// exactly one encoding so that replicas never differ in it.
template <class Decode, class Encode>
void FuzzCodec(std::string_view bytes, Decode decode, Encode encode) {
  const auto value = decode(bytes);
  if (value) FuzzCheck(encode(*value) == bytes);
}

}  // namespace hornbeam
