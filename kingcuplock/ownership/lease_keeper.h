#pragma once

/// Acquires and renews the one lease that an instance holds in the platform's
/// store. Its validity counts from the time at which the grant or renewal was
/// requested, not answered, so that this instance never takes the lease for
/// valid after the store has let it expire.
///
/// Example:
///   LeaseKeeper lease(names, timing, timers, store, outbox, on_lease_changed);
///   lease.Start();
///   if (lease.IsValid()) { Acknowledge(); }

#include <cstdint>
#include <functional>
#include <string>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/store_client/store_client.h"

namespace kingcuplock {

/// Names of an instance and the prefix of its keys in the store.
struct InstanceNames {
  /// Instance name.
  std::string instance;
  /// Identifies one run of the instance; every run has another.
  std::string incarnation;
  /// Prefix of the deployment's keys, ending in '/'.
  std::string key_prefix;
  /// Value of the lease key, by which other instances learn about this one. The
  /// instance name if empty.
  std::string registration = {};

  /// Returns the key that exists in the store as long as `lease`.
  auto LeaseKey(std::int64_t lease) const -> std::string {
    return key_prefix + "lease/" + std::to_string(lease);
  }
};

/// Not thread safe. `timers` and `store` call back into the keeper and must not
/// run after it is gone.
class LeaseKeeper {
 public:
  /// `on_lease_changed(lease)` is called with the id of a lease that was
  /// granted, and with 0 when the store answers that the lease has expired.
  LeaseKeeper(InstanceNames names,
              TimingSettings timing,
              TimerService& timers,
              StoreClient& store,
              Outbox& outbox,
              std::function<void(std::int64_t lease)> on_lease_changed);

  /// Requests a lease and renews it until Stop(). Requests another one if it
  /// expires.
  void Start();

  /// Drops the lease without revoking it, and requests another one, because the
  /// store was restored: the id may belong to another instance now. Does not
  /// call `on_lease_changed` for the dropped lease.
  void Restart();

  /// Stops renewing the lease and revokes it. Does not call `on_lease_changed`.
  void Stop();

  /// Returns the id of the current lease, 0 for none.
  auto lease() const -> std::int64_t { return lease_; }

  /// Returns the time until which the lease is certain not to have expired;
  /// Time{} without a lease.
  auto ValidUntil() const -> Time {
    return lease_ != 0 ? valid_until_ : Time{};
  }

  /// Returns whether the lease is certain not to have expired yet. Needs no
  /// answer from the store.
  auto IsValid() const -> bool {
    return lease_ != 0 && timers_.Now() < valid_until_;
  }

 private:
  void RequestLease();
  void OnLeaseGranted(Time sent, const StoreAnswer* answer);
  void WriteLeaseKey(Time sent, std::int64_t lease);
  void RenewPeriodically();
  void SendRenewal();
  void OnRenewed(Time sent, std::int64_t lease, const StoreAnswer* answer);
  void ExtendValidity(Time sent);
  void RetryLeaseRequest();

  InstanceNames names_;
  TimingSettings timing_;
  TimerService& timers_;
  StoreClient& store_;
  Outbox& outbox_;
  std::function<void(std::int64_t)> on_lease_changed_;
  std::int64_t lease_ = 0;
  Time valid_until_{};
  bool stopped_ = false;
  /// Number of the newest request for a lease; older ones are ignored.
  std::uint64_t last_request_ = 0;
};

}  // namespace kingcuplock
