#include "settings/settings_store.h"

#include <algorithm>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

#include "base/byte_archive.h"
#include "settings/settings_codec.h"
#include "settings/settings_path.h"

namespace hornbeam {

namespace {

std::string_view TeamOf(std::string_view path) {
  return path.substr(0, path.find('/'));
}

settings_reply MakeAccepted(const change_record& record) {
  return accepted_reply{.revision = record.revision,
                        .store_revision = record.store_revision};
}

settings_reply MakeInvalid(const change_command& command, std::string reason) {
  return invalid_reply{{{.path = command.path, .reason = std::move(reason)}}};
}

// Returns the reply to a repeated change id. A different change with the same
// id is rejected: an accepted_reply would report a change that was never made.
settings_reply ReplyToResend(const change_record& record,
                             const change_command& command) {
  if (record.path == command.path && record.document == command.document) {
    return MakeAccepted(record);
  }
  return MakeInvalid(command, "the change id was used for another change");
}

std::size_t SizeOf(const change_record& record) {
  return record.path.size() + record.document.value_or("").size();
}

// Drops the oldest changes beyond the limits. The last change always stays,
// because the reply to a conflicting change contains it. A resend of a dropped
// change can't be applied twice, since its expected revision is outdated.
void TrimHistory(std::deque<change_record>& history) {
  std::size_t bytes = std::transform_reduce(
      history.begin(), history.end(), std::size_t{0}, std::plus<>(), SizeOf);
  while (history.size() > 1 &&
         (history.size() > settings_store::kMaxHistoryChanges ||
          bytes > settings_store::kMaxHistoryBytes)) {
    bytes -= SizeOf(history.front());
    history.pop_front();
  }
}

}  // namespace

template <class Archive>
void settings_store::subtree::serialize(Archive& archive) {
  archive(revision, history);
}

// The complete state in a snapshot.
struct settings_store::stored_state {
  std::uint64_t store_revision = 0;
  std::map<std::string, subtree, std::less<>> teams;
  std::map<std::string, change_record, std::less<>> latest;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(store_revision, teams, latest);
  }
};

std::string settings_store::Apply(const committed_entry& entry) {
  const auto command = DecodeSettingsCommand(entry.command);
  if (!command) {
    return EncodeSettingsReply(
        invalid_reply{{{.reason = "the command cannot be read"}}});
  }
  return EncodeSettingsReply(Change(*command, entry.accepted_at));
}

settings_reply settings_store::Change(const change_command& command,
                                      wall_time_point accepted_at) {
  if (!command.token.empty()) {
    return not_permitted_reply{"the token did not pass the gate"};
  }
  const auto path = ParseServicePath(command.path);
  if (!path || path->team != command.team) {
    return MakeInvalid(command, "the path is not in the team's subtree");
  }
  subtree& team = teams_[command.team];
  if (auto rejection = FindRejection(command, team))
    return *std::move(rejection);
  ++team.revision;
  ++store_revision_;
  const change_record record{
      .path = command.path,
      .document = command.document,
      .revision = team.revision,
      .store_revision = store_revision_,
      .change_id = command.change_id,
      .accepted_at_us = accepted_at.time_since_epoch().count()};
  latest_[command.path] = record;
  team.history.push_back(record);
  TrimHistory(team.history);
  return MakeAccepted(record);
}

std::optional<settings_reply> settings_store::FindRejection(
    const change_command& command, const subtree& team) const {
  const auto same_id = std::ranges::find(team.history, command.change_id,
                                         &change_record::change_id);
  if (same_id != team.history.end()) return ReplyToResend(*same_id, command);
  if (command.expected_revision > team.revision) {
    return MakeInvalid(command, "the subtree has not reached that revision");
  }
  if (command.expected_revision < team.revision) {
    const auto winner = std::ranges::find(
        team.history, command.expected_revision + 1, &change_record::revision);
    conflict_reply conflict{.current_revision = team.revision};
    if (winner != team.history.end()) {
      conflict.winner = *winner;
    } else if (!team.history.empty()) {
      conflict.winner = team.history.back();
    }
    return conflict;
  }
  const auto present = latest_.find(command.path);
  const bool exists = present != latest_.end() && present->second.document;
  if (!command.document && !exists) {
    return MakeInvalid(command, "there is no document to delete");
  }
  if (IsOwnedByOtherTeam(command)) {
    return MakeInvalid(command, "another team has a service of that name");
  }
  return std::nullopt;
}

