#pragma once

/// A grant guarantees until a given time that a member is its group's primary.
/// Instances need one on platforms where a replaced primary goes on serving. It
/// comes from the holder of the promotion duty or from the reports of all other
/// members.
///
/// Example:
///   const auto grant = GrantFromHolder<>("m-2", 4, asked, arrived, lasts);
///   if (grant.Covers("m-2", now)) { SendWrite(); }

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"

namespace kingcuplock {

/// Validity in ms of a holder's grant, counted from its request, and of
/// evidence, counted from when the members were asked. Long enough that
/// renewals cost little compared with the statements that they cover, short
/// compared with a promotion, which waits for the expiry.
constexpr Milliseconds kGrantDuration{500};
/// Shortest time in ms from an order to promote until it takes effect; the
/// platform documents a few hundred. A promotion may be ordered this long
/// before the last grant ends.
constexpr Milliseconds kMinPromotionTime{200};
/// Longest time in ms after which an order without an answer may still be
/// carried out; the platform documents several seconds.
constexpr Milliseconds kMaxOrderDelay{6000};
/// Longest time in ms from the pause of a member until it may be ordered to
/// become primary; afterwards it is asked again, as it may have lost its pause
/// by a restart. Longer than the waits between the two.
constexpr Milliseconds kMaxPauseAge{500};
/// Time in ms that a statement may take to reach a member: a round trip between
/// data centres. It is subtracted from the validity of a grant before a write
/// is sent.
constexpr Milliseconds kMemberTransitTime{5};

/// The guaranteed primary of a group. Value type.
struct PrimaryGrant {
  /// Member that is the primary; empty for no grant.
  std::string member = {};
  /// Term in which it is the primary.
  std::int64_t term = 0;
  /// End of the guarantee, on the own clock.
  Time until{};

  /// Returns whether a statement sent to `name` at `now` arrives while no other
  /// member can be the primary.
  auto Covers(std::string_view name, Time now) const -> bool {
    return !member.empty() && member == name &&
           now + kMemberTransitTime < until;
  }
};

/// Returns the grant in a holder's answer. `asked` is when it was requested and
/// `arrived` when the answer came, both on the own clock; `lasts` is the
/// validity in the answer, at most kGrantDuration.
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
