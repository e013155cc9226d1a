#pragma once

/// Statistics of one kind of request in a queue: the fraction of the offered
/// requests that was served lately, the rate of service while requests wait,
/// and whether they wait all the time.
///
/// Example:
///   share.NoteOffered(now);
///   share.NoteServed(now);
///   if (share.RatioAt(now) < other.RatioAt(now)) { ServeFirst(); }

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Fraction of the offered requests that was served, over about the last
/// second. Value type; O(1).
class ServedRatio {
 public:
  /// Records a request that arrived.
  auto NoteOffered(Time now) -> void {
    Decay(now);
    offered_ += 1;
  }

  /// Records a request that left the queue to be served.
  auto NoteServed(Time now) -> void {
    Decay(now);
    served_ += 1;
  }

  /// Returns the number of served requests divided by that of offered ones,
  /// with older ones counting less.
  auto RatioAt(Time now) const -> double {
    const auto factor = DecayFactorAt(now);
    return served_ * factor / std::max(offered_ * factor, kMinDivisor);
  }

 private:
  /// Time constant in ms with which the counts decay: half of the two seconds
  /// within which no kind may fall behind its share.
  static constexpr Milliseconds kDecayTime{1000};
  /// Lower bound of the divisor, so that the first request of a rare kind has
  /// no claim to precedence.
  static constexpr double kMinDivisor = 0.1;

  /// Returns the factor by which the counts have decayed since `updated_`.
  auto DecayFactorAt(Time now) const -> double {
    const auto since = std::chrono::duration<double>(now - updated_);
    return std::exp(-since / std::chrono::duration<double>(kDecayTime));
  }
  auto Decay(Time now) -> void {
    const auto factor = DecayFactorAt(now);
    offered_ *= factor;
    served_ *= factor;
    updated_ = now;
  }

  double offered_ = 0;
  double served_ = 0;
  Time updated_{};
};

/// How long requests of one kind wait, measured on those that leave the queue.
/// Value type; O(1).
class QueueDelay {
 public:
  /// Records that a request arrived while `waiting` others were queued.
  auto NoteAdded(Time now, std::size_t waiting) -> void {
    if (waiting == 0) {
      last_short_wait_ = now;
      last_departure_.reset();
    }
  }

  /// Records that a request leaves after `wait`; `target` is the time from its
  /// arrival to its target.
  auto NoteLeft(Time now, Duration wait, Duration target) -> void {
    if (wait < target / kShortWaitDivisor) {
      last_short_wait_ = now;
    }
    if (last_departure_) {
      const auto interval = now - *last_departure_;
      departure_interval_ =
          departure_interval_
              ? *departure_interval_ +
                    (interval - *departure_interval_) / kIntervalDivisor
              : interval;
    }
    last_departure_ = now;
  }

  /// Returns the average time between two requests that leave while others
  /// wait; nullopt before one was measured.
  auto departure_interval() const -> std::optional<Duration> {
    return departure_interval_;
  }

  /// Returns how long a request may wait whose target is `target` after its
  /// arrival: less in a queue that stays filled.
  auto MaxWait(Time now, Duration target) const -> Duration {
    const auto moves = last_departure_ && now - *last_departure_ < target;
    const auto standing = moves && now - last_short_wait_ > target;
    return standing ? target / kStandingDivisor : target;
  }

 private:
  /// A wait below the target divided by this is short.
  static constexpr int kShortWaitDivisor = 8;
  /// A request may wait for the target divided by this in a queue that stays
  /// filled.
  static constexpr int kStandingDivisor = 4;
  /// Divisor of a new interval in the moving average.
  static constexpr int kIntervalDivisor = 4;

  std::optional<Duration> departure_interval_;
  std::optional<Time> last_departure_;
  Time last_short_wait_{};
};

}  // namespace kingcuplock
