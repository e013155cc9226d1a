#include "kingcuplock/failover/open_orders.h"

#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/failover/candidate.h"

namespace kingcuplock {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

// Guards against an order that is forgotten because its answer was lost.
TEST_CASE("An order without an answer may replace the primary") {
  OpenOrders orders;
  orders.NoteSent("m2", 1, kNow);
  CHECK(orders.MayReplace("m1"));
  CHECK(orders.NeedsSuperseding("m1"));
  CHECK(orders.OnlySuccessor("m1") == "m2");
  CHECK_FALSE(orders.MayReplace("m2"));
  orders.ForgetExpired(kNow + kMaxFencedOrderDelay);
  CHECK_FALSE(orders.MayReplace("m1"));
}

// Guards against members that are resumed while a superseded order, which was
// accepted before, still takes effect.
TEST_CASE("A superseded order stays open for the time of a promotion") {
  OpenOrders orders;
  orders.NoteSent("m2", 1, kNow);
  orders.NoteSent("m1", 2, kNow);
  CHECK(orders.OnlySuccessor("m1") == "m2");
  orders.NoteAccepted(2, kNow);
  CHECK_FALSE(orders.NeedsSuperseding("m1"));
  CHECK(orders.MayReplace("m1"));
  orders.ForgetExpired(kNow + kMaxPromotionTime);
  CHECK_FALSE(orders.MayReplace("m1"));
}

// Guards against a later order for the former primary that is overlooked once
// the earlier one was carried out: it would bring that member back.
TEST_CASE("Orders with higher tokens than that of the new primary stay open") {
  OpenOrders orders;
  orders.NoteSent("m2", 1, kNow);
  orders.NoteSent("m1", 2, kNow);
  orders.NoteTookLead("m2");
  CHECK(orders.OnlySuccessor("m2") == "m1");
  orders.NoteSent("m3", 3, kNow);
  CHECK_FALSE(orders.OnlySuccessor("m2"));
  orders.NoteTookLead("m3");
  CHECK_FALSE(orders.MayReplace("m3"));
}

// Guards against an order that is taken for open although it was refused.
TEST_CASE("A refused order is not open") {
  OpenOrders orders;
  orders.NoteSent("m2", 1, kNow);
  orders.NoteNotDone(1);
  CHECK_FALSE(orders.MayReplace("m1"));
}

// Guards against a holder that knows more of a former holder's orders than it
// can.
TEST_CASE("An inherited order of an unknown member has no known successor") {
  OpenOrders orders;
  orders.NoteInherited(OpenOrders::kUnknownMember, kNow);
  CHECK(orders.NeedsSuperseding("m1"));
  CHECK_FALSE(orders.OnlySuccessor("m1"));
  orders.NoteTookLead("m2");
  CHECK_FALSE(orders.MayReplace("m2"));
  orders.NoteInherited("m3", kNow);
  orders.NoteSent("m2", 5, kNow);
  orders.NoteAccepted(5, kNow);
  CHECK_FALSE(orders.NeedsSuperseding("m2"));
}

// Guards against orders that are overlooked while it is not known who leads.
TEST_CASE("Any open order may replace a primary that is not known") {
  OpenOrders orders;
  orders.NoteSent("m2", 1, kNow);
  CHECK(orders.MayReplace(""));
  orders.NoteNotDone(1);
  orders.NoteInherited(OpenOrders::kUnknownMember, kNow);
  CHECK(orders.MayReplace(""));
}

// Guards against a candidate other than the member of an open order, or with
// fewer entries than another.
TEST_CASE("Only the member of an open order is chosen") {
  const std::vector<MemberLogReport> reports = {
      {"m2", 1, {1, 7}}, {"m3", 1, {1, 7}}, {"m4", 1, {1, 6}}};
  CandidateCriteria criteria;
  criteria.members = 4;
  criteria.new_term = 2;
  criteria.only = "m3";
  const auto choice = ChooseCandidate<AllSafetyRules>(reports, criteria);
  CHECK(choice.verdict == CandidateVerdict::kChosen);
  CHECK(choice.candidate.member == "m3");
  for (const auto* only : {"m4", "m5"}) {
    criteria.only = only;
    CHECK(ChooseCandidate<AllSafetyRules>(reports, criteria).verdict ==
          CandidateVerdict::kWait);
  }
}

}  // namespace
}  // namespace kingcuplock
