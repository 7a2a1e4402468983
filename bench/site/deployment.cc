#include "site/deployment.h"

#include <fmt/format.h>

#include <array>
#include <span>
#include <string_view>

namespace hornbeam {

namespace {

constexpr std::size_t kSlots = 20;
// Service times are longer than in production, so that a run saturates the
// slots before the CPU of the machine that runs all processes.
constexpr double kShortMs = 50;
constexpr double kLongMs = 1000;
constexpr double kMillisecondsPerSecond = 1000;

struct service_size {
  std::string_view name;
  std::size_t upstreams;
};

void AddServices(deployment& target, std::span<const service_size> sizes) {
  for (const service_size& size : sizes) {
    if (size.name == target.measured_service) {
      target.measured_upstreams = size.upstreams;
    } else if (target.measured_upstreams == 0) {
      target.first_measured += size.upstreams;
    }
    target.services.push_back(site_service{
        .name = std::string(size.name),
        .upstreams = size.upstreams,
        .slots = target.slots,
        .behaviour = fmt::format(R"({{"short_ms":{},"long_ms":{}}})",
                                 target.short_ms, target.long_ms)});
  }
}

deployment MakeNappe() {
  deployment result{.name = "nappe",
                    .availability_zones = {"sfax-a", "sfax-b", "gabes-c"},
                    .services = {},
                    .measured_service = "nappe-data",
                    .slots = kSlots,
                    .connections_per_node = 260,
                    .short_ms = kShortMs,
                    .long_ms = kLongMs,
                    .overload_settings = "crest = wait\n"};
  constexpr std::array kSizes = {
      service_size{"guichet", 3}, service_size{"dossiers", 3},
      service_size{"compteurs", 3}, service_size{"nappe-data", 5}};
  AddServices(result, kSizes);
  return result;
}

deployment MakeAral() {
  deployment result{.name = "aral",
                    .availability_zones = {"aktau", "kuryk", "bautino"},
                    .services = {},
                    .measured_service = "tagdesk",
                    .slots = kSlots,
                    .connections_per_node = 220,
                    .short_ms = kShortMs,
                    .long_ms = kLongMs,
                    .overload_settings = "crest = wait\n"};
  constexpr std::array kSizes = {
      service_size{"tagdesk", 3}, service_size{"licensing", 3},
      service_size{"inspect", 3}, service_size{"gearloss", 3}};
  AddServices(result, kSizes);
  return result;
}

}  // namespace

std::optional<deployment> FindDeployment(std::string_view name) {
  if (name == "nappe") return MakeNappe();
  if (name == "aral") return MakeAral();
  return std::nullopt;
}

double SlotCapacity(const deployment& measured, double long_share) {
  const double mean_ms =
      measured.short_ms * (1 - long_share) + measured.long_ms * long_share;
  return static_cast<double>(measured.measured_upstreams * measured.slots) *
         kMillisecondsPerSecond / mean_ms;
}

}  // namespace hornbeam
