#include <optional>

#include <doctest/doctest.h>

#include "kingcuplock/grants/grant_tracker.h"
#include "kingcuplock/grants/primary_evidence.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/grants/promotion_permit.h"

namespace kingcuplock {
namespace {

constexpr Time kNow{Milliseconds(10'000)};
constexpr Milliseconds kLease{3000};

auto ReplicaReport(std::int64_t term, std::int64_t paused = 0) -> MemberReport {
  MemberReport out;
  out.term = term;
  out.paused_term = paused;
  return out;
}

auto PrimaryReport(std::int64_t term) -> MemberReport {
  MemberReport out;
  out.is_primary = true;
  out.term = term;
  return out;
}

TEST_CASE("A grant is valid from when it was requested") {
  const auto grant = GrantFromHolder<>("m1", 3, kNow, kNow + Milliseconds(400),
                                       Milliseconds(500));
  CHECK(grant.Covers("m1", kNow + Milliseconds(400)));
  CHECK_FALSE(grant.Covers("m1", kNow + Milliseconds(500)));
  CHECK_FALSE(grant.Covers("m2", kNow));
}

TEST_CASE("A grant does not cover a statement that arrives after its end") {
  const PrimaryGrant grant{"m1", 3, kNow + kMemberTransitTime};
  CHECK_FALSE(grant.Covers("m1", kNow));
}

TEST_CASE("Evidence requires a report from every other member") {
  PrimaryEvidence<> evidence("m1", 3, {"m2", "m3"}, kNow, Time{});
  const auto report = ReplicaReport(3);
  evidence.NoteReport("m2", &report);
  CHECK_FALSE(evidence.IsComplete());
  evidence.NoteReport("m3", nullptr);
  CHECK(evidence.IsComplete());
  CHECK_FALSE(evidence.ProvesPrimary());
}

TEST_CASE("A primary that is the only registered member has no evidence") {
  CHECK_FALSE(PrimaryEvidence<>("m1", 3, {}, kNow, Time{}).ProvesPrimary());
}

TEST_CASE(
    "A member that is primary, knows a newer term or is paused refutes "
    "evidence") {
  for (const auto& other : {PrimaryReport(3), PrimaryReport(4),
                            ReplicaReport(4), ReplicaReport(3, 4)}) {
    PrimaryEvidence<> evidence("m1", 3, {"m2"}, kNow, Time{});
    evidence.NoteReport("m2", &other);
    CHECK_FALSE(evidence.ProvesPrimary());
  }
}

TEST_CASE(
    "A replaced primary that goes on serving does not refute its successor") {
  PrimaryEvidence<> evidence("m2", 4, {"m1", "m3"}, kNow, Time{});
  const auto stale = PrimaryReport(3);
  const auto replica = ReplicaReport(4, 4);
  evidence.NoteReport("m1", &stale);
  evidence.NoteReport("m3", &replica);
  REQUIRE(evidence.ProvesPrimary());
  CHECK(evidence.Grant().Covers("m2", kNow));
  CHECK_FALSE(evidence.Grant().Covers("m2", kNow + kGrantDuration));
}

// Guards against the report of a member that has lost its pause by a restart.
TEST_CASE("A member observed for less than an order may take needs a record") {
  const auto restarted = kNow - kMaxOrderDelay - kMaxPauseAge + Milliseconds(1);
  auto report = ReplicaReport(3);
  report.connected_since = restarted;
  PrimaryEvidence<> evidence("m1", 3, {"m2"}, kNow, Time{});
  evidence.NoteReport("m2", &report);
  CHECK_FALSE(evidence.ProvesPrimary());
  REQUIRE(evidence.NeedsRecord());

  auto settled = evidence;
  settled.NoteRecord(OrderRecord{3});
  CHECK(settled.ProvesPrimary());
  auto open = evidence;
  open.NoteRecord(OrderRecord{3, "m2"});
  CHECK_FALSE(open.ProvesPrimary());
  auto open_for_primary = evidence;
  open_for_primary.NoteRecord(OrderRecord{3, "m1"});
  CHECK(open_for_primary.ProvesPrimary());
  auto orders_unknown = evidence;
  orders_unknown.NoteRecord(OrderRecord{3, "", true});
  CHECK_FALSE(orders_unknown.ProvesPrimary());
  auto later_term = evidence;
  later_term.NoteRecord(OrderRecord{4});
  CHECK_FALSE(later_term.ProvesPrimary());
  auto unknown = evidence;
  unknown.NoteRecord(std::nullopt);
  CHECK_FALSE(unknown.ProvesPrimary());
}

// Guards against a list of members that lacks the one that is being promoted.
TEST_CASE("Evidence needs a record after a member was removed") {
  const auto report = ReplicaReport(3);
  PrimaryEvidence<> evidence("m1", 3, {"m2"}, kNow, kNow - Milliseconds(100));
  evidence.NoteReport("m2", &report);
  CHECK_FALSE(evidence.ProvesPrimary());
  CHECK(evidence.NeedsRecord());
}

TEST_CASE("A new holder waits for its predecessor's lease or confirmation") {
  PromotionPermit<> silent(kNow, kNow + kLease, kNow);
  const auto forever = Time::max();
  CHECK_FALSE(silent.MayGrant("m1", kNow + kLease - Milliseconds(1), forever));
  CHECK(silent.MayGrant("m1", kNow + kLease, forever));

  PromotionPermit<> told(kNow, kNow + kLease, kNow);
  told.NoteSteppedDown(kNow + Milliseconds(10));
  CHECK(told.MayGrant("m1", kNow + Milliseconds(10), forever));
  // The predecessor's grants may still be valid.
  told.NoteOrderRecorded("m2", kNow);
  told.NoteMemberPaused("m2", ReplicaReport(3, 4), kNow + Milliseconds(10));
  CHECK(told.EarliestOrderTime("m2") ==
        kNow + Milliseconds(10) + kGrantDuration - kMinPromotionTime);
}

TEST_CASE(
    "A holder waits for its own earlier orders even if its predecessor "
    "confirms") {
  const auto own = kNow + Milliseconds(700);
  PromotionPermit<> permit(kNow, kNow + kLease, own);
  permit.NoteSteppedDown(kNow + Milliseconds(10));
  CHECK(permit.ExclusiveFrom() == own);
  CHECK(permit.EffectsPendingUntil(kNow, false) == own);
  CHECK(permit.EffectsPendingUntil(own, false) == own);
  CHECK(permit.EffectsPendingUntil(own, true) == own + kMaxOrderDelay);
}

TEST_CASE("An order waits for grants from before its member was paused") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  const auto later = kNow + Milliseconds(5000);
  permit.NoteOrderRecorded("m2", kNow);
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4), later);
  CHECK(permit.EarliestOrderTime("m2") ==
        later + kGrantDuration - kMinPromotionTime);
  permit.NoteMembersResumed();
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
  // A pause for a term that the member has reached has no effect.
  permit.NoteMemberPaused("m2", ReplicaReport(3, 0), later);
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
}

// Guards against a member that lost its pause by a restart before its order:
// the order would be open longer than instances wait to trust the member's
// reports.
TEST_CASE("A member is paused again if its order comes late") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  permit.NoteOrderRecorded("m2", kNow);
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4), kNow);
  const auto late = kNow + kMaxPauseAge;
  CHECK(permit.MayOrder("m2", late - Milliseconds(1), Time::max()));
  CHECK_FALSE(permit.MayOrder("m2", late, Time::max()));
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4), late);
  CHECK(permit.MayOrder("m2", late + kMaxPauseAge - Milliseconds(1),
                        Time::max()));
}