bool settings_store::IsOwnedByOtherTeam(const change_command& command) const {
  if (!command.document) return false;
  const auto own = ParseServicePath(command.path);
  return std::ranges::any_of(latest_, [&own](const auto& entry) {
    const auto other = ParseServicePath(entry.first);
    return entry.second.document && other && other->service == own->service &&
           other->team != own->team;
  });
}

std::string settings_store::Query(std::string_view query) const {
  const auto decoded = DecodeSettingsQuery(query);
  if (!decoded) return EncodeDocumentList(document_list{});
  document_list list =
      std::visit([this](const auto& asked) { return Answer(asked); }, *decoded);
  list.store_revision = store_revision_;
  return EncodeDocumentList(list);
}

document_list settings_store::Answer(const get_document_query& query) const {
  document_list list{.team_revision = RevisionOf(TeamOf(query.path))};
  const auto found = latest_.find(query.path);
  const bool exists = found != latest_.end() && found->second.document;
  if (exists) list.documents.push_back(found->second);
  return list;
}

document_list settings_store::Answer(const list_documents_query& query) const {
  document_list list{.team_revision = RevisionOf(TeamOf(query.prefix))};
  const auto first = latest_.lower_bound(query.prefix);
  for (const auto& [path, record] :
       std::ranges::subrange(first, latest_.end())) {
    if (!path.starts_with(query.prefix)) break;
    if (record.document) list.documents.push_back(record);
  }
  return list;
}

document_list settings_store::Answer(const history_query& query) const {
  const std::string_view team = TeamOf(query.path);
  document_list list{.team_revision = RevisionOf(team)};
  const auto found = teams_.find(team);
  if (found == teams_.end()) return list;
  const bool whole_team = team == query.path;
  for (const change_record& record :
       found->second.history | std::views::reverse) {
    if (list.documents.size() >= query.limit) break;
    if (whole_team || record.path == query.path) {
      list.documents.push_back(record);
    }
  }
  return list;
}

document_list settings_store::Answer(const service_changes_query& query) const {
  document_list list;
  for (const auto& [path, record] : latest_) {
    const auto parsed = ParseServicePath(path);
    if (!parsed || record.store_revision <= query.after_store_revision) {
      continue;
    }
    const bool wanted = query.services.empty() ||
                        std::ranges::find(query.services, parsed->service) !=
                            query.services.end();
    if (wanted) list.documents.push_back(record);
  }
  // A service that moved to another team has a deletion and a document, which
  // the receiver must apply in the order of the changes.
  std::ranges::sort(list.documents, {}, &change_record::store_revision);
  return list;
}

document_list settings_store::Answer(const revision_query& query) const {
  return document_list{.team_revision = RevisionOf(query.team)};
}

std::uint64_t settings_store::RevisionOf(std::string_view team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.revision;
}

std::string settings_store::TakeSnapshot() const {
  return EncodeBytes(stored_state{store_revision_, teams_, latest_});
}

bool settings_store::RestoreSnapshot(std::string_view snapshot) {
  auto decoded = DecodeBytes<stored_state>(snapshot);
  if (!decoded) return false;
  stored_state state = std::move(decoded).value();
  store_revision_ = state.store_revision;
  teams_ = std::move(state.teams);
  latest_ = std::move(state.latest);
  return true;
}

}  // namespace hornbeam
