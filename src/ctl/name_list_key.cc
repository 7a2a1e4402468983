#include "ctl/name_list_key.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "base/ini_document.h"

namespace hornbeam {

namespace {

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const auto end = text.find('\n');
    lines.emplace_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return lines;
}

std::vector<std::string> SplitNames(std::string_view text) {
  std::vector<std::string> names;
  std::string name;
  for (const char c : text) {
    if (c == ',') {
      names.push_back(std::move(name));
      name.clear();
    } else if (c != ' ' && c != '\t') {
      name += c;
    }
  }
  names.push_back(std::move(name));
  std::erase(names, "");
  return names;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + '\n';
  return out;
}

// Edits one list of names in an INI text.
class list_editor {
 public:
  list_editor(std::string_view text, const name_list_key& list_key)
      : list_key_(list_key), lines_(SplitLines(text)) {
    const ini_document document = ReadIni(text);
    const auto found =
        std::ranges::find_if(document.entries, [&](const ini_entry& entry) {
          return entry.section == list_key.section && entry.key == list_key.key;
        });
    if (found == document.entries.end()) return;
    line_ = found->line;
    names_ = SplitNames(found->value);
  }

  void Add(std::string_view name) {
    if (std::ranges::count(names_, name) == 0) names_.emplace_back(name);
  }

  void Remove(std::string_view name) { std::erase(names_, name); }

  std::string BuildText() {
    if (line_ != 0) {
      lines_.erase(lines_.begin() + static_cast<long>(line_) - 1);
    }
    if (!names_.empty()) InsertLine();
    return JoinLines(lines_);
  }

 private:
  void InsertLine() {
    const std::string line = fmt::format("{} = {}", list_key_.key, JoinNames());
    if (line_ != 0) {
      lines_.insert(lines_.begin() + static_cast<long>(line_) - 1, line);
      return;
    }
    const std::string header = fmt::format("[{}]", list_key_.section);
    auto at = std::ranges::find(lines_, header);
    if (at == lines_.end()) at = lines_.insert(at, header);
    lines_.insert(at + 1, line);
  }

  std::string JoinNames() const {
    return fmt::format("{}", fmt::join(names_, ", "));
  }

  name_list_key list_key_;
  std::vector<std::string> lines_;
  std::size_t line_ = 0;  // From 1; 0 if the text does not contain the key.
  std::vector<std::string> names_;
};

}  // namespace

std::string AddNameToList(std::string_view text, const name_list_key& list_key,
                          std::string_view name) {
  list_editor editor(text, list_key);
  editor.Add(name);
  return editor.BuildText();
}

std::string RemoveNameFromList(std::string_view text,
                               const name_list_key& list_key,
                               std::string_view name) {
  list_editor editor(text, list_key);
  editor.Remove(name);
  return editor.BuildText();
}

}  // namespace hornbeam
