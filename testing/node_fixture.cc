#include "testing/node_fixture.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "kingcuplock/schema/codec.h"
#include "testing/node_fixture_names.h"

namespace kingcuplock {
namespace {

/// Port of the first instance, and port before that of the first member.
/// Nothing listens there; ports only identify instances and members.
constexpr std::int64_t kInstancePort = 7400;
constexpr std::int64_t kMemberPort = 7500;
/// Interval of replication and of the expiry of leases.
constexpr Duration kReplicateInterval{1000};

auto MakeKind(const std::string& name, Access access, std::int64_t max_age_ms)
    -> KindConfig {
  KindConfig kind;
  kind.name = name;
  kind.access = access;
  kind.max_age_ms = max_age_ms;
  return kind;
}

auto MakeManifest(const NodeFixtureOptions& options) -> Manifest {
  Manifest manifest;
  manifest.version = 1;
  manifest.deployment = "test";
  auto port = kMemberPort;
  for (std::size_t n = 0; n < options.databases; ++n) {
    DatabaseConfig database;
    database.name = "db" + std::to_string(n);
    for (auto member = 1; member <= 3; ++member) {
      database.members.push_back({database.name + "-" + std::to_string(member),
                                  "127.0.0.1", ++port, "dc-1"});
    }
    database.slots = options.slots;
    database.connections = options.connections;
    database.acknowledgement = options.acknowledgement;
    database.marker_retention_ms = options.marker_retention_ms;
    database.kinds = {MakeKind("write", Access::kWrite, 0),
                      MakeKind("fresh", Access::kRead, 0),
                      MakeKind("stale", Access::kRead, options.stale_age_ms)};
    manifest.databases.push_back(std::move(database));
  }
  return manifest;
}

/// Returns whether the operation occupies a statement slot.
auto NeedsSlot(MemberOp op) -> bool {
  return op == MemberOp::kRead || op == MemberOp::kExecute ||
         op == MemberOp::kLookup || op == MemberOp::kStatement ||
         op == MemberOp::kCommit || op == MemberOp::kPrune;
}

}  // namespace

NodeFixture::NodeFixture(const NodeFixtureOptions& options)
    : options_(options),
      random_(options.seed),
      manifest_(MakeManifest(options)),
      nodes_(options.nodes) {
  PublishManifest(manifest_);
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    nodes_[n].port = kInstancePort + static_cast<std::int64_t>(n);
  }
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    StartNode(n);
  }
  ReplicateLoop();
}

NodeFixture::~NodeFixture() = default;

// ------------------------------------------------------------------- time

void NodeFixture::Schedule(Duration delay, std::function<void()> work) {
  events_.push({now_ + delay, ++last_order_, std::move(work)});
}

auto NodeFixture::RandomDelay() -> Duration {
  const auto least = options_.min_delay_us;
  return Duration(std::uniform_int_distribution<std::int64_t>(
      least, std::max(options_.max_delay_us, least))(random_));
}

void NodeFixture::AdvanceToNextEvent(Time until) {
  auto next = until;
  if (!events_.empty()) {
    next = std::min(next, events_.top().due);
  }
  for (const auto& it : nodes_) {
    if (it.alive && !it.paused && it.timers->NextDue()) {
      next = std::min(next, std::max(*it.timers->NextDue(), now_));
    }
  }
  now_ = next;
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    if (nodes_[n].alive && !nodes_[n].paused) {
      nodes_[n].timers->AdvanceTo(now_);
      PerformActions(n);
    }
  }
  while (!events_.empty() && events_.top().due <= now_) {
    const auto work = events_.top().work;
    events_.pop();
    work();
  }
}

void NodeFixture::RunFor(Duration duration) {
  const auto until = now_ + duration;
  while (now_ < until) {
    AdvanceToNextEvent(until);
  }
}

auto NodeFixture::RunUntil(const std::function<bool()>& done,
                           Duration max_duration) -> bool {
  const auto until = now_ + max_duration;
  while (!done()) {
    if (now_ >= until) {
      return false;
    }
    AdvanceToNextEvent(until);
  }
  return true;
}

