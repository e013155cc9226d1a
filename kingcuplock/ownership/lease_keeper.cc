#include "kingcuplock/ownership/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {

LeaseKeeper::LeaseKeeper(InstanceNames names,
                         TimingSettings timing,
                         TimerService& timers,
                         StoreClient& store,
                         Outbox& outbox,
                         std::function<void(std::int64_t)> on_lease_changed)
    : names_(std::move(names)),
      timing_(timing),
      timers_(timers),
      store_(store),
      outbox_(outbox),
      on_lease_changed_(std::move(on_lease_changed)) {}

void LeaseKeeper::Start() {
  RequestLease();
  RenewPeriodically();
}

void LeaseKeeper::Restart() {
  if (lease_ != 0) {
    outbox_.Log(Event::kLeaseLapsed, {{"lease", std::to_string(lease_)}});
  }
  lease_ = 0;
  RequestLease();
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

void LeaseKeeper::RequestLease() {
  if (stopped_) {
    return;
  }
  StoreCall call;
  call.op = StoreOp::kLeaseGrant;
  call.ttl_ms = timing_.lease_ttl_ms;
  const auto sent = timers_.Now();
  store_.Call(std::move(call), [this, sent, request = ++last_request_](
                                   const StoreAnswer* answer) {
    if (request == last_request_) {
      OnLeaseGranted(sent, answer);
    }
  });
}

void LeaseKeeper::OnLeaseGranted(Time sent, const StoreAnswer* answer) {
  if (answer == nullptr || answer->status != StoreStatus::kDone) {
    RetryLeaseRequest();
    return;
  }
  WriteLeaseKey(sent, answer->lease);
}

void LeaseKeeper::WriteLeaseKey(Time sent, std::int64_t lease) {
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = names_.LeaseKey(lease);
  call.value =
      names_.registration.empty() ? names_.instance : names_.registration;
  call.lease = lease;
  store_.Call(std::move(call), [this, sent, lease, request = last_request_](
                                   const StoreAnswer* answer) {
    if (request != last_request_) {
      return;
    }
    if (answer == nullptr || answer->status != StoreStatus::kDone) {
      RetryLeaseRequest();
      return;
    }
    lease_ = lease;
    valid_until_ = Time{};
    ExtendValidity(sent);
    outbox_.Log(Event::kLeaseGranted, {{"lease", std::to_string(lease)}});
    on_lease_changed_(lease);
  });
}

void LeaseKeeper::RetryLeaseRequest() {
  timers_.After(Milliseconds(timing_.lease_renew_ms),
                [this, request = last_request_] {
                  if (request == last_request_) {
                    RequestLease();
                  }
                });
}

void LeaseKeeper::RenewPeriodically() {
  if (stopped_) {
    return;
  }
  if (lease_ != 0) {
    SendRenewal();
  }
  timers_.After(Milliseconds(timing_.lease_renew_ms),
                [this] { RenewPeriodically(); });
}

void LeaseKeeper::SendRenewal() {
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
    ExtendValidity(sent);
    return;
  }
  lease_ = 0;
  outbox_.Log(Event::kLeaseLapsed, {{"lease", std::to_string(lease)}});
  on_lease_changed_(0);
  RequestLease();
}

void LeaseKeeper::ExtendValidity(Time sent) {
  const auto validity =
      Milliseconds(timing_.lease_ttl_ms - timing_.lease_margin_ms);
  valid_until_ = std::max(valid_until_, sent + validity);
}

}  // namespace kingcuplock
