#pragma once

/// Limits the work that retries may add, so that a failing database isn't
/// loaded further by retries of the requests whose answers it lost.
///
/// Example:
///   budget.NoteRequest();
///   if (budget.TryTake()) { SendAgain(); } else { GiveUp(); }

#include <algorithm>

namespace kingcuplock {

/// Not thread safe; O(1).
class RetryBudget {
 public:
  /// Records a new request, which adds a tenth of a retry to the budget.
  void NoteRequest() { tokens_ = std::min(tokens_ + kRetryShare, kReserve); }

  /// Takes one retry from the budget. Returns false if none is left.
  auto TryTake() -> bool {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  /// Retries added per request.
  static constexpr double kRetryShare = 0.1;
  /// Maximum number of unused retries, available at the start too.
  static constexpr double kReserve = 50;

  double tokens_ = kReserve;
};

}  // namespace kingcuplock
