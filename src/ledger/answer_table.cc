#include "ledger/answer_table.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace hornbeam {

namespace {

constexpr std::size_t kUnitBytes = 8;
constexpr std::size_t kChunkBytes = 65'536;
constexpr std::size_t kChunkUnits = kChunkBytes / kUnitBytes;
constexpr std::size_t kInitialSlots = 64;
// The maximum load factor of the index is 3/4.
constexpr std::size_t kMaxLoadNumerator = 3;
constexpr std::size_t kMaxLoadDenominator = 4;

struct entry_header {
  request_id key;
  body_digest request_digest;
  std::uint32_t attempt = 0;
  std::uint32_t answer_size = 0;
};

constexpr std::size_t RoundUp(std::size_t bytes, std::size_t unit) {
  return (bytes + unit - 1) / unit * unit;
}

answered_operation ReadEntry(const char* entry) {
  entry_header header;
  std::memcpy(&header, entry, sizeof(header));
  return {.key = header.key,
          .request_digest = header.request_digest,
          .attempt = header.attempt,
          .answer = {entry + sizeof(header), header.answer_size}};
}

}  // namespace

void answer_table::Add(const answered_operation& operation) {
  if ((count_ + 1) * kMaxLoadDenominator > slots_.size() * kMaxLoadNumerator)
    GrowIndex();
  const std::size_t slot = FindSlot(operation.key);
  assert(slots_[slot] == 0);
  slots_[slot] = Store(operation);
  ++count_;
}

std::optional<answered_operation> answer_table::Find(
    const request_id& key) const {
  if (slots_.empty()) return std::nullopt;
  const position found = slots_[FindSlot(key)];
  if (found == 0) return std::nullopt;
  return ReadEntry(EntryAt(found));
}

void answer_table::ForEach(
    const std::function<void(const answered_operation&)>& visit) const {
  for (const position slot : slots_) {
    if (slot != 0) visit(ReadEntry(EntryAt(slot)));
  }
}

std::size_t answer_table::AllocatedBytes() const {
  return chunks_.size() * kChunkBytes + slots_.capacity() * sizeof(position);
}

const char* answer_table::EntryAt(position slot) const {
  const std::size_t unit = slot - 1;
  return chunks_[unit / kChunkUnits].get() + unit % kChunkUnits * kUnitBytes;
}

// Returns the slot that holds `key`, or the free slot where it has to be
// inserted (linear probing). The number of slots is a power of two.
std::size_t answer_table::FindSlot(const request_id& key) const {
  const std::size_t mask = slots_.size() - 1;
  std::uint64_t hash = std::hash<request_id>()(key);
  hash ^= hash >> 32U;
  std::size_t slot = hash & mask;
  while (slots_[slot] != 0 && ReadEntry(EntryAt(slots_[slot])).key != key) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

// Copies the operation into a chunk and returns its position. An entry that
// does not fit into the rest of the current chunk starts a new one.
answer_table::position answer_table::Store(
    const answered_operation& operation) {
  const std::size_t bytes =
      RoundUp(sizeof(entry_header) + operation.answer.size(), kUnitBytes);
  if (chunk_used_ + bytes > chunk_bytes_) {
    chunk_bytes_ = RoundUp(bytes, kChunkBytes);
    chunk_used_ = 0;
    chunks_.push_back(std::make_unique_for_overwrite<char[]>(chunk_bytes_));
    chunks_.resize(chunks_.size() + chunk_bytes_ / kChunkBytes - 1);
  }
  const std::size_t first_chunk = chunks_.size() - chunk_bytes_ / kChunkBytes;
  char* entry = chunks_[first_chunk].get() + chunk_used_;
  const entry_header header{
      .key = operation.key,
      .request_digest = operation.request_digest,
      .attempt = operation.attempt,
      .answer_size = static_cast<std::uint32_t>(operation.answer.size())};
  std::memcpy(entry, &header, sizeof(header));
  std::ranges::copy(operation.answer, entry + sizeof(header));
  const std::size_t unit = first_chunk * kChunkUnits + chunk_used_ / kUnitBytes;
  chunk_used_ += bytes;
  return static_cast<position>(unit + 1);
}

void answer_table::GrowIndex() {
  const std::vector<position> old_slots = std::move(slots_);
  slots_.assign(std::max(kInitialSlots, old_slots.size() * 2), 0);
  for (const position slot : old_slots) {
    if (slot != 0) slots_[FindSlot(ReadEntry(EntryAt(slot)).key)] = slot;
  }
}

}  // namespace hornbeam
