#pragma once

/// The rules of grants with one of them switched off, for proofs.
///
/// Example:
///   GrantWalk<WithoutWaitForPredecessor>(random).Run();

#include "kingcuplock/grants/grant_rules.h"

namespace kingcuplock {

struct WithoutCountFromAsk : AllGrantRules {
  static constexpr bool kCountFromRequest = false;
};
struct WithoutWaitForGrants : AllGrantRules {
  static constexpr bool kWaitForGrantExpiry = false;
};
struct WithoutSeePause : AllGrantRules {
  static constexpr bool kRejectPausedReports = false;
};
struct WithoutHearAll : AllGrantRules {
  static constexpr bool kRequireAllReports = false;
};
struct WithoutWaitForPredecessor : AllGrantRules {
  static constexpr bool kWaitForPredecessor = false;
};
struct WithoutValidLease : AllGrantRules {
  static constexpr bool kRequireValidLease = false;
};
struct WithoutOneOrder : AllGrantRules {
  static constexpr bool kSingleUnresolvedOrder = false;
};

}  // namespace kingcuplock
