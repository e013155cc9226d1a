#include "kingcuplock/runtime/log_duty.h"

#include <chrono>

#include "kingcuplock/base/log.h"

namespace kingcuplock {
namespace {

/// Events that the ring holds.
constexpr std::size_t kLogRingSize = 1024;
/// Longest sleep in ms between looks at the ring.
constexpr std::chrono::milliseconds kIdle{200};

void WriteOne(const LogAction& action) {
  std::vector<Field> fields;
  for (const auto& [name, value] : action.fields) {
    fields.emplace_back(name, value);
  }
  WriteLogLine(FormatEvent(action.event, fields));
}

}  // namespace

LogDuty::LogDuty() : ring_(kLogRingSize) {}

LogDuty::~LogDuty() {
  Stop();
}

void LogDuty::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LogDuty::Stop() {
  if (thread_.joinable()) {
    stopping_ = true;
    waker_.Wake();
    thread_.join();
  }
}

void LogDuty::Write(Event event,
                    std::vector<std::pair<std::string, std::string>> fields) {
  LogAction action{event, std::move(fields)};
  if (!ring_.TryPush(action)) {
    ++lost_;
  }
  waker_.Wake();
}

void LogDuty::Run() {
  for (;;) {
    const auto stopping = stopping_.load();
    LogAction action;
    while (ring_.TryPop(action)) {
      WriteOne(action);
    }
    if (const auto lost = lost_.exchange(0); lost > 0) {
      WriteOne({Event::kRingFull,
                {{"ring", "log"}, {"lost", std::to_string(lost)}}});
    }
    if (stopping) {
      return;
    }
    waker_.SleepFor(kIdle);
  }
}

}  // namespace kingcuplock
