#include "kingcuplock/node/node.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/owner/answers.h"
#include "kingcuplock/routing/rendezvous.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Prefix of the store keys that the platform writes.
constexpr std::string_view kPlatformKeyPrefix = "platform/";
/// Store key of the platform's list of instances and endpoints.
constexpr std::string_view kInstancesKey = "platform/instances";
/// Wildcard listen address, which peers can't connect to.
constexpr std::string_view kWildcardHost = "0.0.0.0";

/// Returns a key that distinguishes the callers of all instances that forward
/// requests to this one.
auto MakeCallerKey(ConnectionId connection, std::int64_t caller)
    -> std::uint64_t {
  constexpr std::uint64_t kConnectionHashFactor = 0x9e3779b97f4a7c15;
  return connection * kConnectionHashFactor +
         static_cast<std::uint64_t>(caller);
}

auto StoreKeyPrefix(const ProxySettings& settings) -> std::string {
  return "kingcuplock/" + settings.deployment + "/";
}

}  // namespace

Node::Node(ProxySettings settings,
           std::string incarnation,
           TimerService& timers,
           Outbox& outbox,
           ManifestRules manifest_rules)
    : settings_(std::move(settings)),
      names_{settings_.instance, std::move(incarnation),
             StoreKeyPrefix(settings_)},
      timers_(timers),
      outbox_(outbox),
      store_(settings_.store, settings_.timing, timers, outbox),
      manifest_sync_(
          {names_.key_prefix + "manifest", settings_.instance,
           settings_.deployment},
          timers,
          store_,
          outbox,
          {[this] { return peer_links_.LiveInstances(); },
           [this](const Manifest& previous) { OnManifestChanged(previous); }},
          manifest_rules),
      directory_(outbox),
      ownership_(
          names_,
          settings_.timing,
          OwnerExclusion::kLease,
          timers,
          store_,
          outbox,
          {[this](const std::string& database, const OwnerRecord& record) {
             OnOwnershipAcquired(database, record);
           },
           [this](const std::string& database) { OnOwnershipLost(database); },
           [this](const std::string& database, const OwnerRecord&) {
             request_router_.OnOwnerChanged(database);
           }}),
      peer_links_(settings_.instance,
                  settings_.timing,
                  timers,
                  outbox,
                  {[this] { return BuildHeartbeat(); },
                   [this](const std::string& peer, const PeerMessage& message) {
                     OnPeerMessage(peer, message);
                   },
                   [this](const Heartbeat& it) { OnHeartbeatAnswered(it); },
                   [this](const std::string& peer) {
                     request_router_.OnPeerDown(peer);
                   },
                   [this] {
                     ownership_.SetLiveInstances(peer_links_.LiveInstances());
                   }}),
      request_router_(
          settings_.instance,
          timers,
          outbox,
          {[this]() -> const Manifest& { return active_manifest().manifest(); },
           [this](const std::string& database) { return OwnerOf(database); },
           [this](const std::string& database, RequestPtr request) {
             return SubmitToLocalOwner(database, std::move(request));
           },
           [this](const std::string& peer, Forward forward) {
             return peer_links_.Send(peer, std::move(forward));
           },
           [this](const CallerRequest& request,
                  const CallerAnswer& answer,
                  Duration latency) {
             request_counters_.CountAnswer(timers_.Now(), request, answer,
                                           latency);
           }}) {}

Node::~Node() = default;

void Node::Start() {
  start_time_ = timers_.Now();
  manifest_sync_.Start();
  store_.Watch(std::string(kPlatformKeyPrefix),
               [this](const StoreItem& item, bool deleted) {
                 OnPlatformItem(item, deleted);
               });
  ownership_.Start();
  store_.Start();
  std::vector<InstanceEntry> peers;
  for (const auto& it : settings_.peers) {
    peers.push_back({it.name, it.host, it.port, "", false});
  }
  peer_links_.SetPeers(peers);
  peer_links_.Start();
}

