// Readiness probes and the planned stop of a gateway.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/gateway.h"

namespace kingcuplock {
namespace {

/// Number of readiness probes answered with no after which the load balancer
/// sends no new clients.
constexpr int kRefusedProbesToLeave = 2;
/// Time in ms after the last of those probes within which connections that were
/// already on their way arrive.
constexpr Milliseconds kRotationGrace{150};
/// Longest time in ms to wait for those probes. The load balancer sends one
/// every second.
constexpr Milliseconds kMaxRotationWait{2600};
/// Interval in ms at which a stop checks what it can do next.
constexpr Milliseconds kStopCheckInterval{20};
/// Time in ms before the platform kills the process at which the stop ends the
/// remaining sessions.
constexpr Milliseconds kStopReserve{400};
/// By the middle of the stop, clients have found another instance. An open
/// transaction has until then to end, and what is sent to a member later still
/// has time for its answer.
constexpr PlannedStopTimes kStopTimes{.refuse_new_percent = 50,
                                      .end_transactions_percent = 70};
/// Maximum number of idle sessions closed in one check, so that their clients
/// don't all reconnect at once.
constexpr std::size_t kMaxClosedPerCheck = 8;

}  // namespace

auto Gateway::AnswerReadinessProbe() -> bool {
  const auto ready =
      !stopping_since_ && routes_.table().version != 0 && endpoints_.Size() > 0;
  if (std::exchange(last_ready_, ready) != ready) {
    shell_.Log(Event::kReadinessChanged,
               {{"ready", ready ? "yes" : "no"},
                {"routes_version", std::to_string(routes_.table().version)},
                {"endpoints", std::to_string(endpoints_.Size())},
                {"stopping", stopping_since_ ? "yes" : "no"}});
  }
  if (stopping_since_ && ++refused_probes_ == kRefusedProbesToLeave) {
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
  ContinueStop();
}

// Releases the promotion duties. Without fencing tokens, a duty is kept while
// an order given under it may still take effect, or may have done so unnoticed.
// In the worst case its lease ends with this instance, and the next holder
// waits. With fencing tokens, the next holder settles an open order.
auto Gateway::ReleaseDuties() -> void {
  for (const auto& [name, group] : groups_) {
    const auto duty = duties_.find(name);
    const auto unsettled = !settings_.promotions_fenced &&
                           duty != duties_.end() && !duty->second->IsSettled();
    if (duty_ownership_.Owns(name) && !unsettled &&
        released_duties_.insert(name).second) {
      // Without fencing tokens, the successor takes the term for the newest.
      const auto term = settings_.promotions_fenced || duty == duties_.end()
                            ? group->primary().term()
                            : duty->second->KnownTerm().value_or(0);
      const auto open_order = settings_.promotions_fenced &&
                              duty != duties_.end() &&
                              duty->second->HasOpenOrder();
      duty_ownership_.Release(
          name, [](bool) {}, term, open_order);
    }
  }
}

auto Gateway::ContinueStop() -> void {
  if (stop_complete_) {
    return;
  }
  ReleaseDuties();
  const auto now = timers_.Now();
  const auto stopping_for = now - *stopping_since_;
  const auto left_rotation =
      (out_of_rotation_since_ &&
       now - *out_of_rotation_since_ >= kRotationGrace) ||
      stopping_for >= kMaxRotationWait;
  if (left_rotation) {
    CloseIdleSessions();
  }
  const auto none_left = left_rotation && sessions_.empty();
  if (none_left || PhaseOfOwnStop() == StopPhase::kEnding) {
    FinishStop();
    return;
  }
  timers_.After(kStopCheckInterval, [this] { ContinueStop(); });
}

auto Gateway::PhaseOfOwnStop() const -> StopPhase {
  if (!stopping_since_) {
    return StopPhase::kServing;
  }
  return stop_complete_
             ? StopPhase::kEnding
             : PhaseOfStop(timers_.Now() - *stopping_since_,
                           Milliseconds(settings_.stop_ms) - kStopReserve,
                           kStopTimes);
}

auto Gateway::CloseIdleSessions() -> void {
  std::vector<ConnectionId> idle;
  for (const auto& [client, session] : sessions_) {
    if (session->IsIdle() && idle.size() < kMaxClosedPerCheck) {
      idle.push_back(client);
    }
  }
  for (const auto client : idle) {
    out_.Add(CloseStream{client});
    sessions_.erase(client);
  }
}

// The session is the caller, so it is closed from the event loop.
auto Gateway::CloseIfIdle(ConnectionId client) -> void {
  timers_.After(Duration::zero(), [this, client] {
    const auto it = sessions_.find(client);
    if (it != sessions_.end() && it->second->IsIdle()) {
      out_.Add(CloseStream{client});
      sessions_.erase(it);
    }
  });
}

// A statement that a member still runs gets an answer that says so, as a client
// can't tell what became of it from the end of its connection.
auto Gateway::EndAllSessions() -> void {
  for (const auto& [client, session] : sessions_) {
    session->EndRunningStatements();
    out_.Add(CloseStream{client});
  }
  sessions_.clear();
}

auto Gateway::FinishStop() -> void {
  stop_complete_ = true;
  shell_.Log(Event::kProxyStopped,
             {{"instance", settings_.instance},
              {"sessions_cut", std::to_string(sessions_.size())}});
  EndAllSessions();
  duty_ownership_.RevokeLease();
  shell_.CompleteStop();
}

}  // namespace kingcuplock
