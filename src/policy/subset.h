// Deterministic subsetting: selects the upstreams of a large service that an
// ingress node uses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/upstream_id.h"

namespace hornbeam {

struct subset_options {
  // Size of the subset. Of a service with no more upstreams than this, all are
  // used.
  std::size_t size = 20;
  // Share of the subset taken from the ingress node's own zone, as far as the
  // zone has upstreams. The rest comes from all other zones.
  std::uint32_t same_zone_per_mille = 700;
};

struct subset_member {
  upstream_id id;
  std::string availability_zone;
};

// Returns the subset of `members` for the ingress node `node` in
// `availability_zone`, as sorted indices into `members`. Uses rendezvous
// hashing of node names: the subset depends neither on the order of `members`
// nor on incarnations, and a member that joins or leaves changes a subset by at
// most that member and one other.
std::vector<std::size_t> ChooseSubset(std::span<const subset_member> members,
                                      std::string_view node,
                                      std::string_view availability_zone,
                                      const subset_options& options);

}  // namespace hornbeam
