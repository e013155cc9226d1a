#pragma once

/// Counts of good and bad requests over windows that end now, in constant
/// memory.
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

/// Lengths of the windows.
inline constexpr std::array<Milliseconds, 4> kServiceWindowLengths{
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
    std::chrono::hours(72)};

/// What is counted.
struct WindowCounts {
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
  std::uint32_t from_replica = 0;

  auto operator==(const WindowCounts&) const -> bool = default;
};

/// Not thread safe. Each window is a ring of buckets: a count leaves it between
/// 11/12 and the whole of the window's length after it came in.
class WindowCounter {
 public:
  /// Counts in every window. `now` must not go back. O(1), unless whole
  /// buckets have passed without a count.
  void Add(Time now, const WindowCounts& counts);

  /// Returns the counts of each window, shortest first. O(buckets).
  auto Windows(Time now) const -> std::vector<ServiceWindow>;

 private:
  static constexpr std::size_t kBuckets = 12;
  struct Ring {
    std::array<WindowCounts, kBuckets> buckets{};
    /// Number of the newest bucket since the start of time.
    std::int64_t newest = 0;
  };

  std::array<Ring, kServiceWindowLengths.size()> rings_{};
};

}  // namespace kingcuplock
