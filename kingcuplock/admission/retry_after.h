#pragma once

/// Picks the delay after which a refused caller should retry. Delays are random
/// so that refused callers don't all retry at once.
///
/// Example:
///   RetryAfter retry_after(seed);
///   const auto wait = queue.ExpectedLatency(priority);
///   answer.retry_after_ms = retry_after.PickDelayMs(wait);

#include <algorithm>
#include <cstdint>
#include <random>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Not thread safe; O(1).
class RetryAfter {
 public:
  explicit RetryAfter(std::uint64_t seed) : random_(seed) {}

  /// Returns a random delay in ms between `wait` and twice `wait`. `wait`
  /// counts as at least 20 ms, and the range is at least 100 ms wide.
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
