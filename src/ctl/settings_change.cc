#include "ctl/settings_change.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

#include "ctl/settings_client.h"
#include "ctl/wait_until_in_force.h"

namespace hornbeam {

namespace {

constexpr std::chrono::seconds kDefaultWait(15);

std::optional<std::string> ReadAll(std::istream& stream) {
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) return std::nullopt;
  return std::move(text).str();
}

// Returns the revision that the change expects: the one of --revision, or else
// the current one.
result<std::uint64_t, command_report> ExpectedRevision(
    settings_client& client, const std::string& path,
    const ctl_arguments& arguments) {
  if (arguments.revision) return *arguments.revision;
  const auto current = client.Query(revision_query{client.TeamOf(path)});
  if (!current) return current.error();
  return current.value().team_revision;
}

}  // namespace

command_report ChangeDocument(ctl_context& context, const std::string& path,
                              std::optional<std::string> document,
                              const ctl_arguments& arguments) {
  settings_client client(context);
  const auto expected = ExpectedRevision(client, path, arguments);
  if (!expected) return expected.error();
  change_command change;
  change.path = path;
  change.document = std::move(document);
  change.expected_revision = expected.value();
  change.change_id =
      arguments.change_id.value_or(request_id::MakeRandom(context.random));
  const auto accepted = client.Change(std::move(change));
  if (!accepted) return accepted.error();
  return WaitUntilInForce(context, accepted.value(),
                          arguments.wait.value_or(kDefaultWait));
}

std::optional<std::string> ReadDocument(ctl_context& context,
                                        const std::string& name) {
  if (name == "-") return ReadAll(context.input);
  std::ifstream file(name);
  if (!file) return std::nullopt;
  // Copying an empty file would set the stream's fail state, but an empty file
  // is a valid document.
  if (file.peek() == std::ifstream::traits_type::eof()) return "";
  return ReadAll(file);
}

command_report ReportUnreadableFile(const std::string& name) {
  return MakeFailure(exit_code::kInvalidInput,
                     fmt::format("cannot read file '{}'", name),
                     "pass a readable file, or - for the standard input");
}

}  // namespace hornbeam
