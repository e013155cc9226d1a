#include "proofs/grant_model/grant_model.h"

#include <doctest/doctest.h>

#include "proofs/grant_model/grant_rule_sets.h"

namespace kingcuplock {
namespace {

constexpr std::uint64_t kSeed = 20261204;
/// Walks with every rule on.
constexpr std::int64_t kWalks = 20'000;
/// Longest search for the fault that a missing rule allows.
constexpr std::int64_t kMaxSearch = 200'000;

/// Returns whether a fault is found within kMaxSearch walks.
template <GrantRules Rules>
auto FindsFault() -> bool {
  std::mt19937_64 random(kSeed);
  for (std::int64_t n = 0; n < kMaxSearch; ++n) {
    if (GrantWalk<Rules>(random).Run()) {
      return true;
    }
  }
  return false;
}

TEST_CASE("No walk uses a replaced primary with every rule on") {
  const auto result = RunGrantWalks<AllGrantRules>(kWalks, kSeed);
  CHECK(result.faults == 0);
  if (result.shortest) {
    for (const auto& it : result.shortest->trace) {
      MESSAGE(it);
    }
    MESSAGE(result.shortest->what);
  }
}

TEST_CASE("Counting a grant from its arrival uses a replaced primary") {
  CHECK(FindsFault<WithoutCountFromAsk>());
}

TEST_CASE("Ordering before the grants have ended uses a replaced primary") {
  CHECK(FindsFault<WithoutWaitForGrants>());
}

TEST_CASE("Evidence of a paused member uses a replaced primary") {
  CHECK(FindsFault<WithoutSeePause>());
}

TEST_CASE("Evidence of some members uses a replaced primary") {
  CHECK(FindsFault<WithoutHearAll>());
}

TEST_CASE("Acting beside the former holder uses a replaced primary") {
  CHECK(FindsFault<WithoutWaitForPredecessor>());
}

TEST_CASE("Ordering after the lease uses a replaced primary") {
  CHECK(FindsFault<WithoutValidLease>());
}

TEST_CASE("Going on beside a late order uses a replaced primary") {
  CHECK(FindsFault<WithoutOneOrder>());
}

}  // namespace
}  // namespace kingcuplock