void NodeFixture::RunUntilServing() {
  const auto serving = [this] {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n].node->HasManifest()) {
        return false;
      }
    }
    return std::all_of(
        manifest_.databases.begin(), manifest_.databases.end(),
        [this](const auto& it) { return OwnerOf(it.name) < nodes_.size(); });
  };
  if (!RunUntil(serving, Milliseconds(10'000))) {
    throw std::runtime_error(
        "after 10 s a database has no owner or an instance no manifest");
  }
}

void NodeFixture::ReplicateLoop() {
  for (auto& [name, group] : groups_) {
    group.Replicate(now_.time_since_epoch().count());
  }
  AnswerPositionWaiters();
  store_copies_.TakeIfDue(store_, now_.time_since_epoch().count() / 1000);
  store_.ExpireDueLeases(now_.time_since_epoch().count() / 1000);
  PushStoreEvents();
  Schedule(kReplicateInterval, [this] { ReplicateLoop(); });
}

// ------------------------------------------------------------------ nodes

void NodeFixture::StartNode(std::size_t node) {
  auto& it = nodes_[node];
  ProxySettings settings;
  settings.instance = internal::InstanceName(node);
  settings.deployment = "test";
  settings.listen = {"127.0.0.1", it.port};
  settings.store = {"127.0.0.1", 1};
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    settings.peers.push_back(
        {internal::InstanceName(n), "127.0.0.1", nodes_[n].port});
  }
  it.links.clear();
  it.deferred_events.clear();
  it.node.reset();
  it.timers = std::make_unique<TimerService>(now_);
  it.timers->SetWallTime(
      std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()));
  it.outbox = std::make_unique<Outbox>();
  it.node = std::make_unique<Node>(
      settings, settings.instance + "@" + std::to_string(++it.incarnation),
      *it.timers, *it.outbox, options_.manifest_rules);
  it.alive = true;
  it.paused = false;
  it.stopped = false;
  it.node->Start();
  PerformActions(node);
}

void NodeFixture::Deliver(std::size_t node, const NodeEvent& event) {
  auto& it = nodes_[node];
  if (!it.alive) {
    return;
  }
  if (it.paused) {
    it.deferred_events.push_back(event);
    return;
  }
  it.timers->AdvanceTo(now_);
  it.node->Handle(event);
  PerformActions(node);
}

void NodeFixture::PerformActions(std::size_t node) {
  for (auto& it : nodes_[node].outbox->Take()) {
    Perform(node, it);
  }
}

void NodeFixture::Perform(std::size_t node, Action& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    OpenLink(node, *open);
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    CloseLink(node, close->connection);
  } else if (const auto* send = std::get_if<SendMessage>(&action)) {
    DispatchMessage(node, *send);
  } else if (std::holds_alternative<StopComplete>(action)) {
    nodes_[node].stopped = true;
    Schedule(Duration::zero(), [this, node] { KillNode(node); });
  } else if (const auto* log = std::get_if<LogAction>(&action)) {
    ++logged_event_counts_[log->event];
  }
}

void NodeFixture::OpenLink(std::size_t node, const OpenConnection& open) {
  Link link;
  link.kind = open.kind;
  const auto id = open.connection;
  if (open.kind == ConnectionKind::kPeer) {
    link.peer = FindNode(open.port);
    link.remote_id = ++last_inbound_ | kInboundBit;
  } else if (open.kind == ConnectionKind::kMember) {
    link.member = member_ports_.at(open.port);
  }
  auto reachable = true;
  auto silent = false;
  if (open.kind == ConnectionKind::kMember) {
    reachable = group(internal::DatabaseOfMember(link.member))
                    .member(link.member)
                    .alive;
    silent = !Reaches(node, link.member);
  } else if (open.kind == ConnectionKind::kPeer) {
    reachable = link.peer < nodes_.size() && nodes_[link.peer].alive;
    silent = nodes_[node].partitioned_peers.contains(link.peer);
  }
  nodes_[node].links[id] = link;
  const auto incarnation = nodes_[node].incarnation;
  if (silent) {
    Schedule(Milliseconds(open.timeout_ms), [this, node, id, incarnation] {
      if (nodes_[node].incarnation == incarnation &&
          nodes_[node].links.erase(id) > 0) {
        Deliver(node, ConnectionClosed{id});
      }
    });
    return;
  }
  const auto accept = open.kind == ConnectionKind::kMember && reachable
                          ? Duration(options_.open_us)
                          : Duration::zero();
  Schedule(RandomDelay() + RandomDelay() + accept,
           [this, node, id, reachable, incarnation] {
             auto* found = FindLink(node, id);
             if (found == nullptr || nodes_[node].incarnation != incarnation) {
               return;
             }
             if (!reachable) {
               nodes_[node].links.erase(id);
               Deliver(node, ConnectionClosed{id});
               return;
             }
             found->open = true;
             if (found->kind == ConnectionKind::kMember) {
               UpdatePeakConnections(found->member);
             } else if (found->kind == ConnectionKind::kPeer) {
               inbound_[{found->peer, found->remote_id}] = {false, node, id};
             }
             Deliver(node, ConnectionOpened{id});
           });
}

