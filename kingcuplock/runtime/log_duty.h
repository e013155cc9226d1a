#pragma once

/// A thread that writes log events to standard error, so that a slow terminal
/// never holds up the decisions.
///
/// Example:
///   LogDuty log;
///   log.Start();
///   log.Write(Event::kProxyStarted, {{"instance", name}});

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/ring.h"

namespace kingcuplock {

/// Write() is for one thread at a time.
class LogDuty {
 public:
  LogDuty();
  ~LogDuty();
  LogDuty(const LogDuty&) = delete;
  auto operator=(const LogDuty&) -> LogDuty& = delete;

  /// Starts the thread.
  void Start();

  /// Writes what is left and joins the thread.
  void Stop();

  /// Queues an event. When the ring is full the event is counted, and the
  /// count is logged once there is room.
  void Write(Event event,
             std::vector<std::pair<std::string, std::string>> fields);

 private:
  void Run();

  Ring<LogAction> ring_;
  Waker waker_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> lost_{0};
  std::thread thread_;
};

}  // namespace kingcuplock
