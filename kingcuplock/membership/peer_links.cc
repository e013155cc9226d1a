#include "kingcuplock/membership/peer_links.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Pause in ms before a link is opened again.
constexpr Milliseconds kReconnectPause{100};
/// Time in ms after which a silent peer that is not listed is forgotten.
constexpr Milliseconds kForgetAfter{10'000};

}  // namespace

PeerLinks::PeerLinks(std::string self,
                     TimingSettings timing,
                     TimerService& timers,
                     Outbox& outbox,
                     PeerCallbacks callbacks,
                     PeerLinkPolicy linking)
    : self_(std::move(self)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      linking_(linking) {}

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
      Add(address);
    }
    auto& peer = peers_.at(it.name);
    peer.listed = address;
    peer.listed_as_leaving = it.leaving;
    if (peer.address != address && !peer.IsLive()) {
      Move(peer, address);
    }
  }
  ForgetUnlisted();
  callbacks_.changed();
}

void PeerLinks::Add(const PeerAddress& address) {
  auto& peer = peers_[address.name];
  peer.address = address;
  peer.last_heard = timers_.Now();
  Connect(peer);
}

void PeerLinks::Move(Peer& peer, const PeerAddress& address) {
  outbox_.Log(Event::kPeerMoved, {{"peer", address.name},
                                  {"host", address.host},
                                  {"port", std::to_string(address.port)}});
  if (peer.connection != 0) {
    by_connection_.erase(peer.connection);
    outbox_.Close(peer.connection);
  }
  peer.address = address;
  peer.heard = false;
  peer.leaving = false;
  Connect(peer);
  callbacks_.down(address.name);
}

void PeerLinks::ForgetUnlisted() {
  std::vector<std::string> gone;
  const auto any_listed =
      std::any_of(peers_.begin(), peers_.end(),
                  [](const auto& it) { return it.second.listed.has_value(); });
  const auto drop_heard = linking_ == PeerLinkPolicy::kListedOnly && any_listed;
  for (const auto& [name, peer] : peers_) {
    if (!peer.listed && drop_heard) {
      gone.push_back(name);
      continue;
    }
    const auto silent = timers_.Now() - peer.last_heard >= kForgetAfter;
    if (!peer.listed && !peer.heard && silent) {
      gone.push_back(name);
    }
  }
  for (const auto& it : gone) {
    const auto node = peers_.extract(it);
    by_connection_.erase(node.mapped().connection);
    outbox_.Close(node.mapped().connection);
    callbacks_.down(it);
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
    if (linking_ == PeerLinkPolicy::kListedOnly && !peers_.empty()) {
      return;
    }
    Add(address);
  } else if (it->second.address != address && !it->second.IsLive()) {
    Move(it->second, address);
  }
}

void PeerLinks::Start() {
  Tick();
}

void PeerLinks::Connect(Peer& peer) {
  peer.open = false;
  peer.connection =
      outbox_.Open(ConnectionKind::kPeer, peer.address.host, peer.address.port,
                   static_cast<int>(timing_.peer_timeout_ms));
  by_connection_[peer.connection] = peer.address.name;
}

void PeerLinks::Tick() {
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
    Lose(peer);
  }
  SendHeartbeats();
  ForgetUnlisted();
  timers_.After(Milliseconds(timing_.heartbeat_ms), [this] { Tick(); });
}

void PeerLinks::SendHeartbeats() {
  for (auto& [name, peer] : peers_) {
    if (peer.open) {
      outbox_.Send(peer.connection, callbacks_.heartbeat());
    }
  }
}

void PeerLinks::Lose(Peer& peer) {
  const auto name = peer.address.name;
  peer.open = false;
  peer.connection = 0;
  if (std::exchange(peer.heard, false)) {
    outbox_.Log(Event::kPeerDown, {{"peer", name}});
  }
  timers_.After(kReconnectPause, [this, name] {
    const auto it = peers_.find(name);
    if (it == peers_.end() || it->second.connection != 0) {
      return;
    }
    auto& peer = it->second;
    if (peer.listed && peer.address != *peer.listed && !peer.heard) {
      Move(peer, *peer.listed);
    } else {
      Connect(peer);
    }
  });
  callbacks_.down(name);
  callbacks_.changed();
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
  return it != peers_.end() && it->second.open && it->second.heard;
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
  peer->last_heard = timers_.Now();
  outbox_.Send(connection, callbacks_.heartbeat());
  return true;
}

auto PeerLinks::OnClosed(ConnectionId connection) -> bool {
  auto* peer = FindByConnection(connection);
  if (peer == nullptr) {
    return false;
  }
  by_connection_.erase(connection);
  Lose(*peer);
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
    if (!std::exchange(peer->heard, true)) {
      outbox_.Log(Event::kPeerUp, {{"peer", peer->address.name}});
    }
    peer->leaving = heartbeat->leaving;
    callbacks_.heard(*heartbeat);
    if (was_live != !peer->leaving) {
      callbacks_.changed();
    }
    return true;
  }
  callbacks_.message(peer->address.name, message);
  return true;
}

}  // namespace kingcuplock
