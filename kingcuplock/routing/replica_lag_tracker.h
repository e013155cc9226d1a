#pragma once

/// Remembers where a member's log stood when it last told, so that a read whose
/// floor it lacks goes elsewhere without asking it. Answers the pattern of
/// replicas that stay behind for long: one read in a while finds out whether
/// the member has caught up, the others do not pay for the question.
///
/// Example:
///   if (places.MayServeRead(floor, now)) { places.NoteReadSent(floor, now);
///   Send(); } places.NoteReadRefused(floor, now);

#include <algorithm>
#include <optional>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// Value type; O(1). Terms order places: a member that lost the end of its log
/// in a promotion lacks floors of the new term.
class ReplicaLagTracker {
 public:
  /// Returns whether a read that needs `floor` may be sent to the member.
  auto MayServeRead(LogPlace floor, Time now) const -> bool {
    return !lacks_ || floor < *lacks_ || now >= asks_again_;
  }

  /// Notes that a read that needs `floor` is sent: no other one asks for what
  /// the member was known to lack until an answer or a pause later.
  auto NoteReadSent(LogPlace floor, Time now) -> void {
    if (lacks_ && floor >= *lacks_ && now - lacked_at_ < kMemory) {
      asks_again_ = now + pause_;
    }
  }

  /// The member served a read that needs `floor`.
  auto NoteReadServed(LogPlace floor) -> void {
    if (lacks_ && floor >= *lacks_) {
      lacks_.reset();
    }
  }

  /// The member refused a read as it lacks `floor`.
  auto NoteReadRefused(LogPlace floor, Time now) -> void {
    const auto again = lacks_ && floor >= *lacks_;
    pause_ = again ? std::min<Duration>(2 * pause_, kLongestPause)
                   : Duration(kFirstPause);
    lacks_ = lacks_ ? std::min(*lacks_, floor) : floor;
    asks_again_ = now + pause_;
    lacked_at_ = now;
  }

 private:
  /// Time in ms until a member is asked again: about that in which an ordinary
  /// replica applies a commit.
  static constexpr Milliseconds kFirstPause{25};
  /// Longest such time in ms: a member that has caught up idles as long.
  static constexpr Milliseconds kLongestPause{200};

  /// Time in ms after which a refusal tells nothing any more: several pauses.
  static constexpr Milliseconds kMemory{1000};

  /// The oldest floor that it was known to lack.
  std::optional<LogPlace> lacks_;
  Time asks_again_{};
  Time lacked_at_{};
  Duration pause_{kFirstPause};
};

}  // namespace kingcuplock
