#pragma once

/// Bucket of tokens that is refilled at a rate.
///
/// Example:
///   TokenBucket bucket(2.5, 10, 0, now);  // 2.5 a second, at most 10
///   const auto n = bucket.Take(4, now);

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Not thread safe; O(1).
class TokenBucket {
 public:
  TokenBucket(double rate_per_s, double size, double start, Time now)
      : rate_per_s_(rate_per_s),
        size_(size),
        tokens_(std::min(start, size)),
        filled_at_(now) {}

  /// Changes rate and size; tokens beyond the new size are dropped.
  auto SetRate(double rate_per_s, double size, Time now) -> void {
    Fill(now);
    rate_per_s_ = rate_per_s;
    size_ = size;
    tokens_ = std::min(tokens_, size);
  }

  /// Drops the tokens beyond `most`.
  auto Limit(double most, Time now) -> void {
    Fill(now);
    tokens_ = std::min(tokens_, most);
  }

  /// Takes up to `count` whole tokens and returns their number.
  auto Take(std::int64_t count, Time now) -> std::int64_t {
    Fill(now);
    const auto taken =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(std::floor(tokens_)),
                                 0, std::max<std::int64_t>(count, 0));
    tokens_ -= static_cast<double>(taken);
    return taken;
  }

  /// Returns the time until `count` tokens, or as many as fit, are there;
  /// Duration::max() if they never are.
  auto TimeUntil(double count, Time now) -> Duration {
    Fill(now);
    const auto missing = std::min(count, size_) - tokens_;
    if (missing <= 0) {
      return size_ >= 1 ? Duration::zero() : Duration::max();
    }
    constexpr double kMicrosecondsPerS = 1e6;
    const auto us = missing / rate_per_s_ * kMicrosecondsPerS;
    return rate_per_s_ <= 0 || us > 1e15 || size_ < 1
               ? Duration::max()
               : Duration(static_cast<std::int64_t>(std::ceil(us)));
  }

  auto Tokens(Time now) -> double {
    Fill(now);
    return tokens_;
  }

 private:
  auto Fill(Time now) -> void {
    if (now > filled_at_) {
      const auto passed_s =
          std::chrono::duration<double>(now - filled_at_).count();
      tokens_ = std::min(size_, tokens_ + rate_per_s_ * passed_s);
      filled_at_ = now;
    }
  }

  double rate_per_s_;
  double size_;
  double tokens_;
  Time filled_at_;
};

}  // namespace kingcuplock
