#pragma once

/// The rules of grants with one of them switched off, for proofs.
///
/// Example:
///   GrantWalk<WithoutTenure>(random).Run();

#include "kingcuplock/grants/grant_rules.h"

namespace kingcuplock {

struct WithoutCountFromAsk : AllGrantRules {
  static constexpr bool kCountFromAsk = false;
};
struct WithoutWaitForGrants : AllGrantRules {
  static constexpr bool kWaitForGrants = false;
};
struct WithoutSeePause : AllGrantRules {
  static constexpr bool kSeePause = false;
};
struct WithoutHearAll : AllGrantRules {
  static constexpr bool kHearAll = false;
};
struct WithoutTenure : AllGrantRules {
  static constexpr bool kTenure = false;
};
struct WithoutValidLease : AllGrantRules {
  static constexpr bool kValidLease = false;
};
struct WithoutOneOrder : AllGrantRules {
  static constexpr bool kOneOrder = false;
};

}  // namespace kingcuplock
