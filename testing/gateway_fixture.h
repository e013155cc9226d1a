#pragma once

/// Joins real gateways to stand-ins of the store and of statement groups, on
/// virtual time, for focused tests of failures without a network. Keeps what
/// clients were told, and checks it against what the members ran.
///
/// Example:
///   GatewayFixture world({.gateways = 2});
///   world.RunFor(Milliseconds(500));
///   auto client = world.OpenClient(0, "db-session");
///   world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
///   world.RunFor(Milliseconds(50));
///   CHECK(world.FindViolations().empty());

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

namespace kingcuplock {

/// What a fixture is like.
struct GatewayFixtureOptions {
  std::uint64_t seed = 1;
  std::size_t gateways = 1;
  StatementGroupOptions group = {};
  /// One-way delay of every message, and the time of a statement at a member.
  Duration delay{Milliseconds(1)};
  Duration work{Milliseconds(5)};
  /// Member whose entry is missing from the store until
  /// RegisterMissingMember().
  std::string unregistered_member = {};
  std::int64_t max_age_ms = 1500;
  std::int64_t timeout_ms = 800;
  std::int64_t target_ms = 100;
};

/// One statement that a client sent, and its answer.
struct ClientStatement {
  std::size_t client = 0;
  std::string database;
  SessionStatement statement;
  Time sent{};
  /// First byte of its transaction, or its own.
  Time began{};
  std::optional<StatementAnswer> answer;
  Time answered{};
  /// Session values when it was sent.
  std::map<std::string, std::string> values;
};

/// Not thread safe. The same seed and calls give the same run. The one group is
/// called "g0", its members "m1" to "m3"; the databases "db-primary",
/// "db-bounded" and "db-session" read as their names say.
class GatewayFixture {
 public:
  explicit GatewayFixture(GatewayFixtureOptions options);
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture&) = delete;
  auto operator=(const GatewayFixture&) -> GatewayFixture& = delete;

  /// Moves the time on.
  auto RunFor(Duration duration) -> void;

  // Clients.
  auto OpenClient(std::size_t gateway, const std::string& database)
      -> std::size_t;
  auto SendClientStatement(std::size_t client, SessionStatement statement)
      -> std::size_t;
  auto SendClientStatement(std::size_t client,
                           std::string id,
                           StatementKind kind,
                           std::string arguments = "") -> std::size_t;
  auto CloseClient(std::size_t client) -> void;
  /// Returns the answer to a statement, by the number that
  /// SendClientStatement() returned.
  auto FindAnswer(std::size_t number) const -> const StatementAnswer* {
    const auto& answer = said_.at(number).answer;
    return answer ? &*answer : nullptr;
  }
  auto client_statements() const -> const std::vector<ClientStatement>& {
    return said_;
  }

  // Faults.
  auto CrashMember(const std::string& member) -> void;
  auto RestartMember(const std::string& member) -> void;
  /// A dark member takes no bytes and gives none.
  auto SetUnresponsive(const std::string& member, bool dark) -> void;
  /// A gateway and a member don't reach each other.
  auto PartitionFromMember(std::size_t gateway,
                           const std::string& member,
                           bool cut) -> void;
  /// The next answers of a member are lost, so many.
  auto LoseAnswers(const std::string& member, int count) -> void;
  /// Puts a route table of so many routes, and a version above the last, into
  /// the store.
  auto ChangeRoutes(std::int64_t version, std::size_t routes) -> void;
  /// The store's news reach gateway N after N times so long.
  auto SetStoreDelayPerGateway(Duration stagger) -> void {
    store_stagger_ = stagger;
  }
  /// Route tables that gateways sent each other.
  auto CountRouteOffers() const -> std::size_t { return offers_; }
  auto SetStoreUp(bool up) -> void { store_up_ = up; }
  auto SetMemberLeaving(const std::string& member) -> void;
  auto RegisterMissingMember() -> void { options_.unregistered_member.clear(); }
  auto KillGateway(std::size_t gateway) -> void;
  auto StartGateway(std::size_t gateway) -> void;
  auto StopGateway(std::size_t gateway) -> void;
  /// A frozen gateway handles nothing; what reaches it waits. Time goes on.
  auto FreezeGateway(std::size_t gateway, bool frozen) -> void;
  /// The machine stands still for so long between the decision to send its next
  /// statement under a grant, or its next order, and the sending.
  auto FreezeBeforeNextSend(std::size_t gateway, Duration length) -> void;
  /// Messages between the two gateways are lost.
  auto PartitionPeers(std::size_t one, std::size_t other, bool cut) -> void;
  /// Demotions are lost.
  auto LoseDemotions(bool lose) -> void { lose_demotions_ = lose; }
  /// The store takes a gateway's keys away, and serves it no more until
  /// restored.
  auto RevokeStoreAccess(std::size_t gateway) -> void;
  auto RestoreStoreAccess(std::size_t gateway) -> void;
  /// Returns the holder of the promotion duty, by the record in the store.
  auto PromotionDutyHolder() -> std::size_t;
  /// The platform loses its answers to orders, and carries them out so much
  /// later.
  auto LosePromotionAnswers(std::optional<Duration> late) -> void {
    order_late_ = late;
  }

