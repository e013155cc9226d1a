// Messages that a gateway exchanges with its peers.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/gateway.h"
#include "kingcuplock/schema/value_check.h"

namespace kingcuplock {
namespace {

/// Time in ms for which heartbeats carry a group's state after it changed or
/// after this instance asked its peers about it.
constexpr Milliseconds kShareGroupStateFor{3000};
/// Delay in ms of a heartbeat with changes, so that several groups share it.
constexpr Milliseconds kShareGroupStateDelay{5};
/// Time in ms in which the store, or a peer that was asked, is to deliver a
/// newer route table: a quarter of the shortest time in which one has to be in
/// use.
constexpr Milliseconds kRoutesTimeout{750};
/// Interval in ms at which a peer is asked for the route table and the members'
/// entries while the store can't be reached.
constexpr Milliseconds kRoutesRequestInterval{1000};
/// Number of these intervals in which the store, once it can be reached, has
/// delivered all entries: they are polled every 3 s.
constexpr int kEntriesDeliveredAfter = 4;

}  // namespace

auto Gateway::Handle(const NodeEvent& event) -> void {
  if (const auto* opened = std::get_if<ConnectionOpened>(&event)) {
    store_.OnOpened(opened->connection) || peers_.OnOpened(opened->connection);
  } else if (const auto* closed = std::get_if<ConnectionClosed>(&event)) {
    inbound_peers_.erase(closed->connection);
    store_.OnClosed(closed->connection) || peers_.OnClosed(closed->connection);
  } else if (const auto* arrived = std::get_if<MessageArrived>(&event)) {
    if (const auto* inbound = std::get_if<InboundMessage>(&arrived->message)) {
      OnInboundPeer(arrived->connection, *inbound);
    } else if (const auto* peer = std::get_if<PeerMessage>(&arrived->message)) {
      peers_.OnMessage(arrived->connection, *peer);
    } else if (const auto* reply = std::get_if<StoreReply>(&arrived->message)) {
      store_.OnReply(arrived->connection, *reply);
    }
  } else {
    BeginStop();
  }
}

auto Gateway::OnInboundPeer(ConnectionId source, const InboundMessage& message)
    -> void {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    holder_watch_.NotePeerHeartbeat(heartbeat->instance,
                                    HeartbeatKind::kUnsolicited, timers_.Now());
    const auto needs_routes = NoteHeartbeat(*heartbeat);
    inbound_peers_.insert(source);
    shell_.Send(source, BuildHeartbeat(heartbeat->groups));
    peers_.OnInboundHeartbeat(*heartbeat);
    if (needs_routes) {
      RequestNewerRoutes(heartbeat->routes_version, [this, source] {
        shell_.Send(source, MakeRoutesRequest());
      });
    }
  } else if (const auto* wanted = std::get_if<RoutesWanted>(&message)) {
    shell_.Send(source, BuildOffer(*wanted));
  } else if (const auto* offer = std::get_if<RoutesOffer>(&message)) {
    ApplyOffer(*offer, "peer");
  } else if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    duty_ownership_.AcceptHandOver(hand_over->database);
  } else if (const auto* grant = std::get_if<GrantWanted>(&message)) {
    OnGrantWanted(source, *grant);
  } else if (const auto* told = std::get_if<StepDown>(&message)) {
    OnStepDown(source, *told);
  } else if (const auto* quota = std::get_if<QuotaWanted>(&message)) {
    quotas_.OnWanted(*quota, [this, source](const QuotaGiven& given) {
      shell_.Send(source, given);
    });
  } else {
    shell_.Log(
        Event::kFrameRejected,
        {{"connection", std::to_string(source)},
         {"reason", "a gateway accepts no message of this type from a peer"}});
  }
}

auto Gateway::OnPeerMessage(const std::string& peer, const PeerMessage& message)
    -> void {
  if (const auto* offer = std::get_if<RoutesOffer>(&message)) {
    ApplyOffer(*offer, peer);
  } else if (const auto* wanted = std::get_if<RoutesWanted>(&message)) {
    peers_.Send(peer, BuildOffer(*wanted));
  } else if (const auto* given = std::get_if<GrantGiven>(&message)) {
    if (auto* group = FindGroup(given->group)) {
      group->OnGrantGiven(*given);
    }
  } else if (const auto* told = std::get_if<SteppedDown>(&message)) {
    OnSteppedDown(*told);
  } else if (const auto* loans = std::get_if<QuotaGiven>(&message)) {
    quotas_.OnGiven(*loans);
  }
}

auto Gateway::MakeRoutesRequest() const -> RoutesWanted {
  return {settings_.instance, routes_.table().version};
}

auto Gateway::BuildOffer(const RoutesWanted& wanted) const -> RoutesOffer {
  RoutesOffer out;
  if (routes_.table().version > wanted.version) {
    out.table = routes_.table();
  }
  out.endpoints = endpoints_.All();
  return out;
}

