#pragma once

/// Timers that run on a time set by their owner. The service reads no clock
/// itself, so that tests can run it on virtual time.
///
/// Example:
///   TimerService timers;
///   auto timer = timers.After(Milliseconds(50), [] { Probe(); });
///   timers.AdvanceTo(now);

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace kingcuplock {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
/// Monotonic time since an arbitrary start.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Identifies a timer; 0 is never used.
using TimerId = std::uint64_t;

/// Not thread safe. Setting, cancelling and firing a timer each take O(log n)
/// time in the number of pending timers.
class TimerService {
 public:
  explicit TimerService(Time start = Time{}) : now_(start) {}

  /// Returns the time of the last AdvanceTo().
  auto Now() const -> Time { return now_; }

  /// Sets the wall-clock time, as Unix time, that corresponds to Now(). It
  /// advances with Now().
  void SetWallTime(Milliseconds unix_time) {
    wall_offset_ = unix_time - now_.time_since_epoch();
  }

  /// Returns the wall-clock time as Unix time, or nullopt before the first
  /// SetWallTime(). It may jump in either direction.
  auto WallTime() const -> std::optional<Milliseconds> {
    if (!wall_offset_) {
      return std::nullopt;
    }
    return std::chrono::floor<Milliseconds>(now_.time_since_epoch() +
                                            *wall_offset_);
  }

  /// Sets a timer that calls `callback` once, when the time reaches Now() +
  /// `delay`. A negative delay counts as zero.
  auto After(Duration delay, std::function<void()> callback) -> TimerId;

  /// Cancels a timer. Returns false if it has already fired or been cancelled.
  auto Cancel(TimerId timer) -> bool;

  /// Advances the time to `now` and fires the timers that are due, in order of
  /// time. The time never goes back: one before Now() leaves Now() as it is.
  void AdvanceTo(Time now);

  /// Returns the time of the last AdvanceTo() that came kStall or more after a
  /// timer was due, for example because the process was paused. Returns nullopt
  /// if there was none.
  auto LastStall() const -> std::optional<Time> { return last_stall_; }

  /// Returns the time at which the next timer is due, or nullopt if none is
  /// set.
  auto NextDue() const -> std::optional<Time>;

 private:
  using Key = std::pair<Time, TimerId>;

  /// Delay of a timer that counts as a stall: twice the default interval at
  /// which an owner samples its members, and far above scheduling jitter.
  static constexpr Milliseconds kStall{100};

  Time now_;
  std::optional<Time> last_stall_;
  std::optional<Duration> wall_offset_;
  TimerId last_timer_id_ = 0;
  std::map<Key, std::function<void()>> pending_;
  std::unordered_map<TimerId, Time> due_times_;
};

}  // namespace kingcuplock
