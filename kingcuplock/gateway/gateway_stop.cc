// Readiness and the planned stop of a gateway.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/gateway.h"

namespace kingcuplock {
namespace {

/// Refused readiness probes after which the balancer sends no new clients.
constexpr int kProbesToLeave = 2;
/// Time in ms after the last of those probes until connections that were on
/// their way have arrived.
constexpr Milliseconds kRotationSlack{150};
/// Longest time in ms to wait for the probes; the balancer asks every second.
constexpr Milliseconds kLongestRotation{2600};
/// Interval in ms of the stop's progress.
constexpr Milliseconds kStopTick{20};
/// Time in ms before the kill at which an instance ends whatever is left.
constexpr Milliseconds kReserve{400};
/// Resting sessions closed in one tick, so that not all return at once.
constexpr std::size_t kClosedPerTick = 8;

}  // namespace

auto Gateway::AnswerReadinessProbe() -> bool {
  const auto ready =
      !stopping_since_ && routes_.table().version != 0 && endpoints_.Size() > 0;
  if (std::exchange(last_ready_, ready) != ready) {
    shell_.Log(Event::kReadiness,
               {{"ready", ready ? "yes" : "no"},
                {"routes_version", std::to_string(routes_.table().version)},
                {"endpoints", std::to_string(endpoints_.Size())},
                {"stopping", stopping_since_ ? "yes" : "no"}});
  }
  if (stopping_since_ && ++refused_probes_ == kProbesToLeave) {
    out_of_rotation_since_ = timers_.Now();
  }
  return ready;
}

auto Gateway::BeginStop() -> void {
  if (stopping_since_) {
    return;
  }
  stopping_since_ = timers_.Now();
  shell_.Log(Event::kProxyStopping,
             {{"instance", settings_.instance},
              {"sessions", std::to_string(sessions_.size())}});
  duty_ownership_.StopAcquiring();
  for (const auto& [name, group] : groups_) {
    const auto duty = duties_.find(name);
    if (duty != duties_.end()) {
      duty->second->StopGrantsAndOrders();
    }
  }
  ReleaseDuties();
  SendHeartbeats();
  StopTick();
}

// A duty whose order may still take effect is kept until it can't; at worst its
// lease ends with this instance, and the next holder waits.
auto Gateway::ReleaseDuties() -> void {
  for (const auto& [name, group] : groups_) {
    const auto duty = duties_.find(name);
    const auto unsettled = !settings_.promotions_fenced &&
                           duty != duties_.end() &&
                           duty->second->EffectsPendingUntil() > timers_.Now();
    if (duty_ownership_.Owns(name) && !unsettled &&
        released_.insert(name).second) {
      duty_ownership_.Release(
          name, [](bool) {}, group->primary().term());
    }
  }
}

auto Gateway::StopTick() -> void {
  if (stop_complete_) {
    return;
  }
  ReleaseDuties();
  const auto now = timers_.Now();
  const auto stopping_for = now - *stopping_since_;
  const auto left_rotation =
      (out_of_rotation_since_ &&
       now - *out_of_rotation_since_ >= kRotationSlack) ||
      stopping_for >= kLongestRotation;
  if (left_rotation) {
    CloseResting();
  }
  const auto last_moment = Milliseconds(settings_.stop_ms) - kReserve;
  const auto none_left = left_rotation && sessions_.empty();
  if (none_left || stopping_for >= last_moment) {
    FinishStop();
    return;
  }
  timers_.After(kStopTick, [this] { StopTick(); });
}

auto Gateway::CloseResting() -> void {
  std::vector<ConnectionId> resting;
  for (const auto& [client, session] : sessions_) {
    if (session->IsAtRest() && resting.size() < kClosedPerTick) {
      resting.push_back(client);
    }
  }
  for (const auto client : resting) {
    out_.Add(CloseStream{client});
    sessions_.erase(client);
  }
}

auto Gateway::FinishStop() -> void {
  stop_complete_ = true;
  shell_.Log(Event::kProxyStopped,
             {{"instance", settings_.instance},
              {"sessions_cut", std::to_string(sessions_.size())}});
  duty_ownership_.StopLease();
  shell_.CompleteStop();
}

}  // namespace kingcuplock
