// Replicated state machine that records every non-idempotent operation.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/state_machine.h"
#include "ledger/answer_table.h"
#include "ledger/ledger_messages.h"
#include "ledger/ledger_snapshot.h"

namespace hornbeam {

// Permits at most one live attempt of each operation, and a further attempt
// only on proof that the previous one did not run and never will. The
// specification is models/at_most_once.pml. An answered operation is dropped
// only when its key is too old to be claimed. The time up to which a service's
// keys are expired never decreases, even if later claims carry a longer key
// window. Unresolved operations stay until they are answered or acknowledged.
// Owned by the replica host; called from one thread at a time.
class operation_ledger : public state_machine {
 public:
  std::string Apply(const committed_entry& entry) override;
  [[nodiscard]] std::string Query(std::string_view query) const override;
  [[nodiscard]] std::string TakeSnapshot() const override;
  bool RestoreSnapshot(std::string_view snapshot) override;

  // Returns the number of operations in the ledger.
  [[nodiscard]] std::size_t OperationCount() const;
  // Returns the bytes allocated for answered operations.
  [[nodiscard]] std::size_t AnswerBytes() const;

 private:
  struct service_state {
    // Keys issued up to this time are expired; milliseconds since 1970.
    std::int64_t expired_up_to_ms = 0;
    std::map<request_id, live_operation> live;
    // Answered operations by the time span in which their keys were issued.
    std::map<std::int64_t, answer_table> answered;
  };

  ledger_reply Handle(const claim_command& command);
  ledger_reply Handle(const advance_command& command);
  ledger_reply Handle(const abandon_command& command);
  ledger_reply Handle(const complete_command& command);
  ledger_reply Handle(const mark_unknown_command& command);
  ledger_reply Handle(const acknowledge_command& command);

  // Handles a claim of an operation that has no record.
  ledger_reply ClaimNew(service_state& service, const claim_command& command,
                        std::int64_t issued_ms);
  // Handles a claim of an operation that has a record and no answer.
  ledger_reply ClaimExisting(live_operation& operation,
                             const claim_command& command, bool key_valid);
  // Creates a free record for an operation that was never claimed, so that
  // no claim of a copy received before now is granted.
  ledger_reply FreeUnclaimed(const operation_key& key);
  // Returns the current state as the reply to a command. If the operation is
  // free, it also blocks claims of copies received up to now.
  ledger_reply ReplyAndBlockOlderCopies(const operation_key& key);
  // Returns the current state without a change to it.
  [[nodiscard]] ledger_reply Describe(const operation_key& key) const;
  [[nodiscard]] unresolved_page ListUnresolved(
      const list_unresolved_query& query) const;

  live_operation* FindLive(const operation_key& key);
  [[nodiscard]] const live_operation* FindLive(const operation_key& key) const;
  [[nodiscard]] std::optional<answered_operation> FindAnswered(
      const operation_key& key) const;
  void ExpireKeys(service_state& service, std::uint32_t key_window_s);

  std::map<std::string, service_state, std::less<>> services_;
  // The ledger's clock: the latest time at which an entry was accepted, in
  // microseconds since 1970.
  std::int64_t now_us_ = 0;
};

}  // namespace hornbeam