// Guards against an order that no later holder knows of.
TEST_CASE("An order waits until it is recorded, and as long as for a pause") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4), kNow);
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
  permit.NoteOrderRecorded("m3", kNow);
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
  const auto later = kNow + Milliseconds(700);
  permit.NoteOrderRecorded("m2", later);
  CHECK(permit.EarliestOrderTime("m2") ==
        later + kGrantDuration - kMinPromotionTime);
}

TEST_CASE("An unknown open order blocks all grants and orders") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  permit.NoteUnresolvedOrder("", kNow);
  CHECK_FALSE(permit.MayGrant("m1", kNow, Time::max()));
  CHECK_FALSE(permit.HasNoOtherUnresolvedOrder("m2", kNow));
  CHECK(permit.MayGrant("m1", kNow + kMaxOrderDelay, Time::max()));
}

TEST_CASE("Nothing is granted or ordered once the lease may have lapsed") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  const auto late = kNow + Milliseconds(5000);
  permit.NoteOrderRecorded("m2", kNow);
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4),
                          late - kMaxPauseAge + Milliseconds(50));
  CHECK(permit.MayOrder("m2", late, late + Milliseconds(1)));
  CHECK_FALSE(permit.MayOrder("m2", late, late));
  CHECK_FALSE(permit.MayGrant("m1", late, late));
}

