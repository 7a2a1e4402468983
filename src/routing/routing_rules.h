// Validates routing tables and applies changes to them.
#pragma once

#include <string>
#include <vector>

#include "hornbeam/result.h"
#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Returns every error of the table, in the order of its items; empty for a
// valid table.
std::vector<std::string> FindRoutingErrors(const routing_table& table);

// Returns the table after `change` without validating it. A change with
// `full_table` replaces the whole table. Does not compare versions.
routing_table MergeRoutingChange(routing_table table,
                                 const routing_change& change);

// Returns the table after `change`, or the errors that make the result invalid.
// Does not compare versions.
result<routing_table, std::vector<std::string>> ApplyRoutingChange(
    const routing_table& table, const routing_change& change);

}  // namespace hornbeam
