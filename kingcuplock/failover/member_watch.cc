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

MemberWatch::MemberWatch(MemberConfig member,
                         TimingSettings timing,
                         TimerService& timers,
                         Outbox& outbox,
                         MemberWatchCallbacks callbacks)
    : timing_(timing),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      link_(std::move(member), timers, outbox) {}

MemberWatch::~MemberWatch() {
  timers_.Cancel(timer_);
}

void MemberWatch::Start() {
  silent_since_ = timers_.Now();
  link_.Reconnect(Timeout());
  Sample();
}

auto MemberWatch::Timeout() const -> Duration {
  return Milliseconds(timing_.probe_timeout_ms);
}

auto MemberWatch::FreshTimeout() const -> Duration {
  return Timeout() / kFreshTimeoutDivisor;
}

void MemberWatch::NoteHeard() {
  fresh_failures_ = 0;
  silent_since_ = timers_.Now();
}

void MemberWatch::SampleAfter(Duration delay) {
  timers_.Cancel(timer_);
  timer_ = timers_.After(delay, [this] { Sample(); });
}

void MemberWatch::Sample() {
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

void MemberWatch::OnSample(Time asked, const MemberAnswer* answer) {
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

void MemberWatch::OnLost() {
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

auto MemberWatch::OnOpened(ConnectionId connection) -> bool {
  return link_.OnOpened(connection);
}

auto MemberWatch::OnClosed(ConnectionId connection) -> bool {
  return link_.OnClosed(connection);
}

auto MemberWatch::OnAnswer(ConnectionId connection, const MemberAnswer& answer)
    -> bool {
  return link_.OnAnswer(connection, answer);
}

}  // namespace kingcuplock
