#include "kingcuplock/node/node.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/owner/answers.h"
#include "kingcuplock/routing/rendezvous.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Prefix of the platform's own keys.
constexpr std::string_view kPlatformPrefix = "platform/";
/// Key of the platform's list of instances and endpoints.
constexpr std::string_view kInstancesKey = "platform/instances";
/// Interval in ms at which a planned stop looks whether it is complete.
constexpr Milliseconds kStopPoll{20};
/// Quiet time in ms after which a stopping instance ends.
constexpr Milliseconds kStopQuiet{300};

/// Returns whether an owner of one configuration can go on under the other.
auto SameGroup(const DatabaseConfig& a, DatabaseConfig b) -> bool {
  b.kinds = a.kinds;
  return a == b;
}

auto KeyPrefix(const ProxySettings& settings) -> std::string {
  return "kingcuplock/" + settings.deployment + "/";
}

}  // namespace

Node::Node(ProxySettings settings,
           std::string incarnation,
           TimerService& timers,
           Outbox& outbox)
    : settings_(std::move(settings)),
      names_{settings_.instance, std::move(incarnation), KeyPrefix(settings_)},
      timers_(timers),
      outbox_(outbox),
      store_(settings_.store, settings_.timing, timers, outbox),
      manifests_(settings_.deployment, outbox, [this] { OnManifestChanged(); }),
      ownership_(
          names_,
          settings_.timing,
          timers,
          store_,
          outbox,
          {[this](const std::string& database, const OwnerRecord& record) {
             OnAcquired(database, record);
           },
           [this](const std::string& database) { OnLost(database); },
           [this](const std::string& database, const OwnerRecord&) {
             entry_.OnOwnerChanged(database);
           }}),
      peers_(settings_.instance,
             settings_.timing,
             timers,
             outbox,
             {[this] { return BuildHeartbeat(); },
              [this](const std::string& peer, const PeerMessage& message) {
                OnPeerMessage(peer, message);
              },
              [this](const Heartbeat& it) { OnHeartbeatAnswered(it); },
              [this](const std::string& peer) { entry_.OnPeerDown(peer); },
              [this] { ownership_.SetLiveInstances(peers_.Live()); }}),
      entry_(settings_.instance,
             timers,
             outbox,
             {[this]() -> const Manifest& { return manifests_.manifest(); },
              [this](const std::string& database) { return OwnerOf(database); },
              [this](const std::string& database, RequestPtr request) {
                return SubmitHere(database, std::move(request));
              },
              [this](const std::string& peer, Forward forward) {
                return peers_.Send(peer, std::move(forward));
              },
              [this](const CallerRequest& request,
                     const CallerAnswer& answer,
                     Duration latency) {
                counters_.Note(timers_.Now(), request, answer, latency);
              }}) {}

Node::~Node() = default;

void Node::Start() {
  started_ = timers_.Now();
  store_.Watch(names_.key_prefix + "manifest",
               [this](const StoreItem& item, bool deleted) {
                 OnManifestItem(item, deleted);
               });
  store_.Watch(std::string(kPlatformPrefix),
               [this](const StoreItem& item, bool deleted) {
                 OnPlatformItem(item, deleted);
               });
  ownership_.Start();
  store_.Start();
  peers_.SetPeers(settings_.peers);
  peers_.Start();
}

// ----------------------------------------------------------------- events

void Node::Handle(const NodeEvent& event) {
  if (const auto* opened = std::get_if<ConnectionOpened>(&event)) {
    OnOpened(opened->connection);
  } else if (const auto* closed = std::get_if<ConnectionClosed>(&event)) {
    OnClosed(closed->connection);
  } else if (const auto* arrived = std::get_if<MessageArrived>(&event)) {
    OnArrived(*arrived);
  } else {
    BeginStop();
  }
}

void Node::OnOpened(ConnectionId connection) {
  if (store_.OnOpened(connection) || peers_.OnOpened(connection)) {
    return;
  }
  for (auto& [name, owner] : owners_) {
    if (owner->OnOpened(connection)) {
      return;
    }
  }
}

void Node::OnClosed(ConnectionId connection) {
  if ((connection & kInboundBit) != 0) {
    entry_.OnCallerClosed(connection);
    return;
  }
  if (store_.OnClosed(connection) || peers_.OnClosed(connection)) {
    return;
  }
  for (auto& [name, owner] : owners_) {
    if (owner->OnClosed(connection)) {
      return;
    }
  }
}

void Node::OnArrived(const MessageArrived& event) {
  if (const auto* inbound = std::get_if<InboundMessage>(&event.message)) {
    OnInbound(event.connection, *inbound);
  } else if (const auto* peer = std::get_if<PeerMessage>(&event.message)) {
    peers_.OnMessage(event.connection, *peer);
  } else if (const auto* reply = std::get_if<StoreReply>(&event.message)) {
    store_.OnReply(event.connection, *reply);
  } else if (const auto* answer = std::get_if<MemberAnswer>(&event.message)) {
    for (auto& [name, owner] : owners_) {
      if (owner->OnAnswer(event.connection, *answer)) {
        return;
      }
    }
  }
}

