#pragma once

/// Decides whether a member's data may answer a read: it must not be behind
/// what the session has seen, lost in a failover, or older than the read
/// allows.
///
/// Example:
///   ReadCheck<> check(ages, history, term);
///   if (check.MaySendRead(need, sampled_place, now)) { Send(); }
///   if (check.MayAnswer(need, answered_place, now)) { Answer(); }

#include <concepts>
#include <cstdint>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/routing/age_tracker.h"
#include "kingcuplock/session/log_position.h"
#include "kingcuplock/session/term_history.h"

namespace kingcuplock {

/// Freshness that a read requires.
struct ReadRequirements {
  /// Newest log position that the session has seen.
  LogPosition seen;
  /// Maximum age of the data.
  Duration max_age{};
};

/// Read rules with every rule in force. Tests switch one off to show what it
/// prevents.
struct AllReadRules {
  /// A read is sent only to a member whose last sampled position has reached
  /// the one the session has seen.
  static constexpr bool kCheckTokenBeforeSend = true;
  /// The position in the answer must have reached the one the session has seen.
  static constexpr bool kCheckTokenOnAnswer = true;
  /// The age is checked again when the answer arrives.
  static constexpr bool kCheckAgeOnAnswer = true;
  /// Positions beyond the end of their term, lost in a failover, are refused
  /// both in a member's data and in what the session has seen.
  static constexpr bool kCheckLostData = true;
};

/// A type that sets every read rule.
template <typename T>
concept ReadRules = requires {
  { T::kCheckTokenBeforeSend } -> std::convertible_to<bool>;
  { T::kCheckTokenOnAnswer } -> std::convertible_to<bool>;
  { T::kCheckAgeOnAnswer } -> std::convertible_to<bool>;
  { T::kCheckLostData } -> std::convertible_to<bool>;
};

/// Time in ms that must be left of the maximum age when a read is sent.
inline constexpr Milliseconds kReadAgeSlack{5};

/// Refers to its arguments; make one per decision. Not thread safe. O(log n) in
/// samples and O(n) in terms kept.
template <ReadRules Rules = AllReadRules>
class ReadCheck {
 public:
  /// `term` is the newest term that the owner knows.
  ReadCheck(const AgeTracker& ages,
            const TermHistory& history,
            std::int64_t term)
      : ages_(ages), history_(history), term_(term) {}

  /// Returns whether a read may be sent to a member whose last known log
  /// position is `place`.
  auto MaySendRead(const ReadRequirements& need,
                   LogPosition place,
                   Time now) const -> bool {
    return (!Rules::kCheckTokenBeforeSend || place >= need.seen) &&
           IsCurrent(need, place) &&
           InAge(place, need.max_age - kReadAgeSlack, now);
  }

  /// Returns whether a member at `place`, behind what the session has seen, may
  /// serve the read after it has caught up, and is expected to catch up within
  /// `wait` if its lag behind the primary stays the same.
  auto MayServeAfterCatchUp(const ReadRequirements& need,
                            LogPosition place,
                            Time now,
                            Duration wait) const -> bool {
    const auto behind = ages_.AgeAt(place, now);
    const auto seen_since = ages_.AgeAt(need.seen, now);
    return place < need.seen && IsCurrent(need, place) && behind &&
           seen_since && *behind - *seen_since <= wait &&
           InAge(place, need.max_age - kReadAgeSlack, now);
  }

  /// Returns whether an answer from data at `place` may be given at `now`.
  auto MayAnswer(const ReadRequirements& need,
                 LogPosition place,
                 Time now) const -> bool {
    return (!Rules::kCheckTokenOnAnswer || place >= need.seen) &&
           IsCurrent(need, place) &&
           (!Rules::kCheckAgeOnAnswer || InAge(place, need.max_age, now));
  }

 private:
  /// Returns whether neither position was lost in a failover. A position of a
  /// term later than the owner knows can't be judged and is refused.
  auto IsCurrent(const ReadRequirements& need, LogPosition place) const
      -> bool {
    return !Rules::kCheckLostData ||
           (place.term <= term_ && !history_.IsLost(place) &&
            !history_.IsLost(need.seen));
  }

  /// Returns whether the data at `place` is known to be no older than
  /// `max_age`.
  auto InAge(LogPosition place, Duration max_age, Time now) const -> bool {
    const auto age = ages_.AgeAt(place, now);
    return age && *age <= max_age;
  }

  const AgeTracker& ages_;
  const TermHistory& history_;
  std::int64_t term_;
};

}  // namespace kingcuplock
