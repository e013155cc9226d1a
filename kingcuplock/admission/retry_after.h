#pragma once

/// Tells refused callers when to come back, spread out so that they don't all
/// return at once.
///
/// Example:
///   RetryAfter retry_after(seed);
///   answer.retry_after_ms =
///   retry_after.PickDelayMs(queue.ExpectedLatency(priority));

#include <algorithm>
#include <cstdint>
#include <random>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Not thread safe; O(1).
class RetryAfter {
 public:
  explicit RetryAfter(std::uint64_t seed) : random_(seed) {}

  /// Returns a time in ms between `wait` and twice as long, spread over 100 ms
  /// at least.
  auto PickDelayMs(Duration wait) -> std::int64_t {
    constexpr std::int64_t kMinSpreadMs = 100;
    constexpr std::int64_t kMinMs = 20;
    const auto wait_ms = std::max<std::int64_t>(
        std::chrono::duration_cast<Milliseconds>(wait).count(), kMinMs);
    return wait_ms + std::uniform_int_distribution<std::int64_t>(
                         0, std::max(wait_ms, kMinSpreadMs))(random_);
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace kingcuplock
