#include "replication/storage_frame.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/byte_archive.h"

namespace hornbeam {

std::string EncodeStorageFrame(const storage_frame& frame) {
  return EncodeBytes(frame);
}

std::optional<storage_frame> DecodeStorageFrame(std::string_view payload) {
  auto decoded = DecodeBytes<storage_frame>(payload);
  if (!decoded) return std::nullopt;
  return std::move(decoded).value();
}

std::string EncodeIncarnation(std::uint64_t incarnation) {
  return EncodeBytes(incarnation);
}

std::optional<std::uint64_t> DecodeIncarnation(std::string_view payload) {
  const auto decoded = DecodeBytes<std::uint64_t>(payload);
  if (!decoded) return std::nullopt;
  return decoded.value();
}

void ApplyStorageFrame(storage_frame frame, recovered_state& recovered) {
  if (frame.state) recovered.state = std::move(*frame.state);
  std::vector<log_entry>& entries = recovered.entries;
  if (frame.reset_index) entries.clear();
  if (frame.entries.empty()) return;
  const auto replaced = std::ranges::lower_bound(
      entries, frame.entries.front().index, {}, &log_entry::index);
  entries.erase(replaced, entries.end());
  std::ranges::move(frame.entries, std::back_inserter(entries));
}

bool ConflictsWithSnapshot(const recovered_state& recovered) {
  if (!recovered.snapshot) return false;
  const log_snapshot& snapshot = *recovered.snapshot;
  const auto end = std::ranges::lower_bound(recovered.entries, snapshot.index,
                                            {}, &log_entry::index);
  return end != recovered.entries.end() && end->index == snapshot.index &&
         end->term != snapshot.term;
}

bool RemoveSnapshottedEntries(recovered_state& recovered) {
  std::vector<log_entry>& entries = recovered.entries;
  if (ConflictsWithSnapshot(recovered)) entries.clear();
  const std::uint64_t end = recovered.snapshot ? recovered.snapshot->index : 0;
  const auto first_after =
      std::ranges::upper_bound(entries, end, {}, &log_entry::index);
  entries.erase(entries.begin(), first_after);
  std::uint64_t expected = end + 1;
  return std::ranges::all_of(entries, [&](const log_entry& entry) {
    return entry.index == expected++;
  });
}

}  // namespace hornbeam
