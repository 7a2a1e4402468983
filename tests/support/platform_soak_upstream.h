// An upstream of the soak: one incarnation after the other at one address.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/seeded_random_source.h"
#include "support/platform_site.h"

namespace hornbeam {

// What upstreams ran and what broke the rules, of all threads of a soak.
class soak_record {
 public:
  using clock = std::chrono::steady_clock;

  // Records that the request runs; `garbled` if its answer is spoiled.
  void Run(const std::string& id, bool garbled);
  void Fail(std::string what);

  [[nodiscard]] int Runs(const std::string& id) const;
  [[nodiscard]] bool IsGarbled(const std::string& id) const;
  [[nodiscard]] std::vector<std::string> Failures() const;
  [[nodiscard]] std::size_t TotalRuns() const;

 private:
  struct run {
    int count = 0;
    bool garbled = false;
  };
  mutable std::mutex mutex_;
  std::map<std::string, run> runs_;
  std::vector<std::string> failures_;
};

// Reports to its node, leaves in every form that the platform allows, is
// replaced, and repeats earlier reports late. Fails the record if a request
// reaches it later than allowed after its leave was confirmed.
class soak_upstream {
 public:
  soak_upstream(soak_record& record, std::string address,
                std::string announcements, std::string service,
                std::uint64_t seed);
  ~soak_upstream();
  soak_upstream(const soak_upstream&) = delete;
  soak_upstream& operator=(const soak_upstream&) = delete;

  // Leaves now; another incarnation follows after `gone`.
  void Exchange(std::chrono::milliseconds gone);
  // Repeats an earlier report.
  void RepeatReport();

 private:
  struct incarnation {
    std::string instance;
    std::int64_t started = 0;
    int sequence = 0;
    bool leaving = false;
    std::optional<soak_record::clock::time_point> confirmed_at;
  };

  bool Serve(boost::asio::ip::tcp::socket& socket, const std::string& head);
  bool ServeHealthCheck(boost::asio::ip::tcp::socket& socket);
  void ReportLoop();
  // Sends a report and returns whether it was confirmed.
  bool Report();
  bool Deregister(bool names_start);
  int Send(const std::string& target, const std::string& body) const;
  [[nodiscard]] std::uint64_t Random(std::uint64_t bound);

  soak_record& record_;
  const std::string address_;
  const std::string announcements_;
  const std::string service_;
  std::mutex mutex_;  // Guards the members up to the threads.
  seeded_random_source random_;
  incarnation current_;
  std::vector<std::pair<std::string, std::string>> reports_;  // Target, body.
  std::atomic<bool> stopped_ = false;
  std::thread reporter_;
  platform_upstream server_;
};

}  // namespace hornbeam
