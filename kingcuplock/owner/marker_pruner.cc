#include "kingcuplock/owner/marker_pruner.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Prune requests per retention time.
constexpr int kPruningsPerRetention = 16;
/// Pause in ms before the next attempt when a prune request can't be sent.
constexpr Milliseconds kRetryPause{100};
/// Longest wait in ms for the answer to a prune request.
constexpr Milliseconds kPruneTimeout{1000};

}  // namespace

MarkerPruner::MarkerPruner(const DatabaseConfig& config,
                           std::int64_t epoch,
                           GroupController& controller,
                           MemberPools& pools,
                           TimerService& timers)
    : config_(config),
      epoch_(epoch),
      controller_(controller),
      pools_(pools),
      timers_(timers) {}

void MarkerPruner::Start() {
  timers_.After(PruneInterval(), guard_.Bind([this] { PruneAndReschedule(); }));
}

auto MarkerPruner::PruneInterval() const -> Duration {
  return Milliseconds(config_.marker_retention_ms) / kPruningsPerRetention;
}

void MarkerPruner::PruneAndReschedule() {
  if (controller_.phase() == OwnerPhase::kStopped) {
    return;
  }
  const auto pause = TrySendPrune() ? PruneInterval() : Duration(kRetryPause);
  timers_.After(pause, guard_.Bind([this] { PruneAndReschedule(); }));
}

auto MarkerPruner::TrySendPrune() -> bool {
  const auto pool = pools_.find(controller_.primary());
  const auto wall = timers_.WallTime();
  if (!wall || !controller_.IsServing() || pool == pools_.end() ||
      !pool->second->HasFreeConnection()) {
    return false;
  }
  MemberRequest request;
  request.op = MemberOp::kPrune;
  request.epoch = epoch_;
  request.term = controller_.term();
  request.issued_ms = wall->count() - config_.marker_retention_ms;
  pool->second->Run(std::move(request), kPruneTimeout,
                    [](const MemberAnswer*) {});
  return true;
}

}  // namespace kingcuplock
