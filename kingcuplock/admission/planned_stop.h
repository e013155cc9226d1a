#pragma once

/// Phases of a planned stop. An instance first serves as before, so that its
/// clients can leave between their operations, then refuses new work while what
/// runs is completed, and last ends what is left with a true answer.
///
/// Example:
///   constexpr PlannedStopTimes kTimes{.refuse_new_percent = 50,
///                                     .end_transactions_percent = 70};
///   if (PhaseOfStop(now - began, limit, kTimes) >= StopPhase::kRefusingNew) {
///     RefuseOperation();
///   }

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Phases of an instance, in the order in which a stop passes through them.
enum class StopPhase {
  /// No stop has begun, or it leaves the clients time.
  kServing,
  /// New operations are refused; open transactions go on.
  kRefusingNew,
  /// Open transactions are rolled back at their next statement as well.
  kEndingTransactions,
  /// Everything is answered now.
  kEnding
};

/// Starts of the phases, in percent of the time that a stop may take.
struct PlannedStopTimes {
  int refuse_new_percent = 100;
  int end_transactions_percent = 100;
};

/// Returns the phase of a stop that began `elapsed` ago and has to end within
/// `limit`.
constexpr auto PhaseOfStop(Duration elapsed,
                           Duration limit,
                           PlannedStopTimes times) -> StopPhase {
  if (elapsed >= limit) {
    return StopPhase::kEnding;
  }
  if (elapsed >= limit * times.end_transactions_percent / 100) {
    return StopPhase::kEndingTransactions;
  }
  return elapsed >= limit * times.refuse_new_percent / 100
             ? StopPhase::kRefusingNew
             : StopPhase::kServing;
}

}  // namespace kingcuplock
