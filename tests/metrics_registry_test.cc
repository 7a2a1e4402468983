// Metrics and their text format.
#include "base/metrics_registry.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>

#include "base/process_metrics.h"
#include "support/fake_clock_source.h"

namespace hornbeam {

BOOST_AUTO_TEST_SUITE(metrics_registry_test)

BOOST_AUTO_TEST_CASE(text_has_prometheus_format) {
  const fake_clock_source clock;
  metrics_registry registry(clock);
  registry
      .GetCounter({"hornbeam_calls_total", "Calls."},
                  {{"service", "a\"\\\n"}, {"class", "short"}})
      .Add(2);
  registry.GetGauge({"hornbeam_queued_calls", "Queue."}).Set(1.5);
  registry.GetLatency({"hornbeam_call_seconds", "Time."})
      .Record(std::chrono::milliseconds(250));
  BOOST_TEST(registry.FormatText() ==
             "# HELP hornbeam_call_seconds Time.\n"
             "# TYPE hornbeam_call_seconds summary\n"
             "hornbeam_call_seconds{quantile=\"0.5\"} 0.25\n"
             "hornbeam_call_seconds{quantile=\"0.9\"} 0.25\n"
             "hornbeam_call_seconds{quantile=\"0.99\"} 0.25\n"
             "hornbeam_call_seconds_sum 0.25\n"
             "hornbeam_call_seconds_count 1\n"
             "# HELP hornbeam_calls_total Calls.\n"
             "# TYPE hornbeam_calls_total counter\n"
             "hornbeam_calls_total{class=\"short\",service=\"a\\\"\\\\\\n\"} "
             "2\n"
             "# HELP hornbeam_queued_calls Queue.\n"
             "# TYPE hornbeam_queued_calls gauge\n"
             "hornbeam_queued_calls 1.5\n");
}

BOOST_AUTO_TEST_CASE(same_labels_in_any_order_return_same_metric) {
  const fake_clock_source clock;
  metrics_registry registry(clock);
  const metric_family family{"hornbeam_calls_total", "Calls."};
  counter& first = registry.GetCounter(family, {{"a", "1"}, {"b", "2"}});
  for (int i = 0; i < 100; ++i) {
    registry.GetCounter(family, {{"a", std::to_string(i)}});
  }
  BOOST_TEST(&registry.GetCounter(family, {{"b", "2"}, {"a", "1"}}) == &first);
}

BOOST_AUTO_TEST_CASE(quantiles_describe_last_completed_window) {
  fake_clock_source clock;
  latency_summary summary(clock);
  BOOST_TEST(std::isnan(summary.Quantiles()[0]));
  for (int i = 1; i <= 1000; ++i) summary.Record(std::chrono::milliseconds(i));
  BOOST_TEST(std::abs(summary.Quantiles()[0] - 0.5) < 0.02);
  BOOST_TEST(std::abs(summary.Quantiles()[2] - 0.99) < 0.02);
  clock.Advance(latency_summary::kWindow);
  for (int i = 1; i <= 1000; ++i) summary.Record(std::chrono::seconds(9));
  BOOST_TEST(std::abs(summary.Quantiles()[0] - 0.5) < 0.02);
  clock.Advance(latency_summary::kWindow);
  BOOST_TEST(std::abs(summary.Quantiles()[0] - 9) < 0.01);
  clock.Advance(latency_summary::kWindow);
  BOOST_TEST(std::isnan(summary.Quantiles()[0]));
  BOOST_TEST(summary.Count() == 2000U);
}

BOOST_AUTO_TEST_CASE(resident_memory_of_process_is_reported) {
  const fake_clock_source clock;
  metrics_registry registry(clock);
  process_metrics process(registry);
  process.Sample();
  BOOST_TEST(registry.GetGauge({"process_resident_memory_bytes", ""}).Value() >
             1e6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
