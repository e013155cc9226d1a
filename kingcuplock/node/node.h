#pragma once

/// Everything that one instance decides: events and time in, actions out.
///
/// Example:
///   TimerService timers(now);
///   Outbox outbox;
///   Node node(settings, "proxy-1@17", timers, outbox);
///   node.Start();
///   node.Handle(event);
///   timers.AdvanceTo(now);
///   for (auto& action : outbox.Take()) { Perform(action); }

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/entry/entry.h"
#include "kingcuplock/manifest/manifest_sync.h"
#include "kingcuplock/membership/instance_directory.h"
#include "kingcuplock/membership/peer_links.h"
#include "kingcuplock/metrics/failover_log.h"
#include "kingcuplock/metrics/request_counters.h"
#include "kingcuplock/owner/database_owner.h"
#include "kingcuplock/ownership/ownership_keeper.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/store_client/store_client.h"

namespace kingcuplock {

/// Not thread safe.
class Node {
 public:
  /// `incarnation` differs between two runs of the same instance.
  Node(ProxySettings settings,
       std::string incarnation,
       TimerService& timers,
       Outbox& outbox,
       ManifestRules manifest_rules = {});
  ~Node();
  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;

  /// Connects to the store and the peers.
  void Start();

  /// Handles one event. The time is to be moved on before.
  void Handle(const NodeEvent& event);

  /// Returns whether a manifest is in force.
  auto HasManifest() const -> bool { return manifests().version() != 0; }

 private:
  // Events.
  void OnOpened(ConnectionId connection);
  void OnClosed(ConnectionId connection);
  void OnArrived(const MessageArrived& event);
  void OnInbound(ConnectionId source, const InboundMessage& message);
  void OnForward(ConnectionId source, const Forward& forward);
  void OnPeerMessage(const std::string& peer, const PeerMessage& message);
  void OnHeartbeatAnswered(const Heartbeat& heartbeat);
  void OnInboundHeartbeat(ConnectionId source, const Heartbeat& heartbeat);
  void NoteOwners(const Heartbeat& heartbeat);

  // Configuration and membership.
  auto manifests() const -> const ActiveManifest& {
    return sync_.active_manifest();
  }
  auto BuildOffer() const -> ManifestOffer;
  void OnManifestChanged(const Manifest& previous);
  void OnPlatformItem(const StoreItem& item, bool deleted);
  auto BuildHeartbeat() const -> Heartbeat;

  // Ownership.
  void OnAcquired(const std::string& database, const OwnerRecord& record);
  void OnLost(const std::string& database);
  void Retire(const std::string& database);
  void StartOwner(const std::string& database, const OwnerRecord& record);
  auto OwnerOf(const std::string& database) const -> std::string;
  auto SubmitHere(const std::string& database, RequestPtr request) -> bool;

  // Change of an owned database's configuration.
  void Reconfigure(const std::string& database);
  void TryReconfigure(const std::string& database);
  void RestartOwner(const std::string& database);
  void DrainOwner(const std::string& database, std::function<void()> done);

  // Planned stop.
  void BeginStop();
  void ReleaseOwned(const std::string& database);
  void NotifySuccessor(const std::string& database, std::int64_t epoch);
  void StopWhenIdle();

  auto BuildStatus(const std::string& id) const -> InstanceStatus;

  ProxySettings settings_;
  InstanceNames names_;
  TimerService& timers_;
  Outbox& outbox_;
  StoreClient store_;
  ManifestSync sync_;
  InstanceDirectory directory_;
  OwnershipKeeper ownership_;
  PeerLinks peers_;
  RequestRouter entry_;
  RequestCounters counters_;
  std::map<std::string, std::unique_ptr<DatabaseOwner>> owners_;
  std::vector<std::unique_ptr<DatabaseOwner>> retired_owners_;
  std::map<std::string, OwnershipHint> hints_;
  FailoverLog failovers_;
  /// Databases whose owner is about to take a new configuration.
  std::set<std::string> reconfiguring_;
  Time started_{};
  bool leaving_ = false;
  Time stop_began_{};
  Time last_busy_{};
};

}  // namespace kingcuplock
