// Tests of the lease table of one control VM: renewal, expiry and exchange with
// other control VMs.
#include "controllers/lease_table.h"

#include <boost/test/unit_test.hpp>

namespace hornbeam {

namespace {

constexpr duration kLeaseDuration = std::chrono::seconds(4);
constexpr duration kAfterExpiry = std::chrono::seconds(5);
constexpr time_point kStart{std::chrono::hours(1)};

lease_renewal MakeRenewal(const std::string& node, std::uint64_t incarnation,
                          std::uint64_t sequence = 1) {
  return lease_renewal{.lease = {.node = node,
                                 .incarnation = incarnation,
                                 .sequence = sequence,
                                 .service = "guichet"}};
}

// Returns a table with one node, which renewed its lease at kStart.
lease_table MakeTable() {
  lease_table table(kLeaseDuration);
  table.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode, duration(0),
              kStart);
  return table;
}

bool HasOnlyIncarnation(const lease_table& table, std::uint64_t incarnation) {
  const auto upstreams = table.Upstreams("guichet");
  return upstreams.size() == 1 && upstreams[0].incarnation == incarnation;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(lease_table_test)

BOOST_AUTO_TEST_CASE(renewal_without_changes_keeps_table_version) {
  lease_table table = MakeTable();
  const std::uint64_t version = table.Version();
  BOOST_TEST(!table.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode,
                          duration(0), kStart + kLeaseDuration / 2));
  BOOST_TEST(table.Version() == version);
}

BOOST_AUTO_TEST_CASE(
    older_incarnation_or_sequence_does_not_replace_newer_lease) {
  lease_table table = MakeTable();
  table.Renew(MakeRenewal("sfax-a-1", 6, 2), lease_source::kNode, duration(0),
              kStart);
  for (const lease_renewal& late :
       {MakeRenewal("sfax-a-1", 5, 9), MakeRenewal("sfax-a-1", 6, 1)}) {
    BOOST_TEST(!table.Renew(late, lease_source::kForwarded, duration(0),
                            kStart + kAfterExpiry));
  }
  BOOST_TEST(HasOnlyIncarnation(table, 6));
}

// A node that restarts after its wall clock was set back has a lower
// incarnation than its previous lease; it must not be ignored until that lease
// expires.
BOOST_AUTO_TEST_CASE(restarted_node_with_lower_incarnation_replaces_its_lease) {
  lease_table table = MakeTable();
  BOOST_TEST(table.Renew(MakeRenewal("sfax-a-1", 4), lease_source::kNode,
                         duration(0), kStart + kLeaseDuration / 2));
  BOOST_TEST(HasOnlyIncarnation(table, 4));
}

// Guards against a node that other control VMs than its registrar ignore for
// two minutes after it restarted with its wall clock set back.
BOOST_AUTO_TEST_CASE(
    forwarded_lease_with_lower_incarnation_is_used_after_a_lease_duration) {
  for (const bool has_ended : {false, true}) {
    lease_table table = MakeTable();
    if (has_ended) BOOST_TEST(table.End("sfax-a-1", 5, kStart));
    constexpr duration kInterval = std::chrono::seconds(1);
    duration used_after{0};
    for (duration time{0}; time <= 3 * kLeaseDuration; time += kInterval) {
      table.Expire(kStart + time);
      table.Renew(MakeRenewal("sfax-a-1", 4), lease_source::kForwarded,
                  duration(0), kStart + time);
      if (!HasOnlyIncarnation(table, 4)) used_after = time + kInterval;
    }
    BOOST_TEST(used_after.count() == kLeaseDuration.count());
  }
}

// Guards against a late copy that revives an earlier incarnation.
BOOST_AUTO_TEST_CASE(late_copy_of_lower_incarnation_is_not_used) {
  lease_table table = MakeTable();
  BOOST_TEST(table.End("sfax-a-1", 5, kStart));
  table.Renew(MakeRenewal("sfax-a-1", 4), lease_source::kForwarded,
              kLeaseDuration, kStart + kAfterExpiry);
  BOOST_TEST(table.Upstreams("guichet").empty());
}

BOOST_AUTO_TEST_CASE(lease_without_renewal_expires_and_is_reported_gone) {
  lease_table table = MakeTable();
  const std::uint64_t seen = table.Version();
  BOOST_TEST(!table.Expire(kStart + kLeaseDuration / 2));
  BOOST_TEST(table.Expire(kStart + kAfterExpiry));
  const membership_update update = table.ChangesSince("guichet", seen);
  BOOST_REQUIRE(update.removed_nodes.size() == 1U);
  BOOST_TEST(update.removed_nodes[0] == "sfax-a-1");
}

BOOST_AUTO_TEST_CASE(late_copy_does_not_revive_ended_lease) {
  lease_table table = MakeTable();
  BOOST_TEST(table.End("sfax-a-1", 5, kStart + kLeaseDuration / 2));
  // The copy was renewed before the end and is forwarded after it.
  table.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kForwarded,
              kLeaseDuration, kStart + kAfterExpiry);
  BOOST_TEST(table.Upstreams("guichet").empty());
  table.Renew(MakeRenewal("sfax-a-1", 6), lease_source::kNode, duration(0),
              kStart + kAfterExpiry);
  BOOST_TEST(HasOnlyIncarnation(table, 6));
}

