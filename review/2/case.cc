// Hundreds of changes of a manifest with many routes; see claim.txt.
#include "../common/site.h"

namespace review {
namespace {

constexpr int kFirstRoutes = 16;
constexpr int kMoreRoutes = 1792;  // Of one big_config.
constexpr int kBigConfigs = 4;
constexpr int kChanges = 300;
constexpr int kGapMs = 330;
constexpr std::int64_t kLastsMs = 100'000;
constexpr std::int64_t kMemoryMb = 256;  // limits.memoryMb of the core.
constexpr std::int64_t kRestartMs = 500;

std::int64_t MemoryMb(pid_t pid) {
  std::istringstream in(ReadText("/proc/" + std::to_string(pid) + "/status"));
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("VmRSS:")) return std::atoll(line.c_str() + 6) / 1024;
  }
  return 0;
}

// A whole manifest. Each version changes the timeout of one route.
std::string WholeManifest(int version, int base, int route_count) {
  std::string text = Text(R"({"version":"r%d","routes":{)", version);
  for (int i = 0; i < route_count; ++i) {
    text += Text(
        R"(%s"r-n2c%05d":{"host":"hulo%05d.example","pathPrefix":"/leny%05d/","kind":"safe","timeoutS":%g,"aimS":0.4,"priority":2,"split":[{"service":"guichet","weight":90},{"service":"dossiers","weight":10}],"maxAttempts":2})",
        i == 0 ? "" : ",", i, i, i, i == version % route_count ? 1.5 : 1.0);
  }
  return text +
         Text(
             R"(},"services":{"guichet":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false},"dossiers":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":"r%d"})",
             base);
}

int Main() {
  record.Open("review/2/record.txt");
  site where;
  if (!where.Make(3, {"guichet", "dossiers", "guichet"})) return kCouldNotRun;
  std::vector<std::unique_ptr<target>> targets;
  std::vector<target*> all;
  for (std::size_t i = 0; i < where.sides.size(); ++i) {
    targets.push_back(std::make_unique<target>(
        where, where.sides[i], "i-" + std::to_string(i + 1), 18));
    all.push_back(targets.back().get());
    if (!all.back()->Start()) return kCouldNotRun;
  }
  if (!where.StartAll()) return kCouldNotRun;
  const beats reports(all);
  int routes = kFirstRoutes;
  if (Order(where, "/hornbeamlb/Config.Replace", WholeManifest(1, 0, routes),
            10'000) != 200)
    return kCouldNotRun;
  if (!where.WaitReady(10'000)) return kCouldNotRun;
  SleepMs(4000);

  // The platform: a process that uses more than memoryMb is killed, and started
  // again after a short delay.
  std::atomic<bool> stop = false;
  std::vector<int> kills(where.core.size());
  std::vector<std::int64_t> peaks(where.core.size());
  std::thread platform([&] {
    std::vector<std::int64_t> starts(where.core.size(), -1);
    while (!stop) {
      for (std::size_t i = 0; i < where.core.size(); ++i) {
        machine& each = where.core[i];
        if (starts[i] >= 0 && NowMs() >= starts[i]) {
          starts[i] = -1;
          where.StartProcess(each, false);
        }
        if (each.pid <= 0) continue;
        const std::int64_t used = MemoryMb(each.pid);
        peaks[i] = std::max(peaks[i], used);
        if (used <= kMemoryMb) continue;
        Note("platform: %s uses %lld MB of %lld", each.name.c_str(),
             static_cast<long long>(used), static_cast<long long>(kMemoryMb));
        where.Kill(each);
        ++kills[i];
        starts[i] = NowMs() + kRestartMs;
      }
      SleepMs(10);
    }
  });

  int version = 1;
  int changes = 0;
  int unclear = 0;
  int refused = 0;
  const std::int64_t until = NowMs() + kLastsMs;
  while (NowMs() < until && changes < kChanges) {
    if (WithTrouble() && changes % 5 == 0 && changes < 5 * kBigConfigs) {
      routes += kMoreRoutes;
      Note("operator: the manifest grows to %d routes", routes);
    }
    const std::int64_t next = NowMs() + kGapMs;
    const int status = Order(where, "/hornbeamlb/Config.Replace",
                             WholeManifest(version + 1, version, routes), 8000);
    if (status == 200) ++version;
    unclear += status == 0 ? 1 : 0;
    refused += status != 0 && status != 200 ? 1 : 0;
    ++changes;
    SleepUntilMs(next);
  }
  stop = true;
  platform.join();
  int machines_hit = 0;
  for (std::size_t i = 0; i < where.core.size(); ++i) {
    Note("%s: peak %lld MB, killed %d times", where.core[i].name.c_str(),
         static_cast<long long>(peaks[i]), kills[i]);
    machines_hit += kills[i] >= 3 ? 1 : 0;
  }
  Note(
      "result: %d orders of %zu bytes, %d acknowledged, %d refused, %d without "
      "a clear answer; core machines whose process ended three times or more: "
      "%d of %zu",
      changes, WholeManifest(1, 0, routes).size(), version - 1, refused,
      unclear, machines_hit, where.core.size());
  if (version == 1) return kCouldNotRun;
  return 2 * static_cast<std::size_t>(machines_hit) >= where.core.size()
             ? kBroken
             : kHeld;
}

}  // namespace
}  // namespace review

int main() { return review::Main(); }
