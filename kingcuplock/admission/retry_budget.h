#pragma once

/// Bounds how much work retries may add, so that a database in trouble isn't
/// loaded further by its own lost answers.
///
/// Example:
///   budget.NoteRequest();
///   if (budget.TryTake()) { SendAgain(); } else { GiveUp(); }

#include <algorithm>

namespace kingcuplock {

/// Not thread safe; O(1).
class RetryBudget {
 public:
  /// Notes a new request: it pays for a tenth of a retry.
  void NoteRequest() { tokens_ = std::min(tokens_ + kRetryShare, kReserve); }

  /// Takes one retry. Returns false if none is left.
  auto TryTake() -> bool {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  /// Retries per request.
  static constexpr double kRetryShare = 0.1;
  /// Retries that may be saved up.
  static constexpr double kReserve = 50;

  double tokens_ = kReserve;
};

}  // namespace kingcuplock
