// Measures the operation ledger's state machine: commands applied per second,
// bytes per record in memory and in a snapshot, and the time per record to take
// and to restore a snapshot.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "base/seeded_random_source.h"
#include "ledger/answer_record.h"
#include "ledger/ledger_codec.h"
#include "ledger/operation_ledger.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kSeed = 4;
constexpr std::int64_t kStartMs = 1'800'000'000'000;
// Target load of one ledger group.
constexpr std::int64_t kRecordsPerSecond = 1'700;
constexpr std::int64_t kMsPerSecond = 1'000;
constexpr double kNanosecondsPerSecond = 1e9;

class stopwatch {
 public:
  [[nodiscard]] double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start_)
        .count();
  }

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

// Applies the claim and complete commands of new operations to a ledger, as the
// replicated log would.
class ledger_load {
 public:
  ledger_load(operation_ledger& ledger, std::size_t answer_bytes)
      : ledger_(ledger), answer_bytes_(answer_bytes) {}

  void AddOperation() {
    const std::int64_t now_ms =
        kStartMs + count_ * kMsPerSecond / kRecordsPerSecond;
    ++count_;
    const request_id key{(static_cast<std::uint64_t>(now_ms) << 16U) | 0x7000U,
                         0x8000'0000'0000'0000U | (random_.Next() >> 2U)};
    const operation_key operation{"compteurs", key};
    Apply(now_ms, claim_command{.operation = operation,
                                .request_digest = {random_.Next(), 1},
                                .nonce = request_id::MakeRandom(random_),
                                .target = {"sfax-a-1", 7},
                                .ingress = "gabes-c-3",
                                .key_window_s = 3'600,
                                .key_skew_ms = 30'000});
    const operation_answer answer{
        .status = 201, .headers = {}, .body = std::string(answer_bytes_, 'x')};
    Apply(now_ms,
          complete_command{.operation = operation,
                           .attempt = 1,
                           .answer = MakeRecordedAnswer(answer, {"sfax-a-1", 7},
                                                        answer_bytes_)});
  }

 private:
  void Apply(std::int64_t now_ms, const ledger_command& command) {
    const std::string bytes = EncodeLedgerCommand(command);
    ledger_.Apply(
        {.index = ++index_,
         .accepted_at = wall_time_point(std::chrono::milliseconds(now_ms)),
         .command = bytes});
  }

  operation_ledger& ledger_;
  const std::size_t answer_bytes_;
  seeded_random_source random_{kSeed};
  std::int64_t count_ = 0;
  std::uint64_t index_ = 0;
};

void Measure(std::size_t records, std::size_t answer_bytes) {
  operation_ledger ledger;
  ledger_load load(ledger, answer_bytes);
  const stopwatch apply_watch;
  for (std::size_t i = 0; i < records; ++i) load.AddOperation();
  const double apply_s = apply_watch.Seconds();
  const stopwatch snapshot_watch;
  const std::string snapshot = ledger.TakeSnapshot();
  const double snapshot_s = snapshot_watch.Seconds();
  operation_ledger restored;
  const stopwatch restore_watch;
  const bool restored_successfully = restored.RestoreSnapshot(snapshot);
  const double restore_s = restore_watch.Seconds();
  const auto count = static_cast<double>(records);
  std::cout << fmt::format(
      "records {} answer_bytes {}: commands/s {:.0f}, table bytes/record "
      "{:.1f}, snapshot bytes/record {:.1f}, snapshot ns/record {:.0f}, "
      "restore ns/record {:.0f}, whole {}\n",
      records, answer_bytes, 2 * count / apply_s,
      static_cast<double>(ledger.AnswerBytes()) / count,
      static_cast<double>(snapshot.size()) / count,
      snapshot_s * kNanosecondsPerSecond / count,
      restore_s * kNanosecondsPerSecond / count, restored_successfully);
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::size_t records = 0;
  po::options_description options(
      "Measures the operation ledger's state machine");
  options.add_options()("help", "prints this text")(
      "records", po::value(&records)->default_value(200'000),
      "largest number of records");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  for (const std::size_t answer_bytes : {0U, 200U, 1'000U}) {
    hornbeam::Measure(records / 4, answer_bytes);
    hornbeam::Measure(records, answer_bytes);
  }
  return 0;
}
