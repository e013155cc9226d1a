#include "testing/gateway_fixture.h"

#include <algorithm>

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Step of virtual time.
constexpr Milliseconds kStep{1};
/// Time in ms in which an address that does not answer counts as silent.
constexpr Milliseconds kSilent{200};

auto Settings(std::size_t n) -> GatewaySettings {
  GatewaySettings out;
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
  return out;
}

}  // namespace

GatewayFixture::GatewayFixture(GatewayFixtureOptions options)
    : options_(options), group_("g0", {"m1", "m2", "m3"}, options.group) {
  RouteTable table;
  table.version = 1;
  const std::pair<std::string, ReadMode> routes[] = {
      {"db-primary", ReadMode::kPrimary},
      {"db-bounded", ReadMode::kBounded},
      {"db-session", ReadMode::kSession}};
  for (const auto& [database, mode] : routes) {
    table.routes.push_back({database, "g0", mode, options_.max_age_ms,
                            options_.timeout_ms, options_.target_ms, 1});
  }
  table.groups.push_back({"g0", options_.group.connections, 0});
  store_.Put(std::string(kRoutesKey), EncodeJson(table, FrameFormat::kJson));
  UpdateRoles();
  for (std::size_t n = 0; n < options_.gateways; ++n) {
    nodes_.push_back(std::make_unique<Node>());
    StartGateway(n);
  }
}

GatewayFixture::~GatewayFixture() = default;

// ------------------------------------------------------------------- time

auto GatewayFixture::RunFor(Duration duration) -> void {
  const auto until = timers_.Now() + duration;
  while (timers_.Now() < until) {
    const auto now = timers_.Now() + kStep;
    timers_.AdvanceTo(now);
    UpdateRoles();
    store_.Expire(now.time_since_epoch() / Milliseconds(1));
    PushStoreEvents();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n]->up) {
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
      it.timers->AdvanceTo(timers_.Now());
      work();
      HandOut(node);
    }
  });
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
      Settings(n), fmt::format("gw-{}@{}", n, node.life), *node.timers,
      node.out, node.shell, [](StatementError, Duration) {});
  node.gateway->Start();
  HandOut(n);
}

auto GatewayFixture::KillGateway(std::size_t n) -> void {
  auto& node = *nodes_.at(n);
  node.up = false;
  node.gateway.reset();
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

auto GatewayFixture::Say(std::size_t client,
                         std::string id,
                         StatementKind kind,
                         std::string arguments) -> std::size_t {
  SessionStatement statement;
  statement.id = std::move(id);
  statement.kind = kind;
  statement.arguments = std::move(arguments);
  return Say(client, std::move(statement));
}

auto GatewayFixture::Say(std::size_t number, SessionStatement statement)
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
  if (it == client_by_connection_.end() || answer.greets) {
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

auto GatewayFixture::SetDark(const std::string& member, bool dark) -> void {
  if (dark) {
    dark_.insert(member);
  } else {
    dark_.erase(member);
  }
}

auto GatewayFixture::Cut(std::size_t gateway,
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

auto GatewayFixture::SetLeaving(const std::string& member) -> void {
  leaving_.insert(member);
  UpdateRoles();
}

// ----------------------------------------------------------------- actions

auto GatewayFixture::Perform(std::size_t node, Action& action) -> void {
  auto& it = *nodes_[node];
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    if (open->kind == ConnectionKind::kStore) {
      it.store = open->connection;
      it.watched.clear();
      After(options_.delay, node, [this, node, id = open->connection] {
        nodes_[node]->gateway->Handle(ConnectionOpened{id});
      });
    } else {
      OpenPeer(node, *open);
    }
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    it.peers.erase(close->connection);
    After(options_.delay, node, [this, node, id = close->connection] {
      nodes_[node]->gateway->Handle(ConnectionClosed{id});
    });
  } else if (const auto* send = std::get_if<SendMessage>(&action)) {
    if (const auto* call = std::get_if<StoreCall>(&send->message)) {
      OnStoreCall(node, *call);
    } else {
      SendToPeer(node, *send);
    }
  } else if (std::holds_alternative<StopComplete>(action)) {
    it.stopped = true;
  }
}

auto GatewayFixture::Perform(std::size_t node, GatewayAction& action) -> void {
  if (const auto* open = std::get_if<OpenLink>(&action)) {
    OpenLinkTo(node, *open);
  } else if (const auto* greet = std::get_if<GreetMember>(&action)) {
    Greet(node, *greet);
  } else if (const auto* send = std::get_if<SendStatement>(&action)) {
    RunStatement(node, *send);
  } else if (const auto* close = std::get_if<CloseStream>(&action)) {
    const auto it = nodes_[node]->links.find(close->connection);
    if (it != nodes_[node]->links.end()) {
      group_.Close(it->second.session);
      nodes_[node]->links.erase(it);
    }
  } else if (const auto* answer = std::get_if<AnswerClient>(&action)) {
    OnAnswer(*answer, node);
  } else if (const auto* order = std::get_if<OrderPromotion>(&action)) {
    OnOrder(node, *order);
  }
}

auto GatewayFixture::OnStoreCall(std::size_t node, const StoreCall& call)
    -> void {
  timers_.After(options_.delay, [this, node, call] {
    if (!store_up_) {
      return;
    }
    auto& it = *nodes_[node];
    const auto answer =
        store_.Handle(call, timers_.Now().time_since_epoch() / Milliseconds(1));
    if (call.op == StoreOp::kWatch && it.up) {
      it.watched.push_back(call.key);
    }
    After(options_.delay, node, [this, node, answer] {
      MessageArrived event;
      event.connection = nodes_[node]->store;
      event.message = StoreReply{answer};
      nodes_[node]->gateway->Handle(event);
    });
    PushStoreEvents();
  });
}

auto GatewayFixture::PushStoreEvents() -> void {
  for (const auto& event : store_.TakeEvents()) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      const auto& prefixes = nodes_[n]->watched;
      const auto wanted = std::any_of(
          prefixes.begin(), prefixes.end(),
          [&](const auto& it) { return event.item.key.starts_with(it); });
      if (!wanted || !store_up_) {
        continue;
      }
      After(options_.delay, n, [this, n, event] {
        MessageArrived arrived;
        arrived.connection = nodes_[n]->store;
        arrived.message = StoreReply{event};
        nodes_[n]->gateway->Handle(arrived);
      });
    }
  }
}

