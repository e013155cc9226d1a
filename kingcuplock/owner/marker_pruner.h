#pragma once

/// Removes markers, the records of request ids that have run, from the database
/// once they are older than the manifest's retention. The database then refuses
/// ids issued before that time, so a request whose marker was removed never
/// runs again, whatever the clocks of the instances show.
///
/// Example:
///   MarkerPruner pruner(config, epoch, controller, pools, timers);
///   pruner.Start();

#include <cstdint>

#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/request_runner.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// Prunes the markers of one database while this instance serves it. Does
/// nothing while the timer service has no wall time. Not thread safe.
class MarkerPruner {
 public:
  MarkerPruner(const DatabaseConfig& config,
               std::int64_t epoch,
               GroupController& controller,
               MemberPools& pools,
               TimerService& timers);

  /// Starts to prune periodically, 16 times per retention time.
  void Start();

 private:
  auto PruneInterval() const -> Duration;
  void PruneAndReschedule();
  /// Returns false if the prune request can't be sent now.
  auto TrySendPrune() -> bool;

  const DatabaseConfig& config_;
  std::int64_t epoch_;
  GroupController& controller_;
  MemberPools& pools_;
  TimerService& timers_;
  CallbackGuard guard_;
};

}  // namespace kingcuplock
