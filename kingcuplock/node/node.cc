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
/// Address that stands for every own address, of no use to a peer.
constexpr std::string_view kAnyHost = "0.0.0.0";

/// Tells the callers of all entry instances apart.
auto CallerKey(ConnectionId link, std::int64_t caller) -> std::uint64_t {
  constexpr std::uint64_t kLinkFactor = 0x9e3779b97f4a7c15;
  return link * kLinkFactor + static_cast<std::uint64_t>(caller);
}

auto KeyPrefix(const ProxySettings& settings) -> std::string {
  return "kingcuplock/" + settings.deployment + "/";
}

}  // namespace

Node::Node(ProxySettings settings,
           std::string incarnation,
           TimerService& timers,
           Outbox& outbox,
           ManifestRules manifest_rules)
    : settings_(std::move(settings)),
      names_{settings_.instance, std::move(incarnation), KeyPrefix(settings_)},
      timers_(timers),
      outbox_(outbox),
      store_(settings_.store, settings_.timing, timers, outbox),
      sync_({names_.key_prefix + "manifest", settings_.instance,
             settings_.deployment},
            timers,
            store_,
            outbox,
            {[this] { return peers_.LiveInstances(); },
             [this](const Manifest& previous) { OnManifestChanged(previous); }},
            manifest_rules),
      directory_(outbox),
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
              [this] { ownership_.SetLiveInstances(peers_.LiveInstances()); }}),
      entry_(settings_.instance,
             timers,
             outbox,
             {[this]() -> const Manifest& { return manifests().manifest(); },
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
  sync_.Start();
  store_.Watch(std::string(kPlatformPrefix),
               [this](const StoreItem& item, bool deleted) {
                 OnPlatformItem(item, deleted);
               });
  ownership_.Start();
  store_.Start();
  std::vector<InstanceEntry> peers;
  for (const auto& it : settings_.peers) {
    peers.push_back({it.name, it.host, it.port, "", false});
  }
  peers_.SetPeers(peers);
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
    for (auto& [name, owner] : owners_) {
      owner->OnInboundConnectionClosed(connection);
    }
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
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnInboundHeartbeat(source, *heartbeat);
  } else if (std::holds_alternative<ManifestWanted>(message)) {
    outbox_.Send(source, BuildOffer());
  } else if (const auto* offer = std::get_if<ManifestOffer>(&message)) {
    sync_.OnOffer(*offer, "peer");
  } else if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    ownership_.AcceptHandOver(hand_over->database);
  }
}

void Node::OnForward(ConnectionId source, const Forward& forward) {
  const auto reply = [this, source, id = forward.id](CallerAnswer answer) {
    outbox_.Send(source, ForwardAnswer{id, std::move(answer), "", 0});
  };
  const auto& request = forward.request;
  auto owned = std::make_shared<OwnerRequest>();
  const auto* database = FindDatabase(manifests().manifest(), request.database);
  const auto* kind =
      database == nullptr ? nullptr : FindKind(*database, request.kind);
  if (kind == nullptr) {
    reply(BuildNotRunAnswer(request.id, ErrorKind::kNotOwner, 0));
    return;
  }
  try {
    owned->token = SessionToken::Parse(request.token);
  } catch (const SessionTokenError&) {
    reply(BuildNotRunAnswer(request.id, ErrorKind::kBadToken, 0));
    return;
  }
  owned->request = request;
  owned->source = source;
  owned->caller = CallerKey(source, forward.caller);
  owned->kind = *kind;
  owned->deadline = timers_.Now() + Milliseconds(request.patience_ms);
  owned->reply = reply;
  if (!SubmitHere(request.database, owned)) {
    reply(BuildNotRunAnswer(request.id, ErrorKind::kNotOwner, 0));
  }
}

void Node::OnPeerMessage(const std::string& peer, const PeerMessage& message) {
  if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    entry_.OnForwardAnswer(peer, *answer);
  } else if (const auto* offer = std::get_if<ManifestOffer>(&message)) {
    sync_.OnOffer(*offer, peer);
  } else if (std::holds_alternative<ManifestWanted>(message)) {
    peers_.Send(peer, BuildOffer());
  }
}

