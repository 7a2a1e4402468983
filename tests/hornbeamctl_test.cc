// Tests of hornbeamctl against a mock of the control VMs: output, exit codes
// and suggested next steps.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "base/seeded_random_source.h"
#include "base/store_client.h"
#include "ctl/ctl_command_line.h"
#include "ctl/ctl_main.h"
#include "ctl/name_list_key.h"
#include "ctl/status_source.h"
#include "ledger/ledger_codec.h"
#include "settings/settings_codec.h"
#include "support/fake_clock_source.h"

namespace hornbeam {

namespace {

// Mock of the control VMs: returns the replies that the test sets and records
// the requests.
class mock_control final : public store_client, public status_source {
 public:
  using reply = result<std::string, store_error>;

  reply Propose(store_id /*store*/, std::string_view command,
                time_point /*deadline*/) override {
    proposed.emplace_back(command);
    const std::size_t turn = std::min(proposed.size(), replies.size()) - 1;
    return replies.at(turn);
  }

  reply Query(store_id /*store*/, std::string_view query,
              time_point /*deadline*/) override {
    queried.emplace_back(query);
    return query_reply;
  }

  result<status_reply, store_error> Status(time_point /*deadline*/) override {
    return status;
  }

  std::vector<reply> replies;
  reply query_reply = EncodeDocumentList({.team_revision = 7});
  result<status_reply, store_error> status = status_reply{};
  std::vector<std::string> proposed;
  std::vector<std::string> queried;
};

class mock_session final : public ctl_session {
 public:
  mock_session(mock_control& control, std::istream& input,
               const ctl_connection& connection)
      : context_{control,   control,
                 clock_,    random_,
                 input,     [this](duration step) { clock_.Advance(step); },
                 connection} {}

  ctl_context& Context() override { return context_; }

 private:
  fake_clock_source clock_;
  seeded_random_source random_{1};
  ctl_context context_;
};

// Result of one run of the tool.
struct tool_run {
  exit_code code = exit_code::kOk;
  std::string output;
  std::string diagnostics;
};

struct ctl_fixture {
  mock_control control;
  std::map<std::string, std::string, std::less<>> variables = {
      {"HORNBEAMCTL_TEAM", "nappe"}, {"HORNBEAMCTL_TOKEN", "token"}};
  std::string input = "[service]\n";

