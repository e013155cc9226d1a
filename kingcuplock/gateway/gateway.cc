#include "kingcuplock/gateway/gateway.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/membership/peer_choice.h"
#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/value_check.h"

namespace kingcuplock {
namespace {

/// Delay in ms between a change of the registered instances and the choice of
/// peers, as instances that start together register one after the other.
constexpr Milliseconds kPeerUpdateDelay{300};
/// Prefix of the gateways' own keys in the store.
constexpr std::string_view kKeyPrefix = "kingcuplock/";
/// Fraction (1 / N) of the time in which a configuration has to be in use that
/// a transaction may last after its key was removed. The configuration may
/// arrive late, and the transaction's last statement needs time at the member.
constexpr int kTransactionTimeDivisor = 4;

// Returns the instance's names in the store, and its entry as others read it.
auto NamesOf(const GatewaySettings& settings, const std::string& incarnation)
    -> InstanceNames {
  InstanceEntry self;
  self.name = settings.instance;
  self.host = settings.peer_listen.host;
  self.port = settings.peer_listen.port;
  self.data_centre = settings.data_centre;
  return {settings.instance, incarnation, std::string(kKeyPrefix),
          EncodeJson(nlohmann::json(self), FrameFormat::kJson)};
}

}  // namespace

Gateway::Gateway(GatewaySettings settings,
                 const std::string& incarnation,
                 TimerService& timers,
                 GatewayOutbox& out,
                 Outbox& shell,
                 GatewayObserver observer)
    : settings_(std::move(settings)),
      names_(NamesOf(settings_, incarnation)),
      timers_(timers),
      out_(out),
      shell_(shell),
      store_(settings_.store, settings_.timing, timers, shell),
      routes_(shell, [this] { OnRoutesChanged(); }),
      quotas_(
          settings_.instance,
          QuotaLimits{Milliseconds(settings_.quota_window_ms),
                      settings_.quota_overshoot, settings_.quota_slack},
          timers,
          {[this](const std::string& to, const QuotaWanted& wanted) {
             return peers_.Send(to, wanted);
           },
           [this](const std::string& it) {
             return peers_.IsUp(it)        ? PeerState::kUp
                    : peers_.IsRefused(it) ? PeerState::kGone
                                           : PeerState::kUnreachable;
           },
           [this](const std::string& it, Time since) {
             peers_.ReplaceIfSilent(it, since);
           },
           [this] { return store_.LastContact(); },
           [this] { return duty_ownership_.LeaseValidUntil() > timers_.Now(); },
           [this] { return QuotaPeers(); },
           [this](const LendingStates& it) {
             shell_.Log(
                 Event::kLendingChanged,
                 {{"sole", std::to_string(it.sole)},
                  {"doubtful", std::to_string(it.doubtful)},
                  {"none", std::to_string(it.none)},
                  {"lenders", fmt::format("{}", quotas_.Lenders().size())}});
           }}),
      endpoints_(timers, [this] { OnEndpointsChanged(); }),
      duty_ownership_(
          names_,
          settings_.timing,
          settings_.promotions_fenced ? OwnerExclusion::kEpoch
                                      : OwnerExclusion::kLease,
          timers,
          store_,
          shell,
          {[this](const std::string& group, const OwnerRecord& record) {
             OnDutyAcquired(group, record);
           },
           [this](const std::string& group) { OnDutyLost(group); },
           [this](const std::string& group, const OwnerRecord& record) {
             const auto it = duties_.find(group);
             if (it != duties_.end() && record.owner == settings_.instance) {
               it->second->SetEpoch(record.epoch);
             }
             if (!settings_.promotions_fenced) {
               SchedulePeerUpdate();
             }
           }}),
      peers_(settings_.instance,
             settings_.timing,
             timers,
             shell,
             {[this] { return BuildHeartbeat(); },
              [this](const std::string& peer, const PeerMessage& message) {
                OnPeerMessage(peer, message);
              },
              [this](const Heartbeat& it) {
                holder_watch_.NotePeerHeartbeat(
                    it.instance, HeartbeatKind::kReply, timers_.Now());
                if (NoteHeartbeat(it)) {
                  RequestNewerRoutes(it.routes_version,
                                     [this, peer = it.instance] {
                                       peers_.Send(peer, MakeRoutesRequest());
                                     });
                }
              },
              [this](const std::string& peer) { peer_reports_.erase(peer); },
              [this] { ApplyInstances(); }},
             PeerLinkPolicy::kListedOnly),
      observer_(std::move(observer)),
      session_callbacks_{
          [this](const std::string& it) { return routes_.FindRoute(it); },
          [this](const std::string& it) { return FindGroup(it); },
          [this] { return Milliseconds(routes_.table().transaction_idle_ms); },
          [this] { return PhaseOfOwnStop(); },
          [this](ConnectionId client) { CloseIfIdle(client); },
          [this](const std::string& tenant, QuotaCallback callback) {
            Admit(tenant, std::move(callback));
          },
          [this](const std::string& tenant) { quotas_.NoteRepeat(tenant); },
          [this] {
            return Milliseconds(settings_.routes_propagation_ms) /
                   kTransactionTimeDivisor;
          },
          observer_.answered} {}

Gateway::~Gateway() {
  // Sessions give their connections back to the groups, so they end first.
  sessions_.clear();
  duties_.clear();
}

auto Gateway::Start() -> void {
  store_.Watch(std::string(kRoutesKey),
               [this](const StoreItem& item, bool deleted) {
                 if (!deleted) {
                   OnRoutesItem(item);
                 }
               });
  store_.Watch(std::string(kEndpointPrefix),
               [this](const StoreItem& item, bool deleted) {
                 OnEndpointItem(item, deleted);
               });
  store_.Watch(names_.key_prefix + "lease/",
               [this](const StoreItem& item, bool deleted) {
                 OnInstanceItem(item, deleted);
               });
  duty_ownership_.Start();
  store_.Start();
  peers_.Start();
  AskPeersForRoutes();
}

// --------------------------------------------------------------- clients

auto Gateway::OnClientHello(ConnectionId client, const ClientHello& hello)
    -> void {
  StatementAnswer answer;
  if (sessions_.contains(client) || unknown_keys_.Remove(client)) {
    answer.error = StatementError::kMalformed;
    answer.text = "the session is open already";
    out_.Add(AnswerClient{client, answer, true, true});
    sessions_.erase(client);
    return;
  }
  if (PhaseOfOwnStop() >= StopPhase::kRefusingNew) {
    answer.error = StatementError::kBusy;
    answer.text = "the instance is about to stop; connect again";
  } else if (routes_.table().version == 0) {
    answer.error = StatementError::kBusy;
    answer.text = "no configuration is known yet; retry after 500 ms";
  } else if (routes_.FindRoute(hello.database) == nullptr) {
    answer.error = StatementError::kUnknownDatabase;
    answer.text = hello.database;
  }
  if (!answer.IsOk()) {
    RefuseClient(client, hello, std::move(answer));
    return;
  }
  if (auto tenant = Identify(hello)) {
    OpenSession(client, hello, std::move(*tenant));
  } else {
    AwaitKey(client, hello);
  }
}

auto Gateway::RefuseClient(ConnectionId client,
                           const ClientHello& hello,
                           StatementAnswer answer) -> void {
  shell_.Log(answer.error == StatementError::kUnauthorized
                 ? Event::kUnknownKeyRefused
                 : Event::kClientRejected,
             {{"client", std::to_string(client)},
              {"database", hello.database},
              {"routes_version", std::to_string(routes_.table().version)},
              {"reason", std::string(ToString(answer.error))}});
  out_.Add(AnswerClient{client, std::move(answer), true, true});
}

auto Gateway::OpenSession(ConnectionId client,
                          const ClientHello& hello,
                          std::string tenant) -> void {
  shell_.Log(Event::kSessionOpened, {{"client", std::to_string(client)},
                                     {"database", hello.database},
                                     {"tenant", tenant}});
  sessions_[client] =
      std::make_unique<Session>(client, hello, std::move(tenant),
                                session_callbacks_, timers_, out_, shell_);
  out_.Add(AnswerClient{client, {}, true, false});
}

auto Gateway::OnClientStatement(ConnectionId client, SessionStatement statement)
    -> void {
  const auto it = sessions_.find(client);
  if (it == sessions_.end()) {
    unknown_keys_.Remove(client);
    OnInvalidClientInput(client, {StatementError::kMalformed,
                                  "open the session before its statements"});
    return;
  }
  it->second->HandleStatement(std::move(statement));
}

auto Gateway::OnInvalidClientInput(ConnectionId client,
                                   const InvalidClientInput& invalid_input)
    -> void {
  shell_.Log(Event::kClientRejected, {{"client", std::to_string(client)},
                                      {"reason", invalid_input.reason}});
  sessions_.erase(client);
  unknown_keys_.Remove(client);
  StatementAnswer answer;
  answer.error = invalid_input.error;
  answer.text = invalid_input.reason;
  out_.Add(AnswerClient{client, std::move(answer), true, true});
}

auto Gateway::OnClientClosed(ConnectionId client) -> void {
  unknown_keys_.Remove(client);
  if (sessions_.erase(client) > 0) {
    shell_.Log(Event::kSessionClosed, {{"client", std::to_string(client)}});
  }
}

// --------------------------------------------------------------- members

auto Gateway::OnMemberOpened(ConnectionId connection) -> void {
  for (auto& [name, group] : groups_) {
    if (group->OnOpened(connection)) {
      return;
    }
  }
  out_.Add(CloseStream{connection});
}

auto Gateway::OnMemberAnswer(ConnectionId connection,
                             const StatementAnswer& answer) -> void {
  for (auto& [name, group] : groups_) {
    if (group->OnAnswer(connection, answer)) {
      return;
    }
  }
}

auto Gateway::OnMemberClosed(ConnectionId connection, Reach reason) -> void {
  for (auto& [name, group] : groups_) {
    if (group->OnClosed(connection, reason)) {
      return;
    }
  }
}

auto Gateway::OnMemberStatementNotSent(ConnectionId connection) -> void {
  for (auto& [name, group] : groups_) {
    if (group->OnNotSent(connection)) {
      return;
    }
  }
}

// ---------------------------------------------- configuration, membership

auto Gateway::FindGroup(const std::string& group) -> Group* {
  const auto it = groups_.find(group);
  return it == groups_.end() ? nullptr : it->second.get();
}

auto Gateway::OnRoutesChanged() -> void {
  ApplyTenants();
  std::vector<std::string> names;
  for (const auto& it : routes_.table().groups) {
    names.push_back(it.name);
    auto& group = groups_[it.name];
    if (group) {
      group->SetConfig(it, tenants_.ChecksKeys());
      continue;
    }
    group = std::make_unique<Group>(
        it,
        GroupOptions{settings_.data_centre, Milliseconds(settings_.leaving_ms),
                     settings_.promotions_fenced},
        timers_, out_, shell_,
        GroupCallbacks{[this, name = it.name] { OnGroupChanged(name); },
                       [this, name = it.name](std::int64_t ask) {
                         return RequestGrant(name, ask);
                       },
                       [this, name = it.name](auto callback) {
                         ReadOrderRecord(name, std::move(callback));
                       },
                       observer_.served});
    group->SetConfig(it, tenants_.ChecksKeys());
  }
  duty_ownership_.SetDatabases(names);
  // Heartbeats tell the peers of the new version; they pass it on.
  SendHeartbeats();
  ApplyInstances();
  OnEndpointsChanged();
}

auto Gateway::OnEndpointsChanged() -> void {
  // Several entries may change at once; the groups take them together.
  if (std::exchange(endpoints_update_scheduled_, true)) {
    return;
  }
  timers_.After(Duration::zero(), [this] {
    endpoints_update_scheduled_ = false;
    for (auto& [name, group] : groups_) {
      group->SetMembers(endpoints_.EntriesOfGroup(name));
    }
  });
}

auto Gateway::OnRoutesItem(const StoreItem& item) -> void {
  try {
    const auto table =
        DecodeFrame(item.value, FrameFormat::kJson).get<RouteTable>();
    CheckRouteTable(table);
    routes_.ApplyIfNewer(table, "store");
  } catch (const SchemaError& ex) {
    shell_.Log(Event::kRoutesRejected,
               {{"key", item.key}, {"reason", ex.what()}});
  }
}

auto Gateway::OnEndpointItem(const StoreItem& item, bool deleted) -> void {
  const auto member = item.key.substr(kEndpointPrefix.size());
  if (deleted) {
    endpoints_.Remove(member);
    return;
  }
  try {
    const auto entry =
        DecodeFrame(item.value, FrameFormat::kJson).get<EndpointEntry>();
    CheckEndpoint(entry);
    endpoints_.Set(entry, store_.era_change_count());
  } catch (const SchemaError& ex) {
    shell_.Log(Event::kEndpointRejected,
               {{"key", item.key}, {"reason", ex.what()}});
    endpoints_.Remove(member);
  }
}

auto Gateway::OnInstanceItem(const StoreItem& item, bool deleted) -> void {
  if (deleted) {
    if (const auto it = instances_.find(item.key); it != instances_.end()) {
      instances_removed_[it->second.name] = timers_.Now();
      instances_.erase(it);
    }
  } else {
    try {
      instances_[item.key] =
          DecodeFrame(item.value, FrameFormat::kJson).get<InstanceEntry>();
    } catch (const SchemaError& ex) {
      shell_.Log(Event::kInstanceListRejected,
                 {{"key", item.key}, {"reason", ex.what()}});
      return;
    }
  }
  ApplyLenders();
  SchedulePeerUpdate();
}

auto Gateway::OnStoreReplaced() -> void {
  store_.BeginNewEra();
}

auto Gateway::SchedulePeerUpdate() -> void {
  if (std::exchange(peer_update_scheduled_, true)) {
    return;
  }
  timers_.After(kPeerUpdateDelay, [this] {
    peer_update_scheduled_ = false;
    UpdatePeers();
  });
}

// Connects to the chosen peers, and to the lenders of tenants' operations.
// Without fencing tokens, this instance also
// needs the holders of promotion duties, to ask them for grants, and the former
// holders of its own duties, to ask them to step down.
auto Gateway::UpdatePeers() -> void {
  std::vector<InstanceEntry> listed;
  for (const auto& [key, entry] : instances_) {
    listed.push_back(entry);
  }
  auto chosen = ChoosePeers(listed, settings_.instance);
  std::set<std::string> wanted;
  for (const auto& it : routes_.table().groups) {
    const auto* record = duty_ownership_.RecordOf(it.name);
    if (!settings_.promotions_fenced && record != nullptr) {
      wanted.insert(record->owner);
      if (duties_.contains(it.name)) {
        wanted.insert(record->previous);
      }
    }
  }
  for (const auto& it : quotas_.Lenders()) {
    wanted.insert(it);
  }
  for (const auto& it : chosen) {
    wanted.erase(it.name);
  }
  std::copy_if(listed.begin(), listed.end(), std::back_inserter(chosen),
               [&](const auto& it) { return wanted.erase(it.name) > 0; });
  peers_.SetPeers(chosen);
}

// Only some instances are connected as peers. The others are known by their
// entries in the store.
auto Gateway::InstanceNamesKnown() const -> std::vector<std::string> {
  auto names = peers_.LiveInstances();
  for (const auto& [key, entry] : instances_) {
    names.push_back(entry.name);
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

auto Gateway::ApplyInstances() -> void {
  const auto names = InstanceNamesKnown();
  duty_ownership_.SetLiveInstances(names);
  for (auto& [name, group] : groups_) {
    group->SetInstanceCount(static_cast<std::int64_t>(names.size()));
  }
}

auto Gateway::Gauges() const -> GatewayGauges {
  GatewayGauges out;
  out.sessions = sessions_.size();
  for (const auto& [name, group] : groups_) {
    out.connections += group->CountConnections();
    out.waiting += group->CountWaitingTasks();
    group->AddMemberGauges(out.members);
  }
  out.tenants = quotas_.Uses();
  out.quota_messages = quotas_.message_counts();
  out.routes_version = routes_.table().version;
  out.peers = peers_.LiveInstances().size() - 1;
  out.ready = last_ready_;
  return out;
}

}  // namespace kingcuplock
