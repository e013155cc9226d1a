#pragma once

/// The thread that decides: takes events from the socket threads, moves the
/// time on, and hands the resulting actions out.
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
#include "kingcuplock/runtime/log_duty.h"
#include "kingcuplock/runtime/socket_duty.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// Runs on the thread that calls Run().
class DecisionLoop {
 public:
  /// `sockets` carries callers, peers and members, `store` the key-value
  /// service's connection.
  DecisionLoop(ProxySettings settings,
               std::string incarnation,
               SocketThread& sockets,
               SocketThread& store,
               LogWriter& log,
               Waker& waker);

  /// Decides until a planned stop is complete.
  void Run();

 private:
  void Finish();
  auto TakeEvents() -> bool;
  void HandOut();
  void Perform(Action& action);
  void Give(SocketThread& duty, SocketCommand command);
  auto FlushOverflow() -> bool;
  void Sleep();

  SocketThread& sockets_;
  SocketThread& store_;
  LogWriter& log_;
  Waker& waker_;
  TimerService timers_;
  Outbox outbox_;
  Node node_;
  ConnectionId store_connection_ = 0;
  std::deque<std::pair<SocketThread*, SocketCommand>> overflow_;
  bool complete_ = false;
};

}  // namespace kingcuplock
