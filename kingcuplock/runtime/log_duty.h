#pragma once

/// A thread that writes log events to standard output, so that a slow reader
/// never holds up the decisions. Each kind of event has a rate; what is over it
/// is counted instead.
///
/// Example:
///   LogWriter log;
///   log.Start();
///   log.Write(Event::kProxyStarted, {{"instance", name}});

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/ring.h"

namespace kingcuplock {

/// Write() is for one thread at a time.
class LogWriter {
 public:
  LogWriter();
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  auto operator=(const LogWriter&) -> LogWriter& = delete;

  /// Starts the thread.
  void Start();

  /// Writes what is left and joins the thread.
  void Stop();

  /// Lines per second of one kind of event; above the statements that an
  /// instance serves on an ordinary day, and well under 1 MB a second.
  static constexpr int kMaxLinesPerSecond = 300;

  /// Queues an event. When the ring is full, or the event's rate is exceeded,
  /// the event is counted, and the count is logged once there is room.
  void Write(Event event,
             std::vector<std::pair<std::string, std::string>> fields);

 private:
  /// Lines of one kind of event in the running second.
  struct Rate {
    std::int64_t second = 0;
    int written = 0;
    int dropped = 0;
  };

  void Run();
  auto MayWrite(Event event) -> bool;
  void Push(LogAction action);

  std::map<Event, Rate> rates_;
  int unread_ = 0;
  SpscRing<LogAction> ring_;
  Waker waker_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> lost_{0};
  std::thread thread_;
};

}  // namespace kingcuplock
