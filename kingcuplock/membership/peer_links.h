#pragma once

/// Links to the other instances: one outbound connection each, with heartbeats
/// both ways. A link that is silent is replaced. The platform's list, which
/// lags, is joined with what the peers themselves tell: a listed peer that does
/// not answer is not live, and one that answers is kept although not listed.
///
/// Example:
///   PeerLinks peers(name, timing, timers, outbox, callbacks);
///   peers.SetPeers(directory.instances());
///   peers.Send("proxy-2", forward);

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// What the links use and report to.
struct PeerCallbacks {
  /// Returns the heartbeat to send now.
  std::function<Heartbeat()> heartbeat;
  /// A message other than a heartbeat arrived from a peer.
  std::function<void(const std::string&, const PeerMessage&)> message;
  /// A peer answered a heartbeat.
  std::function<void(const Heartbeat&)> heard;
  /// A link went down: what was sent over it may or may not have arrived.
  std::function<void(const std::string&)> down;
  /// The set of live instances changed.
  std::function<void()> changed;
};

/// Which peers are linked beside the listed ones.
enum class PeerLinkPolicy {
  /// Every peer that is heard from.
  kAllHeard,
  /// None, once any is listed.
  kListedOnly
};

/// Not thread safe. O(log n) in peers per message.
class PeerLinks {
 public:
  PeerLinks(std::string self,
            TimingSettings timing,
            TimerService& timers,
            Outbox& outbox,
            PeerCallbacks callbacks,
            PeerLinkPolicy linking = PeerLinkPolicy::kAllHeard);

  /// Sets the peers listed. A peer that answers keeps its link, wherever the
  /// list places it; one that does not is sought where the list says.
  void SetPeers(std::span<const InstanceEntry> listed);

  /// Begins to send heartbeats.
  void Start();

  /// Sends a heartbeat to every peer now.
  void SendHeartbeats();

  /// Learns a peer, or its new address, from its own heartbeat on an inbound
  /// connection.
  void OnInboundHeartbeat(const Heartbeat& heartbeat);

  /// Sends a message. Returns false if the link is not up.
  auto Send(std::string_view peer, OutboundMessage message) -> bool;

  /// Returns whether the link is up and the peer answered lately.
  auto IsUp(std::string_view peer) const -> bool;

  /// Returns this instance and the live peers that are not leaving.
  auto LiveInstances() const -> std::vector<std::string>;

  /// Handle an event; return false if the connection is not a peer link.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnMessage(ConnectionId connection, const PeerMessage& message) -> bool;

 private:
  struct Peer {
    PeerAddress address;
    ConnectionId connection = 0;
    bool open = false;
    bool heard = false;
    bool leaving = false;
    Time last_heard{};
    /// Where the platform's list places it, if it is listed.
    std::optional<PeerAddress> listed;
    bool listed_as_leaving = false;

    auto IsLive() const -> bool { return heard && !leaving; }
  };

  void Connect(Peer& peer);
  void Move(Peer& peer, const PeerAddress& address);
  void Add(const PeerAddress& address);
  void ForgetUnlisted();
  void Tick();
  void Lose(Peer& peer);
  auto FindByConnection(ConnectionId connection) -> Peer*;

  std::string self_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  PeerCallbacks callbacks_;
  PeerLinkPolicy linking_;
  std::map<std::string, Peer, std::less<>> peers_;
  std::map<ConnectionId, std::string> by_connection_;
};

}  // namespace kingcuplock
