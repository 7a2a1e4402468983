// Parser of a service's settings document with arbitrary text.
//
// SOURCES: src/settings/service_schema.cc src/settings/settings_path.cc
// SOURCES: src/base/ini_document.cc src/base/nearest_name.cc
// LIBRARIES: -lfmt
#include "settings/service_schema.h"
#include "settings/settings_path.h"
#include "support/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace hornbeam;  // NOLINT(google-build-using-namespace)
  const std::string_view text = FuzzText(data, size);
  for (const std::string& document :
       {std::string(text), "[service]\n" + std::string(text)}) {
    const auto read = ReadServiceSettings("t/services/s", document);
    // The settings can be used whatever errors the document has.
    FuzzCheck(read.settings.deadline_default_ms > 0);
    FuzzCheck(read.settings.subset_size > 0);
  }
  const auto path = ParseServicePath(text);
  if (path) FuzzCheck(path->team.size() + path->service.size() < text.size());
  return 0;
}