void Node::OnInbound(ConnectionId source, const InboundMessage& message) {
  if (const auto* request = std::get_if<CallerRequest>(&message)) {
    entry_.OnRequest(source, *request);
  } else if (const auto* query = std::get_if<StatusQuery>(&message)) {
    outbox_.Send(source, BuildStatus(query->id));
  } else if (const auto* forward = std::get_if<Forward>(&message)) {
    OnForward(source, *forward);
  } else if (std::holds_alternative<Heartbeat>(message)) {
    outbox_.Send(source, BuildHeartbeat());
  } else if (std::holds_alternative<ManifestWanted>(message)) {
    outbox_.Send(source,
                 ManifestOffer{manifests_.version(), manifests_.text()});
  } else if (const auto* offer = std::get_if<ManifestOffer>(&message)) {
    manifests_.Offer(offer->text);
  } else if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    ownership_.Evaluate(hand_over->database);
  }
}

void Node::OnForward(ConnectionId source, const Forward& forward) {
  const auto reply = [this, source, id = forward.id](CallerAnswer answer) {
    outbox_.Send(source, ForwardAnswer{id, std::move(answer), "", 0});
  };
  const auto& request = forward.request;
  auto owned = std::make_shared<OwnerRequest>();
  const auto* database = FindDatabase(manifests_.manifest(), request.database);
  const auto* kind =
      database == nullptr ? nullptr : FindKind(*database, request.kind);
  if (kind == nullptr) {
    reply(Refusal(request.id, ErrorKind::kNotOwner, 0));
    return;
  }
  try {
    owned->token = SessionToken::Parse(request.token);
  } catch (const TokenError&) {
    reply(Refusal(request.id, ErrorKind::kBadToken, 0));
    return;
  }
  owned->request = request;
  owned->kind = *kind;
  owned->deadline = timers_.Now() + Milliseconds(request.patience_ms);
  owned->reply = reply;
  if (!SubmitHere(request.database, owned)) {
    reply(Refusal(request.id, ErrorKind::kNotOwner, 0));
  }
}

void Node::OnPeerMessage(const std::string& peer, const PeerMessage& message) {
  if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    entry_.OnForwardAnswer(peer, *answer);
  } else if (const auto* offer = std::get_if<ManifestOffer>(&message)) {
    manifests_.Offer(offer->text);
  }
}

void Node::OnHeartbeatAnswered(const Heartbeat& heartbeat) {
  if (heartbeat.manifest_version > manifests_.version()) {
    peers_.Send(heartbeat.instance, ManifestWanted{settings_.instance});
  }
  for (const auto& it : heartbeat.owned) {
    auto& hint = hints_[it.database];
    if (it.epoch >= hint.epoch) {
      hint = it;
    }
  }
}

// ------------------------------------------- configuration and membership

void Node::OnManifestChanged() {
  counters_.SetManifest(manifests_.manifest());
  std::vector<std::string> names;
  for (const auto& it : manifests_.manifest().databases) {
    names.push_back(it.name);
  }
  ownership_.SetDatabases(names);
  for (const auto& it : names) {
    ownership_.Evaluate(it);
  }
  RestartChangedOwners();
}

void Node::RestartChangedOwners() {
  for (auto& [name, owner] : owners_) {
    const auto* config = FindDatabase(manifests_.manifest(), name);
    if (config == nullptr) {
      owner->Drain([this, name = name] { ReleaseOwned(name); });
    } else if (!SameGroup(*config, owner->config())) {
      // A new epoch fences the statements of the present owner.
      owner->Drain([this, name = name] { ownership_.Reacquire(name, 0); });
    }
  }
}

void Node::OnManifestItem(const StoreItem& item, bool deleted) {
  if (!deleted && item.key == names_.key_prefix + "manifest") {
    manifests_.Offer(item.value);
  }
}

void Node::OnPlatformItem(const StoreItem& item, bool deleted) {
  if (deleted || item.key != kInstancesKey) {
    return;
  }
  try {
    const auto list =
        DecodeFrame(item.value, FrameFormat::kJson).get<InstanceList>();
    std::vector<PeerAddress> peers;
    for (const auto& it : list.instances) {
      peers.push_back({it.name, it.host, it.port});
    }
    peers_.SetPeers(peers);
  } catch (const SchemaError& ex) {
    outbox_.Log(Event::kFrameRejected, {{"reason", ex.what()}});
  }
}

auto Node::BuildHeartbeat() const -> Heartbeat {
  Heartbeat out;
  out.instance = settings_.instance;
  out.manifest_version = manifests_.version();
  out.leaving = leaving_;
  for (const auto& [name, owner] : owners_) {
    const auto* record = ownership_.RecordOf(name);
    out.owned.push_back(
        {name, settings_.instance, record == nullptr ? 0 : record->epoch});
  }
  return out;
}

// -------------------------------------------------------------- ownership

