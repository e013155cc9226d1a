#pragma once

/// Keeps the active manifest current in three ways: a watch of the store, a
/// periodic read that the live instances share, and the peers' heartbeats. A
/// lost watch, an unreachable store or a start during an outage therefore
/// delays a new version only briefly.
///
/// Example:
///   ManifestSync sync({key, instance, deployment}, timers, store, outbox,
///                     callbacks);
///   sync.Start();
///   sync.OnHeartbeat(heartbeat, send_request);
///   sync.OnOffer(offer, "proxy-2");

#include <functional>
#include <string>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/manifest/active_manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/store_client/store_client.h"

namespace kingcuplock {

/// Names that ManifestSync needs.
struct ManifestSyncOptions {
  /// Key of the manifest in the store.
  std::string key;
  /// Name of this instance.
  std::string own_instance;
  /// Name of the deployment.
  std::string deployment;
};

/// Callbacks of ManifestSync.
struct ManifestSyncCallbacks {
  /// Returns the names of the live instances, including this one.
  std::function<std::vector<std::string>()> list_live_instances;
  /// Called after a new version has become active, with the previous manifest.
  std::function<void(const Manifest& previous)> on_manifest_changed;
};

/// Not thread safe.
class ManifestSync {
 public:
  ManifestSync(ManifestSyncOptions options,
               TimerService& timers,
               StoreClient& store,
               Outbox& outbox,
               ManifestSyncCallbacks callbacks,
               ManifestRules rules = {});

  /// Watches the manifest in the store and starts the periodic reads.
  void Start();

  /// Handles the version and hash of a peer's active manifest. If the version
  /// is higher, calls `send_request` to send a ManifestWanted to the peer. Only
  /// one request is in flight at a time.
  void OnHeartbeat(const Heartbeat& heartbeat,
                   const std::function<void(ManifestWanted)>& send_request);

  /// Applies a manifest received from a peer if it is newer.
  void OnOffer(const ManifestOffer& offer, const std::string& peer);

  /// Returns the active manifest.
  auto active_manifest() const -> const ActiveManifest& {
    return active_manifest_;
  }

 private:
  void ScheduleRefresh();
  void Refresh();

  ManifestSyncOptions options_;
  TimerService& timers_;
  StoreClient& store_;
  ManifestSyncCallbacks callbacks_;
  ActiveManifest active_manifest_;
  bool refresh_in_flight_ = false;
  /// Time until which a requested offer is awaited.
  Time offer_awaited_until_{};
};

}  // namespace kingcuplock
