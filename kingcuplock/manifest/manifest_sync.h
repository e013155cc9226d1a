#pragma once

/// Keeps the manifest in force current by three ways: the store's watch, a
/// refresh that the live instances share, and the peers' heartbeats. So a lost
/// watch, an unreachable store or a start during an outage delay it little.
///
/// Example:
///   ManifestSync sync({key, self, deployment}, timers, store, outbox, ports);
///   sync.Start();
///   sync.OnHeartbeat(heartbeat, ask);
///   sync.OnOffer(offer, "proxy-2");

#include <functional>
#include <string>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/manifest/manifest_keeper.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/store_client/store_client.h"

namespace kingcuplock {

/// Names that the synchronisation uses.
struct ManifestSyncOptions {
  /// Key of the manifest in the store.
  std::string key;
  /// Own instance name.
  std::string self;
  /// Deployment name.
  std::string deployment;
};

/// What the synchronisation uses and reports to.
struct ManifestSyncCallbacks {
  /// Returns the live instances, this one included.
  std::function<std::vector<std::string>()> list_live_instances;
  /// A new version is in force; gets the one before.
  std::function<void(const Manifest& previous)> on_manifest_changed;
};

/// Not thread safe.
class ManifestSync {
 public:
  ManifestSync(ManifestSyncOptions names,
               TimerService& timers,
               StoreClient& store,
               Outbox& outbox,
               ManifestSyncCallbacks ports,
               ManifestRules rules = {});

  /// Watches the store and begins to refresh.
  void Start();

  /// Notes what a peer has in force. Calls `ask` to send a ManifestWanted to
  /// the peer when that is newer; one such question is open at a time.
  void OnHeartbeat(const Heartbeat& heartbeat,
                   const std::function<void(ManifestWanted)>& ask);

  /// Takes a peer's manifest.
  void OnOffer(const ManifestOffer& offer, const std::string& peer);

  /// Returns what is in force.
  auto active_manifest() const -> const ActiveManifest& { return keeper_; }

 private:
  void ScheduleRefresh();
  void Refresh();

  ManifestSyncOptions names_;
  TimerService& timers_;
  StoreClient& store_;
  ManifestSyncCallbacks ports_;
  ActiveManifest keeper_;
  bool refreshing_ = false;
  /// Until when a peer's answer is awaited.
  Time asked_until_{};
};

}  // namespace kingcuplock
