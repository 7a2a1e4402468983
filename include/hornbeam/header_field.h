// Name and value of one HTTP field of a request or response.
#pragma once

#include <string>

namespace hornbeam {

struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

}  // namespace hornbeam
