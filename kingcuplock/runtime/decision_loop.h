#pragma once

/// Event loop of the decision code: passes the events of the socket threads to
/// the Node, advances its timers, and performs the actions that it queues.
///
/// Example:
///   DecisionLoop decisions(settings, incarnation, sockets, store, log, waker);
///   decisions.Run();

#include <deque>
#include <string>
#include <utility>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/ring.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/node/node.h"
#include "kingcuplock/runtime/log_writer.h"
#include "kingcuplock/runtime/socket_thread.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// Runs on the thread that calls Run(); not thread safe.
class DecisionLoop {
 public:
  /// `sockets` has the connections of callers, peers and members, `store` the
  /// one to the key-value service. They and `log` must outlive the
  /// loop, and both must wake `waker` when they have events.
  DecisionLoop(ProxySettings settings,
               std::string incarnation,
               SocketThread& sockets,
               SocketThread& store,
               LogWriter& log,
               Waker& waker);

  /// Runs until a planned stop is complete. Afterwards answers for a short time
  /// what the rings still contain.
  void Run();

 private:
  void AnswerRemainingRequests();
  auto HandleEvents() -> bool;
  void PerformActions();
  void PerformAction(Action& action);
  void QueueCommand(SocketThread& thread, SocketCommand command);
  auto QueueOverflow() -> bool;
  void SleepUntilDue();

  SocketThread& sockets_;
  SocketThread& store_;
  LogWriter& log_;
  Waker& waker_;
  TimerService timers_;
  Outbox outbox_;
  Node node_;
  ConnectionId store_connection_ = 0;
  std::deque<std::pair<SocketThread*, SocketCommand>> overflow_;
  bool stop_complete_ = false;
};

}  // namespace kingcuplock
