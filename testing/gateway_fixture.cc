#include "testing/gateway_fixture.h"

#include <algorithm>

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"
#include "kingcuplock/tenants/key_digest.h"

namespace kingcuplock {
namespace {

/// Step of the virtual time.
constexpr Milliseconds kTimeStep{1};

auto Settings(std::size_t n, bool fenced) -> GatewaySettings {
  GatewaySettings out;
  out.promotions_fenced = fenced;
  out.instance = fmt::format("gw-{}", n);
  out.data_centre = fmt::format("dc-{}", n % 3);
  out.listen = {"10.0.0.1", 1};
  out.ready = {"10.0.0.1", 2};
  out.peer_listen = {std::to_string(n), 3};
  out.metrics_listen = {"10.0.0.1", 4};
  out.store = {"10.0.0.9", 5};
  out.promotion = {"10.0.0.9", 6};
  out.timing.heartbeat_ms = 1000;
  out.timing.peer_timeout_ms = 2500;
  // The platform's lease settings.
  out.timing.lease_ttl_ms = 3000;
  out.timing.lease_renew_ms = 900;
  return out;
}

}  // namespace

GatewayFixture::GatewayFixture(GatewayFixtureOptions options)
    : options_(options), group_("g0", {"m1", "m2", "m3"}, options.group) {
  ChangeRoutes(1, 0);
  PublishEndpoints();
  for (std::size_t n = 0; n < options_.gateways; ++n) {
    nodes_.push_back(std::make_unique<Node>());
    StartGateway(n);
  }
}

GatewayFixture::~GatewayFixture() = default;

auto GatewayFixture::ChangeRoutes(std::int64_t version, std::size_t routes)
    -> void {
  RouteTable table;
  table.version = version;
  const auto add = [&](std::string database, ReadMode mode) {
    table.routes.push_back({std::move(database), "g0", mode,
                            options_.max_age_ms, options_.timeout_ms,
                            options_.target_ms, 1});
  };
  add("db-primary", ReadMode::kPrimary);
  add("db-bounded", ReadMode::kBounded);
  add("db-session", ReadMode::kSession);
  for (std::size_t n = 0; n < routes; ++n) {
    add(fmt::format("db-{}", n), ReadMode::kBounded);
  }
  table.checks_keys = !options_.tenants.empty();
  table.tenants = options_.tenants;
  table.groups.push_back(
      {"g0", options_.group.connections, options_.group.synchronous_replicas});
  newest_routes_ = EncodeJson(table, FrameFormat::kJson);
  store_.Put(std::string(kRoutesKey), newest_routes_);
}

// ------------------------------------------------------------------- time

auto GatewayFixture::RunFor(Duration duration) -> void {
  const auto until = timers_.Now() + duration;
  while (timers_.Now() < until) {
    const auto now = timers_.Now() + kTimeStep;
    timers_.AdvanceTo(now);
    PublishEndpoints();
    store_copies_.TakeIfDue(store_, NowMs());
    store_.ExpireDueLeases(NowMs());
    PushStoreEvents();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n]->up && !nodes_[n]->frozen) {
        nodes_[n]->timers->AdvanceTo(now);
        PerformActions(n);
      }
    }
  }
}

// Runs `work` after `delay`, unless the gateway has been killed by then.
auto GatewayFixture::RunAfter(Duration delay,
                              std::size_t node,
                              std::function<void()> work) -> void {
  const auto incarnation = nodes_[node]->incarnation;
  timers_.After(delay, [this, node, incarnation, work = std::move(work)] {
    auto& it = *nodes_[node];
    if (it.up && it.incarnation == incarnation) {
      RunOnGateway(node, work);
    }
  });
}

auto GatewayFixture::RunOnGateway(std::size_t node, std::function<void()> work)
    -> void {
  auto& it = *nodes_[node];
  if (it.frozen) {
    it.deferred.push_back(std::move(work));
    return;
  }
  it.timers->AdvanceTo(timers_.Now());
  work();
  PerformActions(node);
}

auto GatewayFixture::FreezeGateway(std::size_t gateway, bool frozen) -> void {
  auto& it = *nodes_.at(gateway);
  it.frozen = frozen;
  if (frozen) {
    return;
  }
  for (auto& work : std::exchange(it.deferred, {})) {
    if (it.up) {
      RunOnGateway(gateway, std::move(work));
    }
  }
}

auto GatewayFixture::FreezeBeforeNextSend(std::size_t gateway,
                                          Duration duration) -> void {
  nodes_.at(gateway)->freeze_before_next_send = duration;
}