void Node::OnHeartbeatAnswered(const Heartbeat& heartbeat) {
  sync_.OnHeartbeat(heartbeat, [&](ManifestWanted wanted) {
    peers_.Send(heartbeat.instance, std::move(wanted));
  });
  NoteOwners(heartbeat);
}

// The peer may reach this instance while this one can't reach the peer.
void Node::OnInboundHeartbeat(ConnectionId source, const Heartbeat& heartbeat) {
  outbox_.Send(source, BuildHeartbeat());
  peers_.OnInboundHeartbeat(heartbeat);
  sync_.OnHeartbeat(heartbeat, [&](ManifestWanted wanted) {
    outbox_.Send(source, std::move(wanted));
  });
  NoteOwners(heartbeat);
}

void Node::NoteOwners(const Heartbeat& heartbeat) {
  for (const auto& it : heartbeat.owned) {
    auto& hint = hints_[it.database];
    if (it.epoch >= hint.epoch) {
      hint = it;
    }
  }
}

// ------------------------------------------- configuration and membership

void Node::OnPlatformItem(const StoreItem& item, bool deleted) {
  if (deleted || item.key != kInstancesKey ||
      !directory_.UpdateFromJson(item.value)) {
    return;
  }
  peers_.SetPeers(directory_.instances());
  for (auto& [name, owner] : owners_) {
    if (const auto* it = FindDatabase(manifests().manifest(), name)) {
      owner->SetLeaving(directory_.LeavingMembers(*it));
    }
  }
}

auto Node::BuildOffer() const -> ManifestOffer {
  return {manifests().version(), manifests().text()};
}

auto Node::BuildHeartbeat() const -> Heartbeat {
  Heartbeat out;
  out.instance = settings_.instance;
  out.manifest_version = manifests().version();
  out.manifest_hash = manifests().hash();
  if (settings_.listen.host != kAnyHost) {
    out.host = settings_.listen.host;
    out.port = settings_.listen.port;
  }
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
  const auto* config = FindDatabase(manifests().manifest(), database);
  if (config == nullptr) {
    // Removed from the manifest while the ownership was being taken.
    timers_.After(Duration::zero(),
                  [this, database] { ReleaseOwned(database); });
    return;
  }
  OwnerCallbacks ports;
  ports.lease_is_valid = [this] { return ownership_.LeaseIsValid(); };
  ports.write_record =
      [this, database](std::int64_t term, const std::string& primary,
                       Phase phase, const std::vector<TermStart>& term_starts,
                       std::function<void(bool)> written) {
        ownership_.WriteRecord(database, term, primary, phase, term_starts,
                               std::move(written));
      };
  ports.on_fenced_out = [this, database](std::int64_t epoch) {
    ownership_.Reacquire(database, epoch);
  };
  ports.on_failed_over = [this](const FailoverGap& gap) {
    failovers_.Add(timers_.Now(), gap);
  };
  auto owner = std::make_unique<DatabaseOwner>(
      *config, record, settings_.timing, timers_, outbox_, std::move(ports));
  auto* raw = owner.get();
  owners_[database] = std::move(owner);
  raw->Start();
  raw->SetLeaving(directory_.LeavingMembers(*config));
}

void Node::OnLost(const std::string& database) {
  Retire(database);
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
  it->second->SubmitRequest(std::move(request));
  return true;
}

auto Node::BuildStatus(const std::string& id) const -> InstanceStatus {
  InstanceStatus out;
  out.id = id;
  out.instance = settings_.instance;
  out.manifest_version = manifests().version();
  out.manifest_hash = manifests().hash();
  out.leaving = leaving_;
  out.lease_valid = ownership_.LeaseIsValid();
  for (const auto& it : manifests().manifest().databases) {
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
      database.queued =
          static_cast<std::int64_t>(owner->second->QueuedRequests());
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
