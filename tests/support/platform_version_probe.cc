#include "support/platform_version_probe.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>

#include "support/platform_connection.h"

namespace hornbeam {

namespace {

constexpr std::chrono::milliseconds kAnswerLimit{1000};
constexpr int kNotFound = 404;

}  // namespace

std::string version_record::Prefix(int version) {
  return fmt::format("/version-{}/", version);
}

std::string version_record::Table(int version, int base, std::size_t services) {
  std::string routes;
  for (int each = std::max(1, version - kKeptVersions + 1); each <= version;
       ++each) {
    routes += fmt::format(
        R"("version-{}":{{"host":"version.example","pathPrefix":"{}",)"
        R"("kind":"unsafe","service":"s0","maxAttempts":1,)"
        R"("timeoutS":0.3,"aimS":0.2,"priority":1}},)",
        each, Prefix(each));
  }
  std::string members;
  for (std::size_t i = 0; i < services; ++i) {
    const char* const comma = i == 0 ? "" : ",";
    routes +=
        fmt::format(R"({}"r{}":{{"host":"s{}.example","pathPrefix":"/job/",)"
                    R"("kind":"unsafe","service":"s{}","maxAttempts":2,)"
                    R"("timeoutS":1.5,"aimS":0.5,"priority":0}})",
                    comma, i, i, i);
    members += fmt::format(
        R"({}"s{}":{{"healthPath":"/health","maxConnections":220}})", comma, i);
  }
  return fmt::format(
      R"({{"version":"r{}","baseVersion":"r{}","routes":{{{}}},)"
      R"("services":{{{}}},"limits":{{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":20}}}})",
      version, base, routes, members);
}

void version_record::Acknowledge(int version) {
  const std::scoped_lock lock(mutex_);
  acknowledged_.try_emplace(version, clock::now());
}

int version_record::AcknowledgedAt(clock::time_point time) const {
  const std::scoped_lock lock(mutex_);
  int newest = 0;
  for (const auto& [version, at] : acknowledged_)
    if (at <= time) newest = version;
  return newest;
}

version_record::clock::time_point version_record::TimeOf(int version) const {
  const std::scoped_lock lock(mutex_);
  return acknowledged_.at(version);
}

bool LacksVersion(const std::string& callers, int version) {
  static std::atomic<int> last_probe = 0;
  platform_connection caller(callers);
  caller.SetTimeLimit(kAnswerLimit);
  const platform_answer answer = caller.Call(
      "POST", version_record::Prefix(version) + "x",
      fmt::format("Host: version.example\r\nX-Request-Id: version-{}\r\n"
                  "X-Deadline-Ms: 60\r\n",
                  ++last_probe));
  return answer.status == kNotFound;
}

}  // namespace hornbeam