auto GatewayFixture::PartitionPeers(std::size_t one,
                                    std::size_t other,
                                    bool partitioned) -> void {
  for (const auto& it : {std::pair(one, other), std::pair(other, one)}) {
    if (partitioned) {
      peer_partitions_.insert(it);
    } else {
      peer_partitions_.erase(it);
    }
  }
}

auto GatewayFixture::RevokeStoreAccess(std::size_t gateway) -> void {
  auto& it = *nodes_.at(gateway);
  it.store_access_revoked = true;
  StoreCall call;
  call.op = StoreOp::kLeaseRevoke;
  call.lease = it.lease;
  store_.Handle(call, NowMs());
  PushStoreEvents();
}

auto GatewayFixture::RestoreStoreAccess(std::size_t gateway) -> void {
  nodes_.at(gateway)->store_access_revoked = false;
}

auto GatewayFixture::PromotionDutyHolder() -> std::size_t {
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = "kingcuplock/owner/g0";
  const auto answer = store_.Handle(call, NowMs());
  const auto record = DecodeFrame(answer.items.at(0).value, FrameFormat::kJson)
                          .get<OwnerRecord>();
  return std::stoul(record.owner.substr(std::string("gw-").size()));
}

auto GatewayFixture::PerformActions(std::size_t node) -> void {
  for (;;) {
    auto& it = *nodes_[node];
    if (!it.up) {
      return;
    }
    auto actions = it.outbox.Take();
    auto statements = it.gateway_outbox.Take();
    if (actions.empty() && statements.empty()) {
      return;
    }
    for (auto& action : actions) {
      Perform(node, action);
    }
    for (auto& action : statements) {
      Perform(node, action);
    }
  }
}

// ----------------------------------------------- start and stop of gateways

auto GatewayFixture::StartGateway(std::size_t n) -> void {
  auto& node = *nodes_.at(n);
  ++node.incarnation;
  node.up = true;
  node.stopped = false;
  node.timers = std::make_unique<TimerService>(timers_.Now());
  node.gateway =
      std::make_unique<Gateway>(Settings(n, options_.group.fenced),
                                fmt::format("gw-{}@{}", n, node.incarnation),
                                *node.timers, node.gateway_outbox, node.outbox,
                                GatewayObserver{[](StatementError, Duration) {},
                                                [](Duration, Duration) {}});
  node.gateway->Start();
  PerformActions(n);
}

auto GatewayFixture::KillGateway(std::size_t n) -> void {
  auto& node = *nodes_.at(n);
  node.up = false;
  node.gateway.reset();
  node.frozen = false;
  node.store_access_revoked = false;
  node.deferred.clear();
  node.gateway_outbox.Take();
  node.outbox.Take();
  for (const auto& [id, link] : node.links) {
    group_.Close(link.session);
  }
  node.links.clear();
  node.watched_prefixes.clear();
  node.timers.reset();
  for (auto& it : clients_) {
    if (it.gateway == n && it.incarnation == node.incarnation) {
      it.open = false;
    }
  }
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    auto& peer = *nodes_[other];
    if (!peer.up) {
      continue;
    }
    for (const auto& [own, remote] : std::map(peer.peers)) {
      if (remote.first == n) {
        RunAfter(options_.delay, other, [this, other, own = own] {
          nodes_[other]->peers.erase(own);
          nodes_[other]->gateway->Handle(ConnectionClosed{own});
        });
      }
    }
  }
  node.peers.clear();
  node.inbound.clear();
}

auto GatewayFixture::StopGateway(std::size_t n) -> void {
  nodes_.at(n)->gateway->BeginStop();
  PerformActions(n);
}

// ----------------------------------------------------------------- clients

auto GatewayFixture::OpenClient(std::size_t gateway,
                                const std::string& database,
                                const std::string& key) -> std::size_t {
  const auto connection = ++last_client_connection_ | kInboundBit;
  Client client;
  client.gateway = gateway;
  client.incarnation = nodes_.at(gateway)->incarnation;
  client.connection = connection;
  client.database = database;
  for (const auto& it : options_.tenants) {
    if (std::find(it.key_digests.begin(), it.key_digests.end(),
                  DigestOfKey(key)) != it.key_digests.end()) {
      client.tenant = it.name;
    }
  }
  client.open = true;
  clients_.push_back(client);
  client_by_connection_[connection] = clients_.size() - 1;
  RunAfter(options_.delay, gateway, [this, gateway, connection, database, key] {
    nodes_[gateway]->gateway->OnClientHello(connection,
                                            {database, DigestOfKey(key)});
  });
  return clients_.size() - 1;
}

