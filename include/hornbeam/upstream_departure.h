// A planned leave of an upstream that its node has confirmed.
#pragma once

#include <cstdint>
#include <string>

namespace hornbeam {

// The incarnations of an upstream with one id that drain or have left: they get
// no new calls. Value type; durable in the routing store, since a node has no
// disk.
struct upstream_departure {
  std::string node;
  std::string instance;
  // The latest start of an incarnation that has certainly left; 0 if none is
  // known.
  std::int64_t started_at_ms = 0;
  // Whether that is the incarnation that left last. Otherwise a later one may
  // have left as well.
  bool start_known = false;

  bool operator==(const upstream_departure&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, instance, started_at_ms, start_known);
  }
};

}  // namespace hornbeam
