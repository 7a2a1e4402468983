// Planned stops of the only node of a zone, with requests of almost three
// seconds; see claim.txt.
#include "../common/site.h"

namespace review {
namespace {

constexpr int kConsumers = 64;
constexpr int kWorkMs = 2750;
constexpr int kMinPauseMs = 600;
constexpr unsigned kMorePauseMs = 2400;
constexpr int kDeadlineMs = 4000;
constexpr int kStops = 7;
constexpr std::int64_t kGraceMs = 6000;    // graceS.
constexpr std::int64_t kExcusedMs = 3000;  // See the rule.

int Main() {
  record.Open("review/5/record.txt");
  site where;
  if (!where.Make(3, {"guichet", "nappe-data", "nappe-data"}))
    return kCouldNotRun;
  std::vector<std::unique_ptr<target>> targets;
  std::vector<target*> all;
  for (std::size_t i = 0; i < where.sides.size(); ++i) {
    targets.push_back(std::make_unique<target>(
        where, where.sides[i], "i-" + std::to_string(i + 1), 40));
    all.push_back(targets.back().get());
    all.back()->work = [](const message&) { return plan{.work_ms = kWorkMs}; };
    if (!all.back()->Start()) return kCouldNotRun;
  }
  if (!where.StartAll()) return kCouldNotRun;
  const beats reports(all);
  const std::string manifest = Manifest(1, 0,
                                        {{.name = "r-history",
                                          .host = "history.example",
                                          .prefix = "/history/",
                                          .kind = "unsafe",
                                          .service = "nappe-data",
                                          .timeout_s = 4,
                                          .aim_s = 3.5},
                                         {.name = "r-guichet",
                                          .host = "guichet.example",
                                          .prefix = "/guichet/",
                                          .kind = "safe",
                                          .service = "guichet"}});
  if (Order(where, "/hornbeamlb/Config.Replace", manifest, 10'000) != 200)
    return kCouldNotRun;
  if (!where.WaitReady(10'000)) return kCouldNotRun;
  machine& ingress = where.sides[0];

  std::atomic<bool> stop = false;
  std::mutex mutex;
  std::vector<outcome> outcomes;
  std::vector<std::thread> threads;
  for (int i = 0; i < kConsumers; ++i) {
    threads.emplace_back([&, i] {
      std::mt19937 pauses(static_cast<unsigned>(i));
      SleepMs(70 * i);
      consumer one(where, ingress);
      while (!stop) {
        outcome result =
            one.Call("POST", "history.example", "/history/levels", kDeadlineMs);
        const bool no_connection = result.why == "no connection";
        {
          const std::scoped_lock lock(mutex);
          if (!no_connection) outcomes.push_back(std::move(result));
        }
        SleepMs(no_connection ? 100 : kMinPauseMs + pauses() % kMorePauseMs);
      }
    });
  }
  std::vector<std::int64_t> stops;
  for (int i = 0; i < kStops; ++i) {
    SleepMs(6000 + 130 * i);
    if (!WithTrouble()) {
      SleepMs(kGraceMs);
      continue;
    }
    const std::int64_t at = NowMs();
    stops.push_back(at);
    where.Signal(ingress, SIGTERM, "SIGTERM");
    while (ingress.pid > 0 && NowMs() < at + kGraceMs) {
      where.Ended(ingress);
      SleepMs(10);
    }
    if (ingress.pid > 0) where.Kill(ingress);
    SleepMs(500);
    if (!where.StartProcess(ingress, false)) return kCouldNotRun;
  }
  SleepMs(4000);
  stop = true;
  for (std::thread& each : threads) each.join();

  std::map<std::string, std::int64_t> ran_at;
  for (const run& each : runs.All()) ran_at[each.request] = each.at_ms;
  int lost = 0;
  int excused = 0;
  int answered = 0;
  for (const outcome& each : outcomes) {
    NoteOutcome(each);
    answered += each.status == 200 ? 1 : 0;
    const bool is_of_target =
        !each.answer.Field("x-response-signature").empty();
    const auto ran = ran_at.find(each.request);
    if (is_of_target || ran == ran_at.end()) continue;
    if (each.ended_ms >= ran->second + kWorkMs) continue;  // Not at work.
    const auto before = [&](std::int64_t at) { return at <= each.sent_ms; };
    const auto stopped =
        std::ranges::find_if(stops.rbegin(), stops.rend(), before);
    if (stopped == stops.rend()) continue;
    const std::int64_t sent = each.sent_ms - *stopped;
    const std::int64_t ended = each.ended_ms - *stopped;
    if (ended > kGraceMs + 1000) continue;
    // "[...] still at work in the last sixth of graceS on a request that was
    // sent no later than 3 s after the SIGTERM" doesn't count.
    const bool is_excused = sent <= kExcusedMs && ended >= kGraceMs * 5 / 6;
    (is_excused ? excused : lost) += 1;
    Note(
        "consumer: POST %s sent %lld ms after the SIGTERM, begun by its target "
        "%lld ms after it, broken off %lld ms after it: %d %s%s",
        each.request.c_str(), static_cast<long long>(sent),
        static_cast<long long>(ran->second - *stopped),
        static_cast<long long>(ended), each.status, each.why.c_str(),
        is_excused ? " (excused)" : " LOST");
  }
  Note(
      "result: %zu requests, %d answered by their targets; LOST %d; broken off "
      "but excused %d; planned stops %zu",
      outcomes.size(), answered, lost, excused, stops.size());
  if (answered == 0) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() { return review::Main(); }
