#include "base/ini_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <sstream>

namespace hornbeam {

namespace {

using boost::property_tree::ini_parser_error;
using boost::property_tree::ptree;

constexpr std::string_view kCommentMark = " ;";

// Boost.PropertyTree drops empty sections, so a header is parsed together with
// this dummy key.
constexpr std::string_view kHeaderDummyKey = "\nprobe=";

std::string_view StripComment(std::string_view line) {
  return line.substr(0, line.find(kCommentMark));
}

// Parses `text`, one line or one header, with Boost.PropertyTree. The library
// stops at the first error and does not record the lines of entries. Parsing
// line by line reports every error with its line number.
ptree ParseFragment(std::string text) {
  std::istringstream stream(std::move(text));
  ptree tree;
  boost::property_tree::read_ini(stream, tree);
  return tree;
}

class ini_reader {
 public:
  void ReadLine(std::string_view line) {
    ++line_;
    try {
      line = StripComment(line);
      IsHeader(line) ? ReadHeader(line) : ReadEntry(line);
    } catch (const ini_parser_error& error) {
      document_.errors.push_back({line_, error.message()});
    }
  }

  ini_document TakeDocument() { return std::move(document_); }

 private:
  static bool IsHeader(std::string_view line) {
    const auto start = line.find_first_not_of(" \t\r");
    return start != std::string_view::npos && line[start] == '[';
  }

  void ReadHeader(std::string_view line) {
    const ptree tree = ParseFragment(std::string(line).append(kHeaderDummyKey));
    section_ = tree.front().first;
  }

  void ReadEntry(std::string_view line) {
    for (const auto& [key, value] : ParseFragment(std::string(line))) {
      AddEntry(key, value.data());
    }
  }

  void AddEntry(const std::string& key, const std::string& value) {
    const auto is_duplicate = [&](const ini_entry& entry) {
      return entry.section == section_ && entry.key == key;
    };
    const auto first = std::ranges::find_if(document_.entries, is_duplicate);
    if (first != document_.entries.end()) {
      document_.errors.push_back(
          {line_, fmt::format("key '{}' stands already in line {}", key,
                              first->line)});
      return;
    }
    document_.entries.push_back({line_, section_, key, value});
  }

  std::size_t line_ = 0;
  std::string section_;
  ini_document document_;
};

}  // namespace

ini_document ReadIni(std::string_view text) {
  ini_reader reader;
  while (!text.empty()) {
    const auto end = text.find('\n');
    reader.ReadLine(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return reader.TakeDocument();
}

}  // namespace hornbeam
