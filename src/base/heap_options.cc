#include "base/heap_options.h"

#include <malloc.h>

namespace hornbeam {

namespace {

// Blocks from this size on are mapped individually.
constexpr int kLargeBlockBytes = 1 << 20;
// Free memory at the end of the heap that is not returned to the system.
constexpr int kHeapReserveBytes = 2 * kLargeBlockBytes;

}  // namespace

void ReturnLargeBlocksToSystem() {
  // Both calls fail only for values out of range.
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kHeapReserveBytes);
}

}  // namespace hornbeam
