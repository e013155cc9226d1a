#pragma once

/// Grant policies with one rule disabled each, to show that the model finds the
/// fault that the rule prevents. Each is named after the constant in
/// AllGrantRules that it sets to false.
///
/// Example:
///   GrantWalk<WithoutWaitForPredecessor>(random).Run();

#include "kingcuplock/grants/grant_rules.h"

namespace kingcuplock {

struct WithoutCountFromRequest : AllGrantRules {
  static constexpr bool kCountFromRequest = false;
};
struct WithoutWaitForGrantExpiry : AllGrantRules {
  static constexpr bool kWaitForGrantExpiry = false;
};
struct WithoutRejectPausedReports : AllGrantRules {
  static constexpr bool kRejectPausedReports = false;
};
struct WithoutEffectivePause : AllGrantRules {
  static constexpr bool kRequireEffectivePause = false;
};
struct WithoutRecordedOrders : AllGrantRules {
  static constexpr bool kRecordOrders = false;
};
struct WithoutAllReports : AllGrantRules {
  static constexpr bool kRequireAllReports = false;
};
struct WithoutObservedMembers : AllGrantRules {
  static constexpr bool kRequireObservedMembers = false;
};
struct WithoutWaitForPredecessor : AllGrantRules {
  static constexpr bool kWaitForPredecessor = false;
};
struct WithoutValidLease : AllGrantRules {
  static constexpr bool kRequireValidLease = false;
};
struct WithoutSingleUnresolvedOrder : AllGrantRules {
  static constexpr bool kSingleUnresolvedOrder = false;
};

}  // namespace kingcuplock
