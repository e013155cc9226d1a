#pragma once

/// Samples one member over a control link and suspects it only after fresh
/// connections failed as well.
///
/// Example:
///   MemberMonitor watch(config, timing, timers, outbox,
///                     {.sampled = ..., .suspected = ...});
///   watch.Start();

#include <functional>
#include <string>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/member_link.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// What a watch reports.
struct MemberMonitorCallbacks {
  /// The member answered a sample that was asked for at the given time.
  std::function<void(const std::string&, Time asked, const MemberAnswer&)>
      sampled;
  /// Fresh connections to the member failed; repeated while they do.
  std::function<void(const std::string&)> suspected;
};

/// Not thread safe.
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

  /// Begins to sample.
  void Start();

  /// Says whether the member is the primary. A primary is sampled at intervals;
  /// a replica answers as soon as its position has moved on.
  void SetPrimary(bool primary) { primary_ = primary; }

  /// Notes that the member answered on another connection just now.
  void NoteAnswerReceived();

  /// Returns since when the member has not answered; Now() if it does.
  auto SilentSince() const -> Time { return silent_since_; }

  /// Returns the link, for requests beside the samples.
  auto link() -> MemberClient& { return link_; }

  /// Handle an event; return false if the connection is not this watch's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  auto Timeout() const -> Duration;
  auto FreshTimeout() const -> Duration;
  void Sample();
  void OnSample(Time asked, const MemberAnswer* answer);
  void OnLost();
  void SampleAfter(Duration delay);

  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  MemberMonitorCallbacks callbacks_;
  MemberClient link_;
  bool primary_ = false;
  int fresh_failures_ = 0;
  bool failing_ = false;
  std::int64_t position_ = 0;
  Time silent_since_{};
  TimerId timer_ = 0;
};

}  // namespace kingcuplock
