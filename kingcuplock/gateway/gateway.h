#pragma once

/// Everything that one gateway instance decides: events and time in, actions
/// out, to two outboxes (clients and members; peers, store and logs).
///
/// Example:
///   Gateway gateway(settings, "gw-1@17", timers, out, shell);
///   gateway.Start();
///   gateway.OnClientHello(client, hello);
///   gateway.Handle(peer_or_store_event);

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/active_route_table.h"
#include "kingcuplock/gateway/endpoint_directory.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/gateway/group.h"
#include "kingcuplock/gateway/holder_failure_detector.h"
#include "kingcuplock/gateway/promotion_duty.h"
#include "kingcuplock/gateway/session.h"
#include "kingcuplock/membership/peer_links.h"
#include "kingcuplock/ownership/ownership_keeper.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/store_client/store_client.h"

namespace kingcuplock {

/// Keys under which the store client delivers the operators' and members'
/// items, decoded.
inline constexpr std::string_view kRoutesKey = "routes";
inline constexpr std::string_view kEndpointPrefix = "endpoint/";

/// Counts for the metrics page.
struct GatewayGauges {
  std::size_t sessions = 0;
  std::size_t connections = 0;
  std::size_t waiting = 0;
  std::int64_t routes_version = 0;
  std::size_t peers = 0;
  bool ready = false;
  std::vector<MemberGauge> members;
};

/// What a gateway tells its metrics.
struct GatewayObserver {
  /// A statement was answered after `latency`.
  std::function<void(StatementError, Duration latency)> answered;
  /// A statement was served: its time here before a member got it, and there.
  std::function<void(Duration waited, Duration at_member)> served;
};

/// Not thread safe.
class Gateway {
 public:
  /// `incarnation` differs between two runs of the same instance.
  Gateway(GatewaySettings settings,
          const std::string& incarnation,
          TimerService& timers,
          GatewayOutbox& out,
          Outbox& shell,
          GatewayObserver observer);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;

  /// Connects to the store and the peers.
  auto Start() -> void;

  /// Handles an event of a peer link or the store.
  auto Handle(const NodeEvent& event) -> void;

  // Clients.
  auto OnClientHello(ConnectionId client, const ClientHello& hello) -> void;
  auto OnClientStatement(ConnectionId client, SessionStatement statement)
      -> void;
  auto OnInvalidClientInput(ConnectionId client, const ClientGarbage& garbage)
      -> void;
  auto OnClientClosed(ConnectionId client) -> void;

  // Members.
  auto OnMemberOpened(ConnectionId link) -> void;
  auto OnMemberAnswer(ConnectionId link, const StatementAnswer& answer) -> void;
  auto OnMemberClosed(ConnectionId link, Reach reason) -> void;

  /// Takes the answer to an OrderPromotion.
  auto OnPromotionAnswered(std::int64_t id, PromotionOutcome outcome) -> void;

  /// Begins a planned stop; StopComplete follows in the shell's outbox.
  auto BeginStop() -> void;

  /// Returns whether the balancer may send new clients, and notes that it
  /// asked.
  auto AnswerReadinessProbe() -> bool;

  auto Gauges() const -> GatewayGauges;

 private:
  // Configuration and membership.
  auto OnRoutesChanged() -> void;
  auto OnEndpointsChanged() -> void;
  auto OnEndpointItem(const StoreItem& item, bool deleted) -> void;
  auto OnInstanceItem(const StoreItem& item, bool deleted) -> void;
  auto ApplyInstances() -> void;
  auto InstanceNamesKnown() const -> std::vector<std::string>;
  auto FindGroup(const std::string& group) -> Group*;

  // Peers.
  auto OnPeerEvent(const NodeEvent& event) -> bool;
  auto OnInboundPeer(ConnectionId source, const InboundMessage& message)
      -> void;
  auto OnPeerMessage(const std::string& peer, const PeerMessage& message)
      -> void;
  auto BuildHeartbeat(std::span<const GroupReport> told = {}) -> Heartbeat;
  auto NoteHeartbeat(const Heartbeat& heartbeat) -> bool;
  auto WantRoutes(std::int64_t version, std::function<void()> ask) -> void;
  auto TakeOffer(const RoutesOffer& offer, std::string_view source) -> void;
  auto AskForRoutes() const -> RoutesWanted;
  auto BuildOffer(const RoutesWanted& wanted) const -> RoutesOffer;
  auto ShareGroupState(const std::string& group) -> void;
  auto SendHeartbeats() -> void;
  auto AskPeersForRoutes() -> void;

  // Duty to promote.
  auto OnDutyAcquired(const std::string& group, const OwnerRecord& record)
      -> void;
  auto OnDutyLost(const std::string& group) -> void;
  auto GrantHelperOf(const std::string& group) -> std::string;
  auto PeerThatHeardPrimary(const std::string& group) const -> std::string;
  auto RequestGrant(const std::string& group, std::int64_t ask) -> bool;
  auto OnGrantWanted(ConnectionId source, const GrantWanted& wanted) -> void;
  auto OnStepDown(ConnectionId source, const StepDown& told) -> void;
  auto OnSteppedDown(const SteppedDown& told) -> void;
  auto LinkPeers() -> void;
  auto LinkPeersSoon() -> void;
  auto OnGroupChanged(const std::string& group) -> void;
  auto WatchHolder(const std::string& group) -> void;
  auto CheckHolder(const std::string& group) -> void;
  auto TimeSincePeerHeardPrimary(const std::string& group) const
      -> std::optional<Duration>;
  auto IsIsolated() const -> bool;

  // Planned stop.
  auto ReleaseDuties() -> void;
  auto StopTick() -> void;
  auto CloseResting() -> void;
  auto FinishStop() -> void;

  GatewaySettings settings_;
  InstanceNames names_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& shell_;
  StoreClient store_;
  ActiveRouteTable routes_;
  EndpointDirectory endpoints_;
  OwnershipKeeper duty_ownership_;
  PeerLinks peers_;
  GatewayObserver observer_;
  SessionPorts session_ports_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  std::map<std::string, std::unique_ptr<PromotionDuty>> duties_;
  std::unordered_map<ConnectionId, std::unique_ptr<Session>> sessions_;
  /// Instances registered in the store, by key.
  std::map<std::string, InstanceEntry> instances_;
  /// Newest report of each peer on each group's primary, with its arrival.
  struct HeardReport {
    GroupReport report;
    Time arrived{};
  };
  std::map<std::string, std::map<std::string, HeardReport>> peer_reports_;
  HolderFailureDetector holder_watch_;
  /// Groups whose holder is looked at regularly.
  std::set<std::string> holder_checks_running_;
  /// Groups whose state heartbeats carry, and until when.
  std::map<std::string, Time> spread_;
  bool spreading_ = false;
  bool choosing_peers_ = false;
  /// Whether a newer table is waited for.
  bool asking_routes_ = false;
  /// Inbound peer links; news go out on them too.
  std::set<ConnectionId> inbound_peers_;
  std::int64_t last_promotion_id_ = 0;
  bool endpoints_pending_ = false;
  // Planned stop.
  std::optional<Time> stopping_since_;
  int refused_probes_ = 0;
  std::optional<Time> out_of_rotation_since_;
  /// Until when something that a former duty of this instance ordered may take
  /// effect, by group.
  std::map<std::string, Time> unsettled_until_;
  /// Groups whose duty was given up.
  std::set<std::string> released_;
  bool stop_complete_ = false;
  bool last_ready_ = false;
};

}  // namespace kingcuplock
