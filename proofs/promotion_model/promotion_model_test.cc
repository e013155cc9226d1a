#include "proofs/promotion_model/promotion_model.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

constexpr std::uint64_t kSeed = 20261204;
/// Walks with every rule on.
constexpr std::int64_t kWalks = 60'000;
/// Longest search for the loss that a missing rule allows.
constexpr std::int64_t kMaxSearch = 600'000;

/// Returns whether a loss is found within kMaxSearch walks.
template <SafetyRules Rules>
auto FindsLoss() -> bool {
  std::mt19937_64 random(kSeed);
  for (std::int64_t n = 0; n < kMaxSearch; ++n) {
    if (PromotionWalk<Rules>(random).Run()) {
      return true;
    }
  }
  return false;
}

TEST_CASE("No walk loses an acknowledged entry with every rule on") {
  CHECK(RunWalks<AllSafetyRules>(kWalks, kSeed).losses == 0);
}

TEST_CASE("Comparing members by the term followed loses an entry") {
  CHECK(FindsLoss<WithoutEntryTerm>());
}

TEST_CASE("Acknowledging before an entry of the own term loses an entry") {
  CHECK(FindsLoss<WithoutOwnEntry>());
}

TEST_CASE("Choosing after hearing one member loses an entry") {
  CHECK(FindsLoss<WithoutHearEnough>());
}

TEST_CASE("Confirmation by a majority without a lease loses an entry") {
  CHECK(FindsLoss<WithoutConfirmAll>());
}

TEST_CASE("Using what an earlier attempt heard loses an entry") {
  CHECK(FindsLoss<WithoutHearAgain>());
}

}  // namespace
}  // namespace kingcuplock
