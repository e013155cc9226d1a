#pragma once

/// The decision logic of one gateway instance. It takes events and the time,
/// and adds actions to two outboxes: one for clients and members, one for
/// peers, the store and logs. It does no input or output itself.
///
/// Example:
///   Gateway gateway(settings, "gw-1@17", timers, out, shell, observer);
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
#include <tuple>
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
#include "kingcuplock/quota/quota_exchange.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/store_client/store_client.h"
#include "kingcuplock/tenants/tenant_directory.h"
#include "kingcuplock/tenants/unknown_key_lookup.h"

namespace kingcuplock {

/// Key of the operators' route table, and prefix of the members' entries, as
/// the store client delivers them.
inline constexpr std::string_view kRoutesKey = "routes";
inline constexpr std::string_view kEndpointPrefix = "endpoint/";

/// Current values for the metrics page.
struct GatewayGauges {
  std::size_t sessions = 0;
  /// Connections to members.
  std::size_t connections = 0;
  /// Statements that wait for a member.
  std::size_t waiting = 0;
  /// Version of the route table in use; 0 for none.
  std::int64_t routes_version = 0;
  /// Live peers, without this instance.
  std::size_t peers = 0;
  /// Answer to the last readiness probe.
  bool ready = false;
  std::vector<MemberGauge> members;
  /// What became of the operations of limited tenants.
  std::vector<TenantUse> tenants;
  QuotaMessageCounts quota_messages;
};

/// Callbacks that feed the metrics.
struct GatewayObserver {
  /// A statement was answered after `latency`.
  std::function<void(StatementError, Duration latency)> answered;
  /// A statement was served: it waited here for `waited` before it was sent,
  /// and took `at_member` at the member.
  std::function<void(Duration waited, Duration at_member)> served;
};

/// One gateway instance. Not thread safe.
class Gateway {
 public:
  /// `incarnation` differs between two runs of the same instance. `out` takes
  /// actions for clients and members, `shell` those for peers, the store and
  /// logs. The references have to outlive the gateway.
  Gateway(GatewaySettings settings,
          const std::string& incarnation,
          TimerService& timers,
          GatewayOutbox& out,
          Outbox& shell,
          GatewayObserver observer);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;

  /// Starts to connect to the store and the peers.
  auto Start() -> void;

  /// Handles an event of a peer connection or the store, or begins the planned
  /// stop if the event asks for it.
  auto Handle(const NodeEvent& event) -> void;

  // Events of clients.

  /// Opens a session, or refuses it and closes the connection.
  auto OnClientHello(ConnectionId client, const ClientHello& hello) -> void;
  /// Runs a statement of an open session.
  auto OnClientStatement(ConnectionId client, SessionStatement statement)
      -> void;
  /// Answers input that can't be read with its error, and closes the
  /// connection.
  auto OnInvalidClientInput(ConnectionId client,
                            const InvalidClientInput& invalid_input) -> void;
  /// Ends the session of a client that closed its connection.
  auto OnClientClosed(ConnectionId client) -> void;

  // Events of connections to members.

  /// The connection is open.
  auto OnMemberOpened(ConnectionId connection) -> void;
  /// The member answered the oldest open statement on the connection.
  auto OnMemberAnswer(ConnectionId connection, const StatementAnswer& answer)
      -> void;
  /// The connection ended or could not be opened. `reason` says whether the
  /// member could be reached.
  auto OnMemberClosed(ConnectionId connection, Reach reason) -> void;

  /// Handles that the newest statement was not sent, since it was too late for
  /// that, and that the connection has ended.
  auto OnMemberStatementNotSent(ConnectionId connection) -> void;

  /// Treats the store as replaced by another one, after a change of its
  /// address: nothing read from the former one is compared with the new one.
  auto OnStoreReplaced() -> void;

  /// Handles the outcome of the OrderPromotion with that id.
  auto OnPromotionAnswered(std::int64_t id, PromotionOutcome outcome) -> void;

  /// Begins the planned stop. Its end is reported by a StopComplete in the
  /// outbox `shell`.
  auto BeginStop() -> void;

  /// Returns whether the load balancer may send new clients here. During a
  /// stop, the calls are counted to tell when it sends no more.
  auto AnswerReadinessProbe() -> bool;

  /// Returns the current values for the metrics page.
  auto Gauges() const -> GatewayGauges;

 private:
  // Tenants and their keys.
  auto Identify(const ClientHello& hello) const -> std::optional<std::string>;
  auto OpenSession(ConnectionId client,
                   const ClientHello& hello,
                   std::string tenant) -> void;
  auto AwaitKey(ConnectionId client, const ClientHello& hello) -> void;
  auto ReadRoutesForUnknownKeys() -> void;
  auto DecideUnknownKeys() -> void;
  auto CheckSessionKeys() -> void;
  auto ApplyTenants() -> void;
  auto ApplyLenders() -> void;
  auto Admit(const std::string& tenant, QuotaCallback callback) -> void;
  auto NoteQuotaRefusal(const std::string& tenant) -> void;
  auto QuotaPeers() const -> std::vector<QuotaPeer>;
  auto WatchQuotaNews() -> void;
  auto CheckConfigurationHeard() -> void;
  auto RefuseClient(ConnectionId client,
                    const ClientHello& hello,
                    StatementAnswer answer) -> void;

