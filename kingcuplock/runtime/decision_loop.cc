#include "kingcuplock/runtime/decision_loop.h"

#include <algorithm>
#include <chrono>

namespace kingcuplock {
namespace {

/// Longest sleep if no timer is due earlier.
constexpr Milliseconds kMaxSleep{100};
/// Time after a planned stop during which requests that the rings still contain
/// are answered.
constexpr Milliseconds kAnswerRemainingDuration{50};
/// Largest number of events taken from one ring before the resulting actions
/// are performed.
constexpr int kMaxEventsPerRing = 64;

auto ClockNow() -> Time {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

auto WallNow() -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

DecisionLoop::DecisionLoop(ProxySettings settings,
                           std::string incarnation,
                           SocketThread& sockets,
                           SocketThread& store,
                           LogWriter& log,
                           Waker& waker)
    : sockets_(sockets),
      store_(store),
      log_(log),
      waker_(waker),
      timers_(ClockNow()),
      node_(std::move(settings), std::move(incarnation), timers_, outbox_) {}

void DecisionLoop::Run() {
  node_.Start();
  PerformActions();
  while (!stop_complete_) {
    timers_.AdvanceTo(ClockNow());
    timers_.SetWallTime(WallNow());
    // Back-pressure: no new events are taken while actions wait for a full
    // ring.
    const auto busy = QueueOverflow() && HandleEvents();
    PerformActions();
    if (!busy) {
      SleepUntilDue();
    }
  }
  AnswerRemainingRequests();
}

void DecisionLoop::AnswerRemainingRequests() {
  sockets_.RefuseCallerRequests();
  const auto until = ClockNow() + kAnswerRemainingDuration;
  while (ClockNow() < until) {
    timers_.AdvanceTo(ClockNow());
    const auto busy = QueueOverflow() && HandleEvents();
    PerformActions();
    if (!busy) {
      waker_.SleepFor(Milliseconds(1));
    }
  }
}

auto DecisionLoop::HandleEvents() -> bool {
  auto any = false;
  NodeEvent event;
  for (auto* thread : {&store_, &sockets_}) {
    for (auto n = 0; n < kMaxEventsPerRing && thread->TryTakeEvent(event);
         ++n) {
      if (std::holds_alternative<StopRequested>(event)) {
        sockets_.StopAccepting();
      }
      node_.Handle(event);
      any = true;
    }
  }
  return any;
}

void DecisionLoop::PerformActions() {
  auto actions = outbox_.Take();
  if (actions.empty()) {
    return;
  }
  for (auto& it : actions) {
    PerformAction(it);
  }
  sockets_.WakeForCommands();
  store_.WakeForCommands();
}

void DecisionLoop::PerformAction(Action& action) {
  if (auto* open = std::get_if<OpenConnection>(&action)) {
    const auto is_store = open->kind == ConnectionKind::kStore;
    if (is_store) {
      store_connection_ = open->connection;
    }
    QueueCommand(is_store ? store_ : sockets_, std::move(*open));
  } else if (auto* close = std::get_if<CloseConnection>(&action)) {
    const auto is_store = close->connection == store_connection_;
    QueueCommand(is_store ? store_ : sockets_, *close);
  } else if (auto* send = std::get_if<SendMessage>(&action)) {
    const auto is_store = std::holds_alternative<StoreCall>(send->message);
    QueueCommand(is_store ? store_ : sockets_, std::move(*send));
  } else if (auto* log = std::get_if<LogAction>(&action)) {
    log_.Write(log->event, std::move(log->fields));
  } else {
    stop_complete_ = true;
  }
}

void DecisionLoop::QueueCommand(SocketThread& thread, SocketCommand command) {
  if (!overflow_.empty() || !thread.TryQueueCommand(command)) {
    overflow_.emplace_back(&thread, std::move(command));
  }
}

auto DecisionLoop::QueueOverflow() -> bool {
  while (!overflow_.empty()) {
    auto& [thread, command] = overflow_.front();
    if (!thread->TryQueueCommand(command)) {
      thread->WakeForCommands();
      return false;
    }
    overflow_.pop_front();
  }
  return true;
}

void DecisionLoop::SleepUntilDue() {
  auto wait = Duration(kMaxSleep);
  if (const auto due = timers_.NextDue()) {
    wait = std::clamp(*due - ClockNow(), Duration::zero(), wait);
  }
  if (wait > Duration::zero()) {
    waker_.SleepFor(wait);
  }
}

}  // namespace kingcuplock