BOOST_AUTO_TEST_CASE(end_of_previous_incarnation_keeps_current_lease) {
  lease_table table = MakeTable();
  BOOST_TEST(!table.End("sfax-a-1", 4, kStart));
  BOOST_TEST(HasOnlyIncarnation(table, 5));
}

// A control VM that was stalled or isolated has received no renewals, so it
// must not end the leases of live nodes when it resumes.
BOOST_AUTO_TEST_CASE(refresh_after_isolation_prevents_expiry) {
  lease_table table = MakeTable();
  table.RefreshAll(kStart + kAfterExpiry);
  BOOST_TEST(!table.Expire(kStart + kAfterExpiry));
  BOOST_TEST(HasOnlyIncarnation(table, 5));
}

BOOST_AUTO_TEST_CASE(only_locally_renewed_leases_are_forwarded) {
  lease_table table = MakeTable();
  table.Renew(MakeRenewal("gabes-c-1", 7), lease_source::kForwarded,
              duration(0), kStart);
  const auto copies = table.LocalCopies(kStart, kStart + kLeaseDuration / 2);
  BOOST_REQUIRE(copies.size() == 1U);
  BOOST_TEST(copies[0].renewal.lease.node == "sfax-a-1");
  BOOST_TEST(copies[0].age_us == 2000000U);
}

// The registrar of two nodes, and another control VM that received copies of
// their leases.
struct two_control_vms {
  lease_table registrar{kLeaseDuration};
  lease_table other{kLeaseDuration};

  two_control_vms() {
    for (const char* node : {"sfax-a-1", "sfax-a-2"}) {
      registrar.Renew(MakeRenewal(node, 5), lease_source::kNode, duration(0),
                      kStart);
    }
    for (const lease_copy& copy : registrar.LocalCopies(kStart, kStart)) {
      other.RenewCopy(copy, "registrar", kStart);
    }
  }
};

BOOST_AUTO_TEST_CASE(keepalive_renews_all_leases_of_its_registrar) {
  two_control_vms vms;
  const time_point later = kStart + kLeaseDuration / 2;
  vms.registrar.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode,
                      duration(0), later);
  const lease_keepalive keepalive = vms.registrar.MakeKeepalive(later);
  BOOST_TEST(vms.other.ApplyKeepalive("registrar", keepalive, later));
  // The keepalive carries the age of each lease, so only the lease that was
  // renewed at the registrar stays alive.
  vms.other.Expire(kStart + kLeaseDuration + kLeaseDuration / 4);
  const auto left = vms.other.Upstreams("guichet");
  BOOST_REQUIRE(left.size() == 1U);
  BOOST_TEST(left[0].node == "sfax-a-1");
}

BOOST_AUTO_TEST_CASE(keepalive_for_different_leases_renews_none) {
  two_control_vms vms;
  vms.registrar.Renew(MakeRenewal("sfax-a-3", 1), lease_source::kNode,
                      duration(0), kStart);
  const time_point later = kStart + kLeaseDuration / 2;
  const lease_keepalive keepalive = vms.registrar.MakeKeepalive(later);
  BOOST_TEST(!vms.other.ApplyKeepalive("registrar", keepalive, later));
  BOOST_TEST(!vms.other.ApplyKeepalive("stranger", keepalive, later));
  vms.other.Expire(kStart + kLeaseDuration);
  BOOST_TEST(vms.other.Upstreams("guichet").empty());
}

// A node has moved its lease to this control VM; a copy from its previous
// registrar that arrives later must not undo that.
BOOST_AUTO_TEST_CASE(late_copy_does_not_change_registrar) {
  two_control_vms vms;
  const auto late = vms.registrar.LocalCopies(kStart, kStart);
  const time_point later = kStart + kLeaseDuration / 2;
  vms.other.Renew(MakeRenewal("sfax-a-1", 5), lease_source::kNode, duration(0),
                  later);
  for (lease_copy copy : late) {
    copy.age_us = static_cast<std::uint64_t>((later - kStart).count());
    vms.other.RenewCopy(copy, "registrar", later);
  }
  BOOST_TEST(vms.other.LocalCopies(later, later).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