  // Configuration and membership.
  auto OnRoutesChanged() -> void;
  auto OnEndpointsChanged() -> void;
  auto OnRoutesItem(const StoreItem& item) -> void;
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
  auto BuildHeartbeat(std::span<const GroupReport> received = {}) -> Heartbeat;
  auto NoteHeartbeat(const Heartbeat& heartbeat) -> bool;
  auto RequestNewerRoutes(std::int64_t version,
                          std::function<void()> send_request) -> void;
  auto ApplyOffer(const RoutesOffer& offer, std::string_view source) -> void;
  auto MakeRoutesRequest() const -> RoutesWanted;
  auto BuildOffer(const RoutesWanted& wanted) const -> RoutesOffer;
  auto ShareGroupState(const std::string& group) -> void;
  auto SendHeartbeats() -> void;
  auto AskPeersForRoutes() -> void;

  // Duty to promote members of a group, which one instance holds.
  auto OnDutyAcquired(const std::string& group, const OwnerRecord& record)
      -> void;
  auto OnDutyLost(const std::string& group) -> void;
  auto GrantHelperOf(const std::string& group) -> std::string;
  auto PeerThatHeardPrimary(const std::string& group) const -> std::string;
  auto RequestGrant(const std::string& group, std::int64_t ask) -> bool;
  auto OnGrantWanted(ConnectionId source, const GrantWanted& wanted) -> void;
  auto ReadOrderRecord(
      const std::string& group,
      std::function<void(const std::optional<OrderRecord>&)> callback) -> void;
  auto OnStepDown(ConnectionId source, const StepDown& told) -> void;
  auto OnSteppedDown(const SteppedDown& told) -> void;
  auto UpdatePeers() -> void;
  auto SchedulePeerUpdate() -> void;
  auto OnGroupChanged(const std::string& group) -> void;
  auto WatchHolder(const std::string& group) -> void;
  auto CheckHolder(const std::string& group) -> void;
  auto TimeSincePeerHeardPrimary(const std::string& group) const
      -> std::optional<Duration>;
  auto IsIsolated() const -> bool;

  // Planned stop.
  auto ReleaseDuties() -> void;
  auto ContinueStop() -> void;
  auto PhaseOfOwnStop() const -> StopPhase;
  auto CloseIdleSessions() -> void;
  auto CloseIfIdle(ConnectionId client) -> void;
  auto EndAllSessions() -> void;
  auto FinishStop() -> void;

  GatewaySettings settings_;
  InstanceNames names_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& shell_;
  StoreClient store_;
  ActiveRouteTable routes_;
  TenantDirectory tenants_;
  UnknownKeyLookup unknown_keys_;
  QuotaExchange quotas_;
  /// What peers said of themselves in their last heartbeats, for quotas.
  std::map<std::string, QuotaPeer> quota_peers_;
  /// Instances whose registration ended a moment ago, and when.
  std::map<std::string, Time> instances_removed_;
  /// Refusals of each tenant since the last line about them, and when that was
  /// written.
  struct QuotaRefusals {
    std::uint64_t count = 0;
    std::optional<Time> logged;
  };
  std::map<std::string, QuotaRefusals> quota_refusals_;
  /// What heartbeats said last about this instance, and whether a timer checks
  /// for changes.
  std::tuple<bool, bool, std::int64_t> quota_news_told_;
  bool watching_quota_news_ = false;
  /// Since when neither the store nor a peer was heard, and whether that was
  /// logged.
  std::optional<Time> configuration_unheard_since_;
  bool configuration_unheard_logged_ = false;
  EndpointDirectory endpoints_;
  OwnershipKeeper duty_ownership_;
  PeerLinks peers_;
  GatewayObserver observer_;
  SessionCallbacks session_callbacks_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  std::map<std::string, std::unique_ptr<PromotionDuty>> duties_;
  std::unordered_map<ConnectionId, std::unique_ptr<Session>> sessions_;
  /// Instances registered in the store, by key.
  std::map<std::string, InstanceEntry> instances_;
  /// A peer's report on a group's primary, and when it arrived.
  struct PeerReport {
    GroupReport report;
    Time arrived{};
  };
  /// Newest reports, by peer and group.
  std::map<std::string, std::map<std::string, PeerReport>> peer_reports_;
  HolderFailureDetector holder_watch_;
  /// Groups whose holder of the promotion duty is checked regularly.
  std::set<std::string> holder_checks_running_;
  /// Until when heartbeats carry a group's state, by group.
  std::map<std::string, Time> group_state_shared_until_;
  /// Whether a timer will send heartbeats with the state of changed groups.
  bool heartbeat_scheduled_ = false;
  /// Whether a timer will choose the peers again.
  bool peer_update_scheduled_ = false;
  /// Whether a newer route table has been requested and is awaited.
  bool routes_requested_ = false;
  /// Number of successive checks, one every second, that found the store
  /// reachable.
  int store_reachable_count_ = 0;
  /// Connections that peers opened. Heartbeats with changes go to them too.
  std::set<ConnectionId> inbound_peers_;
  /// Id of the last OrderPromotion.
  std::int64_t last_promotion_id_ = 0;
  /// Whether a timer will pass the members' entries on to the groups.
  bool endpoints_update_scheduled_ = false;
  // State of the planned stop.
  std::optional<Time> stopping_since_;
  /// Number of readiness probes answered with no since then.
  int refused_probes_ = 0;
  /// When the load balancer had enough of them to send no new clients.
  std::optional<Time> out_of_rotation_since_;
  /// Until when an order that this instance gave under a former duty may still
  /// take effect, by group.
  std::map<std::string, Time> unsettled_until_;
  /// Newest term that a former duty of this instance knew, by group.
  std::map<std::string, std::optional<std::int64_t>> terms_of_former_duties_;
  /// Groups whose duty was released in the stop.
  std::set<std::string> released_duties_;
  bool stop_complete_ = false;
  /// Answer to the last readiness probe.
  bool last_ready_ = false;
};

}  // namespace kingcuplock
