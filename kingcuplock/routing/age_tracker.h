#pragma once

/// Upper bound on the age of data at a log position, from samples of the
/// primary's position. Only the instance's own clock is used.
///
/// Example:
///   ages.AddSample(sent, answer.position);
///   auto age = ages.AgeAt(replica_position, now);

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// Value type. Adding is amortised O(1), asking O(log n) in samples kept.
class AgeTracker {
 public:
  /// Notes that the primary's log ended at `place` or before at `sent`, the
  /// moment at which the sample was asked for.
  void AddSample(Time sent, LogPlace place);

  /// Returns how old the data at `place` is at most, at `now`; nullopt when no
  /// sample is old enough to tell.
  auto AgeAt(LogPlace place, Time now) const -> std::optional<Duration>;

  /// Returns the lowest position known to hold everything that was committed
  /// before `not_before`: the oldest sample asked for since; nullopt without
  /// one.
  auto FloorSince(Time not_before) const -> std::optional<LogPlace>;

  /// Returns the newest sample's position and when it was asked for.
  auto NewestSample() const -> std::optional<std::pair<Time, LogPlace>> {
    return samples_.empty() ? std::nullopt
                            : std::optional(std::pair(samples_.back().sent,
                                                      samples_.back().place));
  }

  /// Forgets all samples, as after a change of primary.
  void Clear() { samples_.clear(); }

 private:
  struct Sample {
    Time sent{};
    LogPlace place;
  };

  std::deque<Sample> samples_;
};

}  // namespace kingcuplock
