#include "kingcuplock/owner/marker_pruner.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Prunings within one retention time.
constexpr int kPruningsPerRetention = 16;
/// Pause in ms before another look when no slot is free.
constexpr Milliseconds kRetryPause{100};
/// Longest time in ms that a pruning may take.
constexpr Milliseconds kPruneTimeout{1000};

}  // namespace

MarkerPruner::MarkerPruner(const DatabaseConfig& config,
                           std::int64_t epoch,
                           GroupController& leader,
                           MemberPools& pools,
                           TimerService& timers)
    : config_(config),
      epoch_(epoch),
      leader_(leader),
      pools_(pools),
      timers_(timers) {}

void MarkerPruner::Start() {
  timers_.After(Interval(), guard_.Bind([this] { Tick(); }));
}

auto MarkerPruner::Interval() const -> Duration {
  return Milliseconds(config_.marker_retention_ms) / kPruningsPerRetention;
}

void MarkerPruner::Tick() {
  if (leader_.phase() == OwnerPhase::kStopped) {
    return;
  }
  const auto pause = Prune() ? Interval() : Duration(kRetryPause);
  timers_.After(pause, guard_.Bind([this] { Tick(); }));
}

auto MarkerPruner::Prune() -> bool {
  const auto pool = pools_.find(leader_.primary());
  const auto wall = timers_.WallTime();
  if (!wall || !leader_.IsServing() || pool == pools_.end() ||
      !pool->second->HasFree()) {
    return false;
  }
  MemberRequest request;
  request.op = MemberOp::kPrune;
  request.epoch = epoch_;
  request.term = leader_.term();
  request.issued_ms = wall->count() - config_.marker_retention_ms;
  pool->second->Run(std::move(request), kPruneTimeout,
                    [](const MemberAnswer*) {});
  return true;
}

}  // namespace kingcuplock
