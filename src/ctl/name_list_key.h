// Edits lists of names in INI texts.
#pragma once

#include <string>
#include <string_view>

namespace hornbeam {

// A key whose value is a list of names, separated by commas.
struct name_list_key {
  std::string_view section;
  std::string_view key;
};

// Returns `text` with `name` added to or removed from the list at `list_key`.
// All other lines are unchanged. The line of a list that becomes empty is
// removed.
std::string AddNameToList(std::string_view text, const name_list_key& list_key,
                          std::string_view name);
std::string RemoveNameFromList(std::string_view text,
                               const name_list_key& list_key,
                               std::string_view name);

}  // namespace hornbeam
