// Writes the generated tables into docs/. Run by tools/documents.
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "base/event_table.h"
#include "daemon/setting_catalogue.h"
#include "settings/service_schema.h"
#include "support/document_block.h"

namespace {

// Replaces the block `name` of the file at `path` by `content`. Returns false
// when the file has no such block.
bool RewriteBlock(const std::string& path, const std::string& name,
                  const std::string& content) {
  std::ifstream file(path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto changed = hornbeam::ReplaceBlock(text, name, content);
  if (!changed) {
    std::cerr << path << ": block '" << name << "' not found\n";
    return false;
  }
  std::ofstream(path) << *changed;
  return true;
}

}  // namespace

int main() {
  const bool events =
      RewriteBlock("docs/EVENTS.md", "events", hornbeam::FormatEventTable());
  const bool daemon = RewriteBlock("docs/SETTINGS.md", "daemon settings",
                                   hornbeam::FormatSettingCatalogue());
  const bool service = RewriteBlock("docs/SETTINGS.md", "service settings",
                                    hornbeam::FormatServiceSchema());
  return events && daemon && service ? 0 : 1;
}
