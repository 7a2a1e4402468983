// Writes the generated table of docs/CAPACITY.md. Run by tools/capacity.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "support/capacity_model.h"
#include "support/document_block.h"

namespace {

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

int main() {
  hornbeam::slope_set slopes;
  for (const auto& entry : std::filesystem::directory_iterator("bench")) {
    if (entry.path().string().ends_with("_slopes.json")) {
      slopes.AddJson(ReadText(entry.path()));
    }
  }
  const std::string path = "docs/CAPACITY.md";
  const auto text = hornbeam::ReplaceBlock(
      ReadText(path), "capacity", hornbeam::FormatCapacityTable(slopes));
  if (!text) {
    std::cerr << path << ": block 'capacity' not found\n";
    return 1;
  }
  std::ofstream(path) << *text;
  return 0;
}
