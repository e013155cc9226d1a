#include "testing/node_fixture.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "kingcuplock/schema/codec.h"
#include "testing/node_fixture_names.h"

namespace kingcuplock {
namespace {

/// Ports of instances and members; they only tell targets apart.
constexpr std::int64_t kInstancePort = 7400;
constexpr std::int64_t kMemberPort = 7500;
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

void NodeFixture::At(Duration delay, std::function<void()> work) {
  events_.push({now_ + delay, ++last_order_, std::move(work)});
}

auto NodeFixture::Delay() -> Duration {
  const auto least = options_.min_delay_us;
  return Duration(std::uniform_int_distribution<std::int64_t>(
      least, std::max(options_.max_delay_us, least))(random_));
}

void NodeFixture::Step(Time until) {
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
      Drain(n);
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
    Step(until);
  }
}

auto NodeFixture::RunUntil(const std::function<bool()>& done, Duration longest)
    -> bool {
  const auto until = now_ + longest;
  while (!done()) {
    if (now_ >= until) {
      return false;
    }
    Step(until);
  }
  return true;
}

void NodeFixture::RunUntilServing() {
  const auto settled = [this] {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n].node->HasManifest()) {
        return false;
      }
    }
    return std::all_of(
        manifest_.databases.begin(), manifest_.databases.end(),
        [this](const auto& it) { return OwnerOf(it.name) < nodes_.size(); });
  };
  if (!RunUntil(settled, Milliseconds(10'000))) {
    throw std::runtime_error("the fixture does not settle");
  }
}

void NodeFixture::ReplicateLoop() {
  for (auto& [name, group] : groups_) {
    group.Replicate(now_.time_since_epoch().count());
  }
  AnswerWaiting();
  store_.ExpireDueLeases(now_.time_since_epoch().count() / 1000);
  PushStoreEvents();
  At(kReplicateInterval, [this] { ReplicateLoop(); });
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
  it.held.clear();
  it.node.reset();
  it.timers = std::make_unique<TimerService>(now_);
  it.timers->SetWallTime(
      std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()));
  it.outbox = std::make_unique<Outbox>();
  it.node = std::make_unique<Node>(
      settings, settings.instance + "@" + std::to_string(++it.run), *it.timers,
      *it.outbox, options_.manifest_rules);
  it.alive = true;
  it.paused = false;
  it.stopped = false;
  it.node->Start();
  Drain(node);
}

void NodeFixture::Deliver(std::size_t node, const NodeEvent& event) {
  auto& it = nodes_[node];
  if (!it.alive) {
    return;
  }
  if (it.paused) {
    it.held.push_back(event);
    return;
  }
  it.timers->AdvanceTo(now_);
  it.node->Handle(event);
  Drain(node);
}

void NodeFixture::Drain(std::size_t node) {
  for (auto& it : nodes_[node].outbox->Take()) {
    Perform(node, it);
  }
}

void NodeFixture::Perform(std::size_t node, Action& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    Open(node, *open);
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    Close(node, close->connection);
  } else if (const auto* send = std::get_if<SendMessage>(&action)) {
    SendFrom(node, *send);
  } else if (std::holds_alternative<StopComplete>(action)) {
    nodes_[node].stopped = true;
    At(Duration::zero(), [this, node] { KillNode(node); });
  } else if (const auto* log = std::get_if<LogAction>(&action)) {
    ++logged_[log->event];
  }
}

void NodeFixture::Open(std::size_t node, const OpenConnection& open) {
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
    silent = nodes_[node].cut_peers.contains(link.peer);
  }
  nodes_[node].links[id] = link;
  const auto run = nodes_[node].run;
  if (silent) {
    At(Milliseconds(open.timeout_ms), [this, node, id, run] {
      if (nodes_[node].run == run && nodes_[node].links.erase(id) > 0) {
        Deliver(node, ConnectionClosed{id});
      }
    });
    return;
  }
  const auto accept = open.kind == ConnectionKind::kMember && reachable
                          ? Duration(options_.open_us)
                          : Duration::zero();
  At(Delay() + Delay() + accept, [this, node, id, reachable, run] {
    auto* found = FindLink(node, id);
    if (found == nullptr || nodes_[node].run != run) {
      return;
    }
    if (!reachable) {
      nodes_[node].links.erase(id);
      Deliver(node, ConnectionClosed{id});
      return;
    }
    found->open = true;
    if (found->kind == ConnectionKind::kMember) {
      CountConnections(found->member);
    } else if (found->kind == ConnectionKind::kPeer) {
      inbound_[{found->peer, found->remote_id}] = {false, node, id};
    }
    Deliver(node, ConnectionOpened{id});
  });
}