auto GatewayFixture::OpenPeer(std::size_t node, const OpenConnection& open)
    -> void {
  const auto far = static_cast<std::size_t>(std::stoul(open.host));
  const auto up = far < nodes_.size() && nodes_[far]->up;
  if (!up) {
    After(options_.delay, node, [this, node, id = open.connection] {
      nodes_[node]->gateway->Handle(ConnectionClosed{id});
    });
    return;
  }
  const auto inbound = ++nodes_[far]->last_inbound | kInboundBit;
  nodes_[node]->peers[open.connection] = {far, inbound};
  nodes_[far]->inbound[inbound] = {node, open.connection};
  After(options_.delay, node, [this, node, id = open.connection] {
    nodes_[node]->gateway->Handle(ConnectionOpened{id});
  });
}

auto GatewayFixture::SendToPeer(std::size_t node, const SendMessage& send)
    -> void {
  auto& it = *nodes_[node];
  const auto inbound = (send.connection & kInboundBit) != 0;
  const auto& links = inbound ? it.inbound : it.peers;
  const auto found = links.find(send.connection);
  if (found == links.end() || !nodes_[found->second.first]->up) {
    return;
  }
  if (const auto* beat = std::get_if<Heartbeat>(&send.message)) {
    reports_ += beat->groups.size();
  }
  const auto [far, id] = found->second;
  MessageArrived event;
  event.connection = id;
  if (inbound) {
    if (const auto* beat = std::get_if<Heartbeat>(&send.message)) {
      event.message = PeerMessage{*beat};
    } else if (const auto* offer = std::get_if<RoutesOffer>(&send.message)) {
      event.message = PeerMessage{*offer};
    } else if (const auto* wanted = std::get_if<RoutesWanted>(&send.message)) {
      event.message = PeerMessage{*wanted};
    }
  } else {
    if (const auto* beat = std::get_if<Heartbeat>(&send.message)) {
      event.message = InboundMessage{*beat};
    } else if (const auto* offer = std::get_if<RoutesOffer>(&send.message)) {
      event.message = InboundMessage{*offer};
    } else if (const auto* wanted = std::get_if<RoutesWanted>(&send.message)) {
      event.message = InboundMessage{*wanted};
    }
  }
  After(options_.delay, far,
        [this, far = far, event] { nodes_[far]->gateway->Handle(event); });
}

// ----------------------------------------------------------------- members

auto GatewayFixture::OpenLinkTo(std::size_t node, const OpenLink& open)
    -> void {
  const auto member = open.host;
  nodes_[node]->links[open.link].member = member;
  const auto reaches = Reaches(node, member);
  const auto up = group_.IsUp(member);
  After(reaches ? options_.delay : Duration(kSilent), node,
        [this, node, member, link = open.link, reaches, up] {
          if (!nodes_[node]->links.contains(link)) {
            return;
          }
          if (reaches && up) {
            nodes_[node]->gateway->OnMemberOpened(link);
          } else {
            DropLink(node, link, reaches ? Reach::kRefused : Reach::kSilent);
          }
        });
}

