// Codec of the users' platform: decoding and encoding of its messages.
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "http/http_messages.h"
#include "platform/platform_codec_impl.h"
#include "platform/routing_json.h"
#include "routing/routing_rules.h"

namespace hornbeam {

namespace {

using platform::platform_codec_impl;

const std::string kTable =
    R"({"version":"r7","routes":{"a":{"host":"h.example","pathPrefix":"/a/",)"
    R"("kind":"safe","timeoutS":1.5,"aimS":0.6,"priority":2,"split":[)"
    R"({"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("maxAttempts":2}},"services":{"s":{"healthPath":"/h",)"
    R"("maxConnections":220,"protocol":"h1","tls":false},)"
    R"("t":{"healthPath":"/h"}},"limits":{"maxBodyBytes":100},)"
    R"("baseVersion":"r5"})";

http_request Post(const std::string& target, const std::string& body) {
  return {.method = "POST", .target = target, .body = body};
}

std::string HeartbeatBody(const std::string& status) {
  return R"({"address":"10.0.0.9:8080","born":1700000000000,"info":{)"
         R"("service":"s","version":"v1","zone":"z","slots":18},"status":)" +
         status + "}";
}

std::string Without(const std::string& text, const std::string& part) {
  std::string rest = text;
  rest.erase(rest.find(part), part.size());
  return rest;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_codec_test)

BOOST_AUTO_TEST_CASE(whole_routing_table_round_trips_unchanged) {
  const auto change = platform::ReadRoutingChange(kTable, true);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change.value().version == 7U);
  BOOST_TEST(change.value().base_version == 5U);
  const route& read = change.value().routes.at("a");
  BOOST_TEST(read.idempotent);
  BOOST_TEST(read.timeout_us == 1'500'000U);
  BOOST_TEST(read.objective_us == 600'000U);
  BOOST_TEST(read.parts.size() == 2U);
  const auto table = ApplyRoutingChange({}, change.value());
  boost::json::object sent = boost::json::parse(kTable).as_object();
  sent.erase("baseVersion");
  BOOST_TEST((boost::json::parse(platform::SerializeRoutingTable(
                  table.value())) == boost::json::value(sent)));
}

// Guards against a change that is applied twice because its resend gets another
// id.
BOOST_AUTO_TEST_CASE(resent_change_keeps_its_id_and_another_change_does_not) {
  const auto first = platform::ReadRoutingChange(kTable, true);
  const auto again = platform::ReadRoutingChange(" " + kTable, true);
  std::string other = kTable;
  other.replace(other.find("90"), 2, "80");
  const auto changed = platform::ReadRoutingChange(other, true);
  BOOST_TEST((first.value().change_id == again.value().change_id));
  BOOST_TEST((first.value().change_id != changed.value().change_id));
}

BOOST_AUTO_TEST_CASE(malformed_routing_change_is_rejected) {
  for (const std::string& bad :
       {std::string("{"), std::string("[]"), kTable.substr(0, 100),
        Without(kTable, R"("kind":"safe",)"),
        Without(kTable, R"("version":"r7",)"),
        std::string(R"({"version":"r7","routes":[]})")}) {
    BOOST_TEST(!platform::ReadRoutingChange(bad, true).has_value(), bad);
  }
  std::string unknown_kind = kTable;
  unknown_kind.replace(unknown_kind.find("safe"), 4, "odd!");
  BOOST_TEST(!platform::ReadRoutingChange(unknown_kind, true).has_value());
}

BOOST_AUTO_TEST_CASE(changes_of_named_items_are_decoded) {
  const auto change = platform::ReadRoutingChange(
      R"({"version":"r9","baseVersion":"r7","remove":{"routes":["old"]},)"
      R"("upsert":{"services":{"u":{"healthPath":"/h"}}}})",
      false);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(!change.value().full_table);
  BOOST_TEST(change.value().removed_routes.size() == 1U);
  BOOST_TEST(change.value().services.contains("u"));
}

BOOST_AUTO_TEST_CASE(announcement_is_decoded_or_rejected_with_400) {
  const platform_codec_impl codec;
  const std::string target = "/hornbeamlb/Instances.Heartbeat/i-1";
  const std::string good =
      HeartbeatBody(R"({"state":"ready","seq":4,"coldRemainingS":1.5})");
  const auto read = codec.ReadNodeRequest(Post(target, good));
  BOOST_REQUIRE(read.has_value());
  const auto& announced = std::get<instance_announcement>(read.value());
  BOOST_TEST(announced.instance == "i-1");
  BOOST_TEST(announced.sequence == 4U);
  BOOST_TEST(announced.slots == 18U);
  BOOST_TEST(
      (announced.cold_start_remaining == std::chrono::milliseconds(1500)));
  for (const std::string& bad :
       {HeartbeatBody(R"({"state":"asleep","seq":4,"coldRemainingS":0})"),
        HeartbeatBody(R"({"state":"ready","seq":"4","coldRemainingS":0})"),
        Without(good, R"("born":1700000000000,)"),
        Without(good, R"(,"slots":18)"), std::string("\xff\xfe")}) {
    const auto rejected = codec.ReadNodeRequest(Post(target, bad));
    BOOST_TEST(!rejected.has_value(), bad);
    BOOST_TEST(codec.WriteError(rejected.error()).status == 400U);
  }
}

// Guards against an entry of another writer that ends the process or is
// accepted with a value that was cut to its field's range.
BOOST_AUTO_TEST_CASE(odd_announcement_is_rejected_with_400) {
  const platform_codec_impl codec;
  const std::string target = "/hornbeamlb/Instances.Heartbeat/i-1";
  const std::string good =
      HeartbeatBody(R"({"state":"ready","seq":4,"coldRemainingS":1.5})");
  constexpr int kLevels = 20'000;
  std::string lists(kLevels, '[');
  lists += std::string(kLevels, ']');
  std::string objects;
  for (int level = 0; level < kLevels; ++level) objects += R"({"a":)";
  objects += "1" + std::string(kLevels, '}');
  std::vector<std::string> bodies = {
      lists,
      objects,
      good.substr(0, good.size() - 1) + ",\"more\":" + lists + "}",
      good.substr(0, good.size() - 1) + ",\"more\":" + objects + "}",
      "\xef\xbb\xbf" + good,
      good.substr(0, good.size() / 2)};
  for (const std::string number :
       {"1e400", "-1", "1.5", "18446744073709551616", "1e30", "null", "[]",
        "\"4\"", "9007199254740993e3"}) {
    bodies.push_back(HeartbeatBody(R"({"state":"ready","seq":)" + number +
                                   R"(,"coldRemainingS":1.5})"));
    std::string started = good;
    const std::string born = "1700000000000";
    started.replace(started.find(born), born.size(), number);
    bodies.push_back(started);
  }
  for (const std::string number : {"1e400", "-1", "1e30", "\"4\""}) {
    bodies.push_back(HeartbeatBody(
        R"({"state":"ready","seq":4,"coldRemainingS":)" + number + "}"));
  }
  for (const std::string& body : bodies) {
    const auto rejected = codec.ReadNodeRequest(Post(target, body));
    BOOST_TEST(!rejected.has_value(), body.substr(0, 200));
    BOOST_TEST(codec.WriteError(rejected.error()).status == 400U);
  }
}

// A table that holds a number which JSON cannot represent could not be returned
// as it was sent.
BOOST_AUTO_TEST_CASE(odd_routing_change_is_rejected) {
  const platform_codec_impl codec;
  const std::string nested(20'000, '[');
  for (const std::string& more : {std::string("1e400"), nested}) {
    const auto read = codec.ReadOperatorRequest(Post(
        "/hornbeamlb/Config.Replace",
        R"({"version":"r7","routes":{},"services":{},"more":)" + more + "}"));
    BOOST_TEST(!read.has_value(), more.substr(0, 20));
  }
}

BOOST_AUTO_TEST_CASE(deregistration_without_body_is_accepted) {
  const platform_codec_impl codec;
  const auto read =
      codec.ReadNodeRequest(Post("/hornbeamlb/Instances.Deregister/i-1", ""));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(std::get<instance_withdrawal>(read.value()).instance == "i-1");
}

// Guards against a caller that impersonates another service or selects its
// instance by sending these fields itself.
BOOST_AUTO_TEST_CASE(forwarded_fields_override_those_of_the_caller) {
  const platform_codec_impl codec;
  const http_request request{.method = "GET",
                             .target = "/a/1",
                             .headers = {{"Host", "h.example"},
                                         {"X-Request-Id", "r1"},
                                         {"x-caller-service", "forged"},
                                         {"X-Expect-Instance", "forged"},
                                         {"X-Deadline-Ms", "1500"},
                                         {"Connection", "keep-alive, X-Hop"},
                                         {"X-Hop", "1"},
                                         {"X-Other", "kept"}}};
  auto fields = codec.MakeForwardedFields(request, "own");
  codec.AddDispatchFields(fields, "i-1", std::chrono::milliseconds(900));
  const http_request sent{.headers = fields};
  BOOST_TEST(sent.Header("X-Caller-Service").value() == "own");
  BOOST_TEST(sent.Header("X-Expect-Instance").value() == "i-1");
  BOOST_TEST(sent.Header("X-Deadline-Ms").value() == "900");
  BOOST_TEST(sent.Header("X-Request-Id").value() == "r1");
  BOOST_TEST(sent.Header("X-Other").value() == "kept");
  BOOST_TEST(!sent.Header("X-Hop").has_value());
  BOOST_TEST(fields.size() == 6U);
}

// Guards against a call that may have run and is reported as not run, so that
// it would be sent again.
BOOST_AUTO_TEST_CASE(call_counts_as_not_run_only_if_upstream_says_so) {
  const platform_codec_impl codec;
  BOOST_TEST(!codec.ReadAnswer(503, {{"X-Not-Executed", "1"}}).ran);
  BOOST_TEST(!codec.ReadAnswer(421, {}).ran);
  BOOST_TEST(codec.ReadAnswer(503, {}).ran);
  const auto read = codec.ReadAnswer(
      200, {{"X-Response-Signature", "x"}, {"X-Instance-Load", "3,1,18,500"}});
  BOOST_TEST(read.has_signature);
  BOOST_TEST(read.load->slowdown_percent == 500U);
  BOOST_TEST(!codec.ReadAnswer(200, {{"X-Instance-Load", "3,x,18"}}).load);
}

BOOST_AUTO_TEST_CASE(each_failure_kind_has_its_http_status) {
  const platform_codec_impl codec;
  const auto status = [&codec](failure_kind kind) {
    return codec.WriteFailure({.kind = kind, .reason = "why"}, "r1").status;
  };
  BOOST_TEST(status(failure_kind::kRejected) == 503U);
  BOOST_TEST(status(failure_kind::kNotReady) == 503U);
  BOOST_TEST(status(failure_kind::kUnknown) == 502U);
  BOOST_TEST(status(failure_kind::kDeadlineExceeded) == 504U);
  BOOST_TEST(status(failure_kind::kNoRoute) == 404U);
  const http_response rejected = codec.WriteFailure(
      {.retry_after = std::chrono::milliseconds(125), .reason = "why"}, "r1");
  BOOST_TEST(rejected.Header("Retry-After").value() == "0.125");
}

BOOST_AUTO_TEST_CASE(known_terms_are_decoded_and_others_ignored) {
  const platform_codec_impl codec;
  const auto terms = codec.ReadTerms(
      "seedLagS=3,lossSlackS=0.2,retryBudgetRatio=0.25,strict=true,"
      "budgetSlack=58,graceS=6.5,probesPerS=60");
  BOOST_REQUIRE(terms.has_value());
  BOOST_TEST(terms.value().retry_share.value() == 0.25);
  BOOST_TEST(terms.value().retry_slack.value() == 58U);
  BOOST_TEST(
      (terms.value().stop_grace.value() == std::chrono::milliseconds(6500)));
  const auto none = codec.ReadTerms("");
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST(!none.value().retry_share);
  BOOST_TEST(!none.value().retry_slack);
}

BOOST_AUTO_TEST_CASE(terms_out_of_range_are_rejected_with_reason) {
  const platform_codec_impl codec;
  for (const std::string text :
       {"retryBudgetRatio=-0.1", "retryBudgetRatio=nan", "retryBudgetRatio=11",
        "retryBudgetRatio=", "budgetSlack=-1", "budgetSlack=1.5",
        "budgetSlack=true", "retryBudgetRatio=0.2,budgetSlack", "graceS=-1",
        "graceS=nan", "graceS=1e9", "graceS="}) {
    const auto terms = codec.ReadTerms(text);
    BOOST_REQUIRE(!terms.has_value());
    BOOST_TEST(!terms.error().reason.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
