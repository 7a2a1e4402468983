// Replicated state machine of the settings documents in the teams' subtrees.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/state_machine.h"
#include "settings/settings_messages.h"

namespace hornbeam {

// Stores the documents with a revision for each team's subtree. Does not repeat
// the checks of settings_gate: they may differ between program versions, and
// all replicas must reach the same state. Owned by the replica host; called
// from one thread at a time.
class settings_store final : public state_machine {
 public:
  // Limits on the changes retained for each team, for its history and for
  // resends.
  static constexpr std::size_t kMaxHistoryChanges = 1024;
  static constexpr std::size_t kMaxHistoryBytes = 4UL * 1024 * 1024;

  std::string Apply(const committed_entry& entry) override;
  [[nodiscard]] std::string Query(std::string_view query) const override;
  [[nodiscard]] std::string TakeSnapshot() const override;
  bool RestoreSnapshot(std::string_view snapshot) override;

  [[nodiscard]] std::uint64_t StoreRevision() const { return store_revision_; }

 private:
  struct subtree {
    std::uint64_t revision = 0;
    std::deque<change_record> history;  // Oldest first.

    template <class Archive>
    void serialize(Archive& archive);
  };
  struct stored_state;

  settings_reply Change(const change_command& command,
                        wall_time_point accepted_at);
  // Returns the reply to a change that is rejected or was applied before, or
  // std::nullopt if the change can be applied.
  [[nodiscard]] std::optional<settings_reply> FindRejection(
      const change_command& command, const subtree& team) const;
  [[nodiscard]] bool IsOwnedByOtherTeam(const change_command& command) const;
  [[nodiscard]] document_list Answer(const get_document_query& query) const;
  [[nodiscard]] document_list Answer(const list_documents_query& query) const;
  [[nodiscard]] document_list Answer(const history_query& query) const;
  [[nodiscard]] document_list Answer(const service_changes_query& query) const;
  [[nodiscard]] document_list Answer(const revision_query& query) const;
  [[nodiscard]] std::uint64_t RevisionOf(std::string_view team) const;

  std::uint64_t store_revision_ = 0;
  std::map<std::string, subtree, std::less<>> teams_;
  // The last change of each path, including deletions.
  std::map<std::string, change_record, std::less<>> latest_;
};

}  // namespace hornbeam
