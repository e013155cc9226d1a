#pragma once

/// Counts good and bad requests in sliding windows, in constant memory.
///
/// Example:
///   WindowCounter counter;
///   counter.Add(now, {.good = 1});
///   for (const auto& it : counter.Windows(now)) { Report(it); }

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Lengths of the windows, shortest first.
inline constexpr std::array<Milliseconds, 4> kServiceWindowLengths{
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
    std::chrono::hours(72)};

/// Numbers of requests: those that met their service level, all others, and
/// those served by a replica.
struct WindowCounts {
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
  std::uint32_t from_replica = 0;

  auto operator==(const WindowCounts&) const -> bool = default;
};

/// Each window is a ring of 12 buckets. Counts are dropped one bucket at a
/// time: a count stays for between 11/12 of the window's length and the whole
/// of it. Not thread safe.
class WindowCounter {
 public:
  /// Adds `counts` to every window. `now` must not go back. Takes O(1) time
  /// plus the time to clear the buckets that began since the last call.
  void Add(Time now, const WindowCounts& counts);

  /// Returns the counts of each window that ends at `now`, shortest first.
  /// Takes O(n) time in the number of buckets.
  auto Windows(Time now) const -> std::vector<ServiceWindow>;

 private:
  static constexpr std::size_t kBuckets = 12;
  struct Ring {
    std::array<WindowCounts, kBuckets> buckets{};
    /// Number of the newest bucket, counted from time 0.
    std::int64_t newest = 0;
  };

  std::array<Ring, kServiceWindowLengths.size()> rings_{};
};

}  // namespace kingcuplock
