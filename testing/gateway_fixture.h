#pragma once

/// Connects real gateways to stand-ins of the store, of a statement group and
/// of the platform's promotions, on virtual time and without a network, for
/// focused tests of failures. Records the answers to clients and checks them
/// against what the members ran.
///
/// Example:
///   GatewayFixture fixture({.gateways = 2});
///   fixture.RunFor(Milliseconds(500));
///   auto client = fixture.OpenClient(0, "db-session");
///   fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
///   fixture.RunFor(Milliseconds(50));
///   CHECK(fixture.FindViolations().empty());

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/gateway.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/statement/statement.h"
#include "standin/statements/statement_group.h"
#include "standin/store/key_value_store.h"
#include "standin/store/store_copies.h"

namespace kingcuplock {

/// Size, delays and route settings of a fixture.
struct GatewayFixtureOptions {
  std::uint64_t seed = 1;
  /// Number of gateways.
  std::size_t gateways = 1;
  StatementGroupOptions group = {};
  /// One-way delay of every message, and the time that a statement takes at a
  /// member.
  Duration delay{Milliseconds(1)};
  Duration work{Milliseconds(5)};
  /// Member whose endpoint entry is missing from the store until
  /// RegisterMissingMember(); empty for none.
  std::string unregistered_member = {};
  /// Maximum age of data, timeout and latency target of every route.
  std::int64_t max_age_ms = 1500;
  std::int64_t timeout_ms = 800;
  std::int64_t target_ms = 100;
  /// Tenants of the first route table; keys are checked if there are any.
  std::vector<TenantConfig> tenants = {};
};

/// A statement that a client sent, and its answer.
struct ClientStatement {
  std::size_t client = 0;
  std::string database;
  SessionStatement statement;
  Time sent{};
  /// When the statement or, in a transaction, the transaction's begin was sent.
  Time began{};
  std::optional<StatementAnswer> answer;
  Time answered{};
  /// The client's session values after the statement.
  std::map<std::string, std::string> values;
};

/// Not thread safe. The same seed and calls give the same run. There is one
/// group, "g0", with members "m1" to "m3"; the databases "db-primary",
/// "db-bounded" and "db-session" have the read mode of their name.
class GatewayFixture {
 public:
  explicit GatewayFixture(GatewayFixtureOptions options);
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture&) = delete;
  auto operator=(const GatewayFixture&) -> GatewayFixture& = delete;

  /// Advances the virtual time by `duration` and runs what is due.
  auto RunFor(Duration duration) -> void;

  // Clients.

  /// Connects a client that sends `key` and returns its number.
  auto OpenClient(std::size_t gateway,
                  const std::string& database,
                  const std::string& key = "") -> std::size_t;
  /// Returns the error with which the client's hello was answered; nullopt if
  /// there is no answer yet.
  auto HelloError(std::size_t client) const -> std::optional<StatementError> {
    return clients_.at(client).hello_error;
  }
  /// Sends a statement and returns its number, which is its index in
  /// client_statements().
  auto SendClientStatement(std::size_t client, SessionStatement statement)
      -> std::size_t;
  auto SendClientStatement(std::size_t client,
                           std::string id,
                           StatementKind kind,
                           std::string arguments = "") -> std::size_t;
  /// Returns whether the gateway has neither closed the client's connection nor
  /// ended.
  auto IsClientOpen(std::size_t client) const -> bool {
    const auto& it = clients_.at(client);
    return it.open && !it.closed_by_gateway;
  }
  /// Closes a client's connection.
  auto CloseClient(std::size_t client) -> void;
  /// Returns the answer to a statement by its number, nullptr if there is none
  /// yet.
  auto FindAnswer(std::size_t number) const -> const StatementAnswer* {
    const auto& answer = client_statements_.at(number).answer;
    return answer ? &*answer : nullptr;
  }
  /// Returns all statements in the order in which they were sent.
  auto client_statements() const -> const std::vector<ClientStatement>& {
    return client_statements_;
  }

  // Faults.

