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

// Returns `text` with `name` added to or removed from the list at `where`. All
// other lines are unchanged. The line of a list that becomes empty is removed.
std::string WithName(std::string_view text, const name_list_key& where,
                     std::string_view name);
std::string WithoutName(std::string_view text, const name_list_key& where,
                        std::string_view name);

}  // namespace hornbeam
