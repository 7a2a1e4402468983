// Fuzz test of the parser of a daemon's settings file with arbitrary text.
//
// SOURCES: src/daemon/daemon_settings.cc src/daemon/setting_catalogue.cc
// SOURCES: src/daemon/setting_values.cc src/daemon/config_errors.cc
// SOURCES: src/base/ini_document.cc src/base/nearest_name.cc
// SOURCES: src/wire/endpoint.cc
// LIBRARIES: -lfmt
#include <string>

#include "daemon/daemon_settings.h"
#include "support/fuzz_check.h"

namespace hornbeam {

namespace {

// A complete file, so that some inputs get past the check for missing keys.
constexpr std::string_view kWholeFile =
    "[process]\nrole=node\nname=n\nregion=r\navailability_zone=z\n"
    "[listen]\ncallers=127.0.0.1:1\npeers=127.0.0.1:2\nlocal=127.0.0.1:3\n"
    "[control]\naddresses=127.0.0.1:4\n[limits]\n";

void FuzzFile(std::string_view text) {
  const auto read = ReadDaemonSettings(text);
  if (read) {
    FuzzCheck(!read.value().control_addresses.empty());
    FuzzCheck(read.value().limits.lease_duration.count() > 0);
  } else {
    FuzzCheck(!read.error().errors.empty());
    FuzzCheck(!FormatConfigErrors("f", read.error()).empty());
  }
}

}  // namespace

}  // namespace hornbeam

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = hornbeam::FuzzText(data, size);
  hornbeam::FuzzFile(text);
  hornbeam::FuzzFile(std::string(hornbeam::kWholeFile).append(text));
  return 0;
}
