// A control VM is exchanged by plan. Then one other control VM loses its disk,
// right after a manifest was acknowledged. The control group never comes back.
#include "stage_site.h"

using namespace stage;

namespace {

constexpr double kCatchUpMs = 4000;    // catchUpS
constexpr double kGraceMs = 6000;      // graceS
constexpr double kRecoveryMs = 15000;  // recoveryS
constexpr double kReadForMs = 40000;   // How long the operator reads back.
constexpr double kDarkMs = 1500;       // How long the machine is down.

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return kCouldNotRun;
  Origin();
  ::signal(SIGPIPE, SIG_IGN);
  record_file::Get().Open(std::string(argv[2]) + "/record.txt");
  deployment site(argv[1]);
  site.StartControls();
  const int a =
      site.AddNode({.name = "side-a", .zone = "zone-a", .service = "guichet"});
  target desk("i-guichet", "guichet", site.App(a), site.NodeControl(a),
              [](const http_message&) { return 30.0; });
  if (!desk.Start()) return kCouldNotRun;
  const std::string first =
      Manifest({{"r-lookup", "/lookup/", "safe", 1.0, "guichet"}}, {"guichet"});
  if (site.Order("/hornbeamlb/Config.Replace", first, 15000) != 200 ||
      !site.WaitReady(a, 10000))
    return kCouldNotRun;
  SleepMs(4000);

  RECORD("core-3 is added, with an empty disk, at a new address");
  site.AddControl(3, false, {0, 1, 2});
  SleepMs(2 * kCatchUpMs);  // Twice what the successor needs by the pages.
  RECORD("core-2 gets SIGTERM; it is removed for good");
  site.Control(2).Signal(SIGTERM);
  if (!site.Control(2).WaitEnd(kGraceMs)) site.Control(2).Kill();
  RECORD("core-2 has ended");

  // The operator changes the manifest and gets the confirmation.
  std::string second = first;
  second.replace(second.find("\"r1\""), 4, "\"r3\"");
  second.replace(second.find("\"baseVersion\":\"r0\""), 18,
                 "\"baseVersion\":\"r1\"");
  const int status =
      site.Order("/hornbeamlb/Config.Replace", second, 4000, {0, 1, 3});
  RECORD("manifest r3 sent: %d", status);
  if (status != 200) return kCouldNotRun;
  const double acknowledged_at = NowMs();
  if (HasTrouble()) {
    RECORD("core-1 is killed and loses its disk");
    site.Control(1).Kill();
    std::error_code ignored;
    std::filesystem::remove_all(site.DataFolder(1), ignored);
    SleepMs(kDarkMs);
    RECORD("core-1 is started again with an empty disk");
    site.AddControl(1, false, {0, 1, 3});
  }

  // Reads the manifest back from every control VM that runs.
  double back_at = 0;
  std::string read;
  while (NowMs() < acknowledged_at + kReadForMs && back_at == 0) {
    for (const int each : {0, 1, 3}) {
      const http_message answer = CallOnce(site.Operators(each), "GET",
                                           "/hornbeamlb/Config.Get", "", 1000);
      RECORD("read at core-%d: %d", each, answer.Status());
      if (answer.Status() != 200) continue;
      back_at = NowMs();
      read = answer.body;
      break;
    }
    SleepMs(500);
  }
  const bool newest = read.find("\"r3\"") != std::string::npos;
  std::string next = second;
  next.replace(next.find("\"r3\""), 4, "\"r5\"");
  next.replace(next.find("\"baseVersion\":\"r1\""), 18,
               "\"baseVersion\":\"r3\"");
  const int changed =
      site.Order("/hornbeamlb/Config.Replace", next, 8000, {0, 1, 3});
  RECORD("manifest r5 sent: %d", changed);
  if (back_at > 0) {
    RECORD("manifest read back %.1f s after the confirmation: %s",
           (back_at - acknowledged_at) / 1000, newest ? "r3" : "not r3");
  } else {
    RECORD("the manifest did not come for %.0f s", kReadForMs / 1000);
  }
  std::printf("read back %s, next change %d\n",
              back_at > 0 ? (newest ? "r3" : "another version") : "never",
              changed);
  desk.Stop();
  const bool in_time =
      back_at > 0 && back_at < acknowledged_at + kDarkMs + kRecoveryMs + 5000;
  return in_time && newest ? kHeld : kBroken;
}
