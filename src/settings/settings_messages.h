// Commands, queries and replies of the settings store.
//
// A document is text under a path "TEAM/...". Each team's subtree has a
// revision that grows by one with each accepted change in it; the store has a
// revision that grows by one with each accepted change of any team.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hornbeam/request_id.h"

namespace hornbeam {

// ---- Commands ----

// Writes the document at `path`, or deletes it if `document` is std::nullopt,
// provided that the subtree of `team` is still at `expected_revision`.
// Repeating the command with the same change id returns the first result and
// changes nothing. settings_gate checks and clears the token before the command
// enters the log; the store rejects a command that still contains one.
struct change_command {
  std::string team;
  std::string token;
  std::string path;
  std::optional<std::string> document;
  std::uint64_t expected_revision = 0;
  request_id change_id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, token, path, document, expected_revision, change_id);
  }
};

// ---- Replies to commands ----

// One accepted change.
struct change_record {
  std::string path;
  std::optional<std::string> document;  // std::nullopt if deleted.
  std::uint64_t revision = 0;           // Of the team's subtree, after it.
  std::uint64_t store_revision = 0;     // Of the store, after it.
  request_id change_id;
  std::int64_t accepted_at_us = 0;  // Microseconds since 1970.

  bool operator==(const change_record&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, document, revision, store_revision, change_id,
            accepted_at_us);
  }
};

// The change is stored on the disks of a quorum and is durable.
struct accepted_reply {
  std::uint64_t revision = 0;
  std::uint64_t store_revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, store_revision);
  }
};

// The change conflicts with an earlier one. `winner` is the change that was
// applied to the expected revision, or the last change if that one is no longer
// in the history.
struct conflict_reply {
  std::uint64_t current_revision = 0;
  change_record winner;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(current_revision, winner);
  }
};

struct not_permitted_reply {
  std::string reason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reason);
  }
};

// One error in a document or command.
struct settings_error {
  std::string path;
  std::uint32_t line = 0;  // From 1; 0 if it has no line.
  std::string key;
  std::string reason;
  std::string accepted;  // The accepted values or the closest known key.

  bool operator==(const settings_error&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, line, key, reason, accepted);
  }
};

// Lists all errors, not only the first one.
struct invalid_reply {
  std::vector<settings_error> errors;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(errors);
  }
};

using settings_reply = std::variant<accepted_reply, conflict_reply,
                                    not_permitted_reply, invalid_reply>;

// ---- Queries ----

// Queries one document. The reply is a document_list with the document, or
// without documents if it does not exist.
struct get_document_query {
  std::string path;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path);
  }
};

// Queries the current documents whose path starts with `prefix`. The reply is a
// document_list in the order of their paths.
struct list_documents_query {
  std::string prefix;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prefix);
  }
};

// Queries the retained changes of `path`, or of the whole team if `path` is the
// team's name. The reply is a document_list of at most `limit` changes, the
// latest first.
struct history_query {
  std::string path;
  std::uint32_t limit = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, limit);
  }
};

// Queries the latest change of each path "*/services/NAME" that was made after
// `after_store_revision`, including deletions. `services` restricts the names;
// if it is empty, all services match. The reply is a document_list.
struct service_changes_query {
  std::uint64_t after_store_revision = 0;
  std::vector<std::string> services;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after_store_revision, services);
  }
};

// Queries the revisions. The reply is a document_list without documents. `team`
// may be empty.
struct revision_query {
  std::string team;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team);
  }
};

using settings_query =
    std::variant<get_document_query, list_documents_query, history_query,
                 service_changes_query, revision_query>;

// The reply to every query.
struct document_list {
  std::uint64_t store_revision = 0;
  // Revision of the subtree of the queried team; 0 if the query names no team.
  std::uint64_t team_revision = 0;
  std::vector<change_record> documents;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(store_revision, team_revision, documents);
  }
};

}  // namespace hornbeam
