#include "replication/replica_log.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

namespace hornbeam {

namespace {

constexpr std::uint64_t kEntries = 100;
constexpr std::size_t kCommandBytes = 1000;

replica_log MakeLog() {
  replica_log log;
  for (std::uint64_t index = 1; index <= kEntries; ++index) {
    log.Append({.index = index,
                .term = 1,
                .kind = entry_kind::kCommand,
                .command = std::string(kCommandBytes, 'c')});
  }
  return log;
}

std::shared_ptr<const log_snapshot> MakeSnapshot(std::uint64_t index) {
  return std::make_shared<const log_snapshot>(
      log_snapshot{.index = index, .term = 1});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_log_test)

BOOST_AUTO_TEST_CASE(compaction_retains_entries_up_to_the_limit) {
  replica_log log = MakeLog();
  log.Compact(MakeSnapshot(90), {.entries = 5, .bytes = 100 * kCommandBytes});
  BOOST_TEST(log.BaseIndex() == 85U);
  BOOST_TEST(log.LastIndex() == kEntries);
}

// Guards against a log that keeps thousands of entries whatever their size.
BOOST_AUTO_TEST_CASE(compaction_retains_bytes_up_to_the_limit) {
  replica_log log = MakeLog();
  log.Compact(MakeSnapshot(90), {.entries = 50, .bytes = 3 * kCommandBytes});
  BOOST_TEST(log.BaseIndex() == 87U);
  log.Compact(MakeSnapshot(95), {.entries = 50, .bytes = kCommandBytes - 1});
  BOOST_TEST(log.BaseIndex() == 95U);
  BOOST_TEST(log.LastIndex() == kEntries);
}

BOOST_AUTO_TEST_CASE(compaction_never_restores_removed_entries) {
  replica_log log = MakeLog();
  log.Compact(MakeSnapshot(90), {.entries = 0, .bytes = 0});
  log.Compact(MakeSnapshot(91), {.entries = 50, .bytes = 50 * kCommandBytes});
  BOOST_TEST(log.BaseIndex() == 90U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
