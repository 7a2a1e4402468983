// Tests of routing table changes, of route matching and of the weighted choice
// among the services of a route.
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "base/seeded_random_source.h"
#include "controllers/routing_feed.h"
#include "routing/routing_codec.h"
#include "routing/routing_delta.h"
#include "routing/routing_rules.h"
#include "routing/routing_snapshot.h"
#include "routing/routing_store.h"
#include "routing/weighted_choice.h"

namespace hornbeam {

namespace {

route MakeRoute(const std::string& prefix, const std::string& service) {
  return {.host = "guichet.example",
          .path_prefix = prefix,
          .idempotent = true,
          .timeout_us = 1'000'000,
          .objective_us = 400'000,
          .max_attempts = 2,
          .parts = {{.service = service}}};
}

routing_change MakeFullTable(std::uint64_t id, std::uint64_t base,
                             std::uint64_t version) {
  routing_change change{.change_id = {.high = 0, .low = id},
                        .base_version = base,
                        .version = version,
                        .full_table = true};
  change.routes["lookup"] = MakeRoute("/lookup/", "guichet");
  change.services["guichet"] = {.health_path = "/health"};
  return change;
}

routing_reply Apply(routing_store& store, const routing_change& change) {
  const std::string command = EncodeRoutingChange(change);
  return DecodeRoutingReply(store.Apply({.index = 1, .command = command}))
      .value();
}

routing_table TableOf(const routing_store& store) {
  return DecodeRoutingTable(
             store.Query(EncodeRoutingQuery(routing_query::kTable)))
      .value();
}

bool IsAccepted(const routing_reply& reply) {
  return reply.verdict == routing_verdict::kAccepted;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(routing_test)

BOOST_AUTO_TEST_CASE(second_change_on_same_base_version_is_stale) {
  routing_store store;
  BOOST_TEST(IsAccepted(Apply(store, MakeFullTable(1, 0, 3))));
  const routing_reply second = Apply(store, MakeFullTable(2, 0, 4));
  BOOST_TEST((second.verdict == routing_verdict::kStale));
  BOOST_TEST(second.current_version == 3U);
  BOOST_TEST(TableOf(store).version == 3U);
}

BOOST_AUTO_TEST_CASE(resent_accepted_change_is_acknowledged_again) {
  routing_store store;
  Apply(store, MakeFullTable(1, 0, 3));
  Apply(store, MakeFullTable(2, 3, 5));
  BOOST_TEST(IsAccepted(Apply(store, MakeFullTable(1, 0, 3))));
  BOOST_TEST(TableOf(store).version == 5U);
}

BOOST_AUTO_TEST_CASE(invalid_change_is_rejected_as_a_whole_with_every_error) {
  routing_store store;
  Apply(store, MakeFullTable(1, 0, 3));
  routing_change bad{
      .change_id = {.high = 0, .low = 2}, .base_version = 3, .version = 4};
  bad.routes["good"] = MakeRoute("/good/", "guichet");
  bad.routes["unknown"] = MakeRoute("/unknown/", "nobody");
  bad.routes["attempts"] = MakeRoute("/attempts/", "guichet");
  bad.routes["attempts"].max_attempts = 0;
  bad.routes["weight"] = MakeRoute("/weight/", "guichet");
  bad.routes["weight"].parts.push_back({.service = "guichet", .weight = -0.5});
  bad.routes["objective"] = MakeRoute("/objective/", "guichet");
  bad.routes["objective"].objective_us = 61'000'000;
  const routing_reply reply = Apply(store, bad);
  BOOST_TEST((reply.verdict == routing_verdict::kInvalid));
  BOOST_TEST(reply.errors.size() == 4U);
  BOOST_TEST(TableOf(store).version == 3U);
  BOOST_TEST(!TableOf(store).routes.contains("good"));
}

BOOST_AUTO_TEST_CASE(version_not_above_current_is_invalid) {
  routing_store store;
  Apply(store, MakeFullTable(1, 0, 3));
  BOOST_TEST((Apply(store, MakeFullTable(2, 3, 3)).verdict ==
              routing_verdict::kInvalid));
}

BOOST_AUTO_TEST_CASE(service_used_by_a_route_cannot_be_removed) {
  routing_store store;
  Apply(store, MakeFullTable(1, 0, 3));
  const routing_change removal{.change_id = {.high = 0, .low = 2},
                               .base_version = 3,
                               .version = 4,
                               .removed_services = {"guichet"}};
  BOOST_TEST((Apply(store, removal).verdict == routing_verdict::kInvalid));
}

BOOST_AUTO_TEST_CASE(change_of_named_items_leaves_other_items) {
  routing_store store;
  Apply(store, MakeFullTable(1, 0, 3));
  routing_change named{
      .change_id = {.high = 0, .low = 2}, .base_version = 3, .version = 9};
  named.routes["filing"] = MakeRoute("/filing/", "guichet");
  BOOST_TEST(IsAccepted(Apply(store, named)));
  const routing_table table = TableOf(store);
  BOOST_TEST(table.version == 9U);
  BOOST_TEST(table.routes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(snapshot_restores_accepted_change_ids) {
  routing_store store;
  Apply(store, MakeFullTable(1, 0, 3));
  Apply(store, MakeFullTable(2, 3, 5));
  routing_store restored;
  BOOST_TEST(restored.RestoreSnapshot(store.TakeSnapshot()));
  BOOST_TEST((TableOf(restored) == TableOf(store)));
  BOOST_TEST(IsAccepted(Apply(restored, MakeFullTable(1, 0, 3))));
  BOOST_TEST(!restored.RestoreSnapshot("no snapshot"));
}

BOOST_AUTO_TEST_CASE(undecodable_change_is_rejected) {
  routing_store store;
  const auto reply =
      DecodeRoutingReply(store.Apply({.index = 1, .command = "rubbish"}));
  BOOST_TEST((reply->verdict == routing_verdict::kInvalid));
  BOOST_TEST(TableOf(store).version == 0U);
}

BOOST_AUTO_TEST_CASE(longest_path_prefix_of_host_matches) {
  routing_table table;
  table.routes["all"] = MakeRoute("/", "guichet");
  table.routes["lookup"] = MakeRoute("/lookup/", "guichet");
  const auto snapshot = routing_snapshot::MakeRoutingSnapshot(table);
  BOOST_TEST(snapshot->Match("Guichet.Example:80", "/lookup/7?x=/")->name ==
             "lookup");
  BOOST_TEST(snapshot->Match("guichet.example", "/lookup")->name == "all");
  BOOST_TEST(snapshot->Match("other.example", "/lookup/7") == nullptr);
}

BOOST_AUTO_TEST_CASE(update_of_large_table_contains_only_changed_items) {
  routing_table table{.version = 3};
  table.services["guichet"] = {.health_path = "/health"};
  for (int i = 0; i < 1500; ++i) {
    const std::string name = "route-" + std::to_string(i);
    table.routes[name] = MakeRoute("/" + name + "/", "guichet");
  }
  routing_feed feed;
  feed.SetTable(table);
  BOOST_TEST(feed.UpdateFor(0).base_version == 0U);
  routing_table next = table;
  next.version = 5;
  next.routes["route-7"].timeout_us = 1;
  next.routes.erase("route-8");
  next.limits.body_bytes = 9;
  feed.SetTable(next);
  const routing_update update = feed.UpdateFor(3);
  BOOST_TEST(update.base_version == 3U);
  BOOST_TEST(update.table.size() < 500U);
  const auto change = DecodeRoutingChange(update.table);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((MergeRoutingChange(WithoutSources(table), *change) ==
              WithoutSources(next)));
  // A watcher that missed a version gets the whole table.
  const routing_update full_table = feed.UpdateFor(2);
  BOOST_TEST(full_table.base_version == 0U);
  BOOST_TEST(
      (DecodeRoutingTable(full_table.table).value() == WithoutSources(next)));
}

BOOST_AUTO_TEST_CASE(services_get_calls_by_weight_over_few_calls) {
  route split = MakeRoute("/", "a");
  split.parts = {{.service = "a", .weight = 90},
                 {.service = "b", .weight = 10}};
  std::map<std::string, int> counts;
  // 40 nodes with 5 calls each.
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    seeded_random_source random(seed);
    weighted_choice choice(random);
    for (int call = 0; call < 5; ++call) ++counts[choice.Next("r", split)];
  }
  BOOST_TEST(counts["b"] >= 10);
  BOOST_TEST(counts["b"] <= 30);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