// Members' entries from a peer are used only while the store, which is more
// reliable, can't be reached, or while none are known.
auto Gateway::ApplyOffer(const RoutesOffer& offer, std::string_view source)
    -> void {
  try {
    CheckRouteTable(offer.table);
    for (const auto& it : offer.endpoints) {
      CheckEndpoint(it);
    }
  } catch (const SchemaError& ex) {
    shell_.Log(Event::kFrameRejected,
               {{"peer", std::string(source)}, {"reason", ex.what()}});
    return;
  }
  routes_.ApplyIfNewer(offer.table, source);
  if (store_.IsReachable() && endpoints_.Size() > 0) {
    return;
  }
  for (const auto& it : offer.endpoints) {
    endpoints_.SetFromPeer(it);
  }
}

// Builds a heartbeat with the state of the groups that changed here lately, and
// of those in `received`, the reports of the heartbeat that is being answered.
// Only an answer has these: otherwise two peers would go on answering each
// other.
auto Gateway::BuildHeartbeat(std::span<const GroupReport> received)
    -> Heartbeat {
  Heartbeat out;
  out.instance = settings_.instance;
  out.host = settings_.peer_listen.host;
  out.port = settings_.peer_listen.port;
  out.leaving = stopping_since_.has_value();
  out.routes_version = routes_.table().version;
  out.endpoints_known = static_cast<std::int64_t>(endpoints_.Size());
  out.store_reachable = store_.IsReachable();
  out.store_contact_ms = std::chrono::duration_cast<Milliseconds>(
                             timers_.Now() - store_.LastContact())
                             .count();
  out.lenders_hash = quotas_.LendersHash();
  out.lends = quotas_.MayLend();
  std::erase_if(group_state_shared_until_,
                [this](const auto& it) { return it.second < timers_.Now(); });
  std::set<std::string> names;
  for (const auto& it : received) {
    names.insert(it.group);
  }
  for (const auto& [name, until] : group_state_shared_until_) {
    names.insert(name);
  }
  for (const auto& it : names) {
    if (const auto* group = FindGroup(it)) {
      out.groups.push_back(group->MakeReport());
    }
  }
  return out;
}

// Takes the reports in a peer's heartbeat. Returns whether the peer has a newer
// route table, or members' entries that this instance lacks.
auto Gateway::NoteHeartbeat(const Heartbeat& heartbeat) -> bool {
  quota_peers_[heartbeat.instance] = {
      heartbeat.instance, heartbeat.store_reachable,
      timers_.Now() - Milliseconds(heartbeat.store_contact_ms), heartbeat.lends,
      heartbeat.lenders_hash};
  for (const auto& it : heartbeat.groups) {
    peer_reports_[heartbeat.instance][it.group] = {it, timers_.Now()};
    if (auto* group = FindGroup(it.group)) {
      group->NotePeerReport(it);
    }
  }
  const auto lacks_endpoints =
      !store_.IsReachable() &&
      heartbeat.endpoints_known > static_cast<std::int64_t>(endpoints_.Size());
  return heartbeat.routes_version > routes_.table().version || lacks_endpoints;
}

// Calls `send_request` to get a newer route table from a peer. Every peer that
// has one announces it, and a table may be large for an instance's bandwidth.
// So only one peer is asked at a time; and while the store can be reached, only
// if the store does not deliver `version` first.
auto Gateway::RequestNewerRoutes(std::int64_t version,
                                 std::function<void()> send_request) -> void {
  if (routes_requested_) {
    return;
  }
  routes_requested_ = true;
  const auto reachable = store_.IsReachable();
  if (!reachable) {
    send_request();
  }
  timers_.After(kRoutesTimeout, [this, version, reachable,
                                 send_request = std::move(send_request)] {
    routes_requested_ = false;
    if (reachable && routes_.table().version < version) {
      send_request();
    }
  });
}

auto Gateway::ShareGroupState(const std::string& group) -> void {
  group_state_shared_until_[group] = timers_.Now() + kShareGroupStateFor;
  if (std::exchange(heartbeat_scheduled_, true)) {
    return;
  }
  timers_.After(kShareGroupStateDelay, [this] {
    heartbeat_scheduled_ = false;
    SendHeartbeats();
  });
}

auto Gateway::SendHeartbeats() -> void {
  peers_.SendHeartbeats();
  for (const auto it : inbound_peers_) {
    shell_.Send(it, BuildHeartbeat());
  }
}

auto Gateway::AskPeersForRoutes() -> void {
  timers_.After(kRoutesRequestInterval, [this] { AskPeersForRoutes(); });
  if (store_.IsReachable()) {
    if (++store_reachable_count_ >= kEntriesDeliveredAfter) {
      endpoints_.RemoveUnregistered();
    }
    return;
  }
  store_reachable_count_ = 0;
  for (const auto& it : peers_.LiveInstances()) {
    if (peers_.Send(it, MakeRoutesRequest())) {
      return;
    }
  }
}

}  // namespace kingcuplock
