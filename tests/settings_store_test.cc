// The settings store and the gate before it.
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

// A store with the helper calls of the tests.
struct driven_store {
  settings_store store;
  std::uint64_t index = 0;

  settings_reply Apply(const change_command& command) {
    const std::string bytes = EncodeSettingsCommand(command);
    return DecodeSettingsReply(
               store.Apply({.index = ++index, .command = bytes}))
        .value();
  }
  document_list Ask(const settings_query& query) const {
    return DecodeDocumentList(store.Query(EncodeSettingsQuery(query))).value();
  }
};

settings_reply ReplyOfGate(const settings_gate& gate,
                           const change_command& command) {
  const auto admitted = gate.Admit(EncodeSettingsCommand(command));
  BOOST_REQUIRE(!admitted.has_value());
  return DecodeSettingsReply(admitted.error().reply).value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_store_test)

BOOST_AUTO_TEST_CASE(of_two_changes_with_equal_numbers_one_wins) {
  driven_store driven;
  driven.Apply(MakeChange(0, 1, "first"));
  const settings_reply reply = driven.Apply(MakeChange(0, 2, "second"));
  const auto& lost = std::get<lost_race_reply>(reply);
  BOOST_TEST(lost.current_revision == 1U);
  BOOST_TEST(lost.winner.document.value() == "first");
  BOOST_TEST((lost.winner.change_id == request_id{0, 1}));
}

BOOST_AUTO_TEST_CASE(a_resend_gets_the_first_result_and_changes_nothing) {
  driven_store driven;
  driven.Apply(MakeChange(0, 1, "first"));
  driven.Apply(MakeChange(1, 2, "second"));
  const settings_reply reply = driven.Apply(MakeChange(0, 1, "first"));
  BOOST_TEST(std::get<accepted_reply>(reply).revision == 1U);
  const document_list list =
      driven.Ask(get_document_query{"nappe/services/guichet"});
  BOOST_TEST(list.documents.at(0).document.value() == "second");
  BOOST_TEST(list.team_revision == 2U);
}

BOOST_AUTO_TEST_CASE(a_used_change_id_accepts_no_other_change) {
  driven_store driven;
  driven.Apply(MakeChange(0, 1, "first"));
  BOOST_TEST(std::holds_alternative<invalid_reply>(
      driven.Apply(MakeChange(1, 1, "second"))));
  change_command deletion = MakeChange(1, 1, "");
  deletion.document.reset();
  BOOST_TEST(std::holds_alternative<invalid_reply>(driven.Apply(deletion)));
}

BOOST_AUTO_TEST_CASE(a_revision_that_is_not_reached_yet_is_no_lost_race) {
  driven_store driven;
  BOOST_TEST(std::holds_alternative<invalid_reply>(
      driven.Apply(MakeChange(7, 1, "first"))));
  change_command deletion = MakeChange(0, 2, "");
  deletion.document.reset();
  BOOST_TEST(std::holds_alternative<invalid_reply>(driven.Apply(deletion)));
  BOOST_TEST(driven.store.StoreRevision() == 0U);
}

BOOST_AUTO_TEST_CASE(a_resend_older_than_the_history_changes_nothing) {
  driven_store driven;
  const std::string large(64UL * 1024, 'x');
  for (std::uint64_t i = 0; i < 200; ++i) {
    driven.Apply(MakeChange(i, i + 1, large + std::to_string(i)));
  }
  BOOST_TEST(driven.Ask(history_query{"nappe", 1'000}).documents.size() < 100U);
  BOOST_TEST(driven.store.TakeSnapshot().size() < 8UL * 1024 * 1024);
  BOOST_TEST(std::holds_alternative<lost_race_reply>(
      driven.Apply(MakeChange(0, 1, large + "0"))));
  BOOST_TEST(driven.store.StoreRevision() == 200U);
}

BOOST_AUTO_TEST_CASE(a_snapshot_restores_documents_and_change_ids) {
  driven_store driven;
  for (std::uint64_t i = 0; i < 500; ++i) {
    driven.Apply(MakeChange(i, i + 1, "change " + std::to_string(i)));
  }
  driven_store restored;
  BOOST_TEST(restored.store.RestoreSnapshot(driven.store.TakeSnapshot()));
  BOOST_TEST(restored.store.TakeSnapshot() == driven.store.TakeSnapshot());
  const settings_reply reply =
      restored.Apply(MakeChange(499, 500, "change 499"));
  BOOST_TEST(std::get<accepted_reply>(reply).revision == 500U);
  BOOST_TEST(!restored.store.RestoreSnapshot("no snapshot"));
  BOOST_TEST(restored.store.StoreRevision() == 500U);
}

BOOST_AUTO_TEST_CASE(a_service_belongs_to_one_team) {
  driven_store driven;
  driven.Apply(MakeChange(0, 1, "first"));
  change_command other = MakeChange(0, 2, "other");
  other.team = "aral";
  other.path = "aral/services/guichet";
  BOOST_TEST(std::holds_alternative<invalid_reply>(driven.Apply(other)));
}

BOOST_AUTO_TEST_CASE(deletions_are_told_to_nodes) {
  driven_store driven;
  driven.Apply(MakeChange(0, 1, "first"));
  change_command deletion = MakeChange(1, 2, "");
  deletion.document.reset();
  driven.Apply(deletion);
  const document_list list = driven.Ask(
      service_changes_query{.after_store_revision = 1, .services = {}});
  BOOST_REQUIRE(list.documents.size() == 1U);
  BOOST_TEST(!list.documents[0].document.has_value());
}

BOOST_AUTO_TEST_CASE(the_gate_keeps_tokens_out_of_the_log) {
  const settings_gate gate(std::vector{team_token{"nappe", "secret-nappe"}});
  change_command change = MakeChange(0, 1, "[service]\npicker = random\n");
  BOOST_TEST(
      std::holds_alternative<not_permitted_reply>(ReplyOfGate(gate, change)));
  change.token = "secret-nappe";
  const auto admitted = gate.Admit(EncodeSettingsCommand(change));
  BOOST_REQUIRE(admitted.has_value());
  BOOST_TEST(admitted.value().find("secret") == std::string::npos);
  change.path = "aral/services/guichet";
  BOOST_TEST(
      std::holds_alternative<not_permitted_reply>(ReplyOfGate(gate, change)));
}

BOOST_AUTO_TEST_CASE(the_gate_tells_every_fault_at_once) {
  const settings_gate gate(std::vector{team_token{"nappe", "secret-nappe"}});
  change_command change = MakeChange(0, 1,
                                     "[service]\n"
                                     "piker = random\n"
                                     "queue_limit = many\n"
                                     "subset_size = 0\n");
  change.token = "secret-nappe";
  const settings_reply reply = ReplyOfGate(gate, change);
  const auto& faults = std::get<invalid_reply>(reply).faults;
  BOOST_REQUIRE(faults.size() == 3U);
  BOOST_TEST(faults[0].line == 2U);
  BOOST_TEST(faults[0].accepted == "the nearest known key is picker");
  BOOST_TEST(faults[1].key == "service.queue_limit");
  BOOST_TEST(faults[2].accepted == "1 to 1000");
}

BOOST_AUTO_TEST_CASE(a_faulty_document_still_gives_usable_settings) {
  const checked_service_settings checked = ReadServiceSettings(
      "nappe/services/guichet", "[service]\nqueue_limit = x\ncrest = refuse\n");
  BOOST_TEST(checked.settings.queue_limit == 512U);
  BOOST_TEST((checked.settings.overload == crest_choice::kRefuse));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
