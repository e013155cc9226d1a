#include "kingcuplock/membership/peer_links.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Pause in ms before a link is opened again.
constexpr Milliseconds kReconnectPause{100};

}  // namespace

PeerLinks::PeerLinks(std::string self,
                     TimingSettings timing,
                     TimerService& timers,
                     Outbox& outbox,
                     PeerCallbacks callbacks)
    : self_(std::move(self)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)) {}

void PeerLinks::SetPeers(std::span<const PeerAddress> addresses) {
  std::map<std::string, Peer, std::less<>> old;
  std::swap(old, peers_);
  for (const auto& it : addresses) {
    if (it.name == self_) {
      continue;
    }
    auto node = old.extract(it.name);
    const auto same = !node.empty() && node.mapped().address == it;
    auto& peer = peers_[it.name];
    if (same) {
      peer = std::move(node.mapped());
      continue;
    }
    if (!node.empty()) {
      old.insert(std::move(node));
    }
    peer.address = it;
    Connect(peer);
  }
  for (auto& [name, peer] : old) {
    by_connection_.erase(peer.connection);
    outbox_.Close(peer.connection);
    callbacks_.down(name);
  }
  callbacks_.changed();
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
    } else {
      outbox_.Send(peer.connection, callbacks_.heartbeat());
    }
  }
  for (const auto& it : silent) {
    auto& peer = peers_.at(it);
    outbox_.Close(peer.connection);
    by_connection_.erase(peer.connection);
    Lose(peer);
  }
  timers_.After(Milliseconds(timing_.heartbeat_ms), [this] { Tick(); });
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
    if (it != peers_.end() && it->second.connection == 0) {
      Connect(it->second);
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

auto PeerLinks::Live() const -> std::vector<std::string> {
  std::vector<std::string> live{self_};
  for (const auto& [name, peer] : peers_) {
    if (peer.heard && !peer.leaving) {
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
    const auto was_live = peer->heard && !peer->leaving;
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
