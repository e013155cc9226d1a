#include "kingcuplock/runtime/decision_duty.h"

#include <algorithm>
#include <chrono>

namespace kingcuplock {
namespace {

/// Longest sleep when no timer is due.
constexpr Milliseconds kMaxSleep{100};
/// Time in ms for which a stopped instance answers what its rings still hold.
constexpr Milliseconds kFinish{50};
/// Events taken from one ring before the actions are handed out.
constexpr int kBatch = 64;

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
  HandOut();
  while (!complete_) {
    timers_.AdvanceTo(ClockNow());
    timers_.SetWallTime(WallNow());
    // Back-pressure: no new events while earlier actions wait for a ring.
    const auto busy = FlushOverflow() && TakeEvents();
    HandOut();
    if (!busy) {
      Sleep();
    }
  }
  Finish();
}

void DecisionLoop::Finish() {
  sockets_.RefuseCallerRequests();
  const auto until = ClockNow() + kFinish;
  while (ClockNow() < until) {
    timers_.AdvanceTo(ClockNow());
    const auto busy = FlushOverflow() && TakeEvents();
    HandOut();
    if (!busy) {
      waker_.SleepFor(Milliseconds(1));
    }
  }
}

auto DecisionLoop::TakeEvents() -> bool {
  auto any = false;
  NodeEvent event;
  for (auto* duty : {&store_, &sockets_}) {
    for (auto n = 0; n < kBatch && duty->TryTakeEvent(event); ++n) {
      if (std::holds_alternative<StopRequested>(event)) {
        sockets_.StopAccepting();
      }
      node_.Handle(event);
      any = true;
    }
  }
  return any;
}

void DecisionLoop::HandOut() {
  auto actions = outbox_.Take();
  if (actions.empty()) {
    return;
  }
  for (auto& it : actions) {
    Perform(it);
  }
  sockets_.WakeForCommands();
  store_.WakeForCommands();
}

void DecisionLoop::Perform(Action& action) {
  if (auto* open = std::get_if<OpenConnection>(&action)) {
    const auto is_store = open->kind == ConnectionKind::kStore;
    if (is_store) {
      store_connection_ = open->connection;
    }
    Give(is_store ? store_ : sockets_, std::move(*open));
  } else if (auto* close = std::get_if<CloseConnection>(&action)) {
    const auto is_store = close->connection == store_connection_;
    Give(is_store ? store_ : sockets_, *close);
  } else if (auto* send = std::get_if<SendMessage>(&action)) {
    const auto is_store = std::holds_alternative<StoreCall>(send->message);
    Give(is_store ? store_ : sockets_, std::move(*send));
  } else if (auto* log = std::get_if<LogAction>(&action)) {
    log_.Write(log->event, std::move(log->fields));
  } else {
    complete_ = true;
  }
}

void DecisionLoop::Give(SocketThread& duty, SocketCommand command) {
  if (!overflow_.empty() || !duty.TryQueueCommand(command)) {
    overflow_.emplace_back(&duty, std::move(command));
  }
}

auto DecisionLoop::FlushOverflow() -> bool {
  while (!overflow_.empty()) {
    auto& [duty, command] = overflow_.front();
    if (!duty->TryQueueCommand(command)) {
      duty->WakeForCommands();
      return false;
    }
    overflow_.pop_front();
  }
  return true;
}

void DecisionLoop::Sleep() {
  auto wait = Duration(kMaxSleep);
  if (const auto due = timers_.NextDue()) {
    wait = std::clamp(*due - ClockNow(), Duration::zero(), wait);
  }
  if (wait > Duration::zero()) {
    waker_.SleepFor(wait);
  }
}

}  // namespace kingcuplock
