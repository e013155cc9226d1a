#pragma once

/// Decides whether a member's data may answer a read: not behind its session,
/// not lost by a failover, not older than the stated age.
///
/// Example:
///   ReadCheck<> check(ages, history, term);
///   if (check.MaySendRead(need, sampled_place, now)) { Send(); }
///   if (check.MayAnswer(need, answered_place, now)) { Answer(); }

#include <concepts>
#include <cstdint>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/routing/age_tracker.h"
#include "kingcuplock/session/log_place.h"
#include "kingcuplock/session/term_history.h"

namespace kingcuplock {

/// What a read asks for.
struct ReadRequirements {
  /// Newest place that the session has seen.
  LogPlace seen;
  /// Age that the data may have.
  Duration max_age{};
};

/// Every rule of reads in force. Proofs switch one off to show what it
/// prevents.
struct AllReadRules {
  /// A member is tried only if its last sample reached the session's place.
  static constexpr bool kCheckTokenBeforeSend = true;
  /// The place in the answer must have reached the session's.
  static constexpr bool kCheckTokenOnAnswer = true;
  /// The age is bounded again when the answer arrives.
  static constexpr bool kCheckAgeOnAnswer = true;
  /// Places beyond the end of their term are neither served nor satisfied.
  static constexpr bool kCheckLostData = true;
};

/// A policy that states every rule of reads.
template <typename T>
concept ReadRules = requires {
  { T::kCheckTokenBeforeSend } -> std::convertible_to<bool>;
  { T::kCheckTokenOnAnswer } -> std::convertible_to<bool>;
  { T::kCheckAgeOnAnswer } -> std::convertible_to<bool>;
  { T::kCheckLostData } -> std::convertible_to<bool>;
};

/// Part of the stated age in ms that must be left when a read is sent.
inline constexpr Milliseconds kReadAgeSlack{5};

/// Refers to its parts; make one per decision. Not thread safe. O(log n) in
/// samples and O(n) in terms kept.
template <ReadRules Rules = AllReadRules>
class ReadCheck {
 public:
  /// `term` is the newest term that the owner knows.
  ReadCheck(const AgeTracker& ages,
            const TermHistory& history,
            std::int64_t term)
      : ages_(ages), history_(history), term_(term) {}

  /// Returns whether a read may be sent to a member last seen at `place`.
  auto MaySendRead(const ReadRequirements& need, LogPlace place, Time now) const
      -> bool {
    return (!Rules::kCheckTokenBeforeSend || place >= need.seen) &&
           IsCurrent(need, place) &&
           InAge(place, need.max_age - kReadAgeSlack, now);
  }

  /// Returns whether a member that is behind the session's place could serve
  /// the read once it has caught up, and will have within `wait` if it keeps
  /// its distance from the primary.
  auto MayServeAfterCatchUp(const ReadRequirements& need,
                            LogPlace place,
                            Time now,
                            Duration wait) const -> bool {
    const auto behind = ages_.AgeAt(place, now);
    const auto seen_since = ages_.AgeAt(need.seen, now);
    return place < need.seen && IsCurrent(need, place) && behind &&
           seen_since && *behind - *seen_since <= wait &&
           InAge(place, need.max_age - kReadAgeSlack, now);
  }

  /// Returns whether an answer that reflects `place` may be given at `now`.
  auto MayAnswer(const ReadRequirements& need, LogPlace place, Time now) const
      -> bool {
    return (!Rules::kCheckTokenOnAnswer || place >= need.seen) &&
           IsCurrent(need, place) &&
           (!Rules::kCheckAgeOnAnswer || InAge(place, need.max_age, now));
  }

 private:
  /// A place of a later term than known can't be judged.
  auto IsCurrent(const ReadRequirements& need, LogPlace place) const -> bool {
    return !Rules::kCheckLostData ||
           (place.term <= term_ && !history_.IsLost(place) &&
            !history_.IsLost(need.seen));
  }

  auto InAge(LogPlace place, Duration max_age, Time now) const -> bool {
    const auto age = ages_.AgeAt(place, now);
    return age && *age <= max_age;
  }

  const AgeTracker& ages_;
  const TermHistory& history_;
  std::int64_t term_;
};

}  // namespace kingcuplock
