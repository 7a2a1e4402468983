// The leases of nodes at one control VM.
#include "controllers/lease_table.h"

#include <boost/test/unit_test.hpp>

namespace hornbeam {

namespace {

constexpr duration kLease = std::chrono::seconds(4);
constexpr duration kLong = std::chrono::seconds(5);
constexpr time_point kStart{std::chrono::hours(1)};

lease_renewal MakeRenewal(const std::string& node, std::uint64_t incarnation,
                          std::uint64_t sequence = 1) {
  return lease_renewal{.lease = {.node = node,
                                 .incarnation = incarnation,
                                 .sequence = sequence,
                                 .service = "guichet"}};
}

// A table with one node that renewed at kStart.
lease_table MakeTable() {
  lease_table table(kLease);
  table.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode, duration(0),
              kStart);
  return table;
}

bool Has(const lease_table& table, std::uint64_t incarnation) {
  const auto upstreams = table.Upstreams("guichet");
  return upstreams.size() == 1 && upstreams[0].incarnation == incarnation;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(lease_table_test)

BOOST_AUTO_TEST_CASE(a_mere_renewal_is_no_change) {
  lease_table table = MakeTable();
  const std::uint64_t version = table.Version();
  BOOST_TEST(!table.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode,
                          duration(0), kStart + kLease / 2));
  BOOST_TEST(table.Version() == version);
}

BOOST_AUTO_TEST_CASE(an_older_life_or_word_never_replaces_a_newer_one) {
  lease_table table = MakeTable();
  table.Renew(MakeRenewal("sfax-a-1", 6, 2), lease_source::kNode, duration(0),
              kStart);
  for (const lease_renewal& late :
       {MakeRenewal("sfax-a-1", 5, 9), MakeRenewal("sfax-a-1", 6, 1)}) {
    BOOST_TEST(
        !table.Renew(late, lease_source::kOther, duration(0), kStart + kLong));
  }
  BOOST_TEST(Has(table, 6));
}

BOOST_AUTO_TEST_CASE(a_restarted_node_is_taken_whatever_its_number) {
  lease_table table = MakeTable();
  BOOST_TEST(table.Renew(MakeRenewal("sfax-a-1", 4), lease_source::kNode,
                         duration(0), kStart + kLease / 2));
  BOOST_TEST(Has(table, 4));
}

BOOST_AUTO_TEST_CASE(silence_ends_a_lease_and_watchers_are_told) {
  lease_table table = MakeTable();
  const std::uint64_t seen = table.Version();
  BOOST_TEST(!table.Expire(kStart + kLease / 2));
  BOOST_TEST(table.Expire(kStart + kLong));
  const membership_update update = table.ChangesSince("guichet", seen);
  BOOST_REQUIRE(update.gone.size() == 1U);
  BOOST_TEST(update.gone[0] == "sfax-a-1");
}

BOOST_AUTO_TEST_CASE(a_late_copy_does_not_revive_an_ended_lease) {
  lease_table table = MakeTable();
  BOOST_TEST(table.End("sfax-a-1", 5, kStart + kLease / 2));
  // Renewed before the end, and passed on after it.
  table.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kOther, kLease,
              kStart + kLong);
  BOOST_TEST(table.Upstreams("guichet").empty());
  table.Renew(MakeRenewal("sfax-a-1", 6), lease_source::kNode, duration(0),
              kStart + kLong);
  BOOST_TEST(Has(table, 6));
}

BOOST_AUTO_TEST_CASE(the_end_of_a_former_life_leaves_the_present_one) {
  lease_table table = MakeTable();
  BOOST_TEST(!table.End("sfax-a-1", 4, kStart));
  BOOST_TEST(Has(table, 5));
}

BOOST_AUTO_TEST_CASE(a_control_vm_that_heard_nothing_ends_nothing) {
  lease_table table = MakeTable();
  table.RefreshAll(kStart + kLong);
  BOOST_TEST(!table.Expire(kStart + kLong));
  BOOST_TEST(Has(table, 5));
}

BOOST_AUTO_TEST_CASE(only_own_renewals_are_passed_on) {
  lease_table table = MakeTable();
  table.Renew(MakeRenewal("gabes-c-1", 7), lease_source::kOther, duration(0),
              kStart);
  const auto copies = table.HomeCopies(kStart, kStart + kLease / 2);
  BOOST_REQUIRE(copies.size() == 1U);
  BOOST_TEST(copies[0].renewal.lease.node == "sfax-a-1");
  BOOST_TEST(copies[0].age_us == 2000000U);
}

// The home of both nodes, and another control VM that was told of them.
struct two_controls {
  lease_table home{kLease};
  lease_table other{kLease};

  two_controls() {
    for (const char* node : {"sfax-a-1", "sfax-a-2"}) {
      home.Renew(MakeRenewal(node, 5), lease_source::kNode, duration(0),
                 kStart);
    }
    for (const lease_copy& copy : home.HomeCopies(kStart, kStart)) {
      other.RenewCopy(copy, "home", kStart);
    }
  }
};

BOOST_AUTO_TEST_CASE(a_pulse_renews_all_leases_of_its_home) {
  two_controls controls;
  const time_point later = kStart + kLease / 2;
  controls.home.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode,
                      duration(0), later);
  const lease_pulse pulse = controls.home.MakePulse(later);
  BOOST_TEST(controls.other.ApplyPulse("home", pulse, later));
  // The second node's age came with it: only the first is still alive.
  controls.other.Expire(kStart + kLease + kLease / 4);
  const auto left = controls.other.Upstreams("guichet");
  BOOST_REQUIRE(left.size() == 1U);
  BOOST_TEST(left[0].node == "sfax-a-1");
}

BOOST_AUTO_TEST_CASE(a_pulse_of_other_leases_renews_none) {
  two_controls controls;
  controls.home.Renew(MakeRenewal("sfax-a-3", 1), lease_source::kNode,
                      duration(0), kStart);
  const time_point later = kStart + kLease / 2;
  const lease_pulse pulse = controls.home.MakePulse(later);
  BOOST_TEST(!controls.other.ApplyPulse("home", pulse, later));
  BOOST_TEST(!controls.other.ApplyPulse("stranger", pulse, later));
  controls.other.Expire(kStart + kLease);
  BOOST_TEST(controls.other.Upstreams("guichet").empty());
}

BOOST_AUTO_TEST_CASE(a_late_copy_does_not_move_a_node_from_its_home) {
  two_controls controls;
  const auto late = controls.home.HomeCopies(kStart, kStart);
  const time_point later = kStart + kLease / 2;
  controls.other.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode,
                       duration(0), later);
  for (lease_copy copy : late) {
    copy.age_us = static_cast<std::uint64_t>((later - kStart).count());
    controls.other.RenewCopy(copy, "home", later);
  }
  BOOST_TEST(controls.other.HomeCopies(later, later).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
