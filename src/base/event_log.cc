#include "base/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace hornbeam {

namespace {

bool IsUnquotedChar(char c) {
  return c > ' ' && c != '"' && c != '=' && c != '\\' && c < '\x7f';
}

void AppendText(fmt::memory_buffer& out, std::string_view text) {
  if (!text.empty() && std::ranges::all_of(text, IsUnquotedChar)) {
    out.append(text);
    return;
  }
  out.push_back('"');
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (c < ' ') {
      fmt::format_to(std::back_inserter(out), "\\x{:02x}",
                     static_cast<unsigned char>(c));
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

struct value_formatter {
  fmt::memory_buffer& out;

  void operator()(std::string_view text) const { AppendText(out, text); }
  void operator()(double number) const {
    fmt::format_to(std::back_inserter(out), "{:.3f}", number);
  }
  void operator()(auto number) const {
    fmt::format_to(std::back_inserter(out), "{}", number);
  }
};

}  // namespace

std::string FormatEvent(event_id id,
                        std::initializer_list<event_field> fields) {
  const event_info& info = EventInfo(id);
  fmt::memory_buffer out;
  fmt::format_to(std::back_inserter(out), "event={} name={}",
                 static_cast<unsigned>(id), info.name);
  for (const event_field& field : fields) {
    fmt::format_to(std::back_inserter(out), " {}=", field.name);
    std::visit(value_formatter{out}, field.value);
  }
  return fmt::to_string(out);
}

}  // namespace hornbeam
