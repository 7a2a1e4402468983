// Differences between versions of the routing table, which are sent to nodes
// instead of the whole table.
#pragma once

#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Returns the table without the source texts written by operators and without
// `unrecognised_members`, which no node needs.
routing_table WithoutSources(routing_table table);

// Returns the change that turns `from` into `to` when MergeRoutingChange
// applies it. Does not compare `unrecognised_members`, the members of the
// operator's document that are not interpreted.
routing_change DiffRoutingTables(const routing_table& from,
                                 const routing_table& to);

}  // namespace hornbeam
