#include "support/run_record.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <utility>

namespace hornbeam {

namespace {

struct event_name {
  run_event event;
  std::string_view name;
};

constexpr std::array kEventNames = {
    event_name{run_event::kReceived, "received"},
    event_name{run_event::kFinished, "finished"},
    event_name{run_event::kCallerGone, "caller_gone"},
    event_name{run_event::kCancelled, "cancelled"},
    event_name{run_event::kShed, "shed"},
};

constexpr int kFileMode = 0644;

std::optional<run_entry> ParseLine(const std::string& line) {
  std::istringstream fields(line);
  run_entry entry;
  std::string name;
  std::int64_t wall_us = 0;
  fields >> name >> entry.request_id >> entry.key >> entry.method >>
      entry.target >> wall_us;
  if (!fields) return std::nullopt;
  const auto* known = std::ranges::find(kEventNames, name, &event_name::name);
  if (known == kEventNames.end()) return std::nullopt;
  entry.event = known->event;
  entry.wall_time = std::chrono::microseconds(wall_us);
  return entry;
}

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::unique_ptr<run_record> run_record::MakeRunRecord(const std::string& path) {
  const int descriptor = ::open(
      path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return nullptr;
  return std::unique_ptr<run_record>(new run_record(descriptor));
}

run_record::~run_record() { ::close(descriptor_); }

bool run_record::Append(run_entry entry) {
  if (entry.request_id.empty()) entry.request_id = "-";
  if (entry.key.empty()) entry.key = "-";
  const std::string line = fmt::format(
      "{} {} {} {} {} {}\n", RunEventName(entry.event), entry.request_id,
      entry.key, entry.method, entry.target, WallMicroseconds());
  const ssize_t written = ::write(descriptor_, line.data(), line.size());
  return written == std::ssize(line);
}

void run_record::Sync() { ::fdatasync(descriptor_); }

std::string_view RunEventName(run_event event) {
  return std::ranges::find(kEventNames, event, &event_name::event)->name;
}

std::vector<run_entry> ReadRunRecord(const std::string& path) {
  std::ifstream file(path);
  std::vector<run_entry> entries;
  for (std::string line; std::getline(file, line);) {
    if (auto entry = ParseLine(line)) entries.push_back(std::move(*entry));
  }
  return entries;
}

std::size_t CountRuns(const std::vector<run_entry>& entries, run_event event,
                      std::string_view key) {
  return static_cast<std::size_t>(
      std::ranges::count_if(entries, [&](const run_entry& entry) {
        return entry.event == event && entry.key == key;
      }));
}

}  // namespace hornbeam
