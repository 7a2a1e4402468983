#include "base/answer_rules.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
// Characters of a token other than letters and digits.
constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";

constexpr bool IsTokenCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         kTokenSymbols.find(character) != std::string_view::npos;
}

constexpr bool IsControlCharacter(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(character);
  return (code < kFirstPrintable && character != '\t') || character == kDelete;
}

}  // namespace

std::string_view DefectName(answer_defect defect) {
  switch (defect) {
    case answer_defect::kStatus:
      return "status";
    case answer_defect::kFieldName:
      return "field name";
    case answer_defect::kFieldValue:
      return "field value";
  }
  return "other";
}

bool IsInterimStatus(unsigned status) {
  return status >= kFirstInterimStatus && status < kFirstFinalStatus;
}

bool IsFinalStatus(unsigned status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

std::optional<answer_defect> FindFieldDefect(std::string_view name,
                                             std::string_view value) {
  if (name.empty() || !std::ranges::all_of(name, IsTokenCharacter))
    return answer_defect::kFieldName;
  if (std::ranges::any_of(value, IsControlCharacter))
    return answer_defect::kFieldValue;
  return std::nullopt;
}

std::optional<answer_defect> FindAnswerDefect(
    unsigned status, std::span<const header_field> fields) {
  if (!IsFinalStatus(status)) return answer_defect::kStatus;
  for (const header_field& field : fields) {
    if (const auto defect = FindFieldDefect(field.name, field.value))
      return defect;
  }
  return std::nullopt;
}

}  // namespace hornbeam