  auto group() -> StatementGroup& { return group_; }
  auto gateway(std::size_t n) -> Gateway& { return *nodes_.at(n)->gateway; }
  auto IsStopped(std::size_t n) const -> bool { return nodes_.at(n)->stopped; }
  auto Now() const -> Time { return timers_.Now(); }
  /// Statements that members were sent without a client's id.
  auto CountInternalStatements() const -> int { return own_statements_; }
  /// Log lines of all gateways, in order.
  auto logs() const -> const std::vector<LogAction>& { return logs_; }
  /// CountGroupReports about the group that gateways sent each other.
  auto CountGroupReports() const -> std::size_t { return reports_; }
  /// Fencing tokens of all orders, in the order of sending.
  auto OrderFencingTokens() const -> const std::vector<std::int64_t>& {
    return fences_;
  }

  /// Returns a line for each broken promise.
  auto FindViolations() const -> std::vector<std::string>;

  /// Returns the number of statements with success.
  auto CountSuccessfulStatements() const -> std::size_t;

 private:
  struct Link {
    std::string member;
    std::int64_t session = 0;
    /// Answers keep the order of their statements.
    Time last_answer{};
  };
  struct Node {
    std::unique_ptr<TimerService> timers;
    Outbox shell;
    GatewayOutbox out;
    std::unique_ptr<Gateway> gateway;
    std::map<ConnectionId, Link> links;
    ConnectionId store = 0;
    /// Outbound peer links: own id to (node, inbound id there).
    std::map<ConnectionId, std::pair<std::size_t, ConnectionId>> peers;
    std::map<ConnectionId, std::pair<std::size_t, ConnectionId>> inbound;
    std::vector<std::string> watched;
    std::int64_t life = 0;
    bool up = false;
    bool stopped = false;
    bool frozen = false;
    bool turned_away = false;
    Duration freeze_at_send{};
    std::int64_t lease = 0;
    std::vector<std::function<void()>> waiting;
    ConnectionId last_inbound = 0;
  };
  struct Client {
    std::size_t gateway = 0;
    std::int64_t life = 0;
    ConnectionId connection = 0;
    std::string database;
    std::vector<std::size_t> unanswered;
    std::optional<Time> transaction_began;
    std::map<std::string, std::string> values;
    bool open = false;
  };

  auto After(Duration delay, std::size_t node, std::function<void()> work)
      -> void;
  auto Reaches(std::size_t node, const std::string& member) const -> bool;
  auto HandOut(std::size_t node) -> void;
  auto Enter(std::size_t node, std::function<void()> work) -> void;
  auto Perform(std::size_t node, Action& action) -> void;
  auto Perform(std::size_t node, GatewayAction& action) -> void;
  auto OnStoreCall(std::size_t node, const StoreCall& call) -> void;
  auto PushStoreEvents() -> void;
  auto OpenPeer(std::size_t node, const OpenConnection& open) -> void;
  auto SendToPeer(std::size_t node, const SendMessage& send) -> void;
  auto OpenLinkTo(std::size_t node, const OpenMemberConnection& open) -> void;
  auto Greet(std::size_t node, const SendMemberHello& greet) -> void;
  auto RunStatement(std::size_t node, const SendStatement& send) -> void;
  auto OnOrder(std::size_t node, const OrderPromotion& order) -> void;
  auto OnAnswer(const AnswerClient& answer, std::size_t node) -> void;
  auto DropLink(std::size_t node, ConnectionId link, Reach reason) -> void;
  auto PutEndpoint(const std::string& member) -> void;
  auto UpdateRoles() -> void;

  GatewayFixtureOptions options_;
  TimerService timers_;
  StatementGroup group_;
  KeyValueStore store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Client> clients_;
  std::map<ConnectionId, std::size_t> client_by_connection_;
  std::vector<ClientStatement> said_;
  std::set<std::string> dark_;
  std::set<std::string> leaving_;
  std::set<std::pair<std::size_t, std::string>> cuts_;
  std::map<std::string, int> lost_answers_;
  bool store_up_ = true;
  std::optional<Duration> order_late_;
  bool lose_demotions_ = false;
  std::set<std::pair<std::size_t, std::size_t>> peer_cuts_;
  std::map<std::string, std::string> put_;
  int own_statements_ = 0;
  std::size_t reports_ = 0;
  std::size_t offers_ = 0;
  Duration store_stagger_{};
  std::vector<LogAction> logs_;
  std::vector<std::int64_t> fences_;
  ConnectionId last_client_ = 0;
};

}  // namespace kingcuplock
