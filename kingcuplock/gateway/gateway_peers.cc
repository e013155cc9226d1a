// What a gateway tells its peers and hears from them.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/gateway.h"

namespace kingcuplock {
namespace {

/// Time in ms for which heartbeats carry a group's state after a change or a
/// question of this instance.
constexpr Milliseconds kSpreadFor{3000};
/// Pause in ms within which changes of several groups share one heartbeat.
constexpr Milliseconds kSpreadPause{5};
/// Time in ms for the store, or a peer that was asked, to bring a newer table:
/// a quarter of the shortest time in which one has to be in force.
constexpr Milliseconds kRoutesPatience{750};
/// Interval in ms at which peers are asked for configuration and endpoints
/// while the store can't be reached.
constexpr Milliseconds kAskInterval{1000};

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
    const auto wants = NoteHeartbeat(*heartbeat);
    inbound_peers_.insert(source);
    shell_.Send(source, BuildHeartbeat(heartbeat->groups));
    peers_.OnInboundHeartbeat(*heartbeat);
    if (wants) {
      WantRoutes(heartbeat->routes_version,
                 [this, source] { shell_.Send(source, AskForRoutes()); });
    }
  } else if (const auto* wanted = std::get_if<RoutesWanted>(&message)) {
    shell_.Send(source, BuildOffer(*wanted));
  } else if (const auto* offer = std::get_if<RoutesOffer>(&message)) {
    TakeOffer(*offer, "peer");
  } else if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    duty_ownership_.AcceptHandOver(hand_over->database);
  } else if (const auto* grant = std::get_if<GrantWanted>(&message)) {
    OnGrantWanted(source, *grant);
  } else if (const auto* told = std::get_if<StepDown>(&message)) {
    OnStepDown(source, *told);
  } else {
    shell_.Log(Event::kFrameRejected,
               {{"connection", std::to_string(source)},
                {"reason", "a gateway takes no such frame from a peer"}});
  }
}

auto Gateway::OnPeerMessage(const std::string& peer, const PeerMessage& message)
    -> void {
  if (const auto* offer = std::get_if<RoutesOffer>(&message)) {
    TakeOffer(*offer, peer);
  } else if (const auto* wanted = std::get_if<RoutesWanted>(&message)) {
    peers_.Send(peer, BuildOffer(*wanted));
  } else if (const auto* given = std::get_if<GrantGiven>(&message)) {
    if (auto* group = FindGroup(given->group)) {
      group->OnGrantGiven(*given);
    }
  } else if (const auto* told = std::get_if<SteppedDown>(&message)) {
    OnSteppedDown(*told);
  }
}

auto Gateway::AskForRoutes() const -> RoutesWanted {
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

// Endpoints of a peer count only while the store, which knows better, is away.
auto Gateway::TakeOffer(const RoutesOffer& offer, std::string_view source)
    -> void {
  routes_.ApplyIfNewer(offer.table, source);
  if (store_.IsReachable() && endpoints_.Size() > 0) {
    return;
  }
  for (const auto& it : offer.endpoints) {
    endpoints_.Set(it);
  }
}

// Besides what this instance has to tell, it answers what a peer told. Only an
// answer does: two peers would go on telling each other otherwise.
auto Gateway::BuildHeartbeat(std::span<const GroupReport> told) -> Heartbeat {
  Heartbeat out;
  out.instance = settings_.instance;
  out.host = settings_.peer_listen.host;
  out.port = settings_.peer_listen.port;
  out.leaving = stopping_since_.has_value();
  out.routes_version = routes_.table().version;
  out.endpoints_known = static_cast<std::int64_t>(endpoints_.Size());
  std::erase_if(spread_,
                [this](const auto& it) { return it.second < timers_.Now(); });
  std::set<std::string> names;
  for (const auto& it : told) {
    names.insert(it.group);
  }
  for (const auto& [name, until] : spread_) {
    names.insert(name);
  }
  for (const auto& it : names) {
    if (const auto* group = FindGroup(it)) {
      out.groups.push_back(group->MakeReport());
    }
  }
  return out;
}

// Returns whether the peer has something that this instance lacks.
auto Gateway::NoteHeartbeat(const Heartbeat& heartbeat) -> bool {
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

// A table may be large beside an instance's link, and every peer that has it
// tells so. It is asked for at one of them at a time, and while the store can
// be reached only if the store does not bring it.
auto Gateway::WantRoutes(std::int64_t version, std::function<void()> ask)
    -> void {
  if (asking_routes_) {
    return;
  }
  asking_routes_ = true;
  const auto reachable = store_.IsReachable();
  if (!reachable) {
    ask();
  }
  timers_.After(kRoutesPatience,
                [this, version, reachable, ask = std::move(ask)] {
                  asking_routes_ = false;
                  if (reachable && routes_.table().version < version) {
                    ask();
                  }
                });
}

auto Gateway::ShareGroupState(const std::string& group) -> void {
  spread_[group] = timers_.Now() + kSpreadFor;
  if (std::exchange(spreading_, true)) {
    return;
  }
  timers_.After(kSpreadPause, [this] {
    spreading_ = false;
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
  timers_.After(kAskInterval, [this] { AskPeersForRoutes(); });
  if (store_.IsReachable()) {
    return;
  }
  for (const auto& it : peers_.Live()) {
    if (peers_.Send(it, AskForRoutes())) {
      return;
    }
  }
}

}  // namespace kingcuplock
