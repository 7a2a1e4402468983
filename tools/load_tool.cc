// Sends mixed calls to nodes at a given rate and prints their results. Exits
// with 0 only when every call got its own complete answer.
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "support/load_plan.h"
#include "support/load_run.h"

namespace hornbeam {

namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;

struct command_line {
  load_plan plan;
  double seconds = 5;
  double peak_period_s = 2;
  double peak_length_s = 0.5;
  std::int64_t deadline_ms = 0;
  bool wants_json = false;
};

po::options_description DescribeOptions(command_line& line) {
  load_plan& plan = line.plan;
  po::options_description described("load_tool");
  auto add = described.add_options();
  add("help", "shows this text");
  add("node", po::value(&plan.nodes)->composing()->required(),
      "caller listener of a node; may be given many times");
  add("service", po::value(&plan.services)->composing()->required(),
      "service to call; may be given many times");
  add("rate", po::value(&plan.rate)->default_value(plan.rate),
      "calls per second");
  add("seconds", po::value(&line.seconds)->default_value(line.seconds),
      "length of the run");
  add("max-calls", po::value(&plan.max_calls)->default_value(plan.max_calls),
      "maximum number of calls");
  add("history-share",
      po::value(&plan.history_share)->default_value(plan.history_share),
      "share of long calls");
  add("filing-share",
      po::value(&plan.filing_share)->default_value(plan.filing_share),
      "share of non-idempotent calls");
  add("resend-share",
      po::value(&plan.resend_share)->default_value(plan.resend_share),
      "share of filings that are resent through other nodes");
  add("swing-factor",
      po::value(&plan.peak_factor)->default_value(plan.peak_factor),
      "factor by which the rate rises at a load peak");
  add("swing-period",
      po::value(&line.peak_period_s)->default_value(line.peak_period_s),
      "seconds from one load peak to the next");
  add("swing-length",
      po::value(&line.peak_length_s)->default_value(line.peak_length_s),
      "length of a load peak in seconds");
  add("deadline-ms",
      po::value(&line.deadline_ms)->default_value(line.deadline_ms),
      "deadline sent with each call; 0 sends none");
  add("connections",
      po::value(&plan.connections_per_node)
          ->default_value(plan.connections_per_node),
      "maximum number of connections to one node");
  add("seed", po::value(&plan.seed)->default_value(plan.seed),
      "seed of the run");
  add("json", po::bool_switch(&line.wants_json), "prints JSON");
  return described;
}

std::chrono::milliseconds ToMilliseconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
}

int Run(command_line line) {
  line.plan.duration = ToMilliseconds(line.seconds);
  line.plan.peak_period = ToMilliseconds(line.peak_period_s);
  line.plan.peak_length = ToMilliseconds(line.peak_length_s);
  line.plan.deadline = std::chrono::milliseconds(line.deadline_ms);
  const auto result = RunLoad(line.plan);
  if (!result) {
    std::cerr << "load_tool: the address of a node is malformed\n";
    return kUsageError;
  }
  std::cout << (line.wants_json ? FormatJson(*result) + "\n"
                                : FormatText(*result));
  const load_summary all = Summarise(*result);
  return all.answered == all.sent ? 0 : 1;
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  hornbeam::command_line line;
  const auto described = hornbeam::DescribeOptions(line);
  namespace po = boost::program_options;
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, described), values);
    if (values.contains("help")) {
      std::cout << described;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "load_tool: " << error.what() << "\n";
    return hornbeam::kUsageError;
  }
  return hornbeam::Run(line);
}