void NodeFixture::CloseLink(std::size_t node, ConnectionId connection) {
  const auto* link = FindLink(node, connection);
  if (link == nullptr) {
    return;
  }
  CloseRemoteEnd(*link);
  nodes_[node].links.erase(connection);
  watches_.erase({node, connection});
  const auto incarnation = nodes_[node].incarnation;
  Schedule(Duration::zero(), [this, node, connection, incarnation] {
    if (nodes_[node].incarnation == incarnation) {
      Deliver(node, ConnectionClosed{connection});
    }
  });
}

// Closes the remote end of a peer link.
void NodeFixture::CloseRemoteEnd(const Link& link) {
  if (link.kind != ConnectionKind::kPeer || !link.open) {
    return;
  }
  Schedule(RandomDelay(), [this, peer = link.peer, remote = link.remote_id] {
    inbound_.erase({peer, remote});
    Deliver(peer, ConnectionClosed{remote});
  });
}

auto NodeFixture::FindLink(std::size_t node, ConnectionId id) -> Link* {
  const auto it = nodes_[node].links.find(id);
  return it == nodes_[node].links.end() ? nullptr : &it->second;
}

void NodeFixture::DispatchMessage(std::size_t node, const SendMessage& send) {
  const auto id = send.connection;
  if ((id & kInboundBit) != 0) {
    SendToInbound(node, id, send.message);
    return;
  }
  auto* link = FindLink(node, id);
  if (link == nullptr || !link->open || link->silent) {
    return;
  }
  if (const auto* request = std::get_if<MemberRequest>(&send.message)) {
    SendToMember(node, id, *request);
  } else if (const auto* call = std::get_if<StoreCall>(&send.message)) {
    SendToStore(node, id, *call);
  } else {
    SendToPeer(node, id, send.message);
  }
}

// ---------------------------------------------------------------- members

auto NodeFixture::Reaches(std::size_t node, const std::string& member) -> bool {
  return !nodes_[node].partitioned_members.contains(member);
}

void NodeFixture::SendToMember(std::size_t node,
                               ConnectionId id,
                               const MemberRequest& request) {
  const auto service =
      NeedsSlot(request.op) ? Duration(options_.service_us) : Duration::zero();
  const auto member = FindLink(node, id)->member;
  Schedule(RandomDelay(), [this, node, id, request, service, member] {
    if (!Reaches(node, member)) {
      return;
    }
    if (service == Duration::zero()) {
      RunAtMember(node, id, member, request);
      return;
    }
    peak_running_statements_ =
        std::max(peak_running_statements_, ++running_statements_[member]);
    Schedule(service, [this, node, id, request, member] {
      --running_statements_[member];
      RunAtMember(node, id, member, request);
    });
  });
}

