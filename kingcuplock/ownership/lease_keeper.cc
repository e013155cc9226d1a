#include "kingcuplock/ownership/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {

LeaseKeeper::LeaseKeeper(InstanceNames names,
                         TimingSettings timing,
                         TimerService& timers,
                         StoreClient& store,
                         Outbox& outbox,
                         std::function<void(std::int64_t)> on_change)
    : names_(std::move(names)),
      timing_(timing),
      timers_(timers),
      store_(store),
      outbox_(outbox),
      on_change_(std::move(on_change)) {}

void LeaseKeeper::Start() {
  Grant();
  Tick();
}

void LeaseKeeper::Stop() {
  stopped_ = true;
  if (lease_ == 0) {
    return;
  }
  StoreCall call;
  call.op = StoreOp::kLeaseRevoke;
  call.lease = std::exchange(lease_, 0);
  store_.Call(std::move(call), [](const StoreAnswer*) {});
}

void LeaseKeeper::Grant() {
  if (stopped_) {
    return;
  }
  StoreCall call;
  call.op = StoreOp::kLeaseGrant;
  call.ttl_ms = timing_.lease_ttl_ms;
  const auto sent = timers_.Now();
  store_.Call(std::move(call), [this, sent](const StoreAnswer* answer) {
    OnGranted(sent, answer);
  });
}

void LeaseKeeper::OnGranted(Time sent, const StoreAnswer* answer) {
  if (answer == nullptr || answer->status != StoreStatus::kDone) {
    RetryGrant();
    return;
  }
  Register(sent, answer->lease);
}

void LeaseKeeper::Register(Time sent, std::int64_t lease) {
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = names_.LeaseKey(lease);
  call.value =
      names_.registration.empty() ? names_.instance : names_.registration;
  call.lease = lease;
  store_.Call(std::move(call), [this, sent, lease](const StoreAnswer* answer) {
    if (answer == nullptr || answer->status != StoreStatus::kDone) {
      RetryGrant();
      return;
    }
    lease_ = lease;
    valid_until_ = Time{};
    Extend(sent);
    outbox_.Log(Event::kLeaseGranted, {{"lease", std::to_string(lease)}});
    on_change_(lease);
  });
}

void LeaseKeeper::RetryGrant() {
  timers_.After(Milliseconds(timing_.lease_renew_ms), [this] { Grant(); });
}

void LeaseKeeper::Tick() {
  if (stopped_) {
    return;
  }
  if (lease_ != 0) {
    Renew();
  }
  timers_.After(Milliseconds(timing_.lease_renew_ms), [this] { Tick(); });
}

void LeaseKeeper::Renew() {
  StoreCall call;
  call.op = StoreOp::kLeaseRenew;
  call.lease = lease_;
  const auto sent = timers_.Now();
  const auto lease = lease_;
  store_.Call(std::move(call), [this, sent, lease](const StoreAnswer* answer) {
    OnRenewed(sent, lease, answer);
  });
}

void LeaseKeeper::OnRenewed(Time sent,
                            std::int64_t lease,
                            const StoreAnswer* answer) {
  if (answer == nullptr || lease != lease_ || stopped_) {
    return;
  }
  if (answer->status == StoreStatus::kDone) {
    Extend(sent);
    return;
  }
  lease_ = 0;
  outbox_.Log(Event::kLeaseLapsed, {{"lease", std::to_string(lease)}});
  on_change_(0);
  Grant();
}

void LeaseKeeper::Extend(Time sent) {
  const auto life =
      Milliseconds(timing_.lease_ttl_ms - timing_.lease_margin_ms);
  valid_until_ = std::max(valid_until_, sent + life);
}

}  // namespace kingcuplock
