// Main program of hornbeamctl, the command-line tool for operators.
#include <cstdlib>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "ctl/ctl_main.h"
#include "ctl/wire_session.h"

namespace {

std::optional<std::string> LookUpVariable(std::string_view name) {
  const char* const value = std::getenv(std::string(name).c_str());
  if (value == nullptr) return std::nullopt;
  return value;
}

}  // namespace

int main(int argc, char** argv) {
  const std::span<const char* const> arguments(argv,
                                               static_cast<std::size_t>(argc));
  return static_cast<int>(
      hornbeam::RunCtl(arguments, LookUpVariable, hornbeam::MakeWireSession,
                       {.output = std::cout, .diagnostics = std::cerr}));
}
