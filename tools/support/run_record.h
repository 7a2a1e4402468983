// Durable record of the calls that a stand-in upstream ran.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

// Events of a call at the upstream.
enum class run_event : std::uint8_t {
  kReceived,    // The call acquired a slot and started to run.
  kFinished,    // The run completed.
  kCallerGone,  // The upstream learned that the caller no longer waits.
  kCancelled,   // The run was aborted before it completed.
  kShed,        // The call was rejected without running.
};

// One line of the record.
struct run_entry {
  run_event event = run_event::kReceived;
  std::string request_id;
  std::string key;  // Idempotency key; "-" when the call had none.
  std::string method;
  std::string target;
  std::chrono::microseconds wall_time{0};  // Since the Unix epoch.
};

// Appends entries to a file. An appended entry survives the process; after Sync
// it also survives a crash of the machine. Owned by the stand-in server.
class run_record {
 public:
  // Returns null when the file cannot be opened.
  static std::unique_ptr<run_record> MakeRunRecord(const std::string& path);
  ~run_record();
  run_record(const run_record&) = delete;
  run_record& operator=(const run_record&) = delete;

  // Appends `entry` with the current wall-clock time. Returns false when the
  // write fails.
  bool Append(run_entry entry);
  // Blocks until every entry appended before is on the disk. May be called from
  // another thread than Append.
  void Sync();

 private:
  explicit run_record(int descriptor) : descriptor_(descriptor) {}

  int descriptor_;
};

// Returns the name of an event in the file.
std::string_view RunEventName(run_event event);

// Returns every complete entry of the file at `path`; empty when there is no
// such file.
std::vector<run_entry> ReadRunRecord(const std::string& path);

// Counts the entries with the event `event` and the key `key`.
std::size_t CountRuns(const std::vector<run_entry>& entries, run_event event,
                      std::string_view key);

}  // namespace hornbeam