// ----------------------------------------------------------------- events

void Node::Handle(const NodeEvent& event) {
  if (const auto* opened = std::get_if<ConnectionOpened>(&event)) {
    OnOpened(opened->connection);
  } else if (const auto* closed = std::get_if<ConnectionClosed>(&event)) {
    OnClosed(closed->connection);
  } else if (const auto* arrived = std::get_if<MessageArrived>(&event)) {
    OnMessageArrived(*arrived);
  } else {
    BeginPlannedStop();
  }
}

void Node::OnOpened(ConnectionId connection) {
  if (store_.OnOpened(connection) || peer_links_.OnOpened(connection)) {
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
    request_router_.OnCallerClosed(connection);
    for (auto& [name, owner] : owners_) {
      owner->OnInboundConnectionClosed(connection);
    }
    return;
  }
  if (store_.OnClosed(connection) || peer_links_.OnClosed(connection)) {
    return;
  }
  for (auto& [name, owner] : owners_) {
    if (owner->OnClosed(connection)) {
      return;
    }
  }
}

void Node::OnMessageArrived(const MessageArrived& event) {
  if (const auto* inbound = std::get_if<InboundMessage>(&event.message)) {
    OnInboundMessage(event.connection, *inbound);
  } else if (const auto* peer = std::get_if<PeerMessage>(&event.message)) {
    peer_links_.OnMessage(event.connection, *peer);
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

void Node::OnInboundMessage(ConnectionId source,
                            const InboundMessage& message) {
  if (const auto* request = std::get_if<CallerRequest>(&message)) {
    request_router_.OnRequest(source, *request);
  } else if (const auto* query = std::get_if<StatusQuery>(&message)) {
    outbox_.Send(source, BuildStatus(query->id));
  } else if (const auto* forward = std::get_if<Forward>(&message)) {
    OnForwardedRequest(source, *forward);
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnInboundHeartbeat(source, *heartbeat);
  } else if (std::holds_alternative<ManifestWanted>(message)) {
    outbox_.Send(source, BuildManifestOffer());
  } else if (const auto* offer = std::get_if<ManifestOffer>(&message)) {
    manifest_sync_.OnOffer(*offer, "peer");
  } else if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    ownership_.AcceptHandOver(hand_over->database);
  }
}

void Node::OnForwardedRequest(ConnectionId source, const Forward& forward) {
  const auto reply = [this, source, id = forward.id](CallerAnswer answer) {
    outbox_.Send(source, ForwardAnswer{id, std::move(answer), "", 0});
  };
  const auto& request = forward.request;
  auto owned = std::make_shared<OwnerRequest>();
  const auto* database =
      FindDatabase(active_manifest().manifest(), request.database);
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
  owned->caller = MakeCallerKey(source, forward.caller);
  owned->kind = *kind;
  owned->deadline = timers_.Now() + Milliseconds(request.patience_ms);
  owned->reply = reply;
  if (!SubmitToLocalOwner(request.database, owned)) {
    reply(BuildNotRunAnswer(request.id, ErrorKind::kNotOwner, 0));
  }
}

void Node::OnPeerMessage(const std::string& peer, const PeerMessage& message) {
  if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    request_router_.OnForwardAnswer(peer, *answer);
  } else if (const auto* offer = std::get_if<ManifestOffer>(&message)) {
    manifest_sync_.OnOffer(*offer, peer);
  } else if (std::holds_alternative<ManifestWanted>(message)) {
    peer_links_.Send(peer, BuildManifestOffer());
  }
}

void Node::OnHeartbeatAnswered(const Heartbeat& heartbeat) {
  manifest_sync_.OnHeartbeat(heartbeat, [&](ManifestWanted wanted) {
    peer_links_.Send(heartbeat.instance, std::move(wanted));
  });
  NoteOwnershipHints(heartbeat);
}

