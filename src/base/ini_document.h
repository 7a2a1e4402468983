// INI parser that records the line number of each entry.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

// One "key = value" line. `section` is empty before the first header.
struct ini_entry {
  std::size_t line = 0;  // Counted from 1.
  std::string section;
  std::string key;
  std::string value;
};

// A line that could not be parsed.
struct ini_error {
  std::size_t line = 0;  // Counted from 1.
  std::string reason;
};

// All entries and errors of a text, in the order of their lines.
struct ini_document {
  std::vector<ini_entry> entries;
  std::vector<ini_error> errors;
};

// Parses all lines of `text`; an invalid line is reported as an error and the
// other lines are still parsed. A duplicate key in a section is an error. Lines
// that begin with ';' or '#' are comments, and so is the rest of a line after
// " ;".
ini_document ReadIni(std::string_view text);

}  // namespace hornbeam
