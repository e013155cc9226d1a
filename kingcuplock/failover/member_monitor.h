#pragma once

/// Polls the status of one member over a control link. Suspects the member of
/// having failed only after fresh connections to it have failed as well,
/// because a single connection can stall while the member works.
///
/// Example:
///   MemberMonitor monitor(config, timing, timers, outbox,
///                         {.on_sample = ..., .on_suspected = ...});
///   monitor.Start();

#include <functional>
#include <string>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/member_client.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// Callbacks of a MemberMonitor. Each gets the member's name first.
struct MemberMonitorCallbacks {
  /// The member answered a status request that was sent at `asked`.
  std::function<
      void(const std::string& member, Time asked, const MemberAnswer& answer)>
      on_sample;
  /// Several fresh connections to the member failed in a row. Called again
  /// after each further failure.
  std::function<void(const std::string& member)> on_suspected;
};

/// Not thread safe. `timers` and `outbox` must outlive the monitor.
class MemberMonitor {
 public:
  MemberMonitor(MemberConfig member,
                TimingSettings timing,
                TimerService& timers,
                Outbox& outbox,
                MemberMonitorCallbacks callbacks);
  ~MemberMonitor();
  MemberMonitor(const MemberMonitor&) = delete;
  auto operator=(const MemberMonitor&) -> MemberMonitor& = delete;

  /// Opens the control link and begins to send status requests.
  void Start();

  /// Sets whether the member is the primary. A primary is polled at intervals.
  /// A replica answers a request as soon as its log position has advanced, or
  /// after the interval.
  void SetPrimary(bool is_primary) { is_primary_ = is_primary; }

  /// Notes that the member has just answered on another connection. Fresh
  /// connections that failed before no longer count.
  void NoteAnswerReceived();

  /// Returns the time of the member's last answer, or of Start() before the
  /// first one.
  auto SilentSince() const -> Time { return last_answer_; }

  /// Returns the control link, for requests other than the status requests.
  auto link() -> MemberClient& { return link_; }

  /// Handle an event. They return false, and do nothing, if `connection` does
  /// not belong to this monitor.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  auto ProbeTimeout() const -> Duration;
  auto FreshConnectionTimeout() const -> Duration;
  void SendSample();
  void OnSample(Time asked, const MemberAnswer* answer);
  void OnSampleLost();
  void ScheduleSample(Duration delay);

  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  MemberMonitorCallbacks callbacks_;
  MemberClient link_;
  bool is_primary_ = false;
  int failed_fresh_connections_ = 0;
  bool link_replaced_ = false;
  std::int64_t last_position_ = 0;
  Time last_answer_{};
  TimerId sample_timer_ = 0;
};

}  // namespace kingcuplock
