#pragma once

/// Timer service that the parts of an instance subscribe to. It reads no
/// clock: whoever owns it moves the time on.
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
/// Identifies a subscription; 0 is never used.
using TimerId = std::uint64_t;

/// Not thread safe. All operations are O(log n) in pending timers.
class TimerService {
 public:
  explicit TimerService(Time start = Time{}) : now_(start) {}

  /// Returns the time of the last AdvanceTo().
  auto Now() const -> Time { return now_; }

  /// Tells the wall clock's Unix time at Now(); it moves on with Now().
  void SetWallTime(Milliseconds unix_time) {
    wall_offset_ = unix_time - now_.time_since_epoch();
  }

  /// Returns the Unix time, nullopt while nobody told it. It may jump.
  auto WallTime() const -> std::optional<Milliseconds> {
    if (!wall_offset_) {
      return std::nullopt;
    }
    return std::chrono::floor<Milliseconds>(now_.time_since_epoch() +
                                            *wall_offset_);
  }

  /// Calls `callback` once when the time reaches Now() + `delay`.
  auto After(Duration delay, std::function<void()> callback) -> TimerId;

  /// Drops a subscription. Returns false if it already fired.
  auto Cancel(TimerId timer) -> bool;

  /// Moves the time on and fires what is due, in order of time. A time before
  /// Now() is ignored.
  void AdvanceTo(Time now);

  /// Returns the time of the last AdvanceTo() that came kStall or more after
  /// the first due timer, as after a pause of the process; nullopt if none did.
  auto LastStall() const -> std::optional<Time> { return last_stall_; }

  /// Returns when the next timer is due.
  auto NextDue() const -> std::optional<Time>;

 private:
  using Key = std::pair<Time, TimerId>;

  /// Lateness in ms that counts as a stall: twice the interval of the samples
  /// that an owner takes of its members, far above scheduling jitter.
  static constexpr Milliseconds kStall{100};

  Time now_;
  std::optional<Time> last_stall_;
  std::optional<Duration> wall_offset_;
  TimerId last_id_ = 0;
  std::map<Key, std::function<void()>> pending_;
  std::unordered_map<TimerId, Time> due_;
};

}  // namespace kingcuplock