// The connection may work in this direction only: the peer can reach this
// instance while this instance can't reach the peer.
void Node::OnInboundHeartbeat(ConnectionId source, const Heartbeat& heartbeat) {
  outbox_.Send(source, BuildHeartbeat());
  peer_links_.OnInboundHeartbeat(heartbeat);
  manifest_sync_.OnHeartbeat(heartbeat, [&](ManifestWanted wanted) {
    outbox_.Send(source, std::move(wanted));
  });
  NoteOwnershipHints(heartbeat);
}

void Node::NoteOwnershipHints(const Heartbeat& heartbeat) {
  for (const auto& it : heartbeat.owned) {
    auto& hint = ownership_hints_[it.database];
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
  peer_links_.SetPeers(directory_.instances());
  for (auto& [name, owner] : owners_) {
    if (const auto* it = FindDatabase(active_manifest().manifest(), name)) {
      owner->SetLeaving(directory_.LeavingMembers(*it));
    }
  }
}

auto Node::BuildManifestOffer() const -> ManifestOffer {
  return {active_manifest().version(), active_manifest().text()};
}

auto Node::BuildHeartbeat() const -> Heartbeat {
  Heartbeat out;
  out.instance = settings_.instance;
  out.manifest_version = active_manifest().version();
  out.manifest_hash = active_manifest().hash();
  if (settings_.listen.host != kWildcardHost) {
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

void Node::OnOwnershipAcquired(const std::string& database,
                               const OwnerRecord& record) {
  StartOwner(database, record);
  request_router_.OnOwnerChanged(database);
}

void Node::StartOwner(const std::string& database, const OwnerRecord& record) {
  const auto* config = FindDatabase(active_manifest().manifest(), database);
  if (config == nullptr) {
    // The database was removed from the manifest while its ownership was being
    // acquired.
    timers_.After(Duration::zero(),
                  [this, database] { ReleaseOwnership(database); });
    return;
  }
  OwnerCallbacks callbacks;
  callbacks.lease_is_valid = [this] { return ownership_.LeaseIsValid(); };
  callbacks.write_record =
      [this, database](std::int64_t term, const std::string& primary,
                       Phase phase, const std::vector<TermStart>& term_starts,
                       std::function<void(bool)> written) {
        ownership_.WriteRecord(database, term, primary, phase, term_starts,
                               std::move(written));
      };
  callbacks.on_fenced_out = [this, database](std::int64_t epoch) {
    ownership_.Reacquire(database, epoch);
  };
  callbacks.on_failed_over = [this](const FailoverGap& gap) {
    failover_log_.Add(timers_.Now(), gap);
  };
  auto owner =
      std::make_unique<DatabaseOwner>(*config, record, settings_.timing,
                                      timers_, outbox_, std::move(callbacks));
  auto* raw = owner.get();
  owners_[database] = std::move(owner);
  raw->Start();
  raw->SetLeaving(directory_.LeavingMembers(*config));
}

void Node::OnOwnershipLost(const std::string& database) {
  RetireOwner(database);
}

auto Node::OwnerOf(const std::string& database) const -> std::string {
  const auto* record = ownership_.RecordOf(database);
  const auto hint = ownership_hints_.find(database);
  const auto epoch = record == nullptr ? 0 : record->epoch;
  if (hint != ownership_hints_.end() && hint->second.epoch > epoch) {
    return hint->second.owner;
  }
  return record == nullptr ? "" : record->owner;
}

auto Node::SubmitToLocalOwner(const std::string& database, RequestPtr request)
    -> bool {
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
  out.manifest_version = active_manifest().version();
  out.manifest_hash = active_manifest().hash();
  out.leaving = leaving_;
  out.lease_valid = ownership_.LeaseIsValid();
  for (const auto& it : active_manifest().manifest().databases) {
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
  out.counters = request_counters_.Snapshot(timers_.Now());
  out.failovers = failover_log_.Snapshot(timers_.Now());
  out.uptime_ms =
      std::chrono::duration_cast<Milliseconds>(timers_.Now() - start_time_)
          .count();
  return out;
}

}  // namespace kingcuplock
