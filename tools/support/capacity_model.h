// Capacity model: resource use of the system at its design size, computed from
// measured cost slopes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boost::json {
class array;
}  // namespace boost::json

namespace hornbeam {

// Measured costs of single units, by name. Costs that were not measured are
// absent.
class slope_set {
 public:
  // Adds the "slopes" of a JSON text, each with "name" and "value", and the
  // "usages" and "added_times" of a report of "tools/bench slopes --json". Any
  // other text adds nothing.
  void AddJson(std::string_view text);

  // Returns std::nullopt when the cost `name` was not measured.
  [[nodiscard]] std::optional<double> Find(std::string_view name) const;

 private:
  void AddUsages(const boost::json::array& usages);
  void AddAddedTimes(const boost::json::array& rows);

  std::map<std::string, double, std::less<>> values_;
};

// Returns the table of docs/CAPACITY.md in Markdown.
std::string FormatCapacityTable(const slope_set& slopes);

}  // namespace hornbeam
