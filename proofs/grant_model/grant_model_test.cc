#include "proofs/grant_model/grant_model.h"

#include <doctest/doctest.h>

#include "proofs/grant_model/grant_rule_sets.h"

namespace kingcuplock {
namespace {

constexpr std::uint64_t kSeed = 20261204;
/// Number of walks with every rule enabled.
constexpr std::int64_t kWalks = 20'000;
/// Most walks to find the fault that a disabled rule allows.
constexpr std::int64_t kMaxSearchWalks = 200'000;

/// Returns whether a walk uses a replaced primary within kMaxSearchWalks walks.
template <GrantRules Rules>
auto FindsFault() -> bool {
  std::mt19937_64 random(kSeed);
  for (std::int64_t n = 0; n < kMaxSearchWalks; ++n) {
    if (GrantWalk<Rules>(random).Run()) {
      return true;
    }
  }
  return false;
}

TEST_CASE("With every rule enabled, no walk uses a replaced primary") {
  const auto result = RunGrantWalks<AllGrantRules>(kWalks, kSeed);
  CHECK(result.faults == 0);
  if (result.shortest) {
    for (const auto& it : result.shortest->trace) {
      MESSAGE(it);
    }
    MESSAGE(result.shortest->description);
  }
}

TEST_CASE("Fault found if a grant is valid from its arrival") {
  CHECK(FindsFault<WithoutCountFromRequest>());
}

TEST_CASE("Fault found if a promotion is ordered before grants expire") {
  CHECK(FindsFault<WithoutWaitForGrantExpiry>());
}

TEST_CASE("Fault found if the report of a paused member is evidence") {
  CHECK(FindsFault<WithoutRejectPausedReports>());
}

// Guards against a holder that does not know the term, as after a restart: the
// members follow a later one and are not paused.
TEST_CASE("Fault found if a pause without effect counts") {
  CHECK(FindsFault<WithoutEffectivePause>());
}

// Guards against a holder that forgets its open order by a restart, and against
// its successor, to which it then confirms that it acts no more.
TEST_CASE("Fault found if orders are not recorded") {
  CHECK(FindsFault<WithoutRecordedOrders>());
}

TEST_CASE("Fault found if evidence lacks the report of a member") {
  CHECK(FindsFault<WithoutAllReports>());
}

// Guards against the reports of members that lost their pause by a restart
// while an order was open.
TEST_CASE("Fault found if a member that has just started is evidence") {
  CHECK(FindsFault<WithoutObservedMembers>());
}

TEST_CASE("Fault found if a holder acts while its predecessor still can") {
  CHECK(FindsFault<WithoutWaitForPredecessor>());
}

TEST_CASE("Fault found if a promotion is ordered after the lease ends") {
  CHECK(FindsFault<WithoutValidLease>());
}

TEST_CASE("Fault found if an unresolved order does not block others") {
  CHECK(FindsFault<WithoutSingleUnresolvedOrder>());
}

}  // namespace
}  // namespace kingcuplock
