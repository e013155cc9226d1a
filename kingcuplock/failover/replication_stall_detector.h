#pragma once

/// Detects a replication stall: the primary is ahead of every replica and no
/// replica advances, so that no write can be acknowledged. This happens if the
/// primary is cut off from its group but still answers.
///
/// Example:
///   ReplicationStallDetector detector;
///   if (auto since = detector.Note(primary_end, replica_end, now)) {
///     ReplacePrimary();
///     detector.NotePrimaryReplaced(now);
///   }

#include <algorithm>
#include <optional>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Not thread safe. Every operation is O(1).
class ReplicationStallDetector {
 public:
  /// Notes the log ends of the primary and of the most advanced replica at
  /// `now`. Returns when the replicas last advanced or caught up, once that is
  /// at least the stall limit ago, and std::nullopt before.
  auto Note(LogPosition primary, LogPosition replica, Time now)
      -> std::optional<Time> {
    if (replica >= primary || replica > furthest_replica_ || !last_progress_) {
      furthest_replica_ = replica;
      last_progress_ = now;
      return std::nullopt;
    }
    return now - *last_progress_ >= stall_limit_ ? last_progress_
                                                 : std::nullopt;
  }

  /// Forgets the log ends noted so far, but not earlier replacements.
  void Reset() {
    last_progress_.reset();
    furthest_replica_ = {};
  }

  /// Notes that the primary was replaced because of a stall. Doubles the stall
  /// limit, because replicas that merely lag look stalled as well. Counts from
  /// the initial limit again if the last replacement was long ago.
  void NotePrimaryReplaced(Time now) {
    const auto soon =
        last_replaced_ && now - *last_replaced_ < kStallLimitResetAfter;
    stall_limit_ = soon ? std::min(stall_limit_ * 2, kMaxStallLimit)
                        : kInitialStallLimit * 2;
    last_replaced_ = now;
  }

 private:
  /// Stall that is tolerated before the primary is replaced for the first time,
  /// and the most that is tolerated after repeated replacements.
  static constexpr Duration kInitialStallLimit = Milliseconds(1500);
  static constexpr Duration kMaxStallLimit = Milliseconds(60'000);
  /// Time after a replacement from which it no longer raises the stall limit.
  static constexpr Duration kStallLimitResetAfter = Milliseconds(600'000);

  LogPosition furthest_replica_;
  std::optional<Time> last_progress_;
  std::optional<Time> last_replaced_;
  Duration stall_limit_ = kInitialStallLimit;
};

}  // namespace kingcuplock
