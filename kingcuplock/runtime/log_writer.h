#pragma once

/// Thread that writes log events to standard output, so that a slow reader of
/// the output never delays the decision code. The rate of each kind of event
/// is limited; events above the limit are counted instead of written.
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

/// Write() must not be called by two threads at the same time.
class LogWriter {
 public:
  LogWriter();
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  auto operator=(const LogWriter&) -> LogWriter& = delete;

  /// Starts the thread.
  void Start();

  /// Writes the events that are still queued and joins the thread.
  void Stop();

  /// Largest number of lines per second of one kind of event. It exceeds
  /// the statements that an instance serves on a normal day, and amounts to
  /// well under 1 MB per second.
  static constexpr int kMaxLinesPerSecond = 300;

  /// Queues an event. If the ring is full, the event is counted as lost and the
  /// count is logged once there is room. If the limit of this kind of event is
  /// reached, the event is counted as dropped and the count is logged at the
  /// next event of the kind in a later second.
  void Write(Event event,
             std::vector<std::pair<std::string, std::string>> fields);

 private:
  /// Lines of one kind of event in the current second.
  struct LineCount {
    std::int64_t second = 0;
    int written = 0;
    int dropped = 0;
  };

  void Run();
  auto CountAgainstLimit(Event event) -> bool;
  void Push(LogAction action);

  std::map<Event, LineCount> line_counts_;
  int queued_since_wake_ = 0;
  SpscRing<LogAction> ring_;
  Waker waker_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> lost_events_{0};
  std::thread thread_;
};

}  // namespace kingcuplock
