// What nodes are told of the routing table: the items that changed.
#pragma once

#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// The table without the operators' own texts, which no node needs.
routing_table WithoutSources(routing_table table);

// The change that makes `to` of `from`; see MergeRoutingChange. Texts that mean
// nothing here are not compared.
routing_change DiffRoutingTables(const routing_table& from,
                                 const routing_table& to);

}  // namespace hornbeam
