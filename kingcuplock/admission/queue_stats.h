#pragma once

/// Observations of one kind of request in a queue: which part of what it
/// offered was served lately, how fast it is served while it waits, and whether
/// it waits all the time.
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

/// RatioAt of the offered requests that was served, over the last second or so.
/// Value type; O(1).
class ServedRatio {
 public:
  /// Notes a request that came.
  auto NoteOffered(Time now) -> void {
    Decay(now);
    offered_ += 1;
  }

  /// Notes a request that left the queue to be served.
  auto NoteServed(Time now) -> void {
    Decay(now);
    served_ += 1;
  }

  /// Returns served over offered requests.
  auto RatioAt(Time now) const -> double {
    const auto left = LeftAt(now);
    return served_ * left / std::max(offered_ * left, kLeast);
  }

 private:
  /// Time constant in ms of the counts: half of the two seconds within which no
  /// kind may fall behind its share.
  static constexpr Milliseconds kMemory{1000};
  /// Least count that is divided by, so that a rare kind's first request has no
  /// claim.
  static constexpr double kLeast = 0.1;

  auto LeftAt(Time now) const -> double {
    const auto since = std::chrono::duration<double>(now - updated_);
    return std::exp(-since / std::chrono::duration<double>(kMemory));
  }
  auto Decay(Time now) -> void {
    const auto left = LeftAt(now);
    offered_ *= left;
    served_ *= left;
    updated_ = now;
  }

  double offered_ = 0;
  double served_ = 0;
  Time updated_{};
};

/// How long requests of one kind wait, as seen from those that leave the queue.
/// Value type; O(1).
class QueueDelay {
 public:
  /// Notes that a request came while `waiting` others were there.
  auto NoteAdded(Time now, std::size_t waiting) -> void {
    if (waiting == 0) {
      last_short_ = now;
      last_left_.reset();
    }
  }

  /// Notes that a request leaves after `wait`; `target` is the time that it had
  /// in all.
  auto NoteLeft(Time now, Duration wait, Duration target) -> void {
    if (wait < target / kShortWaitDivisor) {
      last_short_ = now;
    }
    if (last_left_) {
      const auto gap = now - *last_left_;
      pace_ = pace_ ? *pace_ + (gap - *pace_) / kPaceWeight : gap;
    }
    last_left_ = now;
  }

  /// Returns the time between two requests that leave while others wait;
  /// nullopt before one was measured.
  auto pace() const -> std::optional<Duration> { return pace_; }

  /// Returns how long a request may wait that has `left` until its target.
  auto MaxWait(Time now, Duration left) const -> Duration {
    const auto moves = last_left_ && now - *last_left_ < left;
    const auto standing = moves && now - last_short_ > left;
    return standing ? left / kStandingDivisor : left;
  }

 private:
  /// RatioAt of the target that counts as a short wait.
  static constexpr int kShortWaitDivisor = 8;
  /// RatioAt of the target that a request may wait in a queue that stays
  /// filled.
  static constexpr int kStandingDivisor = 4;
  /// Weight of a new gap in the pace, one in so many.
  static constexpr int kPaceWeight = 4;

  std::optional<Duration> pace_;
  std::optional<Time> last_left_;
  Time last_short_{};
};

}  // namespace kingcuplock
