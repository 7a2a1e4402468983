#include "base/spdlog_event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstddef>
#include <utility>

namespace hornbeam {

namespace {

constexpr std::size_t kQueueCapacityLines = 8192;
constexpr std::size_t kLogThreads = 1;
constexpr auto kFlushInterval = std::chrono::seconds(1);
constexpr const char* kLoggerName = "events";

spdlog::level::level_enum ToSpdlogLevel(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return spdlog::level::debug;
    case event_level::kInfo:
      return spdlog::level::info;
    case event_level::kWarning:
      return spdlog::level::warn;
    case event_level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

spdlog::sink_ptr MakeSink(const std::string& path) {
  if (path.empty()) return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  if (path == "-") return std::make_shared<spdlog::sinks::stdout_sink_mt>();
  return std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
}

}  // namespace

std::unique_ptr<spdlog_event_log> spdlog_event_log::MakeSpdlogEventLog(
    const std::string& path, event_level min_level) {
  try {
    auto pool = std::make_shared<spdlog::details::thread_pool>(
        kQueueCapacityLines, kLogThreads);
    auto logger = std::make_shared<spdlog::async_logger>(
        kLoggerName, MakeSink(path), pool,
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %l %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(ToSpdlogLevel(min_level));
    logger->flush_on(spdlog::level::warn);
    spdlog::drop(kLoggerName);
    spdlog::register_logger(logger);
    spdlog::flush_every(kFlushInterval);
    return std::unique_ptr<spdlog_event_log>(
        new spdlog_event_log(std::move(pool), std::move(logger), min_level));
  } catch (const spdlog::spdlog_ex&) {
    return nullptr;
  }
}

spdlog_event_log::spdlog_event_log(
    std::shared_ptr<spdlog::details::thread_pool> pool,
    std::shared_ptr<spdlog::logger> logger, event_level min_level)
    : pool_(std::move(pool)),
      logger_(std::move(logger)),
      min_level_(min_level) {}

spdlog_event_log::~spdlog_event_log() {
  logger_->flush();
  spdlog::shutdown();
}

void spdlog_event_log::Write(event_id id,
                             std::initializer_list<event_field> fields) {
  const event_level level = EventInfo(id).level;
  if (level < min_level_) return;
  logger_->log(ToSpdlogLevel(level), FormatEvent(id, fields));
}

}  // namespace hornbeam
