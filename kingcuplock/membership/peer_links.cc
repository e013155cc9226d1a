#include "kingcuplock/membership/peer_links.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Pause before a link that was lost is opened again.
constexpr Milliseconds kReconnectPause{100};
/// Time in ms within which a failed attempt to open a link means that nobody
/// listens at the peer's address: several round trips between data centres.
constexpr Milliseconds kRefusalTime{250};
/// Shortest time between two replacements of a silent link.
constexpr Milliseconds kReplacePause{1000};
/// Silence after which a peer that is not listed is removed.
constexpr Milliseconds kUnlistedPeerExpiry{10'000};

}  // namespace

PeerLinks::PeerLinks(std::string self,
                     TimingSettings timing,
                     TimerService& timers,
                     Outbox& outbox,
                     PeerCallbacks callbacks,
                     PeerLinkPolicy link_policy)
    : self_(std::move(self)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      link_policy_(link_policy) {}

void PeerLinks::SetPeers(std::span<const InstanceEntry> listed) {
  for (auto& [name, peer] : peers_) {
    peer.listed.reset();
    peer.listed_as_leaving = false;
  }
  for (const auto& it : listed) {
    if (it.name == self_) {
      continue;
    }
    const PeerAddress address{it.name, it.host, it.port};
    if (!peers_.contains(it.name)) {
      AddPeer(address);
    }
    auto& peer = peers_.at(it.name);
    peer.listed = address;
    peer.listed_as_leaving = it.leaving;
    if (peer.address != address && !peer.IsLive()) {
      MoveTo(peer, address);
    }
  }
  RemoveUnlistedPeers();
  callbacks_.on_live_changed();
}

void PeerLinks::AddPeer(const PeerAddress& address) {
  auto& peer = peers_[address.name];
  peer.address = address;
  peer.last_heard = timers_.Now();
  Connect(peer);
}

void PeerLinks::MoveTo(Peer& peer, const PeerAddress& address) {
  outbox_.Log(Event::kPeerMoved, {{"peer", address.name},
                                  {"host", address.host},
                                  {"port", std::to_string(address.port)}});
  if (peer.connection != 0) {
    by_connection_.erase(peer.connection);
    outbox_.Close(peer.connection);
  }
  peer.address = address;
  peer.has_answered = false;
  peer.leaving = false;
  Connect(peer);
  callbacks_.on_link_down(address.name);
}

void PeerLinks::RemoveUnlistedPeers() {
  std::vector<std::string> gone;
  const auto any_listed =
      std::any_of(peers_.begin(), peers_.end(),
                  [](const auto& it) { return it.second.listed.has_value(); });
  const auto drop_unlisted =
      link_policy_ == PeerLinkPolicy::kListedOnly && any_listed;
  for (const auto& [name, peer] : peers_) {
    if (!peer.listed && drop_unlisted) {
      gone.push_back(name);
      continue;
    }
    const auto silent = timers_.Now() - peer.last_heard >= kUnlistedPeerExpiry;
    if (!peer.listed && !peer.has_answered && silent) {
      gone.push_back(name);
    }
  }
  for (const auto& it : gone) {
    const auto node = peers_.extract(it);
    by_connection_.erase(node.mapped().connection);
    outbox_.Close(node.mapped().connection);
    callbacks_.on_link_down(it);
  }
}

void PeerLinks::OnInboundHeartbeat(const Heartbeat& heartbeat) {
  const PeerAddress address{heartbeat.instance, heartbeat.host, heartbeat.port};
  if (heartbeat.instance == self_ || heartbeat.leaving ||
      address.host.empty() || address.port == 0) {
    return;
  }
  const auto it = peers_.find(heartbeat.instance);
  if (it == peers_.end()) {
    if (link_policy_ == PeerLinkPolicy::kListedOnly && !peers_.empty()) {
      return;
    }
    AddPeer(address);
  } else if (it->second.address != address && !it->second.IsLive()) {
    MoveTo(it->second, address);
  }
}

void PeerLinks::Start() {
  CheckLinksPeriodically();
}

void PeerLinks::Connect(Peer& peer) {
  peer.open = false;
  peer.connecting_since = timers_.Now();
  peer.connection =
      outbox_.Open(ConnectionKind::kPeer, peer.address.host, peer.address.port,
                   static_cast<int>(timing_.peer_timeout_ms));
  by_connection_[peer.connection] = peer.address.name;
}

void PeerLinks::CheckLinksPeriodically() {
  const auto now = timers_.Now();
  std::vector<std::string> silent;
  for (auto& [name, peer] : peers_) {
    if (!peer.open) {
      continue;
    }
    if (now - peer.last_heard > Milliseconds(timing_.peer_timeout_ms)) {
      silent.push_back(name);
    }
  }
  for (const auto& it : silent) {
    auto& peer = peers_.at(it);
    outbox_.Close(peer.connection);
    by_connection_.erase(peer.connection);
    OnLinkLost(peer);
  }
  SendHeartbeats();
  RemoveUnlistedPeers();
  timers_.After(Milliseconds(timing_.heartbeat_ms),
                [this] { CheckLinksPeriodically(); });
}

void PeerLinks::SendHeartbeats() {
  for (auto& [name, peer] : peers_) {
    if (peer.open) {
      outbox_.Send(peer.connection, callbacks_.make_heartbeat());
    }
  }
}

void PeerLinks::OnLinkLost(Peer& peer) {
  const auto name = peer.address.name;
  peer.open = false;
  peer.connection = 0;
  if (std::exchange(peer.has_answered, false)) {
    outbox_.Log(Event::kPeerDown, {{"peer", name}});
  }
  timers_.After(kReconnectPause, [this, name] {
    const auto it = peers_.find(name);
    if (it == peers_.end() || it->second.connection != 0) {
      return;
    }
    auto& peer = it->second;
    if (peer.listed && peer.address != *peer.listed && !peer.has_answered) {
      MoveTo(peer, *peer.listed);
    } else {
      Connect(peer);
    }
  });
  callbacks_.on_link_down(name);
  callbacks_.on_live_changed();
}

auto PeerLinks::Send(std::string_view peer, OutboundMessage message) -> bool {
  if (!IsUp(peer)) {
    return false;
  }
  outbox_.Send(peers_.find(peer)->second.connection, std::move(message));
  return true;
}

auto PeerLinks::IsUp(std::string_view peer) const -> bool {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.open && it->second.has_answered;
}

void PeerLinks::ReplaceIfSilent(std::string_view name, Time since) {
  const auto it = peers_.find(name);
  if (it == peers_.end() || !it->second.open ||
      it->second.last_heard >= since ||
      timers_.Now() - it->second.connecting_since < kReplacePause) {
    return;
  }
  auto& peer = it->second;
  outbox_.Close(peer.connection);
  by_connection_.erase(peer.connection);
  if (std::exchange(peer.has_answered, false)) {
    outbox_.Log(Event::kPeerDown, {{"peer", peer.address.name}});
  }
  Connect(peer);
  callbacks_.on_link_down(peer.address.name);
}

auto PeerLinks::IsRefused(std::string_view peer) const -> bool {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.refused;
}

auto PeerLinks::LiveInstances() const -> std::vector<std::string> {
  std::vector<std::string> live{self_};
  for (const auto& [name, peer] : peers_) {
    if (peer.IsLive() && !peer.listed_as_leaving) {
      live.push_back(name);
    }
  }
  return live;
}

auto PeerLinks::FindByConnection(ConnectionId connection) -> Peer* {
  const auto it = by_connection_.find(connection);
  return it == by_connection_.end() ? nullptr : &peers_.at(it->second);
}

auto PeerLinks::OnOpened(ConnectionId connection) -> bool {
  auto* peer = FindByConnection(connection);
  if (peer == nullptr) {
    return false;
  }
  peer->open = true;
  peer->refused = false;
  peer->last_heard = timers_.Now();
  outbox_.Send(connection, callbacks_.make_heartbeat());
  return true;
}

auto PeerLinks::OnClosed(ConnectionId connection) -> bool {
  auto* peer = FindByConnection(connection);
  if (peer == nullptr) {
    return false;
  }
  by_connection_.erase(connection);
  peer->refused =
      !peer->open && timers_.Now() - peer->connecting_since < kRefusalTime;
  OnLinkLost(*peer);
  return true;
}

auto PeerLinks::OnMessage(ConnectionId connection, const PeerMessage& message)
    -> bool {
  auto* peer = FindByConnection(connection);
  if (peer == nullptr) {
    return false;
  }
  peer->last_heard = timers_.Now();
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    const auto was_live = peer->IsLive();
    if (!std::exchange(peer->has_answered, true)) {
      outbox_.Log(Event::kPeerUp, {{"peer", peer->address.name}});
    }
    peer->leaving = heartbeat->leaving;
    callbacks_.on_heartbeat(*heartbeat);
    if (was_live != !peer->leaving) {
      callbacks_.on_live_changed();
    }
    return true;
  }
  callbacks_.on_message(peer->address.name, message);
  return true;
}

}  // namespace kingcuplock
