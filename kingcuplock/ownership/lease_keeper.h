#pragma once

/// Holds one lease of the platform's service for the whole instance. Its
/// validity counts from the moment a renewal was sent.
///
/// Example:
///   LeaseKeeper lease(names, timing, timers, store, outbox, on_change);
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

/// Names of an instance and of its keys in the store.
struct InstanceNames {
  /// Instance name.
  std::string instance;
  /// Differs between two runs of the same instance.
  std::string incarnation;
  /// Prefix of the deployment's keys, ending in '/'.
  std::string key_prefix;
  /// What the instance tells the others of itself; its name if empty.
  std::string registration = {};

  /// Returns the key that lives as long as a lease.
  auto LeaseKey(std::int64_t lease) const -> std::string {
    return key_prefix + "lease/" + std::to_string(lease);
  }
};

/// Not thread safe.
class LeaseKeeper {
 public:
  /// `on_change(lease)` is called when a lease was granted, and with 0 when
  /// the store said that it has expired.
  LeaseKeeper(InstanceNames names,
              TimingSettings timing,
              TimerService& timers,
              StoreClient& store,
              Outbox& outbox,
              std::function<void(std::int64_t)> on_change);

  /// Asks for a lease and keeps it until Stop().
  void Start();

  /// Gives the lease back.
  void Stop();

  /// Returns the lease, 0 for none.
  auto lease() const -> std::int64_t { return lease_; }

  /// Returns until when the lease can't have lapsed; Time{} without one.
  auto ValidUntil() const -> Time {
    return lease_ != 0 ? valid_until_ : Time{};
  }

  /// Returns whether the lease can't have lapsed yet, whatever the store says.
  auto IsValid() const -> bool {
    return lease_ != 0 && timers_.Now() < valid_until_;
  }

 private:
  void Grant();
  void OnGranted(Time sent, const StoreAnswer* answer);
  void Register(Time sent, std::int64_t lease);
  void Tick();
  void Renew();
  void OnRenewed(Time sent, std::int64_t lease, const StoreAnswer* answer);
  void Extend(Time sent);
  void RetryGrant();

  InstanceNames names_;
  TimingSettings timing_;
  TimerService& timers_;
  StoreClient& store_;
  Outbox& outbox_;
  std::function<void(std::int64_t)> on_change_;
  std::int64_t lease_ = 0;
  Time valid_until_{};
  bool stopped_ = false;
};

}  // namespace kingcuplock
