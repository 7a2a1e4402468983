// Limit on the bodies that are being received at one time, in total.
//
// Fault: a peer sends a body without an end, or many peers send large ones at
// once. Each is within the limit on one body, all together exceed the memory of
// the process.
#pragma once

#include <cstddef>

namespace hornbeam {

// Shared by the messages that one client or server receives. When their bodies
// exceed the limit, those above an equal share of it fail, so that small
// messages are received whatever the others send. For the I/O thread only.
class body_memory {
 public:
  // `limit` in bytes.
  explicit body_memory(std::size_t limit) : limit_(limit) {}
  body_memory(const body_memory&) = delete;
  body_memory& operator=(const body_memory&) = delete;

  // The body of one message while it is being received.
  class claim {
   public:
    explicit claim(body_memory& memory) : memory_(memory) {
      ++memory_.messages_;
    }
    claim(const claim&) = delete;
    claim& operator=(const claim&) = delete;
    ~claim() {
      --memory_.messages_;
      memory_.bytes_ -= bytes_;
    }

    // Records that the body has `bytes` bytes now. Returns false when it has to
    // be given up.
    [[nodiscard]] bool Grow(std::size_t bytes) {
      memory_.bytes_ += bytes - bytes_;
      bytes_ = bytes;
      return memory_.bytes_ <= memory_.limit_ ||
             bytes_ <= memory_.limit_ / memory_.messages_;
    }

   private:
    body_memory& memory_;
    std::size_t bytes_ = 0;
  };

 private:
  const std::size_t limit_;
  std::size_t messages_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace hornbeam
