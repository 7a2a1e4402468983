// Shares out the calls of a route among its parts.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "hornbeam/routing_table.h"

namespace hornbeam {

class random_source;

// Keeps to the weights within one call for each node and route, also over few
// calls: each part collects its share with every call, and the part that is
// owed most is next. Parts begin at random, so that nodes with few calls do not
// all favour the same one. Not thread-safe.
class weighted_choice {
 public:
  explicit weighted_choice(random_source& random) : random_(random) {}

  // The part that the next call goes to; the route has at least one.
  const std::string& Next(const std::string& name, const route& definition);

 private:
  struct share {
    std::vector<weighted_service> parts;
    std::vector<double> owed;  // In calls, in the order of the parts.
  };

  random_source& random_;
  std::map<std::string, share> shares_;
};

}  // namespace hornbeam