TEST_CASE("No other member is ordered while an order is unresolved") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  const auto forever = Time::max();
  const auto later = kNow + Milliseconds(1000);
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4), kNow);
  permit.NoteMemberPaused("m3", ReplicaReport(3, 4), kNow);
  permit.NoteUnresolvedOrder("m2", later);
  permit.NoteOrderRecorded("m2", kNow);
  permit.NoteMemberPaused("m2", ReplicaReport(3, 4),
                          later - kMaxPauseAge + Milliseconds(50));
  CHECK(permit.MayOrder("m2", later, forever));
  permit.NoteOrderRecorded("m3", kNow);
  CHECK_FALSE(permit.MayOrder("m3", later, forever));
  CHECK_FALSE(permit.MayGrant("m1", later, forever));
  permit.NoteMemberPaused(
      "m3", ReplicaReport(3, 4),
      later + kMaxOrderDelay - kMaxPauseAge + Milliseconds(50));
  CHECK(permit.MayOrder("m3", later + kMaxOrderDelay, forever));
  // Carrying out the order again changes nothing while its member is primary.
  CHECK(permit.MayGrant("m2", later, forever));
  CHECK(permit.MayGrant("m1", later + kMaxOrderDelay, forever));
}

TEST_CASE(
    "A log position is usable once a grant proves its member was primary") {
  GrantTracker tracker;
  tracker.AddPendingSample({"m1", kNow, {3, 7}});
  tracker.AddPendingSample({"m2", kNow, {3, 9}});
  CHECK(tracker.TakeProvedSamples(kNow).empty());
  tracker.AcceptGrant({"m1", 3, kNow + kGrantDuration});
  const auto proved = tracker.TakeProvedSamples(kNow + Milliseconds(10));
  REQUIRE(proved.size() == 1);
  CHECK(proved.front().place == LogPosition{3, 7});
  CHECK(tracker.TakeProvedSamples(kNow + Milliseconds(20)).empty());
}

TEST_CASE("The number of samples that wait for a grant is limited") {
  GrantTracker tracker;
  for (std::size_t n = 0; n < 2 * GrantTracker::kMaxPendingSamples; ++n) {
    tracker.AddPendingSample({"m1", kNow, {3, static_cast<std::int64_t>(n)}});
  }
  tracker.AcceptGrant({"m1", 3, kNow + kGrantDuration});
  CHECK(tracker.TakeProvedSamples(kNow).size() ==
        GrantTracker::kMaxPendingSamples);
}

TEST_CASE("An answer to an earlier request is ignored") {
  GrantTracker tracker;
  const auto first = tracker.BeginRequest(kNow);
  REQUIRE(first);
  CHECK_FALSE(tracker.BeginRequest(kNow));
  tracker.EndRequest();
  const auto second = tracker.BeginRequest(kNow + Milliseconds(100));
  REQUIRE(second);
  CHECK_FALSE(tracker.SentTimeIfPending(*first));
  CHECK(tracker.SentTimeIfPending(*second) == kNow + Milliseconds(100));
}

TEST_CASE("A grant for an earlier term is rejected") {
  GrantTracker tracker;
  tracker.AcceptGrant({"m2", 4, kNow + Milliseconds(10)});
  tracker.AcceptGrant({"m1", 3, kNow + kGrantDuration});
  CHECK_FALSE(tracker.Covers("m1", kNow));
}

}  // namespace
}  // namespace kingcuplock
