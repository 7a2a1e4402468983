// Tests that the ledger grants at most one live attempt of each operation,
// under races and key expiry.
#include "ledger/operation_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "ledger/ledger_codec.h"

namespace hornbeam {

namespace {

constexpr std::int64_t kStartMs = 1'800'000'000'000;
constexpr std::int64_t kWindowSeconds = 3'600;
constexpr std::uint32_t kSkewMs = 30'000;

request_id MakeKey(std::int64_t issued_ms, std::int64_t number = 1) {
  return {(static_cast<std::uint64_t>(issued_ms) << 16U) | 0x7000U,
          0x8000'0000'0000'0000U | static_cast<std::uint64_t>(number)};
}

// A ledger with a simulated clock.
struct ledger_fixture {
  operation_ledger ledger;
  std::int64_t now_ms = kStartMs;
  std::uint64_t index = 0;

  ledger_reply Apply(const ledger_command& command) {
    const std::string bytes = EncodeLedgerCommand(command);
    const committed_entry entry{
        .index = ++index,
        .accepted_at = wall_time_point(std::chrono::milliseconds(now_ms)),
        .command = bytes};
    return *DecodeLedgerReply(ledger.Apply(entry));
  }

  ledger_reply Get(const operation_key& operation) {
    return *DecodeLedgerReply(
        ledger.Query(EncodeLedgerQuery(get_operation_query{operation})));
  }

  claim_command MakeClaim(std::int64_t nonce,
                          request_id key = MakeKey(kStartMs)) const {
    return {.operation = {"compteurs", key},
            .request_digest = {1, 2},
            .nonce = {0, static_cast<std::uint64_t>(nonce)},
            .target = {"node-a", 7},
            .ingress = "node-i",
            .key_window_s = std::uint32_t{kWindowSeconds},
            .key_skew_ms = kSkewMs,
            .received_at_us = now_ms * 1'000};
  }
};

constexpr auto kMakeOperationKey = [] {
  return operation_key{"compteurs", MakeKey(kStartMs)};
};

complete_command MakeComplete(std::uint32_t attempt,
                              request_id key = MakeKey(kStartMs)) {
  return {.operation = {"compteurs", key},
          .attempt = attempt,
          .answer = {.status = 201,
                     .headers = {{"Content-Type", "text/plain"}},
                     .body = "recorded"}};
}

template <class T>
bool Is(const ledger_reply& reply) {
  return std::holds_alternative<T>(reply);
}

bool IsRejection(const ledger_reply& reply, ledger_rejection reason) {
  const auto* rejected = std::get_if<rejected_reply>(&reply);
  return rejected != nullptr && rejected->reason == reason;
}

std::uint32_t GrantedAttempt(const ledger_reply& reply) {
  const auto* granted = std::get_if<granted_reply>(&reply);
  return granted == nullptr ? 0 : granted->attempt;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(operation_ledger_test, ledger_fixture)

BOOST_AUTO_TEST_CASE(repeated_claim_with_same_nonce_is_granted_again) {
  BOOST_TEST(GrantedAttempt(Apply(MakeClaim(1))) == 1U);
  BOOST_TEST(GrantedAttempt(Apply(MakeClaim(1))) == 1U);
  const auto other = Apply(MakeClaim(2));
  BOOST_REQUIRE(Is<in_progress_reply>(other));
  BOOST_TEST(std::get<in_progress_reply>(other).target.incarnation == 7U);
}

BOOST_AUTO_TEST_CASE(attempt_is_advanced_only_once) {
  Apply(MakeClaim(1));
  advance_command advance{.operation = kMakeOperationKey(),
                          .attempt = 1,
                          .nonce = {0, 9},
                          .target = {"node-b", 3}};
  BOOST_TEST(GrantedAttempt(Apply(advance)) == 2U);
  BOOST_TEST(GrantedAttempt(Apply(advance)) == 2U);
  advance.nonce = {0, 10};
  BOOST_TEST(Is<in_progress_reply>(Apply(advance)));
  BOOST_TEST(Is<in_progress_reply>(Apply(MakeClaim(1))));
  BOOST_TEST(Is<in_progress_reply>(
      Apply(abandon_command{.operation = kMakeOperationKey(), .attempt = 1})));
}

BOOST_AUTO_TEST_CASE(answer_is_recorded_and_other_body_is_rejected) {
  Apply(MakeClaim(1));
  BOOST_TEST(Is<recorded_reply>(Apply(MakeComplete(1))));
  const auto again = Apply(MakeClaim(2));
  BOOST_REQUIRE(Is<answered_reply>(again));
  BOOST_TEST(
      (std::get<answered_reply>(again).answer == MakeComplete(1).answer));
  claim_command other = MakeClaim(3);
  other.request_digest = {9, 9};
  BOOST_TEST(IsRejection(Apply(other), ledger_rejection::kBodyMismatch));
  BOOST_TEST(Is<answered_reply>(
      Apply(advance_command{.operation = kMakeOperationKey(), .attempt = 1})));
}

// An older copy of a request may be delayed on its way to the ledger. If it
// were granted a claim after "not run" was reported for a newer copy, the
// operation would run although "not run" was reported to the caller.
BOOST_AUTO_TEST_CASE(freed_operation_grants_only_copies_received_later) {
  Apply(MakeClaim(1));
  const claim_command older = MakeClaim(2);
  now_ms += 10;
  const abandon_command abandon{.operation = kMakeOperationKey(), .attempt = 1};
  BOOST_TEST(Is<free_reply>(Apply(abandon)));
  BOOST_TEST(Is<free_reply>(Apply(older)));
  now_ms += 10;
  const claim_command between = MakeClaim(3);
  now_ms += 10;
  BOOST_TEST(Is<free_reply>(Apply(abandon)));
  BOOST_TEST(Is<free_reply>(Apply(between)));
  now_ms += 10;
  BOOST_TEST(GrantedAttempt(Apply(MakeClaim(4))) == 2U);
}

BOOST_AUTO_TEST_CASE(rejection_before_any_claim_blocks_older_copies) {
  const claim_command older = MakeClaim(1);
  now_ms += 10;
  BOOST_TEST(
      Is<free_reply>(Apply(abandon_command{.operation = kMakeOperationKey()})));
  BOOST_TEST(Is<free_reply>(Apply(older)));
  now_ms += 10;
  BOOST_TEST(GrantedAttempt(Apply(MakeClaim(2))) == 1U);
  BOOST_TEST(Is<in_progress_reply>(
      Apply(abandon_command{.operation = kMakeOperationKey()})));
}

BOOST_AUTO_TEST_CASE(
    unknown_operation_is_not_granted_again_but_can_be_completed) {
  Apply(MakeClaim(1));
  Apply(mark_unknown_command{.operation = kMakeOperationKey(), .attempt = 1});
  BOOST_TEST(Is<unresolved_reply>(Apply(MakeClaim(2))));
  BOOST_TEST(Is<unresolved_reply>(
      Apply(advance_command{.operation = kMakeOperationKey(), .attempt = 1})));
  BOOST_TEST(Is<unresolved_reply>(
      Apply(abandon_command{.operation = kMakeOperationKey(), .attempt = 1})));
  BOOST_TEST(Is<recorded_reply>(Apply(MakeComplete(1))));
  BOOST_TEST(Is<answered_reply>(Get(kMakeOperationKey())));
}

// The ledger drops the record of an expired key. If a claim with a longer key
// window could make the key valid again, the operation would run twice.
BOOST_AUTO_TEST_CASE(expired_key_is_rejected_even_with_longer_window) {
  Apply(MakeClaim(1));
  Apply(MakeComplete(1));
  now_ms += 2 * kWindowSeconds * 1'000;
  BOOST_TEST(GrantedAttempt(Apply(MakeClaim(2, MakeKey(now_ms)))) == 1U);
  BOOST_TEST(IsRejection(Get(kMakeOperationKey()), ledger_rejection::kAbsent));
  claim_command longer_window = MakeClaim(3);
  longer_window.key_window_s = 36'000;
  BOOST_TEST(IsRejection(Apply(longer_window), ledger_rejection::kKeyExpired));
  BOOST_TEST(IsRejection(Apply(MakeClaim(4, MakeKey(now_ms + kSkewMs + 1))),
                         ledger_rejection::kKeyFromFuture));
  BOOST_TEST(IsRejection(Apply(MakeClaim(5, request_id{1, 1})),
                         ledger_rejection::kMalformed));
}

BOOST_AUTO_TEST_CASE(unresolved_operations_are_listed_in_pages_until_resolved) {
  for (std::int64_t number = 0; number < 5; ++number) {
    Apply(MakeClaim(1, MakeKey(kStartMs, number)));
  }
  Apply(MakeComplete(1, MakeKey(kStartMs, 0)));
  Apply(acknowledge_command{.operation = {"compteurs", MakeKey(kStartMs, 1)}});
  now_ms += 2 * kWindowSeconds * 1'000;
  Apply(MakeClaim(1, MakeKey(now_ms)));
  list_unresolved_query query{.limit = 2, .min_age_ms = 1'000};
  auto page = *DecodeUnresolvedPage(ledger.Query(EncodeLedgerQuery(query)));
  BOOST_REQUIRE(page.operations.size() == 2U);
  BOOST_TEST(page.more);
  query.after = page.operations.back().operation;
  page = *DecodeUnresolvedPage(ledger.Query(EncodeLedgerQuery(query)));
  BOOST_REQUIRE(page.operations.size() == 1U);
  BOOST_TEST(!page.more);
  BOOST_TEST((page.operations[0].operation.key == MakeKey(kStartMs, 4)));
}

BOOST_AUTO_TEST_CASE(
    snapshot_restores_all_operations_and_truncated_one_is_rejected) {
  for (std::int64_t number = 0; number < 200; ++number) {
    Apply(MakeClaim(number, MakeKey(kStartMs + 1'000 * number, number)));
    if (number % 2 == 0) {
      Apply(MakeComplete(1, MakeKey(kStartMs + 1'000 * number, number)));
    }
    now_ms += 1'000;
  }
  const std::string snapshot = ledger.TakeSnapshot();
  operation_ledger copy;
  BOOST_TEST(!copy.RestoreSnapshot(
      std::string_view(snapshot).substr(0, snapshot.size() - 1)));
  BOOST_TEST(copy.OperationCount() == 0U);
  BOOST_REQUIRE(copy.RestoreSnapshot(snapshot));
  BOOST_TEST(copy.OperationCount() == 200U);
  operation_ledger again;
  BOOST_REQUIRE(again.RestoreSnapshot(copy.TakeSnapshot()));
  for (std::int64_t number = 0; number < 200; ++number) {
    const std::string query = EncodeLedgerQuery(get_operation_query{
        {"compteurs", MakeKey(kStartMs + 1'000 * number, number)}});
    BOOST_TEST(again.Query(query) == ledger.Query(query));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
