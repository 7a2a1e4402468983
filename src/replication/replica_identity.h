// Identity of a replica.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hornbeam {

// The configured name together with a random incarnation that is written to
// the data directory when the directory is first used. A replica that lost its
// disk has a new incarnation and is therefore a different replica: it is not
// bound by the votes of the old one, and its own votes do not count as votes of
// the old one.
struct replica_identity {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const replica_identity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

}  // namespace hornbeam
