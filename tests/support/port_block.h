// Allocation of ports for the processes of one test.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace hornbeam {

// A block of ports on the loopback interface, below the ephemeral port range of
// the system. A lock file keeps the block from other port_blocks on this
// machine until the object is destroyed.
class port_block {
 public:
  // Locks a free block. Returns null when all blocks are taken.
  static std::unique_ptr<port_block> MakePortBlock();
  ~port_block();
  port_block(const port_block&) = delete;
  port_block& operator=(const port_block&) = delete;

  // Returns the next port of the block on which no process listens, or 0 when
  // the block is used up.
  std::uint16_t NextPort();
  // Returns the next port as "127.0.0.1:PORT".
  std::string NextAddress();

 private:
  port_block(int lock, std::uint16_t first);

  int lock_;
  std::uint16_t next_;
  std::uint16_t end_;
};

}  // namespace hornbeam