void NodeFixture::Close(std::size_t node, ConnectionId connection) {
  const auto* link = FindLink(node, connection);
  if (link == nullptr) {
    return;
  }
  EndInbound(*link);
  nodes_[node].links.erase(connection);
  watches_.erase({node, connection});
  const auto run = nodes_[node].run;
  At(Duration::zero(), [this, node, connection, run] {
    if (nodes_[node].run == run) {
      Deliver(node, ConnectionClosed{connection});
    }
  });
}

// The other end of a peer link notices that it ended.
void NodeFixture::EndInbound(const Link& link) {
  if (link.kind != ConnectionKind::kPeer || !link.open) {
    return;
  }
  At(Delay(), [this, peer = link.peer, remote = link.remote_id] {
    inbound_.erase({peer, remote});
    Deliver(peer, ConnectionClosed{remote});
  });
}

auto NodeFixture::FindLink(std::size_t node, ConnectionId id) -> Link* {
  const auto it = nodes_[node].links.find(id);
  return it == nodes_[node].links.end() ? nullptr : &it->second;
}

void NodeFixture::SendFrom(std::size_t node, const SendMessage& send) {
  const auto id = send.connection;
  if ((id & kInboundBit) != 0) {
    ToInbound(node, id, send.message);
    return;
  }
  auto* link = FindLink(node, id);
  if (link == nullptr || !link->open || link->silent) {
    return;
  }
  if (const auto* request = std::get_if<MemberRequest>(&send.message)) {
    ToMember(node, id, *request);
  } else if (const auto* call = std::get_if<StoreCall>(&send.message)) {
    ToStore(node, id, *call);
  } else {
    ToPeer(node, id, send.message);
  }
}

// ---------------------------------------------------------------- members

auto NodeFixture::Reaches(std::size_t node, const std::string& member) -> bool {
  return !nodes_[node].cut_members.contains(member);
}

void NodeFixture::ToMember(std::size_t node,
                           ConnectionId id,
                           const MemberRequest& request) {
  const auto service =
      NeedsSlot(request.op) ? Duration(options_.service_us) : Duration::zero();
  const auto member = FindLink(node, id)->member;
  At(Delay(), [this, node, id, request, service, member] {
    if (!Reaches(node, member)) {
      return;
    }
    if (service == Duration::zero()) {
      ServeMember(node, id, member, request);
      return;
    }
    most_statements_ = std::max(most_statements_, ++running_[member]);
    At(service, [this, node, id, request, member] {
      --running_[member];
      ServeMember(node, id, member, request);
    });
  });
}

// A request that reached the member runs even if the connection is gone.
void NodeFixture::ServeMember(std::size_t node,
                              ConnectionId id,
                              const std::string& name,
                              const MemberRequest& request) {
  auto& target = group(internal::DatabaseOfMember(name));
  if (!target.member(name).alive) {
    return;
  }
  if (target.member(name).paused) {
    held_by_member_[name].push_back([this, node, id, name, request] {
      ServeMember(node, id, name, request);
    });
    return;
  }
  if (request.op == MemberOp::kAwaitPosition) {
    waiting_.push_back(
        {node, id, request, now_ + Milliseconds(request.wait_ms)});
    AnswerWaiting();
    return;
  }
  const auto now_us = now_.time_since_epoch().count();
  // A transaction ends with its connection.
  TransactionSession ended;
  auto* link = FindLink(node, id);
  auto& session = link == nullptr ? ended : link->transaction;
  auto marked = request;
  if (!options_.markers && request.op != MemberOp::kLookup) {
    marked.request_id.clear();
  }
  ReplyMember(node, id, name, session.Handle(target, name, marked, now_us));
  target.Replicate(now_us);
  AnswerWaiting();
}

