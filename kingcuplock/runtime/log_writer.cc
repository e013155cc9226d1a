#include "kingcuplock/runtime/log_writer.h"

#include <chrono>

#include "kingcuplock/base/log.h"

namespace kingcuplock {
namespace {

/// Number of events that the ring can hold.
constexpr std::size_t kLogRingCapacity = 1024;
/// Number of events after which the thread is woken. Fewer events wait until it
/// polls the ring.
constexpr int kWakeAfterEvents = 256;
/// Interval at which the thread polls the ring.
constexpr std::chrono::milliseconds kPollInterval{100};

auto FormatLine(const LogAction& action) -> std::string {
  std::vector<LogField> fields;
  for (const auto& [name, value] : action.fields) {
    fields.emplace_back(name, value);
  }
  return FormatEvent(action.event, fields);
}

auto CurrentSecond() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

LogWriter::LogWriter() : ring_(kLogRingCapacity) {}

LogWriter::~LogWriter() {
  Stop();
}

void LogWriter::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LogWriter::Stop() {
  if (thread_.joinable()) {
    stopping_ = true;
    waker_.Wake();
    thread_.join();
  }
}

void LogWriter::Write(Event event,
                      std::vector<std::pair<std::string, std::string>> fields) {
  if (CountAgainstLimit(event)) {
    Push({event, std::move(fields)});
  }
}

auto LogWriter::CountAgainstLimit(Event event) -> bool {
  auto& counts = line_counts_[event];
  const auto second = CurrentSecond();
  if (counts.second != second) {
    const auto dropped = counts.dropped;
    counts = {second, 0, 0};
    if (dropped > 0) {
      Push({Event::kLogLinesDropped,
            {{"dropped_event", std::to_string(static_cast<int>(event))},
             {"count", std::to_string(dropped)}}});
    }
  }
  if (counts.written >= kMaxLinesPerSecond) {
    ++counts.dropped;
    return false;
  }
  ++counts.written;
  return true;
}

void LogWriter::Push(LogAction action) {
  action.time = WallClockNow();
  if (!ring_.TryPush(action)) {
    ++lost_events_;
  }
  if (++queued_since_wake_ >= kWakeAfterEvents) {
    queued_since_wake_ = 0;
    waker_.Wake();
  }
}

void LogWriter::Run() {
  for (;;) {
    const auto stopping = stopping_.load();
    std::string lines;
    LogAction action;
    while (ring_.TryPop(action)) {
      AppendLogLine(lines, action.time, FormatLine(action));
    }
    if (const auto lost = lost_events_.exchange(0); lost > 0) {
      AppendLogLine(
          lines, WallClockNow(),
          FormatLine({Event::kRingFull,
                      {{"ring", "log"}, {"lost", std::to_string(lost)}}}));
    }
    WriteLogLines(lines);
    if (stopping) {
      return;
    }
    waker_.SleepFor(kPollInterval);
  }
}

}  // namespace kingcuplock
