// Event log that writes through spdlog on a background thread.
#pragma once

#include <memory>
#include <string>

#include "base/event_log.h"

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}  // namespace spdlog

namespace hornbeam {

// Formats on the caller's thread and writes on the log thread, with a bounded
// queue between them. A full queue drops its oldest lines, so that a slow disk
// never blocks a call.
class spdlog_event_log final : public event_log {
 public:
  // Appends to `path`, or writes to the standard error stream if `path` is
  // empty and to the standard output if it is "-". Returns null if the file
  // cannot be opened.
  static std::unique_ptr<spdlog_event_log> MakeSpdlogEventLog(
      const std::string& path, event_level min_level);
  ~spdlog_event_log() override;

  void Write(event_id id, std::initializer_list<event_field> fields) override;

 private:
  spdlog_event_log(std::shared_ptr<spdlog::details::thread_pool> pool,
                   std::shared_ptr<spdlog::logger> logger,
                   event_level min_level);

  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::logger> logger_;
  event_level min_level_;
};

}  // namespace hornbeam
