#pragma once

/// Finds out that no replica moves on although the primary is ahead of them
/// all: nothing can be acknowledged, as with a primary that is cut off from
/// its group but still answers.
///
/// Example:
///   ReplicationStallDetector watch;
///   if (auto since = watch.Note(primary_place, replica_place, now)) {
///     ReplacePrimary();
///     watch.NotePrimaryReplaced(now);
///   }

#include <algorithm>
#include <optional>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// Not thread safe; O(1).
class ReplicationStallDetector {
 public:
  /// Notes where the primary and the furthest replica stand. Returns since
  /// when replication has stalled, once that is too long.
  auto Note(LogPosition primary, LogPosition replica, Time now)
      -> std::optional<Time> {
    if (replica >= primary || replica > furthest_ || !since_) {
      furthest_ = replica;
      since_ = now;
      return std::nullopt;
    }
    return now - *since_ >= limit_ ? since_ : std::nullopt;
  }

  /// Forgets where members stood.
  void Reset() {
    since_.reset();
    furthest_ = {};
  }

  /// Notes that a primary was replaced for a stall. Stalls that follow soon
  /// are borne for longer, as replicas that merely lag stall as well.
  void NotePrimaryReplaced(Time now) {
    const auto soon = last_replaced_ && now - *last_replaced_ < kMemory;
    limit_ = soon ? std::min(limit_ * 2, kLongestLimit) : kFirstLimit * 2;
    last_replaced_ = now;
  }

 private:
  /// Stall in ms that is borne at first, and at most.
  static constexpr Duration kFirstLimit = Milliseconds(1500);
  static constexpr Duration kLongestLimit = Milliseconds(60'000);
  /// Time in ms after which an earlier replacement no longer counts.
  static constexpr Duration kMemory = Milliseconds(600'000);

  LogPosition furthest_;
  std::optional<Time> since_;
  std::optional<Time> last_replaced_;
  Duration limit_ = kFirstLimit;
};

}  // namespace kingcuplock
