#include "kingcuplock/failover/member_watch.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Fresh connections that must fail in a row before a member is suspected.
constexpr int kFreshFailuresToSuspect = 2;
/// A fresh connection has this share of the probe timeout: the silence before
/// it counts already.
constexpr int kFreshTimeoutDivisor = 2;
/// Pause in ms between fresh connections that fail at once.
constexpr int kFreshPauseMs = 20;

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
  timers_.Cancel(timer_);
}

void MemberMonitor::Start() {
  silent_since_ = timers_.Now();
  link_.Reconnect(Timeout());
  Sample();
}

auto MemberMonitor::Timeout() const -> Duration {
  return Milliseconds(timing_.probe_timeout_ms);
}

auto MemberMonitor::FreshTimeout() const -> Duration {
  return Timeout() / kFreshTimeoutDivisor;
}

void MemberMonitor::NoteAnswerReceived() {
  fresh_failures_ = 0;
  silent_since_ = timers_.Now();
}

void MemberMonitor::SampleAfter(Duration delay) {
  timers_.Cancel(timer_);
  timer_ = timers_.After(delay, [this] { Sample(); });
}

void MemberMonitor::Sample() {
  MemberRequest request;
  request.op = MemberOp::kStatus;
  auto timeout = failing_ ? FreshTimeout() : Timeout();
  if (!primary_ && !failing_) {
    request.op = MemberOp::kAwaitPosition;
    request.position = position_ + 1;
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
    // Not from within the link, which may be reporting several losses.
    timers_.Cancel(timer_);
    timer_ = timers_.After(Duration::zero(), [this] { OnLost(); });
    return;
  }
  fresh_failures_ = 0;
  failing_ = false;
  silent_since_ = timers_.Now();
  position_ = answer->position;
  SampleAfter(primary_ ? Milliseconds(timing_.probe_ms) : Duration::zero());
  callbacks_.sampled(link_.member().name, asked, *answer);
}

void MemberMonitor::OnLost() {
  if (!failing_) {
    failing_ = true;
    outbox_.Log(Event::kMemberConnectionReplaced,
                {{"member", link_.member().name}});
  } else {
    ++fresh_failures_;
  }
  const auto refused = !link_.IsConnecting();
  link_.Reconnect(FreshTimeout());
  if (refused) {
    SampleAfter(Milliseconds(kFreshPauseMs));
  } else {
    Sample();
  }
  if (fresh_failures_ >= kFreshFailuresToSuspect) {
    callbacks_.suspected(link_.member().name);
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
