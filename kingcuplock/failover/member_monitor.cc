#include "kingcuplock/failover/member_monitor.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Fresh connections that must fail in a row before a member is suspected.
constexpr int kFailedFreshConnectionsToSuspect = 2;
/// The timeout of a fresh connection is the probe timeout divided by this,
/// because the member has been silent on the previous connection already.
constexpr int kFreshConnectionTimeoutDivisor = 2;
/// Pause before the next fresh connection if the last one was refused or closed
/// at once.
constexpr int kFreshConnectionPauseMs = 20;

}  // namespace

MemberMonitor::MemberMonitor(MemberConfig member,
                             TimingSettings timing,
                             TimerService& timers,
                             Outbox& outbox,
                             MemberMonitorCallbacks callbacks)
    : timing_(timing),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      link_(std::move(member), timers, outbox) {}

MemberMonitor::~MemberMonitor() {
  timers_.Cancel(sample_timer_);
}

void MemberMonitor::Start() {
  last_answer_ = timers_.Now();
  link_.Reconnect(ProbeTimeout());
  SendSample();
}

auto MemberMonitor::ProbeTimeout() const -> Duration {
  return Milliseconds(timing_.probe_timeout_ms);
}

auto MemberMonitor::FreshConnectionTimeout() const -> Duration {
  return ProbeTimeout() / kFreshConnectionTimeoutDivisor;
}

void MemberMonitor::NoteAnswerReceived() {
  failed_fresh_connections_ = 0;
  last_answer_ = timers_.Now();
}

void MemberMonitor::ScheduleSample(Duration delay) {
  timers_.Cancel(sample_timer_);
  sample_timer_ = timers_.After(delay, [this] { SendSample(); });
}

void MemberMonitor::SendSample() {
  MemberRequest request;
  request.op = MemberOp::kStatus;
  auto timeout = link_replaced_ ? FreshConnectionTimeout() : ProbeTimeout();
  if (!is_primary_ && !link_replaced_) {
    request.op = MemberOp::kAwaitPosition;
    request.position = last_position_ + 1;
    request.wait_ms = timing_.probe_ms;
    timeout += Milliseconds(timing_.probe_ms);
  }
  const auto asked = timers_.Now();
  link_.Call(
      std::move(request), timeout,
      [this, asked](const MemberAnswer* answer) { OnSample(asked, answer); });
}

void MemberMonitor::OnSample(Time asked, const MemberAnswer* answer) {
  if (answer == nullptr) {
    // Deferred, because the link may be in the middle of reporting several lost
    // requests.
    timers_.Cancel(sample_timer_);
    sample_timer_ = timers_.After(Duration::zero(), [this] { OnSampleLost(); });
    return;
  }
  failed_fresh_connections_ = 0;
  link_replaced_ = false;
  last_answer_ = timers_.Now();
  last_position_ = answer->position;
  ScheduleSample(is_primary_ ? Milliseconds(timing_.probe_ms)
                             : Duration::zero());
  callbacks_.on_sample(link_.member().name, asked, *answer);
}

void MemberMonitor::OnSampleLost() {
  if (!link_replaced_) {
    link_replaced_ = true;
    outbox_.Log(Event::kMemberConnectionReplaced,
                {{"member", link_.member().name}});
  } else {
    ++failed_fresh_connections_;
  }
  const auto refused = !link_.IsConnecting();
  link_.Reconnect(FreshConnectionTimeout());
  if (refused) {
    ScheduleSample(Milliseconds(kFreshConnectionPauseMs));
  } else {
    SendSample();
  }
  if (failed_fresh_connections_ >= kFailedFreshConnectionsToSuspect) {
    callbacks_.on_suspected(link_.member().name);
  }
}

auto MemberMonitor::OnOpened(ConnectionId connection) -> bool {
  return link_.OnOpened(connection);
}

auto MemberMonitor::OnClosed(ConnectionId connection) -> bool {
  return link_.OnClosed(connection);
}

auto MemberMonitor::OnAnswer(ConnectionId connection,
                             const MemberAnswer& answer) -> bool {
  return link_.OnAnswer(connection, answer);
}

}  // namespace kingcuplock
