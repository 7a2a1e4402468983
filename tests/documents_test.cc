// Checks the documents against the code: generated tables, capacity figures,
// and the files and commands that the documents name.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>

#include "base/event_table.h"
#include "ctl/ctl_command_line.h"
#include "daemon/setting_catalogue.h"
#include "settings/service_schema.h"
#include "support/capacity_model.h"
#include "support/document_block.h"

namespace hornbeam {

namespace {

const std::filesystem::path kRoot = HORNBEAM_SOURCE_DIRECTORY;

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<std::filesystem::path> Documents() {
  std::vector<std::filesystem::path> paths = {kRoot / "README.md"};
  for (const auto& entry :
       std::filesystem::directory_iterator(kRoot / "docs")) {
    if (entry.path().extension() == ".md") paths.push_back(entry.path());
  }
  return paths;
}

// Returns the first group of every match of `pattern` in `text`.
std::vector<std::string> FindAll(const std::string& text,
                                 const std::regex& pattern) {
  std::vector<std::string> found;
  std::transform(std::sregex_iterator(text.begin(), text.end(), pattern),
                 std::sregex_iterator(), std::back_inserter(found),
                 [](const std::smatch& match) { return match[1].str(); });
  return found;
}

bool IsCtlCommand(const std::string& words) {
  return std::ranges::any_of(CtlCommands(), [&](const auto& info) {
    return words == info.name ||
           words.starts_with(std::string(info.name) + ' ');
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(documents_test)

BOOST_AUTO_TEST_CASE(generated_tables_match_the_code) {
  const std::string events = ReadText(kRoot / "docs/EVENTS.md");
  BOOST_TEST((ReplaceBlock(events, "events", FormatEventTable()) == events),
             "docs/EVENTS.md is out of date: run tools/documents");
  const std::string settings = ReadText(kRoot / "docs/SETTINGS.md");
  BOOST_TEST((ReplaceBlock(settings, "daemon settings",
                           FormatSettingCatalogue()) == settings),
             "docs/SETTINGS.md is out of date: run tools/documents");
  BOOST_TEST((ReplaceBlock(settings, "service settings",
                           FormatServiceSchema()) == settings),
             "docs/SETTINGS.md is out of date: run tools/documents");
}

BOOST_AUTO_TEST_CASE(capacity_table_matches_the_measured_slopes) {
  slope_set slopes;
  for (const auto& entry :
       std::filesystem::directory_iterator(kRoot / "bench")) {
    if (entry.path().string().ends_with("_slopes.json")) {
      slopes.AddJson(ReadText(entry.path()));
    }
  }
  const std::string page = ReadText(kRoot / "docs/CAPACITY.md");
  BOOST_TEST(
      (ReplaceBlock(page, "capacity", FormatCapacityTable(slopes)) == page),
      "docs/CAPACITY.md is out of date: run tools/capacity");
}

BOOST_AUTO_TEST_CASE(usage_measurements_are_converted_to_slopes) {
  slope_set slopes;
  slopes.AddJson("no json");
  slopes.AddJson(R"({"usages":[{"name":"node, idle","cpu_percent":1},)"
                 R"({"name":"node, 50 calls/s a node","cpu_percent":2},)"
                 R"({"name":"node, 100 calls/s a node","cpu_percent":3},)"
                 R"({"name":"control VM, idle","cpu_percent":9}]})");
  BOOST_TEST(slopes.Find("node_idle_cpu_percent").value() == 1);
  BOOST_TEST(slopes.Find("node_cpu_percent_per_call").value() == 0.02,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!slopes.Find("lease_cpu").has_value());
}

BOOST_AUTO_TEST_CASE(files_named_in_documents_exist) {
  const std::regex file_name(
      R"([`( ]((?:tools|docs|models|bench|src|tests|\.ci)/[A-Za-z0-9_./-]*[A-Za-z0-9_]))");
  for (const auto& document : Documents()) {
    for (const std::string& name : FindAll(ReadText(document), file_name)) {
      BOOST_TEST(std::filesystem::exists(kRoot / name),
                 document.filename().string() << " names " << name);
    }
  }
}

BOOST_AUTO_TEST_CASE(commands_named_in_documents_exist) {
  const std::regex command(R"(hornbeamctl ([a-z]+(?: [a-z]+)?))");
  for (const auto& document : Documents()) {
    // Only code spans and code blocks contain commands.
    const std::regex code(R"((`[^`\n]+`|\n    [^\n]+))");
    for (const std::string& part : FindAll(ReadText(document), code)) {
      for (const std::string& words : FindAll(part, command)) {
        BOOST_TEST(IsCtlCommand(words), document.filename().string()
                                            << " names hornbeamctl " << words);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