// A request that has reached the member runs even if its connection is closed.
void NodeFixture::RunAtMember(std::size_t node,
                              ConnectionId id,
                              const std::string& name,
                              const MemberRequest& request) {
  auto& target = group(internal::DatabaseOfMember(name));
  if (!target.member(name).alive) {
    return;
  }
  if (target.member(name).paused) {
    deferred_by_member_[name].push_back([this, node, id, name, request] {
      RunAtMember(node, id, name, request);
    });
    return;
  }
  if (request.op == MemberOp::kAwaitPosition) {
    position_waiters_.push_back(
        {node, id, request, now_ + Milliseconds(request.wait_ms)});
    AnswerPositionWaiters();
    return;
  }
  const auto now_us = now_.time_since_epoch().count();
  // An open transaction ends with its connection.
  TransactionSession no_transaction;
  auto* link = FindLink(node, id);
  auto& session = link == nullptr ? no_transaction : link->transaction;
  auto forwarded = request;
  if (!options_.markers && request.op != MemberOp::kLookup) {
    forwarded.request_id.clear();
  }
  SendMemberAnswer(node, id, name,
                   session.Handle(target, name, forwarded, now_us));
  target.Replicate(now_us);
  AnswerPositionWaiters();
}

void NodeFixture::SendMemberAnswer(std::size_t node,
                                   ConnectionId id,
                                   const std::string& member,
                                   const MemberAnswer& answer) {
  Schedule(RandomDelay(), [this, node, id, member, answer] {
    auto* link = FindLink(node, id);
    if (link != nullptr && !link->silent && Reaches(node, member)) {
      Deliver(node, MessageArrived{id, answer});
    }
  });
}

void NodeFixture::AnswerPositionWaiters() {
  for (auto& it : std::exchange(position_waiters_, {})) {
    auto* link = FindLink(it.node, it.connection);
    if (link == nullptr) {
      continue;
    }
    const auto name = link->member;
    auto& member = group(internal::DatabaseOfMember(name)).member(name);
    if (!member.alive) {
      continue;
    }
    const auto reached =
        static_cast<std::int64_t>(member.log.size()) >= it.request.position;
    if (member.paused || (!reached && now_ < it.until)) {
      position_waiters_.push_back(it);
      continue;
    }
    SendMemberAnswer(
        it.node, it.connection, name,
        DatabaseGroup::MakeAnswer(member, it.request.id, MemberStatus::kDone));
  }
}

void NodeFixture::UpdatePeakConnections(const std::string& member) {
  std::int64_t open = 0;
  for (const auto& node : nodes_) {
    for (const auto& [id, link] : node.links) {
      open += node.alive && link.open && link.member == member ? 1 : 0;
    }
  }
  peak_open_connections_ = std::max(peak_open_connections_, open);
}

void NodeFixture::CloseLinksTo(const std::string& member) {
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    std::vector<ConnectionId> ids;
    for (const auto& [id, link] : nodes_[n].links) {
      if (link.member == member && Reaches(n, member)) {
        ids.push_back(id);
      }
    }
    for (const auto it : ids) {
      CloseLink(n, it);
    }
  }
}

// ------------------------------------------------------------------ store

void NodeFixture::SendToStore(std::size_t node,
                              ConnectionId id,
                              const StoreCall& call) {
  Schedule(RandomDelay() + store_delay_, [this, node, id, call] {
    if (store_down_ || nodes_[node].partitioned_from_store) {
      return;
    }
    if (call.op == StoreOp::kWatch) {
      watches_[{node, id}].insert(call.key);
    }
    const auto answer =
        store_.Handle(call, now_.time_since_epoch().count() / 1000);
    PushStoreEvents();
    if (store_answers_to_lose_ > 0 && call.op != StoreOp::kWatch) {
      --store_answers_to_lose_;
      return;
    }
    Schedule(RandomDelay(), [this, node, id, answer] {
      if (FindLink(node, id) != nullptr &&
          !nodes_[node].partitioned_from_store) {
        Deliver(node, MessageArrived{id, StoreReply(answer)});
      }
    });
  });
}

