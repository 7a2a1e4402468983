// What makes the head of an HTTP answer valid, by RFC 9110 and RFC 9112.
//
// Answers are checked by these rules wherever they enter a process: from an
// upstream, from another node and from the ledger. HTTP libraries accept more.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "hornbeam/header_field.h"

namespace hornbeam {

enum class answer_defect : std::uint8_t {
  kStatus,      // Not a status that ends a call (RFC 9110, 15).
  kFieldName,   // Not a token (RFC 9110, 5.1 and 5.6.2).
  kFieldValue,  // Contains a control character (RFC 9110, 5.5).
};

// Returns the name of `defect` for the log.
std::string_view DefectName(answer_defect defect);

// Returns whether an answer with this status precedes the final one.
bool IsInterimStatus(unsigned status);

// Returns whether `status` is defined and ends a call.
bool IsFinalStatus(unsigned status);

// Returns what makes the field invalid, or std::nullopt.
std::optional<answer_defect> FindFieldDefect(std::string_view name,
                                             std::string_view value);

// Returns what makes a final answer with this status and these fields invalid,
// or std::nullopt.
std::optional<answer_defect> FindAnswerDefect(
    unsigned status, std::span<const header_field> fields);

}  // namespace hornbeam
