// Encoding of replica messages, log entries, snapshots and hard states.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "replication/log_entry.h"
#include "replication/log_storage.h"
#include "replication/replica_message.h"

namespace hornbeam {

// Each Decode function returns std::nullopt for bytes that its Encode function
// cannot have produced.
std::string EncodeReplicaMessage(const replica_message& message);
std::optional<replica_message> DecodeReplicaMessage(std::string_view bytes);

std::string EncodeLogEntry(const log_entry& entry);
std::optional<log_entry> DecodeLogEntry(std::string_view bytes);

std::string EncodeLogSnapshot(const log_snapshot& snapshot);
std::optional<log_snapshot> DecodeLogSnapshot(std::string_view bytes);

std::string EncodeHardState(const hard_state& state);
std::optional<hard_state> DecodeHardState(std::string_view bytes);

}  // namespace hornbeam
