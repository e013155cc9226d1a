#include "proofs/promotion_model/promotion_model.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

constexpr std::uint64_t kSeed = 20261204;
/// Number of walks with every rule enabled.
constexpr std::int64_t kWalks = 60'000;
/// Most walks to find the loss that a disabled rule allows.
constexpr std::int64_t kMaxSearchWalks = 600'000;

/// Returns whether a walk loses an acknowledged entry within kMaxSearchWalks
/// walks.
template <SafetyRules Rules>
auto FindsLoss() -> bool {
  std::mt19937_64 random(kSeed);
  for (std::int64_t n = 0; n < kMaxSearchWalks; ++n) {
    if (PromotionWalk<Rules>(random).Run()) {
      return true;
    }
  }
  return false;
}

TEST_CASE("With every rule enabled, no walk loses an acknowledged entry") {
  CHECK(RunPromotionWalks<AllSafetyRules>(kWalks, kSeed).losses == 0);
}

TEST_CASE("Loss found if candidates compare by followed term") {
  CHECK(FindsLoss<WithoutCompareLastEntryTerm>());
}

TEST_CASE("Loss found if a write is acknowledged before an own-term entry") {
  CHECK(FindsLoss<WithoutOwnTermEntry>());
}

TEST_CASE("Loss found if one report is enough to choose a candidate") {
  CHECK(FindsLoss<WithoutAllButOneReport>());
}

TEST_CASE("Loss found if a majority confirms writes without a lease") {
  CHECK(FindsLoss<WithoutAllConfirmations>());
}

TEST_CASE("Loss found if reports of an earlier attempt count") {
  CHECK(FindsLoss<WithoutFreshReports>());
}

}  // namespace
}  // namespace kingcuplock
