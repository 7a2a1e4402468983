// Checks and carries out changes of the routing table.
#pragma once

#include <string>
#include <vector>

#include "hornbeam/result.h"
#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Every fault of the table, in the order of its items; empty for a valid one.
std::vector<std::string> FindRoutingFaults(const routing_table& table);

// The table after `change`, unchecked. Does not compare versions.
routing_table MergeRoutingChange(routing_table table,
                                 const routing_change& change);

// The table after `change`, or why there is none. Does not compare versions.
result<routing_table, std::vector<std::string>> ApplyRoutingChange(
    const routing_table& table, const routing_change& change);

}  // namespace hornbeam