auto GatewayFixture::DropLink(std::size_t node, ConnectionId id, Reach reason)
    -> void {
  auto& links = nodes_[node]->links;
  const auto it = links.find(id);
  if (it == links.end()) {
    return;
  }
  group_.Close(it->second.session);
  links.erase(it);
  nodes_[node]->gateway->OnMemberClosed(id, reason);
}

auto GatewayFixture::Greet(std::size_t node, const GreetMember& greet) -> void {
  After(2 * options_.delay, node, [this, node, greet] {
    auto& links = nodes_[node]->links;
    const auto it = links.find(greet.link);
    if (it == links.end() || !Reaches(node, it->second.member) ||
        !group_.IsUp(it->second.member)) {
      return;
    }
    const auto greeting = group_.Connect(it->second.member, greet.group,
                                         greet.member, timers_.Now());
    it->second.session = greeting.session;
    nodes_[node]->gateway->OnMemberAnswer(greet.link, greeting.answer);
  });
}

auto GatewayFixture::RunStatement(std::size_t node, const SendStatement& send)
    -> void {
  own_statements_ += send.statement.id.empty() ? 1 : 0;
  const auto it = nodes_[node]->links.find(send.link);
  if (it == nodes_[node]->links.end() || it->second.session == 0) {
    return;
  }
  const auto session = it->second.session;
  const auto member = it->second.member;
  timers_.After(options_.delay, [this, node, member, session, send] {
    const auto links = nodes_[node]->links.find(send.link);
    if (links == nodes_[node]->links.end() || !group_.IsUp(member) ||
        !Reaches(node, member) || links->second.session != session) {
      return;
    }
    const auto answer = group_.Handle(session, send.statement, timers_.Now());
    const auto slow = send.statement.kind == StatementKind::kRead ||
                      send.statement.kind == StatementKind::kWrite ||
                      send.statement.kind == StatementKind::kExecute ||
                      send.statement.kind == StatementKind::kCommit;
    auto& lost = lost_answers_[member];
    if (slow && lost > 0) {
      --lost;
      return;
    }
    const auto done =
        std::max(links->second.last_answer,
                 timers_.Now() + (slow ? options_.work : Duration::zero()));
    links->second.last_answer = done;
    After(done - timers_.Now() + options_.delay, node,
          [this, node, member, send, answer] {
            if (nodes_[node]->links.contains(send.link) &&
                Reaches(node, member)) {
              nodes_[node]->gateway->OnMemberAnswer(send.link, answer);
            }
          });
  });
}

auto GatewayFixture::OnOrder(std::size_t node, const OrderPromotion& order)
    -> void {
  fences_.push_back(order.fence);
  if (order_late_) {
    timers_.After(*order_late_, [this, order] {
      group_.Order(order.member, order.fence, timers_.Now());
    });
    After(Milliseconds(600), node, [this, node, order] {
      nodes_[node]->gateway->OnPromotionAnswered(order.id,
                                                 PromotionOutcome::kLost);
    });
    return;
  }
  timers_.After(options_.delay, [this, node, order] {
    const auto outcome = group_.Order(order.member, order.fence, timers_.Now());
    After(options_.delay, node, [this, node, order, outcome] {
      nodes_[node]->gateway->OnPromotionAnswered(
          order.id, outcome == OrderOutcome::kAccepted
                        ? PromotionOutcome::kAccepted
                        : PromotionOutcome::kRejected);
    });
  });
}

auto GatewayFixture::PutEndpoint(const std::string& member) -> void {
  EndpointEntry entry;
  entry.member = member;
  entry.group = "g0";
  entry.host = member;
  entry.port = 1;
  entry.data_centre =
      "dc-" + std::string(1, static_cast<char>(member.back() - 1));
  entry.slots = 2;
  entry.leaving = leaving_.contains(member);
  entry.leads = group_.Leads(member, timers_.Now());
  const auto text = EncodeJson(entry, FrameFormat::kJson);
  if (std::exchange(put_[member], text) != text) {
    store_.Put(std::string(kEndpointPrefix) + member, text);
  }
}

auto GatewayFixture::UpdateRoles() -> void {
  for (const auto& it : group_.members()) {
    if (group_.IsUp(it) && it != options_.hidden) {
      PutEndpoint(it);
    }
  }
}

}  // namespace kingcuplock