void NodeFixture::ReplyMember(std::size_t node,
                              ConnectionId id,
                              const std::string& member,
                              const MemberAnswer& answer) {
  At(Delay(), [this, node, id, member, answer] {
    auto* link = FindLink(node, id);
    if (link != nullptr && !link->silent && Reaches(node, member)) {
      Deliver(node, MessageArrived{id, answer});
    }
  });
}

void NodeFixture::AnswerWaiting() {
  for (auto& it : std::exchange(waiting_, {})) {
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
      waiting_.push_back(it);
      continue;
    }
    ReplyMember(
        it.node, it.connection, name,
        DatabaseGroup::MakeAnswer(member, it.request.id, MemberStatus::kDone));
  }
}

void NodeFixture::CountConnections(const std::string& member) {
  std::int64_t open = 0;
  for (const auto& node : nodes_) {
    for (const auto& [id, link] : node.links) {
      open += node.alive && link.open && link.member == member ? 1 : 0;
    }
  }
  most_connections_ = std::max(most_connections_, open);
}

void NodeFixture::DropLinksTo(const std::string& member) {
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    std::vector<ConnectionId> ids;
    for (const auto& [id, link] : nodes_[n].links) {
      if (link.member == member && Reaches(n, member)) {
        ids.push_back(id);
      }
    }
    for (const auto it : ids) {
      Close(n, it);
    }
  }
}

// ------------------------------------------------------------------ store

void NodeFixture::ToStore(std::size_t node,
                          ConnectionId id,
                          const StoreCall& call) {
  At(Delay() + store_delay_, [this, node, id, call] {
    if (store_down_ || nodes_[node].cut_store) {
      return;
    }
    if (call.op == StoreOp::kWatch) {
      watches_[{node, id}].insert(call.key);
    }
    const auto answer =
        store_.Handle(call, now_.time_since_epoch().count() / 1000);
    PushStoreEvents();
    if (lose_store_answers_ > 0 && call.op != StoreOp::kWatch) {
      --lose_store_answers_;
      return;
    }
    At(Delay(), [this, node, id, answer] {
      if (FindLink(node, id) != nullptr && !nodes_[node].cut_store) {
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
      if (!wanted || nodes_[node].cut_store || nodes_[node].lose_watch_events) {
        continue;
      }
      At(Delay(), [this, node = node, id = id, event] {
        if (FindLink(node, id) != nullptr) {
          Deliver(node, MessageArrived{id, StoreReply(event)});
        }
      });
    }
  }
}

void NodeFixture::PartitionFromStore(std::size_t node, bool cut) {
  nodes_[node].cut_store = cut;
}

// -------------------------------------------------------- peers and callers

void NodeFixture::ToPeer(std::size_t node,
                         ConnectionId id,
                         const OutboundMessage& message) {
  const auto* link = FindLink(node, id);
  const auto peer = link->peer;
  const auto remote = link->remote_id;
  // Through the wire's form, as between processes.
  const auto json =
      std::visit([](const auto& it) { return nlohmann::json(it); }, message);
  At(Delay(), [this, node, peer, remote, json] {
    if (!nodes_[node].cut_peers.contains(peer)) {
      Deliver(peer, MessageArrived{remote, ReadInboundMessage(json)});
    }
  });
}

void NodeFixture::ToInbound(std::size_t node,
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
    At(Delay(), [this, node, to, json] {
      const auto* link = FindLink(to.from, to.from_id);
      if (link != nullptr && !nodes_[node].cut_peers.contains(to.from)) {
        Deliver(to.from, MessageArrived{to.from_id, ReadPeerMessage(json)});
      }
    });
    return;
  }
  if (const auto* status = std::get_if<InstanceStatus>(&message)) {
    statuses_[node] = *status;
  } else if (const auto* answer = std::get_if<CallerAnswer>(&message)) {
    const auto& [request, asked] = asked_.at(id);
    answers_.push_back({id, request, *answer, asked, now_});
  }
}

auto NodeFixture::Send(std::size_t node, const CallerRequest& request)
    -> std::uint64_t {
  const auto id = ++last_inbound_ | kInboundBit;
  inbound_[{node, id}] = {true, 0, 0};
  asked_[id] = {request, now_};
  At(Delay(), [this, node, id, request] {
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
  const auto longest = Milliseconds(request.patience_ms + 1000);
  if (!RunUntil([&] { return find() != nullptr; }, longest)) {
    throw std::runtime_error("no answer to " + request.id);
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
