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

auto Replica(std::int64_t term, std::int64_t paused = 0) -> MemberReport {
  MemberReport out;
  out.term = term;
  out.paused_term = paused;
  return out;
}

auto Primary(std::int64_t term) -> MemberReport {
  MemberReport out;
  out.is_primary = true;
  out.term = term;
  return out;
}

TEST_CASE("A grant counts from when it was asked for") {
  const auto grant = GrantFromHolder<>("m1", 3, kNow, kNow + Milliseconds(400),
                                       Milliseconds(500));
  CHECK(grant.Covers("m1", kNow + Milliseconds(400)));
  CHECK_FALSE(grant.Covers("m1", kNow + Milliseconds(500)));
  CHECK_FALSE(grant.Covers("m2", kNow));
}

TEST_CASE("A statement's way to the member is taken off a grant") {
  const PrimaryGrant grant{"m1", 3, kNow + kMemberTransitTime};
  CHECK_FALSE(grant.Covers("m1", kNow));
}

TEST_CASE("Evidence needs a report of every other member") {
  PrimaryEvidence<> evidence("m1", 3, {"m2", "m3"}, kNow);
  const auto report = Replica(3);
  evidence.NoteReport("m2", &report);
  CHECK_FALSE(evidence.IsComplete());
  evidence.NoteReport("m3", nullptr);
  CHECK(evidence.IsComplete());
  CHECK_FALSE(evidence.ProvesPrimary());
}

TEST_CASE("A primary that is alone in the store has no evidence") {
  CHECK_FALSE(PrimaryEvidence<>("m1", 3, {}, kNow).ProvesPrimary());
}

TEST_CASE("A member that leads, knows a newer term or is paused refutes") {
  for (const auto& other :
       {Primary(3), Primary(4), Replica(4), Replica(3, 4)}) {
    PrimaryEvidence<> evidence("m1", 3, {"m2"}, kNow);
    evidence.NoteReport("m2", &other);
    CHECK_FALSE(evidence.ProvesPrimary());
  }
}

TEST_CASE("A replaced primary that goes on does not refute its successor") {
  PrimaryEvidence<> evidence("m2", 4, {"m1", "m3"}, kNow);
  const auto stale = Primary(3);
  const auto replica = Replica(4, 4);
  evidence.NoteReport("m1", &stale);
  evidence.NoteReport("m3", &replica);
  REQUIRE(evidence.ProvesPrimary());
  CHECK(evidence.Grant().Covers("m2", kNow));
  CHECK_FALSE(evidence.Grant().Covers("m2", kNow + kGrantDuration));
}

TEST_CASE("A new holder waits for its predecessor's lease, or its word") {
  PromotionPermit<> silent(kNow, kNow + kLease, kNow);
  const auto forever = Time::max();
  CHECK_FALSE(silent.MayGrant("m1", kNow + kLease - Milliseconds(1), forever));
  CHECK(silent.MayGrant("m1", kNow + kLease, forever));

  PromotionPermit<> told(kNow, kNow + kLease, kNow);
  told.NoteSteppedDown(kNow + Milliseconds(10));
  CHECK(told.MayGrant("m1", kNow + Milliseconds(10), forever));
  // What the predecessor granted may go on.
  told.NoteMemberPaused("m2", kNow + Milliseconds(10));
  CHECK(told.EarliestOrderTime("m2") ==
        kNow + Milliseconds(10) + kGrantDuration - kMinPromotionTime);
}

TEST_CASE("An earlier order of the same holder is waited for in any case") {
  const auto own = kNow + Milliseconds(700);
  PromotionPermit<> permit(kNow, kNow + kLease, own);
  permit.NoteSteppedDown(kNow + Milliseconds(10));
  CHECK(permit.ExclusiveFrom() == own);
  CHECK(permit.EffectsPendingUntil(kNow, false) == own);
  CHECK(permit.EffectsPendingUntil(own, false) == own);
  CHECK(permit.EffectsPendingUntil(own, true) == own + kMaxOrderDelay);
}

