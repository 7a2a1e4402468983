// Measures the cost of one unit of each kind of control work: bytes on the
// wire, bytes of memory and CPU time. Prints JSON for tools/capacity.
#include <malloc.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/seeded_random_source.h"
#include "base/system_clock_source.h"
#include "controllers/lease_table.h"
#include "controllers/service_state.h"
#include "ledger/ledger_codec.h"
#include "ledger/operation_ledger.h"
#include "settings/settings_codec.h"
#include "settings/settings_store.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

constexpr std::size_t kNodes = 1300;
constexpr std::size_t kRounds = 200;
constexpr std::size_t kServices = 160;

// Cost of one unit of work: the slope of a linear term in the capacity model.
struct slope {
  std::string_view name;
  double value;
  std::string_view unit;
};

upstream_lease MakeLease(std::size_t number) {
  return {.node = "region-zone-node-" + std::to_string(number),
          .incarnation = number + 1,
          .sequence = 1,
          .peers_address = "10.120.30.40:8081",
          .region = "region-1",
          .availability_zone = "region-1-a",
          .service = "service-" + std::to_string(number % kServices),
          .slots = 20};
}

lease_renewal MakeRenewal(std::size_t number) {
  return {.lease = MakeLease(number), .settings_revision = 100'000};
}

double FrameBytes(const message& content) {
  return static_cast<double>(EncodeFrame(content).size());
}

operation_key MakeOperation() { return {.service = "dossiers", .key = {1, 2}}; }

// Returns the bytes of a claim request and its reply.
double ClaimBytes() {
  const claim_command claim{.operation = MakeOperation(),
                            .target = {"region-zone-node-1", 1},
                            .ingress = "region-zone-node-2"};
  const double request = FrameBytes(store_request{
      .store = store_id::kLedger, .bytes = EncodeLedgerCommand(claim)});
  const double reply = FrameBytes(
      store_reply{.bytes = EncodeLedgerReply(granted_reply{.attempt = 1})});
  return request + reply;
}

// Returns the bytes of a complete request and its reply, for an answer whose
// headers and body take 512 bytes.
double CompleteBytes() {
  complete_command complete{.operation = MakeOperation(), .attempt = 1};
  complete.answer.holder = {"region-zone-node-1", 1};
  complete.answer.body = std::string(512, 'x');
  const double request = FrameBytes(store_request{
      .store = store_id::kLedger, .bytes = EncodeLedgerCommand(complete)});
  const double reply =
      FrameBytes(store_reply{.bytes = EncodeLedgerReply(recorded_reply{})});
  return request + reply;
}

// Returns the bytes that one more lease adds to a lease batch.
double LeaseCopyBytes() {
  lease_batch one;
  one.leases.push_back({.renewal = MakeRenewal(0)});
  lease_batch two = one;
  two.leases.push_back({.renewal = MakeRenewal(0)});
  return FrameBytes(two) - FrameBytes(one);
}

// Returns the bytes that one more member adds to a membership update.
double MembershipEntryBytes() {
  membership_update one{.service = "service-1",
                        .active_leases = {MakeLease(1)}};
  membership_update two = one;
  two.active_leases.push_back(MakeLease(2));
  return FrameBytes(two) - FrameBytes(one);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Returns the mean CPU time of one call of `work` in microseconds.
template <class Work>
double CpuMicroseconds(std::size_t times, Work work) {
  const std::clock_t before = std::clock();
  for (std::size_t i = 0; i < times; ++i) work(i);
  const auto ticks = static_cast<double>(std::clock() - before);
  return ticks * 1e6 / CLOCKS_PER_SEC / static_cast<double>(times);
}

void MeasureLeaseTable(std::vector<slope>& slopes) {
  const system_clock_source clock;
  const double heap_before = HeapBytes();
  lease_table table(std::chrono::seconds(4));
  for (std::size_t i = 0; i < kNodes; ++i) {
    table.Renew(MakeRenewal(i), lease_source::kNode, {}, clock.Now());
  }
  slopes.push_back(
      {"lease_memory", (HeapBytes() - heap_before) / kNodes, "bytes/lease"});
  std::vector<std::string> frames;
  frames.reserve(kNodes);
  for (std::size_t i = 0; i < kNodes; ++i) {
    frames.push_back(EncodeFrame(MakeRenewal(i)));
  }
  const auto renew = [&](std::size_t i) {
    std::size_t used = 0;
    const auto decoded = DecodeFrame(frames[i % kNodes], used);
    table.Renew(std::get<lease_renewal>(*decoded.value()), lease_source::kNode,
                {}, clock.Now());
    EncodeFrame(lease_granted{.sequence = 1, .duration_us = 4'000'000});
  };
  slopes.push_back(
      {"lease_cpu", CpuMicroseconds(kRounds * kNodes, renew), "us/renewal"});
  const auto read = [&](std::size_t i) {
    return table.ChangesSince("service-" + std::to_string(i % kServices), 0);
  };
  slopes.push_back(
      {"watch_cpu", CpuMicroseconds(kRounds * 10, read), "us/service read"});
}

void MeasureKnownTargets(std::vector<slope>& slopes) {
  constexpr std::size_t kMembers = 80;
  const system_clock_source clock;
  seeded_random_source random(1);
  const double before = HeapBytes();
  std::vector<std::unique_ptr<service_state>> states;
  states.reserve(10);
  for (std::size_t i = 0; i < 10; ++i) {
    states.push_back(
        std::make_unique<service_state>("service-1", clock, random));
  }
  const double empty = HeapBytes();
  for (const auto& state : states) {
    membership_update update{.service = "service-1", .complete = true};
    for (std::size_t i = 0; i < kMembers; ++i) {
      update.active_leases.push_back(MakeLease(i));
    }
    state->ApplyMembershipUpdate(update, MakeLease(kNodes));
  }
  slopes.push_back({"service_memory", (empty - before) / 10, "bytes/service"});
  slopes.push_back(
      {"target_memory", (HeapBytes() - empty) / 10 / kMembers, "bytes/target"});
}

// Changes documents of 512 bytes, for all services in turn.
void MeasureSettingsStore(std::vector<slope>& slopes) {
  constexpr std::size_t kChanges = 1000;
  const double before = HeapBytes();
  settings_store store;
  const auto change = [&](std::size_t i) {
    change_command command;
    command.team = "team";
    command.path = "team/services/service-" + std::to_string(i % kServices);
    command.document = std::string(512, 'x');
    command.expected_revision = i;
    command.change_id = {1, i};
    const std::string bytes = EncodeSettingsCommand(command);
    store.Apply({.index = i + 1, .accepted_at = {}, .command = bytes});
  };
  const double cpu = CpuMicroseconds(kChanges, change);
  slopes.push_back({"settings_change_cpu", cpu, "us/change"});
  slopes.push_back({"settings_change_memory", (HeapBytes() - before) / kChanges,
                    "bytes/change"});
}

request_id KeyIssuedAt(std::uint64_t milliseconds, std::uint64_t number) {
  constexpr std::uint64_t kVersion7 = 0x7000;
  constexpr std::uint64_t kVariant = std::uint64_t{2} << 62U;
  return {.high = (milliseconds << 16U) | kVersion7, .low = kVariant | number};
}

// Claims and completes operations with answers of 200 bytes, ten per
// millisecond of ledger time.
void MeasureLedger(std::vector<slope>& slopes) {
  constexpr std::uint64_t kOperations = 100'000;
  constexpr std::uint64_t kStartMs = 1'800'000'000'000;
  const double before = HeapBytes();
  operation_ledger ledger;
  std::uint64_t index = 0;
  std::size_t answered = 0;
  const auto apply = [&](const ledger_command& command, std::uint64_t now_ms) {
    const std::string bytes = EncodeLedgerCommand(command);
    const wall_time_point at{std::chrono::milliseconds(now_ms)};
    return DecodeLedgerReply(
        ledger.Apply({.index = ++index, .accepted_at = at, .command = bytes}));
  };
  const auto run = [&](std::size_t i) {
    const std::uint64_t now_ms = kStartMs + i / 10;
    const operation_key operation{"dossiers", KeyIssuedAt(now_ms, i)};
    claim_command claim{.operation = operation};
    claim.nonce = {1, i};
    claim.target = {"region-zone-node-1", 1};
    claim.ingress = "region-zone-node-2";
    claim.key_window_s = 3600;
    claim.key_skew_ms = 60'000;
    apply(claim, now_ms);
    complete_command complete{.operation = operation, .attempt = 1};
    complete.answer.holder = {"region-zone-node-1", 1};
    complete.answer.body = std::string(200, 'x');
    const auto reply = apply(complete, now_ms);
    if (reply && std::holds_alternative<recorded_reply>(*reply)) ++answered;
  };
  const double cpu = CpuMicroseconds(kOperations, run) / 2;
  if (answered != kOperations) return;
  slopes.push_back({"ledger_apply_cpu", cpu, "us/entry"});
  slopes.push_back({"ledger_record_memory",
                    (HeapBytes() - before) / kOperations,
                    "bytes/answered operation"});
}

std::vector<slope> MeasureBytes() {
  return {
      {"renewal_bytes",
       FrameBytes(MakeRenewal(0)) + FrameBytes(lease_granted{}), "bytes"},
      {"lease_copy_bytes", LeaseCopyBytes(), "bytes"},
      {"membership_entry_bytes", MembershipEntryBytes(), "bytes"},
      {"heartbeat_bytes", FrameBytes(ping{}) + FrameBytes(pong{}), "bytes"},
      {"settings_note_bytes", FrameBytes(settings_update{}), "bytes"},
      {"settings_update_bytes",
       FrameBytes(settings_update{.service = "service-1",
                                  .document = std::string(512, 'x')}),
       "bytes"},
      {"claim_bytes", ClaimBytes(), "bytes"},
      {"complete_bytes", CompleteBytes(), "bytes"},
  };
}

}  // namespace

}  // namespace hornbeam

int main() {
  using namespace hornbeam;  // NOLINT(google-build-using-namespace)
  std::vector<slope> slopes = MeasureBytes();
  MeasureLeaseTable(slopes);
  MeasureKnownTargets(slopes);
  MeasureSettingsStore(slopes);
  MeasureLedger(slopes);
  boost::json::array rows;
  for (const slope& each : slopes) {
    rows.push_back(boost::json::object{
        {"name", each.name}, {"value", each.value}, {"unit", each.unit}});
  }
  std::cout << boost::json::serialize(boost::json::object{{"slopes", rows}})
            << "\n";
  return 0;
}
