// tools/verdict, which counts test results and decides whether a run passed.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/child_process.h"

namespace hornbeam {

namespace {

constexpr std::chrono::seconds kLimit(30);

struct verdict {
  int exit_code = -1;
  std::string output;
};

// Runs tools/verdict on `lines` with `known` as the list of known failures.
verdict RunVerdict(const std::string& lines, const std::string& known) {
  std::string name =
      (std::filesystem::temp_directory_path() / "verdict-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
  const std::filesystem::path directory = name;
  std::ofstream(directory / "lines") << lines;
  std::ofstream(directory / "known") << known;
  const std::string command = std::string(HORNBEAM_SOURCE_DIRECTORY) +
                              "/tools/verdict known <lines 2>&1";
  verdict seen;
  const auto process = child_process::MakeChildProcess(
      {.program = "/bin/bash",
       .arguments = {"-c", "cd " + name + " && " + command},
       .output_path = (directory / "output").string(),
       .error_path = (directory / "errors").string()});
  BOOST_REQUIRE(process != nullptr);
  seen.exit_code = process->WaitForExit(kLimit).value_or(-1);
  seen.output = process->Output();
  std::filesystem::remove_all(directory);
  return seen;
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(verdict_process_test)

BOOST_AUTO_TEST_CASE(known_failures_match_by_exact_name_only) {
  const std::string known = "suite/case | command | what was seen | issue 5\n";
  const verdict clean = RunVerdict("PASS a\nFAIL suite/case\nPASS b\n", known);
  BOOST_TEST(clean.exit_code == 0);
  BOOST_TEST(Contains(clean.output, "KNOWN RED suite/case\n"));
  BOOST_TEST(clean.output.ends_with("\n2 passed, 0 failed\n"));
  const verdict other = RunVerdict("PASS a\nFAIL suite/case_two\n", known);
  BOOST_TEST(other.exit_code == 1);
  BOOST_TEST(other.output.ends_with("\n1 passed, 1 failed\n"));
  BOOST_TEST(Contains(other.output, "not failing: suite/case\n"));
}

BOOST_AUTO_TEST_CASE(run_without_passed_test_fails) {
  BOOST_TEST(RunVerdict("nothing ran\n", "").exit_code == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
