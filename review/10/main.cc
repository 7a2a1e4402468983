// A node that is stopped and started again forgets that its target has
// deregistered; a report of the target that arrives late brings the target
// back.
#include "stage_site.h"

using namespace stage;

namespace {

constexpr int kClients = 12;
constexpr double kDrainMs = 2000;         // drainS
constexpr double kStableWindowMs = 3000;  // stableWindowS
constexpr double kReportDelayMs = 5000;   // How late the report arrives.
constexpr double kServesOnMs = 14000;     // How long the target serves on.

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
  const int b =
      site.AddNode({.name = "side-b", .zone = "zone-b", .service = "dossiers"});
  const int c =
      site.AddNode({.name = "side-c", .zone = "zone-c", .service = "dossiers"});
  const auto work = [](const http_message&) { return 60.0; };
  target leaving("i-leaving", "dossiers", site.App(b), site.NodeControl(b),
                 work);
  target staying("i-staying", "dossiers", site.App(c), site.NodeControl(c),
                 work);
  if (!leaving.Start() || !staying.Start()) return kCouldNotRun;
  const std::string manifest =
      Manifest({{"r-filing", "/filing/", "unsafe", 1.2, "dossiers"}},
               {"guichet", "dossiers"});
  if (site.Order("/hornbeamlb/Config.Replace", manifest, 15000) != 200 ||
      !site.WaitReady(a, 10000) || !site.WaitReady(b, 10000) ||
      !site.WaitReady(c, 10000))
    return kCouldNotRun;
  SleepMs(4000);  // More than stableWindowS: all machines are in touch.

  std::atomic<bool> stopped = false;
  std::atomic<int> served = 0;
  const auto consume = [&](int number) {
    std::mt19937 random(static_cast<unsigned>(number));
    int fd = -1;
    std::string buffer;
    while (!stopped) {
      SleepMs(150 + static_cast<double>(random() % 300));
      if (fd >= 0 && HasEnded(fd)) {
        ::close(fd);
        fd = -1;
      }
      if (fd < 0) {
        buffer.clear();
        fd = Connect(site.Callers(a));
        if (fd < 0) continue;
      }
      const std::string id = RandomId();
      const double sent_at = NowMs();
      http_message answer;
      if (WriteAll(fd, Request("POST", "/filing/x", id, 1200, "form")))
        answer = ReadMessage(fd, buffer, 2500);
      RECORD("filing %s sent at %.1f to side-a: status %d", id.c_str(), sent_at,
             answer.Status());
      served += answer.Status() == 200 ? 1 : 0;
      if (!answer.whole || SameName(answer.Field("Connection"), "close")) {
        ::close(fd);
        fd = -1;
      }
    }
    if (fd >= 0) ::close(fd);
  };
  std::vector<std::thread> consumers;
  for (int i = 0; i < kClients; ++i) consumers.emplace_back(consume, i);
  SleepMs(3000);

  // The target's last report is held up on its way.
  const std::string report = leaving.BeatBody("ready");
  const double reported_at = NowMs();
  RECORD("i-leaving sends a report, which is held up");
  std::thread late([&] {
    SleepUntilMs(reported_at + kReportDelayMs);
    const int status =
        CallOnce(site.NodeControl(b), "POST", leaving.BeatPath(), report, 1000)
            .Status();
    RECORD("the report of i-leaving from %.1f arrives at side-b: %d",
           reported_at, status);
  });
  SleepMs(100);
  const bool confirmed = leaving.Deregister();
  const double confirmed_at = NowMs();
  RECORD("i-leaving deregisters at side-b: %s",
         confirmed ? "confirmed" : "not confirmed");
  SleepMs(200);
  double started_at = confirmed_at;
  if (HasTrouble()) {
    RECORD("side-b gets SIGTERM");
    site.Node(b).Signal(SIGTERM);
    // graceS is 6 s.
    if (!site.Node(b).WaitEnd(6000)) site.Node(b).Kill();
    RECORD("side-b has ended");
    SleepMs(200);
    site.Node(b).Start();
    started_at = NowMs();
    RECORD("side-b is started again");
  }
  late.join();
  SleepUntilMs(confirmed_at + kServesOnMs);
  stopped = true;
  for (auto& each : consumers) each.join();
  leaving.Stop();

  // DRAIN: by machines in touch only, so what came while side-b was stopped or
  // within stableWindowS of its start does not count.
  const double from =
      std::max(confirmed_at + kDrainMs, started_at + kStableWindowMs);
  int broken = 0;
  for (const run& each : leaving.Runs()) {
    if (each.at_ms <= from) continue;
    ++broken;
    RECORD("DRAIN: %s reached i-leaving %.1f s after the confirmation",
           each.id.c_str(), (each.at_ms - confirmed_at) / 1000);
  }
  RECORD("%d filings served, %d reached the target that had deregistered",
         served.load(), broken);
  std::printf("served %d, reached the deregistered target %d\n", served.load(),
              broken);
  if (!confirmed || served == 0) return kCouldNotRun;
  return broken > 0 ? kBroken : kHeld;
}
