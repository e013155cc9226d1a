#pragma once

/// Links to other instances: one outbound connection per peer, with heartbeats
/// in both directions. A link without an answer within the peer timeout is
/// replaced. The platform's list of instances may lag, so it is combined with
/// what the peers themselves report: a listed peer that does not answer is not
/// live, and a peer that answers is kept although it is not listed.
///
/// Example:
///   PeerLinks peers("proxy-1", timing, timers, outbox,
///                   {.make_heartbeat = ..., .on_message = ...,
///                    .on_heartbeat = ..., .on_link_down = ...,
///                    .on_live_changed = ...});
///   peers.SetPeers(directory.instances());
///   peers.Start();
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

/// Callbacks of PeerLinks.
struct PeerCallbacks {
  /// Returns the heartbeat to send now.
  std::function<Heartbeat()> make_heartbeat;
  /// A message other than a heartbeat arrived from a peer.
  std::function<void(const std::string& peer, const PeerMessage& message)>
      on_message;
  /// A peer answered a heartbeat with its own.
  std::function<void(const Heartbeat& heartbeat)> on_heartbeat;
  /// The link to a peer went down. Messages that were sent over it may or may
  /// not have arrived.
  std::function<void(const std::string& peer)> on_link_down;
  /// The set of live instances may have changed.
  std::function<void()> on_live_changed;
};

/// Which peers get a link in addition to the listed ones.
enum class PeerLinkPolicy {
  /// Every peer that sends a heartbeat.
  kAllHeard,
  /// Only the first peer that sends a heartbeat, and none once any is listed.
  kListedOnly
};

/// Not thread safe. A message is O(log n) for n peers. `timers` call back into
/// the links and must not run after they are gone.
class PeerLinks {
 public:
  PeerLinks(std::string self,
            TimingSettings timing,
            TimerService& timers,
            Outbox& outbox,
            PeerCallbacks callbacks,
            PeerLinkPolicy link_policy = PeerLinkPolicy::kAllHeard);

  /// Sets the listed peers; an entry for this instance is ignored. A peer that
  /// answers and is not leaving keeps its link even if the list gives another
  /// address. Any other peer is linked at the listed address.
  void SetPeers(std::span<const InstanceEntry> listed);

  /// Begins to send heartbeats periodically and to replace silent links.
  void Start();

  /// Sends a heartbeat now to every peer whose link is open.
  void SendHeartbeats();

  /// Adds a peer, or updates its address, from a heartbeat that it sent on an
  /// inbound connection. A peer that answers on its link and is not leaving
  /// keeps its address.
  void OnInboundHeartbeat(const Heartbeat& heartbeat);

  /// Sends a message to `peer`. Returns false, without sending, if its link is
  /// not up.
  auto Send(std::string_view peer, OutboundMessage message) -> bool;

  /// Returns whether the link is open and the peer has answered a heartbeat
  /// within the peer timeout.
  auto IsUp(std::string_view peer) const -> bool;

  /// Returns whether the last attempt to open the link failed at once, so that
  /// the peer's process has ended or not started yet.
  auto IsRefused(std::string_view peer) const -> bool;

  /// Opens a new connection in place of one on which nothing was heard since
  /// `since`, though an answer was expected: connections can go silent while
  /// new ones work. Does nothing if something was heard, or if the last
  /// replacement was a moment ago.
  void ReplaceIfSilent(std::string_view peer, Time since);

  /// Returns the names of this instance and of the live peers. A peer is live
  /// if it answers heartbeats and neither it nor the list says that it is
  /// leaving.
  auto LiveInstances() const -> std::vector<std::string>;

  /// Handle an event. They return false, and do nothing, if `connection` is not
  /// a peer link.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnMessage(ConnectionId connection, const PeerMessage& message) -> bool;

 private:
  struct Peer {
    /// Address of the current link.
    PeerAddress address;
    ConnectionId connection = 0;
    bool open = false;
    /// Whether the peer has answered a heartbeat on the current link.
    bool has_answered = false;
    /// Whether the peer's last heartbeat said that it is leaving.
    bool leaving = false;
    Time last_heard{};
    /// When the last attempt to open the link began, and whether it failed at
    /// once.
    Time connecting_since{};
    bool refused = false;
    /// Address in the platform's list, if the peer is listed.
    std::optional<PeerAddress> listed;
    /// Whether the platform's list says that the peer is leaving.
    bool listed_as_leaving = false;

    auto IsLive() const -> bool { return has_answered && !leaving; }
  };

  void Connect(Peer& peer);
  void MoveTo(Peer& peer, const PeerAddress& address);
  void AddPeer(const PeerAddress& address);
  void RemoveUnlistedPeers();
  void CheckLinksPeriodically();
  void OnLinkLost(Peer& peer);
  auto FindByConnection(ConnectionId connection) -> Peer*;

  std::string self_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  PeerCallbacks callbacks_;
  PeerLinkPolicy link_policy_;
  std::map<std::string, Peer, std::less<>> peers_;
  std::map<ConnectionId, std::string> by_connection_;
};

}  // namespace kingcuplock
