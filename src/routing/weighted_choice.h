// Shares out the calls of a route among its parts.
#pragma once

#include <map>
#include <string>

#include "hornbeam/routing_table.h"

namespace hornbeam {

class random_source;

// Keeps close to the weights over few calls: the calls of a route step evenly
// through the unit interval, of which each part owns its share. Each node
// begins at random, so that over all nodes every single call follows the
// weights. Not thread-safe.
class weighted_choice {
 public:
  explicit weighted_choice(random_source& random) : random_(random) {}

  // The part that the next call goes to; the route has at least one.
  const std::string& Next(const std::string& name, const route& definition);

 private:
  random_source& random_;
  std::map<std::string, double> positions_;  // By route, from 0 to 1.
};

}  // namespace hornbeam
