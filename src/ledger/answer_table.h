// Append-only hash table of answered operations with a low overhead per entry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "hornbeam/request_id.h"
#include "ledger/ledger_messages.h"

namespace hornbeam {

// One operation with a recorded answer. `answer` is an encoded recorded_answer.
struct answered_operation {
  request_id key;
  body_digest request_digest;
  std::uint32_t attempt = 0;
  std::string_view answer;
};

// Holds the answered operations of one service whose keys were issued in the
// same time span. They expire together: the ledger drops the whole table, and
// single entries cannot be removed. An entry takes the size of its answer,
// 40 bytes of header and between 5 and 11 bytes of index. Owned by
// operation_ledger; not thread-safe.
class answer_table {
 public:
  // Adds an operation. Its key must not be in the table yet.
  void Add(const answered_operation& operation);
  // Returns the operation with this key, or std::nullopt. The result refers to
  // memory of the table and stays valid for the table's lifetime.
  [[nodiscard]] std::optional<answered_operation> Find(
      const request_id& key) const;
  // Calls `visit` with each operation, in no particular order. The argument
  // refers to memory of the table and stays valid for the table's lifetime.
  void ForEach(
      const std::function<void(const answered_operation&)>& visit) const;

  [[nodiscard]] std::size_t Count() const { return count_; }
  // Returns the bytes allocated for entries and index.
  [[nodiscard]] std::size_t AllocatedBytes() const;

 private:
  // Offset of an entry in units of kUnitBytes, plus 1. 0 marks a free slot.
  using position = std::uint32_t;

  [[nodiscard]] const char* EntryAt(position slot) const;
  [[nodiscard]] std::size_t FindSlot(const request_id& key) const;
  position Store(const answered_operation& operation);
  void GrowIndex();

  // Memory of the entries. An entry larger than a chunk occupies several
  // consecutive elements; the first one owns the memory, the others are null.
  std::vector<std::unique_ptr<char[]>> chunks_;
  // Used bytes and size of the last chunk.
  std::size_t chunk_used_ = 0;
  std::size_t chunk_bytes_ = 0;
  std::vector<position> slots_;  // The index.
  std::size_t count_ = 0;
};

}  // namespace hornbeam
