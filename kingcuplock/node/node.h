#pragma once

/// Logic of one proxy instance. Consumes events and time, and produces actions;
/// it performs no input or output itself.
///
/// Example:
///   TimerService timers(now);
///   Outbox outbox;
///   Node node(settings, "proxy-1@17", timers, outbox);
///   node.Start();
///   timers.AdvanceTo(now);
///   node.Handle(event);
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
#include "kingcuplock/entry/request_router.h"
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
  /// `incarnation` must differ between two runs of the same instance.
  Node(ProxySettings settings,
       std::string incarnation,
       TimerService& timers,
       Outbox& outbox,
       ManifestRules manifest_rules = {});
  ~Node();
  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;

  /// Starts to connect to the store and the peers.
  void Start();

  /// Handles one event. The timers must be advanced to the current time before.
  void Handle(const NodeEvent& event);

  /// Returns whether a manifest is active.
  auto HasManifest() const -> bool { return active_manifest().version() != 0; }

 private:
  // Events.
  void OnOpened(ConnectionId connection);
  void OnClosed(ConnectionId connection);
  void OnMessageArrived(const MessageArrived& event);
  void OnInboundMessage(ConnectionId source, const InboundMessage& message);
  void OnForwardedRequest(ConnectionId source, const Forward& forward);
  void OnPeerMessage(const std::string& peer, const PeerMessage& message);
  void OnHeartbeatAnswered(const Heartbeat& heartbeat);
  void OnInboundHeartbeat(ConnectionId source, const Heartbeat& heartbeat);
  void NoteOwnershipHints(const Heartbeat& heartbeat);

  // Configuration and membership.
  auto active_manifest() const -> const ActiveManifest& {
    return manifest_sync_.active_manifest();
  }
  auto BuildManifestOffer() const -> ManifestOffer;
  void OnManifestChanged(const Manifest& previous);
  void OnPlatformItem(const StoreItem& item, bool deleted);
  auto BuildHeartbeat() const -> Heartbeat;

  // Ownership.
  void OnOwnershipAcquired(const std::string& database,
                           const OwnerRecord& record);
  void OnOwnershipLost(const std::string& database);
  void RetireOwner(const std::string& database);
  void StartOwner(const std::string& database, const OwnerRecord& record);
  auto OwnerOf(const std::string& database) const -> std::string;
  auto SubmitToLocalOwner(const std::string& database, RequestPtr request)
      -> bool;

  // Configuration changes of owned databases.
  void ReconfigureOwner(const std::string& database);
  void TryReconfigureOwner(const std::string& database);
  void RestartOwner(const std::string& database);
  void DrainOwner(const std::string& database, std::function<void()> done);

  // Planned stop.
  void BeginPlannedStop();
  void ReleaseOwnership(const std::string& database);
  void NotifySuccessor(const std::string& database, std::int64_t epoch);
  void StopWhenIdle();

  auto BuildStatus(const std::string& id) const -> InstanceStatus;

  ProxySettings settings_;
  InstanceNames names_;
  TimerService& timers_;
  Outbox& outbox_;
  StoreClient store_;
  ManifestSync manifest_sync_;
  InstanceDirectory directory_;
  OwnershipKeeper ownership_;
  PeerLinks peer_links_;
  RequestRouter request_router_;
  RequestCounters request_counters_;
  std::map<std::string, std::unique_ptr<DatabaseOwner>> owners_;
  std::vector<std::unique_ptr<DatabaseOwner>> retired_owners_;
  std::map<std::string, OwnershipHint> ownership_hints_;
  FailoverLog failover_log_;
  /// Databases whose configuration change has not yet been applied to the
  /// owner.
  std::set<std::string> reconfiguring_;
  Time start_time_{};
  bool leaving_ = false;
  Time stop_begin_time_{};
  Time last_busy_time_{};
};

}  // namespace kingcuplock
