// Tests of the settings store and the settings gate.
#include "settings/settings_store.h"

#include <boost/test/unit_test.hpp>

#include "settings/service_schema.h"
#include "settings/settings_codec.h"
#include "settings/settings_gate.h"

namespace hornbeam {

namespace {

change_command MakeChange(std::uint64_t expected, std::uint64_t id,
                          std::string document) {
  return change_command{.team = "nappe",
                        .path = "nappe/services/guichet",
                        .document = std::move(document),
                        .expected_revision = expected,
                        .change_id = request_id{0, id}};
}

// A store with helpers that encode commands and decode replies.
struct store_fixture {
  settings_store store;
  std::uint64_t index = 0;

  settings_reply Apply(const change_command& command) {
    const std::string bytes = EncodeSettingsCommand(command);
    return DecodeSettingsReply(
               store.Apply({.index = ++index, .command = bytes}))
        .value();
  }
  document_list Query(const settings_query& query) const {
    return DecodeDocumentList(store.Query(EncodeSettingsQuery(query))).value();
  }
};

settings_reply RejectionReply(const settings_gate& gate,
                              const change_command& command) {
  const auto admitted = gate.Admit(EncodeSettingsCommand(command));
  BOOST_REQUIRE(!admitted.has_value());
  return DecodeSettingsReply(admitted.error().reply).value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_store_test)

BOOST_AUTO_TEST_CASE(second_change_on_same_revision_is_a_conflict) {
  store_fixture fixture;
  fixture.Apply(MakeChange(0, 1, "first"));
  const settings_reply reply = fixture.Apply(MakeChange(0, 2, "second"));
  const auto& conflict = std::get<conflict_reply>(reply);
  BOOST_TEST(conflict.current_revision == 1U);
  BOOST_TEST(conflict.winner.document.value() == "first");
  BOOST_TEST((conflict.winner.change_id == request_id{0, 1}));
}

BOOST_AUTO_TEST_CASE(resend_returns_first_result_and_changes_nothing) {
  store_fixture fixture;
  fixture.Apply(MakeChange(0, 1, "first"));
  fixture.Apply(MakeChange(1, 2, "second"));
  const settings_reply reply = fixture.Apply(MakeChange(0, 1, "first"));
  BOOST_TEST(std::get<accepted_reply>(reply).revision == 1U);
  const document_list list =
      fixture.Query(get_document_query{"nappe/services/guichet"});
  BOOST_TEST(list.documents.at(0).document.value() == "second");
  BOOST_TEST(list.team_revision == 2U);
}

// An accepted_reply to a different change with a used id would report a change
// that was never made.
BOOST_AUTO_TEST_CASE(different_change_with_used_id_is_rejected) {
  store_fixture fixture;
  fixture.Apply(MakeChange(0, 1, "first"));
  BOOST_TEST(std::holds_alternative<invalid_reply>(
      fixture.Apply(MakeChange(1, 1, "second"))));
  change_command deletion = MakeChange(1, 1, "");
  deletion.document.reset();
  BOOST_TEST(std::holds_alternative<invalid_reply>(fixture.Apply(deletion)));
}

BOOST_AUTO_TEST_CASE(future_revision_is_invalid_not_a_conflict) {
  store_fixture fixture;
  BOOST_TEST(std::holds_alternative<invalid_reply>(
      fixture.Apply(MakeChange(7, 1, "first"))));
  change_command deletion = MakeChange(0, 2, "");
  deletion.document.reset();
  BOOST_TEST(std::holds_alternative<invalid_reply>(fixture.Apply(deletion)));
  BOOST_TEST(fixture.store.StoreRevision() == 0U);
}

// The history is limited in number and size. A resend of a dropped change must
// not be applied a second time.
BOOST_AUTO_TEST_CASE(resend_older_than_history_is_not_applied_again) {
  store_fixture fixture;
  const std::string large(64UL * 1024, 'x');
  for (std::uint64_t i = 0; i < 200; ++i) {
    fixture.Apply(MakeChange(i, i + 1, large + std::to_string(i)));
  }
  BOOST_TEST(fixture.Query(history_query{"nappe", 1'000}).documents.size() <
             100U);
  BOOST_TEST(fixture.store.TakeSnapshot().size() < 8UL * 1024 * 1024);
  BOOST_TEST(std::holds_alternative<conflict_reply>(
      fixture.Apply(MakeChange(0, 1, large + "0"))));
  BOOST_TEST(fixture.store.StoreRevision() == 200U);
}

BOOST_AUTO_TEST_CASE(snapshot_restores_documents_and_change_ids) {
  store_fixture fixture;
  for (std::uint64_t i = 0; i < 500; ++i) {
    fixture.Apply(MakeChange(i, i + 1, "change " + std::to_string(i)));
  }
  store_fixture restored;
  BOOST_TEST(restored.store.RestoreSnapshot(fixture.store.TakeSnapshot()));
  BOOST_TEST(restored.store.TakeSnapshot() == fixture.store.TakeSnapshot());
  const settings_reply reply =
      restored.Apply(MakeChange(499, 500, "change 499"));
  BOOST_TEST(std::get<accepted_reply>(reply).revision == 500U);
  BOOST_TEST(!restored.store.RestoreSnapshot("no snapshot"));
  BOOST_TEST(restored.store.StoreRevision() == 500U);
}

BOOST_AUTO_TEST_CASE(service_of_another_team_is_rejected) {
  store_fixture fixture;
  fixture.Apply(MakeChange(0, 1, "first"));
  change_command other = MakeChange(0, 2, "other");
  other.team = "aral";
  other.path = "aral/services/guichet";
  BOOST_TEST(std::holds_alternative<invalid_reply>(fixture.Apply(other)));
}

BOOST_AUTO_TEST_CASE(service_changes_include_deletions) {
  store_fixture fixture;
  fixture.Apply(MakeChange(0, 1, "first"));
  change_command deletion = MakeChange(1, 2, "");
  deletion.document.reset();
  fixture.Apply(deletion);
  const document_list list = fixture.Query(
      service_changes_query{.after_store_revision = 1, .services = {}});
  BOOST_REQUIRE(list.documents.size() == 1U);
  BOOST_TEST(!list.documents[0].document.has_value());
}

BOOST_AUTO_TEST_CASE(gate_removes_tokens_from_commands) {
  const settings_gate gate(std::vector{team_token{"nappe", "secret-nappe"}});
  change_command change = MakeChange(0, 1, "[service]\npicker = random\n");
  BOOST_TEST(std::holds_alternative<not_permitted_reply>(
      RejectionReply(gate, change)));
  change.token = "secret-nappe";
  const auto admitted = gate.Admit(EncodeSettingsCommand(change));
  BOOST_REQUIRE(admitted.has_value());
  BOOST_TEST(admitted.value().find("secret") == std::string::npos);
  change.path = "aral/services/guichet";
  BOOST_TEST(std::holds_alternative<not_permitted_reply>(
      RejectionReply(gate, change)));
}

BOOST_AUTO_TEST_CASE(gate_reports_all_errors_of_a_document) {
  const settings_gate gate(std::vector{team_token{"nappe", "secret-nappe"}});
  change_command change = MakeChange(0, 1,
                                     "[service]\n"
                                     "piker = random\n"
                                     "queue_limit = many\n"
                                     "subset_size = 0\n");
  change.token = "secret-nappe";
  const settings_reply reply = RejectionReply(gate, change);
  const auto& errors = std::get<invalid_reply>(reply).errors;
  BOOST_REQUIRE(errors.size() == 3U);
  BOOST_TEST(errors[0].line == 2U);
  BOOST_TEST(errors[0].accepted == "the nearest known key is picker");
  BOOST_TEST(errors[1].key == "service.queue_limit");
  BOOST_TEST(errors[2].accepted == "1 to 1000");
}

BOOST_AUTO_TEST_CASE(document_with_errors_yields_usable_settings) {
  const checked_service_settings checked = ReadServiceSettings(
      "nappe/services/guichet", "[service]\nqueue_limit = x\ncrest = refuse\n");
  BOOST_TEST(checked.settings.queue_limit == 512U);
  BOOST_TEST((checked.settings.overload == overload_action::kReject));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