  /// Stops a member; its connections end.
  auto CrashMember(const std::string& member) -> void;
  /// Starts a member again, after stopping it if it runs.
  auto RestartMember(const std::string& member) -> void;
  /// Starts or ends the loss of all messages from and to a member.
  auto SetUnresponsive(const std::string& member, bool unresponsive) -> void;
  /// Starts or ends the loss of all messages between a gateway and a member.
  auto PartitionFromMember(std::size_t gateway,
                           const std::string& member,
                           bool partitioned) -> void;
  /// Loses the next `count` answers of a member to reads, writes, executions
  /// and commits.
  auto LoseAnswers(const std::string& member, int count) -> void;
  /// Loses the next `count` answers of a member to statements that set a
  /// connection's values and prepared statements.
  auto LoseStateAnswers(const std::string& member, int count) -> void {
    state_answers_to_lose_[member] = count;
  }
  /// Writes a route table to the store that has the databases' three routes and
  /// `routes` more. `version` must be higher than the last.
  auto ChangeRoutes(std::int64_t version, std::size_t routes) -> void;
  /// Replaces the tenants in the store by a new version of the route table.
  auto ChangeTenants(std::int64_t version, std::vector<TenantConfig> tenants)
      -> void {
    options_.tenants = std::move(tenants);
    ChangeRoutes(version, 0);
  }
  /// Delays watch events of the store to gateway number N by N times `delay`.
  auto SetStoreDelayPerGateway(Duration delay) -> void {
    store_delay_per_gateway_ = delay;
  }
  /// Returns the number of route tables that gateways sent each other.
  auto CountRouteOffers() const -> std::size_t { return route_offer_count_; }
  /// While the store is down, it handles no calls, and watch events are lost.
  auto SetStoreUp(bool up) -> void { store_up_ = up; }
  /// Restores the store from its copy of about `age` ago. Watches end without a
  /// word. Operator and members write again what they wrote since, within
  /// `rewritten_after`.
  auto RestoreStore(Duration age, Duration rewritten_after) -> void;
  /// Replaces the store by an empty one at another address, to which operator
  /// and members write at once. The gateways learn the address.
  auto ReplaceStore() -> void;
  /// Marks a member as leaving in its endpoint entry.
  auto SetMemberLeaving(const std::string& member) -> void;
  /// Writes the entry of the member `unregistered_member` to the store.
  auto RegisterMissingMember() -> void { options_.unregistered_member.clear(); }
  /// Kills a gateway; its connections close.
  auto KillGateway(std::size_t gateway) -> void;
  /// Starts a gateway without any state.
  auto StartGateway(std::size_t gateway) -> void;
  /// Begins a planned stop.
  auto StopGateway(std::size_t gateway) -> void;
  /// A frozen gateway handles nothing until it is unfrozen; messages to it wait
  /// and time goes on.
  auto FreezeGateway(std::size_t gateway, bool frozen) -> void;
  /// Freezes the gateway for `duration` between its decision to send the next
  /// statement under a grant, or the next promotion order, and the sending.
  auto FreezeBeforeNextSend(std::size_t gateway, Duration duration) -> void;
  /// Starts or ends the loss of all messages between two gateways.
  auto PartitionPeers(std::size_t one, std::size_t other, bool partitioned)
      -> void;
  /// Starts or ends the loss of demotions.
  auto LoseDemotions(bool lose) -> void { lose_demotions_ = lose; }
  /// Writes an item to the store, as another writer does.
  auto PutStoreItem(const std::string& key, const std::string& value) -> void {
    store_.Put(key, value);
  }
  /// Revokes a gateway's lease, which deletes its keys in the store, and
  /// handles no more of its calls until RestoreStoreAccess().
  auto RevokeStoreAccess(std::size_t gateway) -> void;
  /// Ends the effect of RevokeStoreAccess(); the lease stays revoked.
  auto RestoreStoreAccess(std::size_t gateway) -> void;
  /// Returns the number of the gateway that holds the promotion duty according
  /// to the record in the store.
  auto PromotionDutyHolder() -> std::size_t;
  /// The platform's answers to promotion orders are lost, and the orders are
  /// carried out after `delay`. nullopt ends this.
  auto LosePromotionAnswers(std::optional<Duration> delay) -> void {
    lost_order_delay_ = delay;
  }

  auto group() -> StatementGroup& { return group_; }
  auto gateway(std::size_t n) -> Gateway& { return *nodes_.at(n)->gateway; }
  /// Returns whether a planned stop of the gateway is complete.
  auto IsStopped(std::size_t n) const -> bool { return nodes_.at(n)->stopped; }
  auto Now() const -> Time { return timers_.Now(); }
  /// Returns the number of statements that gateways sent for themselves, not
  /// for a client.
  auto CountInternalStatements() const -> int {
    return internal_statement_count_;
  }
  /// Returns the log lines of all gateways, in order.
  auto logs() const -> const std::vector<LogAction>& { return logs_; }
  /// Returns the number of reports about the group that gateways sent each
  /// other.
  auto CountGroupReports() const -> std::size_t { return group_report_count_; }
  /// Returns the fencing tokens of all promotion orders, in the order of
  /// sending.
  auto OrderFencingTokens() const -> const std::vector<std::int64_t>& {
    return order_fencing_tokens_;
  }

  /// Returns a line for each way in which the clients' answers, the members'
  /// runs and the commits contradict each other, and for each fencing token
  /// that a second holder used or that, unfenced, came after a higher one.
  auto FindViolations() const -> std::vector<std::string>;

  /// Returns the number of statements that were answered with success.
  auto CountSuccessfulStatements() const -> std::size_t;

