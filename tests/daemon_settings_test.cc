// Tests of the daemon's settings file: parsing, validation and error messages.
#include "daemon/daemon_settings.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "daemon/command_line.h"
#include "daemon/setting_catalogue.h"

namespace hornbeam {

namespace {

constexpr std::string_view kNodeFile =
    "[process]\n"
    "role = node\n"
    "name = sfax-a-1  ; unique in the deployment\n"
    "region = sfax\n"
    "availability_zone = sfax-a\n"
    "[listen]\n"
    "callers = 127.0.0.1:8080\n"
    "peers = 127.0.0.1:8081\n"
    "local = [::1]:8082\n"
    "[control]\n"
    "addresses = 127.0.0.1:7001, 127.0.0.1:7002,127.0.0.1:7003\n";

std::string ErrorsOf(const std::string& text) {
  const auto read = ReadDaemonSettings(text);
  return read ? "" : FormatConfigErrors("f", read.error());
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(daemon_settings_test)

BOOST_AUTO_TEST_CASE(minimal_file_is_accepted_with_defaults) {
  const auto read = ReadDaemonSettings(kNodeFile);
  BOOST_REQUIRE(read.has_value());
  const daemon_settings& settings = read.value();
  BOOST_TEST(settings.process.name == "sfax-a-1");
  BOOST_TEST((settings.listen.local == endpoint{"::1", 8082}));
  BOOST_TEST(settings.control_addresses.size() == 3U);
  BOOST_TEST((settings.log.level == event_level::kInfo));
  BOOST_TEST(settings.limits.request_body_bytes == 8U * 1024 * 1024);
  BOOST_TEST((settings.limits.lease_duration == std::chrono::seconds(4)));
}

BOOST_AUTO_TEST_CASE(control_role_reads_team_tokens) {
  const auto read = ReadDaemonSettings(
      "[process]\nrole=control\nname=c1\nregion=r\navailability_zone=z\n"
      "[listen]\npeers=127.0.0.1:7001\nlocal=127.0.0.1:7101\n"
      "[control]\naddresses=127.0.0.1:7001\n"
      "[storage]\ndata_folder=/tmp/x\n"
      "[teams]\nnappe=0123456789abcdef\n");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().teams.at(0).team == "nappe");
  BOOST_TEST(!read.value().listen.callers.has_value());
}

BOOST_AUTO_TEST_CASE(all_errors_of_a_file_are_reported) {
  const std::string errors =
      ErrorsOf(std::string(kNodeFile) +
               "[limits]\nheader_bytes = 1\nidle_timeot_ms = 5\n"
               "nonsense\nheader_timeout_ms = -1\n[storage]\ndata_folder=/x\n"
               "[listen]\npeers = 127.0.0.1:1\n");
  BOOST_TEST(Contains(errors,
                      "f:13: limits.header_bytes: '1' is not a valid value; "
                      "accepted: 1024 to 1048576\n"));
  BOOST_TEST(Contains(errors,
                      "f:14: limits.idle_timeot_ms: unknown key; accepted: did "
                      "you mean limits.idle_timeout_ms?\n"));
  BOOST_TEST(Contains(errors, "f:15: "));
  BOOST_TEST(Contains(errors, "f:16: limits.header_timeout_ms: '-1' is"));
  BOOST_TEST(Contains(errors, "f:18: storage.data_folder: belongs"));
  BOOST_TEST(Contains(errors, "f:20: key 'peers' stands already in line 8"));
}

BOOST_AUTO_TEST_CASE(missing_and_conflicting_keys_are_errors) {
  BOOST_TEST(Contains(ErrorsOf(""), "f:0: process.role: missing"));
  BOOST_TEST(Contains(ErrorsOf("[process]\nrole = control\n"),
                      "f:0: storage.data_folder: missing"));
  BOOST_TEST(Contains(
      ErrorsOf(std::string(kNodeFile) + "[limits]\nlease_interval_ms = 3000\n"),
      "f:0: limits.lease_duration_ms: shorter than two lease renewal "
      "intervals"));
}

// Guards against timers that together exceed the promised time until a change
// is in force: each of them may be valid by itself.
BOOST_AUTO_TEST_CASE(control_timers_beyond_the_staleness_limit_are_errors) {
  const auto errors = [](const std::string& timers) {
    return ErrorsOf(
        "[process]\nrole=control\nname=c1\nregion=r\navailability_zone=z\n"
        "[listen]\npeers=127.0.0.1:7001\nlocal=127.0.0.1:7101\n"
        "[storage]\ndata_folder=/tmp/x\n"
        "[control]\naddresses=127.0.0.1:7001\n" +
        timers);
  };
  const std::string good =
      "heartbeat_ms = 150\nisolation_limit_ms = 900\n"
      "staleness_limit_ms = 2000\n";
  BOOST_TEST(errors(good) == "");
  BOOST_TEST(
      Contains(errors("heartbeat_ms = 150\nisolation_limit_ms = 1500\n"
                      "staleness_limit_ms = 2000\n"),
               "control.staleness_limit_ms: shorter than isolation_limit_ms"));
  BOOST_TEST(Contains(errors("heartbeat_ms = 250\nisolation_limit_ms = 900\n"
                             "staleness_limit_ms = 2000\n"),
                      "control.isolation_limit_ms: shorter than four "
                      "heartbeats; accepted: 1000 or more"));
}

// Error messages go to terminals and logs, which must not contain tokens.
BOOST_AUTO_TEST_CASE(invalid_token_is_not_shown) {
  const std::string errors =
      ErrorsOf("[process]\nrole=control\n[teams]\nnappe=secret two\n");
  BOOST_TEST(Contains(errors, "f:4: teams.nappe: '(hidden)'"));
  BOOST_TEST(!Contains(errors, "secret"));
}

BOOST_AUTO_TEST_CASE(every_default_is_a_valid_value) {
  for (const setting_info& info : SettingCatalogue()) {
    if (!info.default_value || info.key == kAnyKey) continue;
    daemon_settings settings;
    BOOST_TEST(info.store(info.key, *info.default_value, settings),
               info.key << " rejects its own default");
  }
}

BOOST_AUTO_TEST_CASE(command_line_requires_settings_file) {
  const auto check =
      std::to_array<const char*>({"hornbeamd", "--config", "f", "--check"});
  BOOST_REQUIRE(ParseDaemonCommandLine(check).has_value());
  BOOST_TEST(
      (ParseDaemonCommandLine(check).value().action == daemon_action::kCheck));
  const auto none = std::to_array<const char*>({"hornbeamd"});
  BOOST_TEST(!ParseDaemonCommandLine(none).has_value());
  const auto stray = std::to_array<const char*>({"hornbeamd", "x"});
  BOOST_TEST(!ParseDaemonCommandLine(stray).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
