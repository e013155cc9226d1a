#pragma once

/// Drops markers older than the manifest's retention from the database. The
/// database then refuses ids issued before that time, so a pruned id never
/// runs again whatever the clocks of the instances say.
///
/// Example:
///   MarkerPruner pruner(config, epoch, leader, pools, timers);
///   pruner.Start();

#include <cstdint>

#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/request_runner.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// Not thread safe. Does nothing while the timer service knows no wall time.
class MarkerPruner {
 public:
  MarkerPruner(const DatabaseConfig& config,
               std::int64_t epoch,
               GroupController& leader,
               MemberPools& pools,
               TimerService& timers);

  /// Begins to prune, 16 times per retention.
  void Start();

 private:
  auto Interval() const -> Duration;
  void Tick();
  auto Prune() -> bool;

  const DatabaseConfig& config_;
  std::int64_t epoch_;
  GroupController& leader_;
  MemberPools& pools_;
  TimerService& timers_;
  LifeGuard guard_;
};

}  // namespace kingcuplock
