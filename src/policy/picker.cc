#include "policy/picker.h"

#include <algorithm>
#include <array>
#include <cassert>

#include "policy/expected_wait_picker.h"
#include "policy/least_outstanding_picker.h"
#include "policy/random_picker.h"
#include "policy/round_robin_picker.h"
#include "policy/two_choices_picker.h"

namespace hornbeam {

namespace {

struct kind_name {
  picker_kind kind;
  std::string_view name;
};

constexpr auto kKindNames = std::to_array<kind_name>({
    {picker_kind::kExpectedWait, "expected_wait"},
    {picker_kind::kRandom, "random"},
    {picker_kind::kRoundRobin, "round_robin"},
    {picker_kind::kLeastOutstanding, "least_outstanding"},
    {picker_kind::kTwoChoices, "two_choices"},
});

}  // namespace

std::string_view PickerKindName(picker_kind kind) {
  const auto* found = std::ranges::find(kKindNames, kind, &kind_name::kind);
  assert(found != kKindNames.end());
  return found->name;
}

std::optional<picker_kind> ParsePickerKind(std::string_view name) {
  const auto* found = std::ranges::find(kKindNames, name, &kind_name::name);
  if (found == kKindNames.end()) return std::nullopt;
  return found->kind;
}

std::unique_ptr<picker> MakePicker(picker_kind kind, random_source& random,
                                   const picker_options& options) {
  switch (kind) {
    case picker_kind::kExpectedWait:
      return std::make_unique<expected_wait_picker>(random, options);
    case picker_kind::kRandom:
      return std::make_unique<random_picker>(random);
    case picker_kind::kRoundRobin:
      return std::make_unique<round_robin_picker>(random);
    case picker_kind::kLeastOutstanding:
      return std::make_unique<least_outstanding_picker>(random);
    case picker_kind::kTwoChoices:
      return std::make_unique<two_choices_picker>(random);
  }
  return nullptr;
}

}  // namespace hornbeam
