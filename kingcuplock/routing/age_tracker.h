#pragma once

/// Upper bound on the age of the data at a log position, computed from samples
/// of the primary's position. Only the instance's own clock is used.
///
/// Example:
///   ages.AddSample(sent, answer.position);
///   auto age = ages.AgeAt(replica_position, now);

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Value type. Adding a sample is amortised O(1), queries are O(log n) in the
/// samples kept.
class AgeTracker {
 public:
  /// Adds a sample that was requested at `sent`: the primary's log ended at
  /// `place` or before it at that moment. A sample that was requested before
  /// the newest one is ignored.
  void AddSample(Time sent, LogPosition place);

  /// Returns the maximum age of the data at `place` at `now`; nullopt if no
  /// sample is at or before `place`.
  auto AgeAt(LogPosition place, Time now) const -> std::optional<Duration>;

  /// Returns the lowest position known to include everything that was committed
  /// before `not_before`, which is that of the oldest sample requested since;
  /// nullopt if there is none.
  auto FloorSince(Time not_before) const -> std::optional<LogPosition>;

  /// Returns when the newest sample was requested, and its position.
  auto NewestSample() const -> std::optional<std::pair<Time, LogPosition>> {
    return samples_.empty() ? std::nullopt
                            : std::optional(std::pair(samples_.back().sent,
                                                      samples_.back().place));
  }

  /// Removes all samples, for example after a change of primary.
  void Clear() { samples_.clear(); }

 private:
  struct Sample {
    Time sent{};
    LogPosition place;
  };

  std::deque<Sample> samples_;
};

}  // namespace kingcuplock