auto GatewayFixture::SendClientStatement(std::size_t client,
                                         std::string id,
                                         StatementKind kind,
                                         std::string arguments) -> std::size_t {
  SessionStatement statement;
  statement.id = std::move(id);
  statement.kind = kind;
  statement.arguments = std::move(arguments);
  return SendClientStatement(client, std::move(statement));
}

auto GatewayFixture::SendClientStatement(std::size_t number,
                                         SessionStatement statement)
    -> std::size_t {
  auto& client = clients_.at(number);
  ClientStatement record;
  record.client = number;
  record.database = client.database;
  record.statement = statement;
  record.sent = timers_.Now();
  record.began = client.transaction_began.value_or(record.sent);
  if (statement.kind == StatementKind::kSetValue) {
    client.values[statement.name] = statement.arguments;
  }
  record.values = client.values;
  if (statement.kind == StatementKind::kBegin ||
      statement.kind == StatementKind::kBeginReadOnly) {
    client.transaction_began = record.sent;
  } else if (statement.kind == StatementKind::kCommit ||
             statement.kind == StatementKind::kRollback) {
    client.transaction_began.reset();
  }
  client_statements_.push_back(std::move(record));
  client.unanswered.push_back(client_statements_.size() - 1);
  RunAfter(options_.delay, client.gateway,
           [this, number, gateway = client.gateway,
            statement = std::move(statement)] {
             const auto& it = clients_.at(number);
             if (!it.closed_by_gateway) {
               nodes_[gateway]->gateway->OnClientStatement(it.connection,
                                                           statement);
             }
           });
  return client_statements_.size() - 1;
}

auto GatewayFixture::MarkClientClosed(ConnectionId connection) -> void {
  if (const auto it = client_by_connection_.find(connection);
      it != client_by_connection_.end()) {
    clients_[it->second].closed_by_gateway = true;
  }
}

auto GatewayFixture::CloseClient(std::size_t number) -> void {
  auto& client = clients_.at(number);
  client.open = false;
  RunAfter(options_.delay, client.gateway,
           [this, gateway = client.gateway, connection = client.connection] {
             nodes_[gateway]->gateway->OnClientClosed(connection);
           });
}

auto GatewayFixture::OnAnswer(const AnswerClient& answer, std::size_t node)
    -> void {
  const auto it = client_by_connection_.find(answer.client);
  if (it == client_by_connection_.end()) {
    return;
  }
  auto& client = clients_[it->second];
  if (answer.answers_hello) {
    client.hello_error = answer.answer.error;
    return;
  }
  if (client.gateway != node || client.unanswered.empty()) {
    return;
  }
  const auto number = client.unanswered.front();
  client.unanswered.erase(client.unanswered.begin());
  timers_.After(options_.delay, [this, number, answer = answer.answer] {
    client_statements_[number].answer = answer;
    client_statements_[number].answered = timers_.Now();
  });
}

// ------------------------------------------------------------------ faults

auto GatewayFixture::Reaches(std::size_t node, const std::string& member) const
    -> bool {
  return !unresponsive_members_.contains(member) &&
         !member_partitions_.contains({node, member});
}

auto GatewayFixture::CrashMember(const std::string& member) -> void {
  group_.Crash(member);
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    for (auto& [id, link] : nodes_[n]->links) {
      if (link.member == member) {
        // The connection handles nothing more, even if the member is back
        // before its end arrives.
        link.session = 0;
        RunAfter(options_.delay, n,
                 [this, n, id = id] { DropLink(n, id, Reach::kRefused); });
      }
    }
  }
}

auto GatewayFixture::RestartMember(const std::string& member) -> void {
  if (group_.IsUp(member)) {
    CrashMember(member);
  }
  group_.Restart(member);
}

auto GatewayFixture::SetUnresponsive(const std::string& member,
                                     bool unresponsive) -> void {
  if (unresponsive) {
    unresponsive_members_.insert(member);
  } else {
    unresponsive_members_.erase(member);
  }
}

auto GatewayFixture::PartitionFromMember(std::size_t gateway,
                                         const std::string& member,
                                         bool partitioned) -> void {
  if (partitioned) {
    member_partitions_.insert({gateway, member});
  } else {
    member_partitions_.erase({gateway, member});
  }
}

auto GatewayFixture::LoseAnswers(const std::string& member, int count) -> void {
  answers_to_lose_[member] = count;
}

auto GatewayFixture::SetMemberLeaving(const std::string& member) -> void {
  leaving_members_.insert(member);
  PublishEndpoints();
}

}  // namespace kingcuplock
