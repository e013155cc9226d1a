#include "kingcuplock/runtime/log_duty.h"

#include <chrono>

#include "kingcuplock/base/log.h"

namespace kingcuplock {
namespace {

/// Events that the ring holds.
constexpr std::size_t kLogRingSize = 1024;
/// Events after which the thread is woken; fewer wait for its next look.
constexpr int kWakeAfter = 256;
/// Longest sleep in ms between looks at the ring.
constexpr std::chrono::milliseconds kIdle{100};

auto LineOf(const LogAction& action) -> std::string {
  std::vector<LogField> fields;
  for (const auto& [name, value] : action.fields) {
    fields.emplace_back(name, value);
  }
  return FormatEvent(action.event, fields);
}

auto SecondNow() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

LogWriter::LogWriter() : ring_(kLogRingSize) {}

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
  if (MayWrite(event)) {
    Push({event, std::move(fields)});
  }
}

auto LogWriter::MayWrite(Event event) -> bool {
  auto& rate = rates_[event];
  const auto second = SecondNow();
  if (rate.second != second) {
    const auto dropped = rate.dropped;
    rate = {second, 0, 0};
    if (dropped > 0) {
      Push({Event::kLogLinesDropped,
            {{"dropped_event", std::to_string(static_cast<int>(event))},
             {"count", std::to_string(dropped)}}});
    }
  }
  if (rate.written >= kMaxLinesPerSecond) {
    ++rate.dropped;
    return false;
  }
  ++rate.written;
  return true;
}

void LogWriter::Push(LogAction action) {
  action.time = WallClockNow();
  if (!ring_.TryPush(action)) {
    ++lost_;
  }
  if (++unread_ >= kWakeAfter) {
    unread_ = 0;
    waker_.Wake();
  }
}

void LogWriter::Run() {
  for (;;) {
    const auto stopping = stopping_.load();
    std::string lines;
    LogAction action;
    while (ring_.TryPop(action)) {
      AppendLogLine(lines, action.time, LineOf(action));
    }
    if (const auto lost = lost_.exchange(0); lost > 0) {
      AppendLogLine(
          lines, WallClockNow(),
          LineOf({Event::kRingFull,
                  {{"ring", "log"}, {"lost", std::to_string(lost)}}}));
    }
    WriteLogLines(lines);
    if (stopping) {
      return;
    }
    waker_.SleepFor(kIdle);
  }
}

}  // namespace kingcuplock
