#pragma once

/// Knowledge of who leads a group that can't become wrong for a while, for
/// platforms where a replaced primary goes on serving. It comes from the holder
/// of the promotion duty, or from reports of all other members.
///
/// Example:
///   const auto grant = GrantFromHolder<>("m-2", 4, asked, given, lasts);
///   if (grant.Covers("m-2", now)) { SendWrite(); }

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"

namespace kingcuplock {

/// Validity in ms of a holder's grant, and of evidence counted from when the
/// members were asked: long enough that renewals cost little beside the
/// statements they cover, short beside a promotion.
constexpr Milliseconds kGrantDuration{500};
/// Least time in ms from an order until it takes effect. The platform speaks of
/// some hundred; a promotion may be ordered so much ahead of the last grant's
/// end.
constexpr Milliseconds kMinPromotionTime{200};
/// Time in ms for a statement's way to a member, taken off a grant before a
/// write is sent: a round trip between data centres.
constexpr Milliseconds kMemberTransitTime{5};

/// Value type.
struct PrimaryGrant {
  std::string member = {};
  std::int64_t term = 0;
  Time until{};

  /// Returns whether nobody but `name` leads at `now`, nor in the time that a
  /// statement takes to get there.
  auto Covers(std::string_view name, Time now) const -> bool {
    return !member.empty() && member == name &&
           now + kMemberTransitTime < until;
  }
};

/// Returns the grant that a holder's answer gives. `asked` is when it was asked
/// for and `arrived` when the answer came, both on the own clock.
template <GrantRules Rules = AllGrantRules>
auto GrantFromHolder(std::string member,
                     std::int64_t term,
                     Time asked,
                     Time arrived,
                     Duration lasts) -> PrimaryGrant {
  return {std::move(member), term,
          (Rules::kCountFromRequest ? asked : arrived) +
              std::min<Duration>(lasts, kGrantDuration)};
}

}  // namespace kingcuplock
