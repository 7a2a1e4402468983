#include "ctl/report_format.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <cstddef>

namespace hornbeam {

namespace {

namespace json = boost::json;

constexpr std::string_view kColumnGap = "  ";

struct text_of_value {
  std::string operator()(const std::string& text) const {
    return text.empty() ? "-" : text;
  }
  std::string operator()(bool flag) const { return flag ? "yes" : "no"; }
  std::string operator()(std::uint64_t number) const {
    return std::to_string(number);
  }
};

using text_row = std::vector<std::string>;

text_row HeaderOf(const report_row& row) {
  text_row header;
  for (const report_field& field : row.fields) {
    std::string name = field.name;
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::toupper(c));
    });
    header.push_back(std::move(name));
  }
  return header;
}

text_row TextOf(const report_row& row) {
  text_row texts;
  for (const report_field& field : row.fields) {
    texts.push_back(std::visit(text_of_value{}, field.value));
  }
  return texts;
}

std::vector<std::size_t> WidthsOf(const std::vector<text_row>& table) {
  std::vector<std::size_t> widths(table.front().size());
  for (const text_row& row : table) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths.at(i) = std::max(widths.at(i), row[i].size());
    }
  }
  return widths;
}

std::string FormatTable(const std::vector<report_row>& rows) {
  if (rows.empty()) return {};
  std::vector<text_row> table = {HeaderOf(rows.front())};
  std::ranges::transform(rows, std::back_inserter(table), TextOf);
  const auto widths = WidthsOf(table);
  std::string out;
  for (const text_row& row : table) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}{}", row[i], widths[i], kColumnGap);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + '\n';
  }
  return out;
}

json::object JsonOf(const report_row& row) {
  json::object object;
  for (const report_field& field : row.fields) {
    std::visit([&](const auto& value) { object[field.name] = value; },
               field.value);
  }
  return object;
}

std::string FormatJson(const command_report& report) {
  json::array rows;
  for (const report_row& row : report.rows) rows.push_back(JsonOf(row));
  json::object object;
  object["code"] = static_cast<unsigned>(report.code);
  object["message"] = report.message;
  object["next_step"] = report.next_step;
  object["rows"] = std::move(rows);
  if (report.document) object["document"] = *report.document;
  return json::serialize(object) + '\n';
}

std::string FormatText(const command_report& report) {
  std::string out = FormatTable(report.rows);
  if (report.document) out += *report.document;
  if (!out.empty() && out.back() != '\n') out += '\n';
  if (report.code == exit_code::kOk && !report.message.empty()) {
    out += report.message + '\n';
  }
  return out;
}

}  // namespace

std::string FormatOutput(const command_report& report, output_format format) {
  return format == output_format::kJson ? FormatJson(report)
                                        : FormatText(report);
}

std::string FormatDiagnostic(const command_report& report,
                             output_format format) {
  if (format == output_format::kJson || report.code == exit_code::kOk) {
    return {};
  }
  std::string out = "hornbeamctl: " + report.message + '\n';
  if (!report.next_step.empty()) out += "next: " + report.next_step + '\n';
  return out;
}

}  // namespace hornbeam
