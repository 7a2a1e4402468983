// Program of tools/quickstart: starts a small site, sends it a few hundred
// mixed calls and checks that the counts of the callers and the upstreams
// agree.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "support/load_plan.h"
#include "support/load_run.h"
#include "support/run_record.h"
#include "support/site.h"

namespace hornbeam {

namespace {

constexpr int kUsageError = 2;
constexpr std::string_view kSettings = "[service]\n";

site_options MakeOptions(bool keeps_running) {
  site_options options;
  for (const std::string name : {"guichet", "dossiers"}) {
    options.services.push_back(
        site_service{.name = name,
                     .behaviour = R"({"short_ms":10,"long_ms":300})",
                     .settings = std::string(kSettings)});
  }
  options.outlives_parent = keeps_running;
  return options;
}

load_plan MakePlan(const site& running) {
  load_plan plan;
  plan.nodes = running.NodeAddresses();
  plan.services = {"guichet", "dossiers"};
  plan.rate = 120;
  plan.duration = std::chrono::seconds(5);
  plan.history_share = 0.03;
  plan.filing_share = 0.2;
  plan.resend_share = 0.5;
  return plan;
}

// Counts of the runs that the stand-in upstreams recorded, compared with the
// results that the callers received.
struct run_counts {
  std::size_t lookups_run = 0;
  std::size_t histories_run = 0;
  std::size_t filings_run = 0;     // Runs of filings, including resends.
  std::size_t run_repeatedly = 0;  // Filings that ran more than once.
  std::size_t never_run = 0;       // Answered filings that never ran.
  std::size_t false_not_run = 0;   // Filings reported as not run that did run.
};

run_counts CountRunsByKind(const load_result& load,
                           const std::vector<run_entry>& runs) {
  run_counts counts;
  std::map<std::string, std::size_t> runs_of_key;
  for (const run_entry& run : runs) {
    if (run.event != run_event::kReceived || run.target.ends_with("warm-up")) {
      continue;
    }
    if (run.method == "POST") {
      ++counts.filings_run;
      ++runs_of_key[run.key];
    } else if (run.target.find("/history") != std::string::npos) {
      ++counts.histories_run;
    } else {
      ++counts.lookups_run;
    }
  }
  for (const filing_result& filing : load.filings) {
    const std::size_t times = runs_of_key[filing.key];
    const bool answered =
        std::ranges::count(filing.copies, call_status::kAnswered) > 0;
    const bool not_run =
        std::ranges::count(filing.copies, call_status::kNotRun) ==
        std::ssize(filing.copies);
    if (times > 1) ++counts.run_repeatedly;
    if (answered && times == 0) ++counts.never_run;
    if (not_run && times > 0) ++counts.false_not_run;
  }
  return counts;
}

bool CountsAgree(const load_result& load, const run_counts& counts) {
  const load_summary all = Summarise(load);
  const std::size_t filings = Summarise(load, call_kind::kFiling).answered;
  return all.answered == all.sent && counts.run_repeatedly == 0 &&
         counts.never_run == 0 && counts.false_not_run == 0 &&
         counts.filings_run == filings;
}

void PrintCounts(const load_result& load, const run_counts& counts) {
  fmt::print("{}\n", FormatText(load));
  fmt::print("run by the upstreams: {} lookups, {} histories, {} filings\n",
             counts.lookups_run, counts.histories_run, counts.filings_run);
  fmt::print(
      "filings run twice: {}, answered but never run: {}, reported not-run "
      "but run: {}\n",
      counts.run_repeatedly, counts.never_run, counts.false_not_run);
}

void PrintSite(site& running) {
  fmt::print("directory of settings, logs and records: {}\n",
             running.Directory().string());
  const auto print = [](std::string_view kind,
                        const std::vector<site_process>& group) {
    for (const site_process& each : group) {
      fmt::print(
          "{:<9} {:<22} pid {:<8} callers {:<16} peers {:<16} local {}\n", kind,
          each.name, each.process->Pid(), each.callers, each.peers, each.local);
    }
  };
  print("control", running.ControlVms());
  print("node", running.Nodes());
  print("upstream", running.Upstreams());
  fmt::print("stop it with: kill");
  for (auto* group :
       {&running.Upstreams(), &running.Nodes(), &running.ControlVms()}) {
    for (const site_process& each : *group) {
      fmt::print(" {}", each.process->Pid());
    }
  }
  fmt::print("\n");
}

int Run(bool keeps_running) {
  const auto running = site::MakeSite(MakeOptions(keeps_running));
  if (running == nullptr) {
    fmt::print(stderr, "quickstart: no free ports or no temporary directory\n");
    return 1;
  }
  if (!running->Start()) {
    running->KeepDirectory();
    fmt::print(stderr, "quickstart: {}\nlogs are in {}\n", running->LastError(),
               running->Directory().string());
    return 1;
  }
  fmt::print(
      "3 control VMs, 6 nodes and 6 upstreams in 3 availability zones "
      "are up; sending mixed calls for 5 s\n\n");
  std::fflush(stdout);
  const load_plan plan = MakePlan(*running);
  const auto load = RunLoad(plan);
  if (!load) return 1;
  const run_counts counts = CountRunsByKind(*load, running->Runs());
  PrintCounts(*load, counts);
  bool good = CountsAgree(*load, counts);
  if (keeps_running) {
    PrintSite(*running);
    running->Release();
  } else if (!running->Stop()) {
    fmt::print("not every process exited with 0:\n{}", running->LastError());
    good = false;
  } else {
    fmt::print("all processes exited with 0\n");
  }
  if (!good) running->KeepDirectory();
  fmt::print("{}\n", good ? "every count agrees" : "COUNTS DO NOT AGREE");
  if (!good) {
    fmt::print("logs are in {}\n", running->Directory().string());
  }
  return good ? 0 : 1;
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  const bool keeps_running = argc == 2 && std::string_view(argv[1]) == "--keep";
  if (argc > 1 && !keeps_running) {
    fmt::print(stderr, "usage: tools/quickstart [--keep]\n");
    return hornbeam::kUsageError;
  }
  return hornbeam::Run(keeps_running);
}