TEST_CASE("An order waits for what was granted before its member's pause") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  const auto later = kNow + Milliseconds(5000);
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
  permit.NoteMemberPaused("m2", later);
  CHECK(permit.EarliestOrderTime("m2") ==
        later + kGrantDuration - kMinPromotionTime);
  permit.NoteMembersResumed();
  CHECK(permit.EarliestOrderTime("m2") == Time::max());
}

TEST_CASE("Nothing is granted or ordered under a lease that may have lapsed") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  const auto late = kNow + Milliseconds(5000);
  permit.NoteMemberPaused("m2", kNow);
  CHECK(permit.MayOrder("m2", late, late + Milliseconds(1)));
  CHECK_FALSE(permit.MayOrder("m2", late, late));
  CHECK_FALSE(permit.MayGrant("m1", late, late));
}

TEST_CASE("While an order may be carried out late, nobody else is ordered") {
  PromotionPermit<> permit(kNow, kNow, kNow);
  const auto forever = Time::max();
  const auto later = kNow + Milliseconds(1000);
  permit.NoteMemberPaused("m2", kNow);
  permit.NoteMemberPaused("m3", kNow);
  permit.NoteUnresolvedOrder("m2", later);
  CHECK(permit.MayOrder("m2", later, forever));
  CHECK_FALSE(permit.MayOrder("m3", later, forever));
  CHECK_FALSE(permit.MayGrant("m1", later, forever));
  CHECK(permit.MayOrder("m3", later + kMaxOrderDelay, forever));
  // Carried out again, it changes nothing while its member leads.
  CHECK(permit.MayGrant("m2", later, forever));
  CHECK(permit.MayGrant("m1", later + kMaxOrderDelay, forever));
}

TEST_CASE("A position counts once a grant proves that its member led") {
  GrantTracker user;
  user.AddPendingSample({"m1", kNow, {3, 7}});
  user.AddPendingSample({"m2", kNow, {3, 9}});
  CHECK(user.TakeProvedSamples(kNow).empty());
  user.AcceptGrant({"m1", 3, kNow + kGrantDuration});
  const auto proved = user.TakeProvedSamples(kNow + Milliseconds(10));
  REQUIRE(proved.size() == 1);
  CHECK(proved.front().place == LogPlace{3, 7});
  CHECK(user.TakeProvedSamples(kNow + Milliseconds(20)).empty());
}

TEST_CASE("Samples that wait for a grant are bounded") {
  GrantTracker user;
  for (std::size_t n = 0; n < 2 * GrantTracker::kMaxPendingSamples; ++n) {
    user.AddPendingSample({"m1", kNow, {3, static_cast<std::int64_t>(n)}});
  }
  user.AcceptGrant({"m1", 3, kNow + kGrantDuration});
  CHECK(user.TakeProvedSamples(kNow).size() ==
        GrantTracker::kMaxPendingSamples);
}

TEST_CASE("An answer to an earlier request gives nothing") {
  GrantTracker user;
  const auto first = user.BeginRequest(kNow);
  REQUIRE(first);
  CHECK_FALSE(user.BeginRequest(kNow));
  user.EndRequest();
  const auto second = user.BeginRequest(kNow + Milliseconds(100));
  REQUIRE(second);
  CHECK_FALSE(user.SentTimeIfPending(*first));
  CHECK(user.SentTimeIfPending(*second) == kNow + Milliseconds(100));
}

TEST_CASE("A grant for an earlier term is not taken") {
  GrantTracker user;
  user.AcceptGrant({"m2", 4, kNow + Milliseconds(10)});
  user.AcceptGrant({"m1", 3, kNow + kGrantDuration});
  CHECK_FALSE(user.Covers("m1", kNow));
}

}  // namespace
}  // namespace kingcuplock
