#include "settings/settings_gate.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "settings/service_schema.h"
#include "settings/settings_codec.h"
#include "settings/settings_messages.h"
#include "settings/settings_path.h"

namespace hornbeam {

namespace {

constexpr std::size_t kMaxDocumentBytes = 64UL * 1024;

gate_rejection Reject(const settings_reply& reply) {
  return gate_rejection{EncodeSettingsReply(reply)};
}

gate_rejection RejectInvalid(const change_command& command, std::string reason,
                             std::string accepted) {
  return Reject(invalid_reply{{{.path = command.path,
                                .reason = std::move(reason),
                                .accepted = std::move(accepted)}}});
}

// Compares two secrets in a time that does not depend on where they differ, so
// that response times do not reveal a token.
bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

settings_gate::settings_gate(std::vector<team_token> tokens)
    : tokens_(std::move(tokens)) {}

result<std::string, gate_rejection> settings_gate::Admit(
    std::string_view command) const {
  auto change = DecodeSettingsCommand(command);
  if (!change) {
    return Reject(invalid_reply{{{.reason = "the command cannot be read"}}});
  }
  if (!IsAuthorised(change->team, change->token)) {
    return Reject(not_permitted_reply{"the token is not the team's"});
  }
  change->token.clear();
  const auto path = ParseServicePath(change->path);
  if (!path) {
    return RejectInvalid(*change, "unknown kind of path", "TEAM/services/NAME");
  }
  if (path->team != change->team) {
    return Reject(
        not_permitted_reply{"the path lies in another team's subtree"});
  }
  if (change->document) {
    if (change->document->size() > kMaxDocumentBytes) {
      return RejectInvalid(*change, "the document is too large",
                           "up to 65536 bytes");
    }
    auto checked = ReadServiceSettings(change->path, *change->document);
    if (!checked.errors.empty()) {
      return Reject(invalid_reply{std::move(checked.errors)});
    }
  }
  return EncodeSettingsCommand(*change);
}

bool settings_gate::IsAuthorised(std::string_view team,
                                 std::string_view token) const {
  return std::ranges::any_of(tokens_, [&](const team_token& known) {
    return known.team == team && ConstantTimeEqual(known.token, token);
  });
}

}  // namespace hornbeam