 private:
  // A connection of a gateway to a member.
  struct Link {
    std::string member;
    std::int64_t session = 0;
    /// Time of the last answer: answers keep the order of their statements.
    Time last_answer{};
  };
  // A gateway and its connections.
  struct Node {
    std::unique_ptr<TimerService> timers;
    Outbox outbox;
    GatewayOutbox gateway_outbox;
    std::unique_ptr<Gateway> gateway;
    std::map<ConnectionId, Link> links;
    ConnectionId store = 0;
    /// Peer connections that this gateway opened: its own id to the peer's
    /// number and the peer's id.
    std::map<ConnectionId, std::pair<std::size_t, ConnectionId>> peers;
    /// Likewise those that peers opened.
    std::map<ConnectionId, std::pair<std::size_t, ConnectionId>> inbound;
    std::vector<std::string> watched_prefixes;
    /// Number of starts.
    std::int64_t incarnation = 0;
    bool up = false;
    bool stopped = false;
    bool frozen = false;
    bool store_access_revoked = false;
    Duration freeze_before_next_send{};
    std::int64_t lease = 0;
    /// What reached the gateway while it was frozen.
    std::vector<std::function<void()>> deferred;
    ConnectionId last_inbound = 0;
  };
  struct Client {
    std::size_t gateway = 0;
    std::int64_t incarnation = 0;
    ConnectionId connection = 0;
    std::string database;
    /// Tenant that held the client's key when it connected.
    std::string tenant;
    std::optional<StatementError> hello_error;
    /// Numbers of the statements without an answer, in order.
    std::vector<std::size_t> unanswered;
    std::optional<Time> transaction_began;
    std::map<std::string, std::string> values;
    bool open = false;
    bool closed_by_gateway = false;
  };

  auto MarkClientClosed(ConnectionId connection) -> void;
  auto RunAfter(Duration delay, std::size_t node, std::function<void()> work)
      -> void;
  auto Reaches(std::size_t node, const std::string& member) const -> bool;
  auto PerformActions(std::size_t node) -> void;
  auto RunOnGateway(std::size_t node, std::function<void()> work) -> void;
  auto Perform(std::size_t node, Action& action) -> void;
  auto Perform(std::size_t node, GatewayAction& action) -> void;
  auto OnStoreCall(std::size_t node, const StoreCall& call) -> void;
  auto PushStoreEvents() -> void;
  auto OpenPeer(std::size_t node, const OpenConnection& open) -> void;
  auto SendToPeer(std::size_t node, const SendMessage& send) -> void;
  auto OpenMemberLink(std::size_t node, const OpenMemberConnection& open)
      -> void;
  auto OnMemberHello(std::size_t node, const SendMemberHello& hello) -> void;
  auto RunStatement(std::size_t node, const SendStatement& send) -> void;
  auto AnswerStatement(std::size_t node,
                       const std::string& member,
                       const SendStatement& send,
                       StatementAnswer answer,
                       std::optional<LogPosition> commit) -> void;
  auto OnPromotionOrder(std::size_t node, const OrderPromotion& order) -> void;
  auto CheckFencingToken(const OrderPromotion& order) -> void;
  auto OnAnswer(const AnswerClient& answer, std::size_t node) -> void;
  auto DropLink(std::size_t node, ConnectionId link, Reach reason) -> void;
  /// Returns the time of the store, in ms.
  auto NowMs() const -> std::int64_t {
    return timers_.Now().time_since_epoch() / Milliseconds(1);
  }
  auto PublishEndpoint(const std::string& member) -> void;
  auto PublishEndpoints() -> void;

  GatewayFixtureOptions options_;
  TimerService timers_;
  StatementGroup group_;
  KeyValueStore store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Client> clients_;
  std::map<ConnectionId, std::size_t> client_by_connection_;
  std::vector<ClientStatement> client_statements_;
  std::set<std::string> unresponsive_members_;
  std::set<std::string> leaving_members_;
  std::set<std::pair<std::size_t, std::string>> member_partitions_;
  std::map<std::string, int> answers_to_lose_;
  std::map<std::string, int> state_answers_to_lose_;
  bool store_up_ = true;
  std::optional<Duration> lost_order_delay_;
  bool lose_demotions_ = false;
  std::set<std::pair<std::size_t, std::size_t>> peer_partitions_;
  std::map<std::string, std::string> published_endpoints_;
  /// No endpoint entry is written before this time.
  Time members_write_again_at_{};
  std::string newest_routes_;
  StoreCopies store_copies_;
  int internal_statement_count_ = 0;
  std::size_t group_report_count_ = 0;
  std::size_t route_offer_count_ = 0;
  Duration store_delay_per_gateway_{};
  std::vector<LogAction> logs_;
  std::vector<std::int64_t> order_fencing_tokens_;
  /// First holder that used each fencing token.
  std::map<std::int64_t, std::string> token_holders_;
  /// Contradictions between the orders of the holders.
  std::vector<std::string> order_violations_;
  ConnectionId last_client_connection_ = 0;
};

}  // namespace kingcuplock
