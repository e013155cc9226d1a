#include "testing/gateway_fixture.h"

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Step of virtual time.
constexpr Milliseconds kStep{1};

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
  // As on the platform.
  out.timing.lease_ttl_ms = 3000;
  out.timing.lease_renew_ms = 900;
  return out;
}

}  // namespace

GatewayFixture::GatewayFixture(GatewayFixtureOptions options)
    : options_(options), group_("g0", {"m1", "m2", "m3"}, options.group) {
  ChangeRoutes(1, 0);
  UpdateRoles();
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
  table.groups.push_back({"g0", options_.group.connections, 0});
  store_.Put(std::string(kRoutesKey), EncodeJson(table, FrameFormat::kJson));
}

// ------------------------------------------------------------------- time

auto GatewayFixture::RunFor(Duration duration) -> void {
  const auto until = timers_.Now() + duration;
  while (timers_.Now() < until) {
    const auto now = timers_.Now() + kStep;
    timers_.AdvanceTo(now);
    UpdateRoles();
    store_.ExpireDueLeases(now.time_since_epoch() / Milliseconds(1));
    PushStoreEvents();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n]->up && !nodes_[n]->frozen) {
        nodes_[n]->timers->AdvanceTo(now);
        HandOut(n);
      }
    }
  }
}

// Runs `work` later, unless the gateway's life has ended by then.
auto GatewayFixture::After(Duration delay,
                           std::size_t node,
                           std::function<void()> work) -> void {
  const auto life = nodes_[node]->life;
  timers_.After(delay, [this, node, life, work = std::move(work)] {
    auto& it = *nodes_[node];
    if (it.up && it.life == life) {
      Enter(node, work);
    }
  });
}

auto GatewayFixture::Enter(std::size_t node, std::function<void()> work)
    -> void {
  auto& it = *nodes_[node];
  if (it.frozen) {
    it.waiting.push_back(std::move(work));
    return;
  }
  it.timers->AdvanceTo(timers_.Now());
  work();
  HandOut(node);
}

auto GatewayFixture::FreezeGateway(std::size_t gateway, bool frozen) -> void {
  auto& it = *nodes_.at(gateway);
  it.frozen = frozen;
  if (frozen) {
    return;
  }
  for (auto& work : std::exchange(it.waiting, {})) {
    if (it.up) {
      Enter(gateway, std::move(work));
    }
  }
}

auto GatewayFixture::FreezeBeforeNextSend(std::size_t gateway, Duration length)
    -> void {
  nodes_.at(gateway)->freeze_at_send = length;
}

auto GatewayFixture::PartitionPeers(std::size_t one,
                                    std::size_t other,
                                    bool cut) -> void {
  for (const auto& it : {std::pair(one, other), std::pair(other, one)}) {
    if (cut) {
      peer_cuts_.insert(it);
    } else {
      peer_cuts_.erase(it);
    }
  }
}

auto GatewayFixture::RevokeStoreAccess(std::size_t gateway) -> void {
  auto& it = *nodes_.at(gateway);
  it.turned_away = true;
  StoreCall call;
  call.op = StoreOp::kLeaseRevoke;
  call.lease = it.lease;
  store_.Handle(call, timers_.Now().time_since_epoch() / Milliseconds(1));
  PushStoreEvents();
}

auto GatewayFixture::RestoreStoreAccess(std::size_t gateway) -> void {
  nodes_.at(gateway)->turned_away = false;
}

auto GatewayFixture::PromotionDutyHolder() -> std::size_t {
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = "kingcuplock/owner/g0";
  const auto answer =
      store_.Handle(call, timers_.Now().time_since_epoch() / Milliseconds(1));
  const auto record = DecodeFrame(answer.items.at(0).value, FrameFormat::kJson)
                          .get<OwnerRecord>();
  return std::stoul(record.owner.substr(std::string("gw-").size()));
}