void NodeFixture::PushStoreEvents() {
  for (const auto& event : store_.TakeEvents()) {
    if (store_down_) {
      continue;
    }
    for (const auto& [key, prefixes] : watches_) {
      const auto wanted = std::any_of(
          prefixes.begin(), prefixes.end(),
          [&](const auto& it) { return event.item.key.starts_with(it); });
      const auto [node, id] = key;
      if (!wanted || nodes_[node].partitioned_from_store ||
          nodes_[node].lose_watch_events) {
        continue;
      }
      Schedule(RandomDelay(), [this, node = node, id = id, event] {
        if (FindLink(node, id) != nullptr) {
          Deliver(node, MessageArrived{id, StoreReply(event)});
        }
      });
    }
  }
}

void NodeFixture::PartitionFromStore(std::size_t node, bool partitioned) {
  nodes_[node].partitioned_from_store = partitioned;
}

// -------------------------------------------------------- peers and callers

void NodeFixture::SendToPeer(std::size_t node,
                             ConnectionId id,
                             const OutboundMessage& message) {
  const auto* link = FindLink(node, id);
  const auto peer = link->peer;
  const auto remote = link->remote_id;
  // Converts to JSON and back, as between processes.
  const auto json =
      std::visit([](const auto& it) { return nlohmann::json(it); }, message);
  Schedule(RandomDelay(), [this, node, peer, remote, json] {
    if (!nodes_[node].partitioned_peers.contains(peer)) {
      Deliver(peer, MessageArrived{remote, ReadInboundMessage(json)});
    }
  });
}

void NodeFixture::SendToInbound(std::size_t node,
                                ConnectionId id,
                                const OutboundMessage& message) {
  const auto it = inbound_.find({node, id});
  if (it == inbound_.end()) {
    return;
  }
  const auto to = it->second;
  if (!to.is_caller) {
    const auto json = std::visit(
        [](const auto& part) { return nlohmann::json(part); }, message);
    Schedule(RandomDelay(), [this, node, to, json] {
      const auto* link = FindLink(to.peer, to.peer_connection);
      if (link != nullptr &&
          !nodes_[node].partitioned_peers.contains(to.peer)) {
        Deliver(to.peer,
                MessageArrived{to.peer_connection, ReadPeerMessage(json)});
      }
    });
    return;
  }
  if (const auto* status = std::get_if<InstanceStatus>(&message)) {
    statuses_[node] = *status;
  } else if (const auto* answer = std::get_if<CallerAnswer>(&message)) {
    const auto& [request, asked] = open_requests_.at(id);
    answers_.push_back({id, request, *answer, asked, now_});
  }
}

auto NodeFixture::Send(std::size_t node, const CallerRequest& request)
    -> std::uint64_t {
  const auto id = ++last_inbound_ | kInboundBit;
  inbound_[{node, id}] = {true, 0, 0};
  open_requests_[id] = {request, now_};
  Schedule(RandomDelay(), [this, node, id, request] {
    Deliver(node, MessageArrived{id, InboundMessage(request)});
  });
  return id;
}

auto NodeFixture::SendAndWait(std::size_t node, const CallerRequest& request)
    -> CallerAnswer {
  const auto before = answers_.size();
  const auto number = Send(node, request);
  const auto find = [&]() -> const ReceivedAnswer* {
    for (auto n = before; n < answers_.size(); ++n) {
      if (answers_[n].number == number) {
        return &answers_[n];
      }
    }
    return nullptr;
  };
  const auto max_wait = Milliseconds(request.patience_ms + 1000);
  if (!RunUntil([&] { return find() != nullptr; }, max_wait)) {
    throw std::runtime_error("no answer to request " + request.id);
  }
  return find()->answer;
}

auto NodeFixture::MakeAppendRequest(const std::string& id,
                                    const std::string& key,
                                    const std::string& value) const
    -> CallerRequest {
  CallerRequest request;
  request.id = id;
  request.database = "db0";
  request.kind = "write";
  request.statements = {{Verb::kAppend, key, value}};
  request.issued_ms = now_.time_since_epoch().count() / 1000;
  return request;
}

auto NodeFixture::MakeReadRequest(const std::string& id,
                                  const std::string& kind,
                                  const std::string& key) const
    -> CallerRequest {
  CallerRequest request;
  request.id = id;
  request.database = "db0";
  request.kind = kind;
  request.statements = {{Verb::kGet, key, ""}};
  return request;
}

}  // namespace kingcuplock
