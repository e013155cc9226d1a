#pragma once

/// Decides when the holder of a group's promotion duty is taken for lost though
/// its lease goes on: the primary is lost, the holder says nothing, and others
/// do. Each order to promote carries a higher fencing token, so that a holder
/// that wakes can do no harm.
///
/// Example:
///   HolderFailureDetector watch;
///   watch.NotePeerHeartbeat("gw-2", HeartbeatKind::kReply, now);
///   watch.NotePrimaryLost("bookings", now);
///   if (watch.IsHolderLost("bookings", "gw-1", now)) { TakeDuty("bookings"); }

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// On which side of a link a peer spoke.
enum class HeartbeatKind {
  /// It answers this instance's heartbeats at once.
  kReply,
  /// It sends its own when it has something to tell.
  kUnsolicited
};

/// Not thread safe. O(log n) in groups and O(n) in peers.
class HolderFailureDetector {
 public:
  /// Time in ms from the loss of a primary until its holder counts as lost: a
  /// holder that lives has ordered a promotion and told of it in half of it.
  static constexpr Milliseconds kLossTimeout{500};

  /// Notes that a peer spoke.
  auto NotePeerHeartbeat(const std::string& peer, HeartbeatKind side, Time now)
      -> void {
    auto& it = peers_[peer];
    it.last = now;
    it.answers = it.answers || side == HeartbeatKind::kReply;
  }

  /// Notes that a group's primary is lost, and nobody is known to replace it.
  auto NotePrimaryLost(const std::string& group, Time now) -> void {
    lost_since_.try_emplace(group, now);
  }

  /// Notes that it is back, or being replaced.
  auto NotePrimaryFound(const std::string& group) -> void {
    lost_since_.erase(group);
  }

  /// Returns whether the group's primary is lost.
  auto HasLostPrimary(const std::string& group) const -> bool {
    return lost_since_.contains(group);
  }

  /// Begins to wait anew: this instance stood still and heard nobody.
  auto NoteStall(Time now) -> void {
    for (auto& [group, since] : lost_since_) {
      since = std::max(since, now);
    }
  }

  /// Returns whether `holder`, which used to answer, has been silent since the
  /// loss while another peer was not.
  auto IsHolderLost(const std::string& group,
                    const std::string& holder,
                    Time now) const -> bool {
    const auto lost = lost_since_.find(group);
    const auto peer = peers_.find(holder);
    if (lost == lost_since_.end() || peer == peers_.end() ||
        !peer->second.answers || now - lost->second < kLossTimeout ||
        peer->second.last > lost->second) {
      return false;
    }
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
      return it.second.last > lost->second;
    });
  }

 private:
  struct Peer {
    Time last{};
    bool answers = false;
  };

  std::map<std::string, Peer> peers_;
  std::map<std::string, Time> lost_since_;
};

}  // namespace kingcuplock