auto GatewayFixture::HandOut(std::size_t node) -> void {
  for (;;) {
    auto& it = *nodes_[node];
    if (!it.up) {
      return;
    }
    auto actions = it.shell.Take();
    auto statements = it.out.Take();
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

// ----------------------------------------------------------- life of nodes

auto GatewayFixture::StartGateway(std::size_t n) -> void {
  auto& node = *nodes_.at(n);
  ++node.life;
  node.up = true;
  node.stopped = false;
  node.timers = std::make_unique<TimerService>(timers_.Now());
  node.gateway = std::make_unique<Gateway>(
      Settings(n, options_.group.fenced), fmt::format("gw-{}@{}", n, node.life),
      *node.timers, node.out, node.shell,
      GatewayObserver{[](StatementError, Duration) {},
                      [](Duration, Duration) {}});
  node.gateway->Start();
  HandOut(n);
}

auto GatewayFixture::KillGateway(std::size_t n) -> void {
  auto& node = *nodes_.at(n);
  node.up = false;
  node.gateway.reset();
  node.frozen = false;
  node.turned_away = false;
  node.waiting.clear();
  node.out.Take();
  node.shell.Take();
  for (const auto& [id, link] : node.links) {
    group_.Close(link.session);
  }
  node.links.clear();
  node.watched.clear();
  node.timers.reset();
  for (auto& it : clients_) {
    if (it.gateway == n && it.life == node.life) {
      it.open = false;
    }
  }
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    auto& peer = *nodes_[other];
    if (!peer.up) {
      continue;
    }
    for (const auto& [own, far] : std::map(peer.peers)) {
      if (far.first == n) {
        After(options_.delay, other, [this, other, own = own] {
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
  HandOut(n);
}

// ----------------------------------------------------------------- clients

auto GatewayFixture::OpenClient(std::size_t gateway,
                                const std::string& database) -> std::size_t {
  const auto connection = ++last_client_ | kInboundBit;
  Client client;
  client.gateway = gateway;
  client.life = nodes_.at(gateway)->life;
  client.connection = connection;
  client.database = database;
  client.open = true;
  clients_.push_back(client);
  client_by_connection_[connection] = clients_.size() - 1;
  After(options_.delay, gateway, [this, gateway, connection, database] {
    nodes_[gateway]->gateway->OnClientHello(connection, {database, "user"});
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
  ClientStatement said;
  said.client = number;
  said.database = client.database;
  said.statement = statement;
  said.sent = timers_.Now();
  said.began = client.transaction_began.value_or(said.sent);
  if (statement.kind == StatementKind::kSetValue) {
    client.values[statement.name] = statement.arguments;
  }
  said.values = client.values;
  if (statement.kind == StatementKind::kBegin ||
      statement.kind == StatementKind::kBeginReadOnly) {
    client.transaction_began = said.sent;
  } else if (statement.kind == StatementKind::kCommit ||
             statement.kind == StatementKind::kRollback) {
    client.transaction_began.reset();
  }
  said_.push_back(std::move(said));
  client.unanswered.push_back(said_.size() - 1);
  After(options_.delay, client.gateway,
        [this, gateway = client.gateway, connection = client.connection,
         statement = std::move(statement)] {
          nodes_[gateway]->gateway->OnClientStatement(connection, statement);
        });
  return said_.size() - 1;
}

auto GatewayFixture::CloseClient(std::size_t number) -> void {
  auto& client = clients_.at(number);
  client.open = false;
  After(options_.delay, client.gateway,
        [this, gateway = client.gateway, connection = client.connection] {
          nodes_[gateway]->gateway->OnClientClosed(connection);
        });
}

auto GatewayFixture::OnAnswer(const AnswerClient& answer, std::size_t node)
    -> void {
  const auto it = client_by_connection_.find(answer.client);
  if (it == client_by_connection_.end() || answer.answers_hello) {
    return;
  }
  auto& client = clients_[it->second];
  if (client.gateway != node || client.unanswered.empty()) {
    return;
  }
  const auto number = client.unanswered.front();
  client.unanswered.erase(client.unanswered.begin());
  timers_.After(options_.delay, [this, number, answer = answer.answer] {
    said_[number].answer = answer;
    said_[number].answered = timers_.Now();
  });
}

// ------------------------------------------------------------------ faults

auto GatewayFixture::Reaches(std::size_t node, const std::string& member) const
    -> bool {
  return !dark_.contains(member) && !cuts_.contains({node, member});
}

auto GatewayFixture::CrashMember(const std::string& member) -> void {
  group_.Crash(member);
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    for (const auto& [id, link] : std::map(nodes_[n]->links)) {
      if (link.member == member) {
        After(options_.delay, n,
              [this, n, id = id] { DropLink(n, id, Reach::kRefused); });
      }
    }
  }
}

auto GatewayFixture::RestartMember(const std::string& member) -> void {
  group_.Restart(member);
}

auto GatewayFixture::SetUnresponsive(const std::string& member, bool dark)
    -> void {
  if (dark) {
    dark_.insert(member);
  } else {
    dark_.erase(member);
  }
}

auto GatewayFixture::PartitionFromMember(std::size_t gateway,
                                         const std::string& member,
                                         bool cut) -> void {
  if (cut) {
    cuts_.insert({gateway, member});
  } else {
    cuts_.erase({gateway, member});
  }
}

auto GatewayFixture::LoseAnswers(const std::string& member, int count) -> void {
  lost_answers_[member] = count;
}

auto GatewayFixture::SetMemberLeaving(const std::string& member) -> void {
  leaving_.insert(member);
  UpdateRoles();
}

}  // namespace kingcuplock
