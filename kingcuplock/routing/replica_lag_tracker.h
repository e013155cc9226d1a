#pragma once

/// Remembers which log position a member was found to lack, so that a read that
/// needs this position goes to another member at once. While a replica lags for
/// long, a single read from time to time finds out whether it has caught up;
/// the others aren't delayed by a refusal.
///
/// Example:
///   if (lag.MayServeRead(floor, now)) {
///     lag.NoteReadSent(floor, now);
///     Send();
///   }
///   lag.NoteReadRefused(floor, now);

#include <algorithm>
#include <optional>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Value type; O(1). A read's floor is the lowest log position that a member
/// must have to serve it. Positions are ordered by term first: a member that
/// lost the end of its log in a promotion lacks floors of the new term.
class ReplicaLagTracker {
 public:
  /// Returns whether a read that needs `floor` may be sent to the member.
  auto MayServeRead(LogPosition floor, Time now) const -> bool {
    return !lacks_ || floor < *lacks_ || now >= retry_at_;
  }

  /// Records that a read that needs `floor` is sent. If the member was recently
  /// found to lack `floor`, no other such read is sent until it answers or a
  /// pause has passed.
  auto NoteReadSent(LogPosition floor, Time now) -> void {
    if (lacks_ && floor >= *lacks_ && now - refused_at_ < kRefusalLifetime) {
      retry_at_ = now + pause_;
    }
  }

  /// Records that the member served a read that needs `floor`.
  auto NoteReadServed(LogPosition floor) -> void {
    if (lacks_ && floor >= *lacks_) {
      lacks_.reset();
    }
  }

  /// Records that the member refused a read because it lacks `floor`.
  auto NoteReadRefused(LogPosition floor, Time now) -> void {
    const auto again = lacks_ && floor >= *lacks_;
    pause_ = again ? std::min<Duration>(2 * pause_, kLongestPause)
                   : Duration(kFirstPause);
    lacks_ = lacks_ ? std::min(*lacks_, floor) : floor;
    retry_at_ = now + pause_;
    refused_at_ = now;
  }

 private:
  /// Time in ms after the first refusal until a member is tried again: about as
  /// long as an ordinary replica takes to apply a commit.
  static constexpr Milliseconds kFirstPause{25};
  /// Upper bound of that time in ms, which doubles with each refusal: a member
  /// that has caught up may stay unused for as long.
  static constexpr Milliseconds kLongestPause{200};

  /// Time in ms after which a refusal is out of date: several pauses.
  static constexpr Milliseconds kRefusalLifetime{1000};

  /// The lowest floor that the member is known to lack.
  std::optional<LogPosition> lacks_;
  Time retry_at_{};
  Time refused_at_{};
  Duration pause_{kFirstPause};
};

}  // namespace kingcuplock