  tool_run Run(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "hornbeamctl");
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const auto lookup =
        [this](std::string_view name) -> std::optional<std::string> {
      const auto found = variables.find(name);
      if (found == variables.end()) return std::nullopt;
      return found->second;
    };
    const auto make = [&](const ctl_connection& connection) {
      return std::make_unique<mock_session>(control, in, connection);
    };
    const exit_code code =
        RunCtl(arguments, lookup, make, {.output = out, .diagnostics = err});
    return {.code = code, .output = out.str(), .diagnostics = err.str()};
  }
};

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

mock_control::reply Accepted() {
  return EncodeSettingsReply(
      accepted_reply{.revision = 8, .store_revision = 30});
}

status_reply OneNode(std::uint64_t revision) {
  status_reply status;
  status.nodes.push_back({.lease = {.node = "sfax-a-1", .service = "guichet"},
                          .settings_revision = revision});
  return status;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(hornbeamctl_test)

// Guards against a concurrent change of the team that is overwritten: the
// change must expect the revision that was read.
BOOST_AUTO_TEST_CASE(settings_set_expects_the_current_revision) {
  ctl_fixture ctl;
  ctl.control.replies = {Accepted()};
  ctl.control.status = OneNode(30);
  const tool_run run =
      ctl.Run({"settings", "set", "nappe/services/guichet", "-"});
  BOOST_TEST((run.code == exit_code::kOk));
  BOOST_TEST(Contains(run.output, "accepted as revision 8, in force on every"));
  const auto sent = DecodeSettingsCommand(ctl.control.proposed.at(0));
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(sent->expected_revision == 7U);
  BOOST_TEST(sent->team == "nappe");
  BOOST_TEST(sent->token == "token");
  BOOST_TEST(sent->document.value() == "[service]\n");
}

BOOST_AUTO_TEST_CASE(node_behind_the_accepted_revision_is_listed) {
  ctl_fixture ctl;
  ctl.control.replies = {Accepted()};
  ctl.control.status = OneNode(29);
  const tool_run run =
      ctl.Run({"settings", "delete", "nappe/services/guichet"});
  BOOST_TEST((run.code == exit_code::kNotYetInForce));
  BOOST_TEST(Contains(run.output, "sfax-a-1"));
  BOOST_TEST(Contains(run.diagnostics, "next: check again"));
}

BOOST_AUTO_TEST_CASE(conflict_reports_the_winning_change) {
  ctl_fixture ctl;
  conflict_reply lost{.current_revision = 9};
  lost.winner.path = "nappe/services/dossiers";
  lost.winner.revision = 9;
  ctl.control.replies = {EncodeSettingsReply(lost)};
  const tool_run run = ctl.Run(
      {"settings", "set", "nappe/services/guichet", "-", "--revision", "8"});
  BOOST_TEST((run.code == exit_code::kConflict));
  BOOST_TEST(
      Contains(run.diagnostics, "nappe/services/dossiers at revision 9"));
  BOOST_TEST(Contains(run.diagnostics, "--revision 9"));
}

// A change whose reply is lost may have been accepted. Only the same change id
// keeps the repetition from being applied as a second change.
BOOST_AUTO_TEST_CASE(change_without_reply_is_resent_with_same_change_id) {
  ctl_fixture ctl;
  ctl.control.replies = {store_error::kTimeout, Accepted()};
  ctl.control.status = OneNode(30);
  BOOST_TEST(
      (ctl.Run({"settings", "set", "nappe/x", "-"}).code == exit_code::kOk));
  BOOST_TEST(ctl.control.proposed.at(0) == ctl.control.proposed.at(1));

  ctl.control.proposed.clear();
  ctl.control.replies = {store_error::kTimeout};
  const tool_run run = ctl.Run({"settings", "set", "nappe/x", "-"});
  BOOST_TEST((run.code == exit_code::kUnknown));
  const auto sent = DecodeSettingsCommand(ctl.control.proposed.at(0));
  BOOST_TEST(Contains(
      run.diagnostics,
      "--change-id " + sent.value().change_id.ToString() + " --revision 7"));
}

BOOST_AUTO_TEST_CASE(each_failure_has_its_exit_code) {
  ctl_fixture ctl;
  const auto code_for = [&ctl](const mock_control::reply& reply) {
    ctl.control.replies = {reply};
    return ctl.Run({"settings", "set", "nappe/x", "-"}).code;
  };
  BOOST_TEST((code_for(EncodeSettingsReply(not_permitted_reply{"no"})) ==
              exit_code::kNotPermitted));
  BOOST_TEST((code_for(EncodeSettingsReply(invalid_reply{})) ==
              exit_code::kInvalidInput));
  BOOST_TEST((code_for(store_error::kNoQuorum) == exit_code::kUnreachable));
  BOOST_TEST((code_for(store_error::kRejected) == exit_code::kInvalidInput));
  BOOST_TEST((code_for(std::string("?")) == exit_code::kUnknown));
  ctl.control.query_reply = store_error::kUnreachable;
  BOOST_TEST(
      (ctl.Run({"settings", "get", "x"}).code == exit_code::kUnreachable));
}

BOOST_AUTO_TEST_CASE(json_output_includes_failures) {
  ctl_fixture ctl;
  ctl.control.query_reply = store_error::kNoQuorum;
  const tool_run run =
      ctl.Run({"settings", "get", "nappe/x", "--output", "json"});
  BOOST_TEST(run.diagnostics == "");
  BOOST_TEST(Contains(run.output, "\"code\":3"));
  BOOST_TEST(Contains(run.output, "\"next_step\":\"restore a majority"));
}

BOOST_AUTO_TEST_CASE(unresolved_operations_are_listed_and_acknowledged) {
  ctl_fixture ctl;
  unresolved_page page{.more = false};
  page.operations.push_back({.operation = {"dossiers", {1, 2}},
                             .attempt = 1,
                             .target = {"sfax-a-1", 5},
                             .reason = unknown_reason::kNodeRestarted});
  ctl.control.query_reply = EncodeUnresolvedPage(page);
  const tool_run run = ctl.Run({"operations", "--unresolved"});
  BOOST_TEST((run.code == exit_code::kOk));
  BOOST_TEST(Contains(run.output, "00000000000000010000000000000002"));
  BOOST_TEST(Contains(run.output, "1 unresolved operation(s)"));

  ctl.control.replies = {EncodeLedgerReply(recorded_reply{})};
  BOOST_TEST((ctl.Run({"operations", "--acknowledge",
                       "dossiers/00000000-0000-0001-0000-000000000002"})
                  .code == exit_code::kOk));
}

BOOST_AUTO_TEST_CASE(drain_changes_only_the_list_of_drained_nodes) {
  ctl_fixture ctl;
  ctl.control.replies = {Accepted()};
  ctl.control.status = OneNode(30);
  document_list list{.team_revision = 7};
  list.documents.push_back({.path = "nappe/services/guichet",
                            .document = "[service]\ncrest = wait\n"});
  ctl.control.query_reply = EncodeDocumentList(list);
  BOOST_TEST((ctl.Run({"drain", "sfax-a-1"}).code == exit_code::kOk));
  const auto sent = DecodeSettingsCommand(ctl.control.proposed.at(0));
  BOOST_TEST(sent.value().document.value() ==
             "[service]\ndrained_nodes = sfax-a-1\ncrest = wait\n");
  BOOST_TEST(sent.value().expected_revision == 7U);
  BOOST_TEST((ctl.Run({"drain", "nobody"}).code == exit_code::kInvalidInput));
}

BOOST_AUTO_TEST_CASE(settings_check_works_without_control_vm) {
  ctl_fixture ctl;
  ctl.control.query_reply = store_error::kUnreachable;
  ctl.input = "[service]\ncrest = wait\n";
  const std::vector<const char*> check = {"settings", "check",
                                          "nappe/services/guichet", "-"};
  BOOST_TEST((ctl.Run(check).code == exit_code::kOk));
  ctl.input = "[service]\nqueue_limt = 3\ncrest = maybe\n";
  const tool_run run = ctl.Run(check);
  BOOST_TEST((run.code == exit_code::kInvalidInput));
  BOOST_TEST(Contains(run.output, "queue_limit"));
  BOOST_TEST(Contains(run.output, "crest"));
}

BOOST_AUTO_TEST_CASE(name_list_edits_keep_all_other_lines) {
  const name_list_key list_key{"service", "drained_nodes"};
  const std::string text = "; note\n[service]\ndrained_nodes = a, b\nx = 1\n";
  const std::string without_a = RemoveNameFromList(text, list_key, "a");
  BOOST_TEST(without_a == "; note\n[service]\ndrained_nodes = b\nx = 1\n");
  BOOST_TEST(RemoveNameFromList(without_a, list_key, "b") ==
             "; note\n[service]\nx = 1\n");
  BOOST_TEST(AddNameToList(text, list_key, "a") == text);
}

BOOST_AUTO_TEST_CASE(flags_override_environment_and_file) {
  const auto control_of = [](const connection_options& flags,
                             const connection_options& variables,
                             const connection_options& file) {
    return ResolveConnection(flags, variables, file).value().control.at(0).port;
  };
  const connection_options one{.control = "127.0.0.1:1"};
  const connection_options two{.control = "127.0.0.1:2"};
  const connection_options three{.control = "127.0.0.1:3"};
  BOOST_TEST(control_of(one, two, three) == 1);
  BOOST_TEST(control_of({}, two, three) == 2);
  BOOST_TEST(control_of({}, {}, three) == 3);
  BOOST_TEST(control_of({}, {}, {}) == 7001);
  BOOST_TEST(!ResolveConnection({.control = "host:1"}, {}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(invalid_command_line_returns_usage_exit_code) {
  ctl_fixture ctl;
  BOOST_TEST((ctl.Run({}).code == exit_code::kUsage));
  BOOST_TEST((ctl.Run({"settings", "get"}).code == exit_code::kUsage));
  BOOST_TEST((ctl.Run({"status", "--limit", "3"}).code == exit_code::kUsage));
  BOOST_TEST(Contains(ctl.Run({"statsu"}).diagnostics, "'status'?"));
  BOOST_TEST((ctl.Run({"--help"}).code == exit_code::kOk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
