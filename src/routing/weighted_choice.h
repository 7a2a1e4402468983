// Weighted choice of the service that gets the next call of a route.
#pragma once

#include <map>
#include <string>

#include "hornbeam/routing_table.h"

namespace hornbeam {

class random_source;

// Follows the weights closely even over few calls: the calls of a route step
// evenly through the unit interval, in which each part has an interval of a
// length in proportion to its weight. Each node starts at a random position, so
// that over all nodes even the first calls follow the weights. Owned by the
// ingress. Not thread-safe.
class weighted_choice {
 public:
  explicit weighted_choice(random_source& random) : random_(random) {}

  // Returns the service for the next call of the route `name`. The route must
  // have at least one part.
  const std::string& Next(const std::string& name, const route& definition);

 private:
  random_source& random_;
  std::map<std::string, double> positions_;  // By route, in [0, 1).
};

}  // namespace hornbeam