void Node::OnAcquired(const std::string& database, const OwnerRecord& record) {
  StartOwner(database, record);
  entry_.OnOwnerChanged(database);
}

void Node::StartOwner(const std::string& database, const OwnerRecord& record) {
  const auto* config = FindDatabase(manifests_.manifest(), database);
  if (config == nullptr) {
    return;
  }
  OwnerPorts ports;
  ports.lease_is_valid = [this] { return ownership_.LeaseIsValid(); };
  ports.write_record =
      [this, database](std::int64_t term, const std::string& primary,
                       Phase phase, const std::vector<TermStart>& term_starts,
                       std::function<void(bool)> written) {
        ownership_.Write(database, term, primary, phase, term_starts,
                         std::move(written));
      };
  ports.fenced_out = [this, database](std::int64_t epoch) {
    ownership_.Reacquire(database, epoch);
  };
  ports.failed_over = [this](const FailoverGap& gap) {
    failovers_.Add(timers_.Now(), gap);
  };
  auto owner = std::make_unique<DatabaseOwner>(
      *config, record, settings_.timing, timers_, outbox_, std::move(ports));
  auto* raw = owner.get();
  owners_[database] = std::move(owner);
  raw->Start();
}

void Node::OnLost(const std::string& database) {
  auto node = owners_.extract(database);
  if (node.empty()) {
    return;
  }
  node.mapped()->Stop();
  // The loss may be reported from within a callback of this owner.
  retired_owners_.push_back(std::move(node.mapped()));
  timers_.After(Duration::zero(), [this] { retired_owners_.clear(); });
}

auto Node::OwnerOf(const std::string& database) const -> std::string {
  const auto* record = ownership_.RecordOf(database);
  const auto hint = hints_.find(database);
  const auto epoch = record == nullptr ? 0 : record->epoch;
  if (hint != hints_.end() && hint->second.epoch > epoch) {
    return hint->second.owner;
  }
  return record == nullptr ? "" : record->owner;
}

auto Node::SubmitHere(const std::string& database, RequestPtr request) -> bool {
  const auto it = owners_.find(database);
  if (it == owners_.end()) {
    return false;
  }
  it->second->Submit(std::move(request));
  return true;
}

// ------------------------------------------------------------ planned stop

void Node::BeginStop() {
  if (std::exchange(leaving_, true)) {
    return;
  }
  outbox_.Log(Event::kProxyStopping, {{"instance", settings_.instance}});
  stop_began_ = timers_.Now();
  last_busy_ = timers_.Now();
  ownership_.StopAcquiring();
  for (auto& [name, owner] : owners_) {
    owner->Drain([this, name = name] { ReleaseOwned(name); });
  }
  StopWhenIdle();
}

void Node::ReleaseOwned(const std::string& database) {
  const auto* record = ownership_.RecordOf(database);
  const auto epoch = record == nullptr ? 0 : record->epoch;
  ownership_.Release(database, [this, database, epoch](bool released) {
    if (!released) {
      return;
    }
    outbox_.Log(Event::kOwnerReleased, {{"database", database}});
    auto live = peers_.Live();
    std::erase(live, settings_.instance);
    const auto order = RendezvousOrder(database, live);
    if (!order.empty()) {
      peers_.Send(order.front(), HandOver{database, epoch});
    }
  });
}

void Node::StopWhenIdle() {
  const auto now = timers_.Now();
  if (entry_.Pending() > 0 || !owners_.empty()) {
    last_busy_ = now;
  }
  const auto quiet = now - last_busy_ >= kStopQuiet;
  const auto overdue =
      now - stop_began_ >= Milliseconds(settings_.timing.drain_ms);
  if (quiet || overdue) {
    ownership_.StopLease();
    outbox_.CompleteStop();
    return;
  }
  timers_.After(kStopPoll, [this] { StopWhenIdle(); });
}

auto Node::BuildStatus(const std::string& id) const -> InstanceStatus {
  InstanceStatus out;
  out.id = id;
  out.instance = settings_.instance;
  out.manifest_version = manifests_.version();
  out.leaving = leaving_;
  out.lease_valid = ownership_.LeaseIsValid();
  for (const auto& it : manifests_.manifest().databases) {
    DatabaseStatus database;
    database.database = it.name;
    database.owner = OwnerOf(it.name);
    if (const auto* record = ownership_.RecordOf(it.name)) {
      database.epoch = record->epoch;
      database.term = record->term;
      database.primary = record->primary;
    }
    if (const auto owner = owners_.find(it.name); owner != owners_.end()) {
      database.term = owner->second->term();
      database.primary = owner->second->primary();
      database.phase = ToString(owner->second->phase());
      database.queued = static_cast<std::int64_t>(owner->second->Queued());
    }
    out.databases.push_back(std::move(database));
  }
  out.counters = counters_.Snapshot(timers_.Now());
  out.failovers = failovers_.Snapshot(timers_.Now());
  out.uptime_ms =
      std::chrono::duration_cast<Milliseconds>(timers_.Now() - started_)
          .count();
  return out;
}

}  // namespace kingcuplock
