#pragma once

/// Decides when the holder of a group's promotion duty is considered failed
/// although its lease is still valid: the primary is lost, the holder is
/// silent, and another peer is not. This is safe because each order to promote
/// carries a higher fencing token, so a holder that resumes can do no harm.
///
/// Example:
///   HolderFailureDetector detector;
///   detector.NotePeerHeartbeat("gw-1", HeartbeatKind::kReply, now);
///   detector.NotePrimaryLost("bookings", now);
///   if (detector.IsHolderLost("bookings", "gw-1", later)) { TakeDuty(); }

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// How a heartbeat of a peer came about.
enum class HeartbeatKind {
  /// It answers a heartbeat of this instance; a peer does so at once.
  kReply,
  /// The peer sent it on its own, as it does only when it has news.
  kUnsolicited
};

/// Not thread safe. O(log n) in groups and O(n) in peers.
class HolderFailureDetector {
 public:
  /// Time in ms from the loss of a primary until a silent holder counts as
  /// lost. A live holder orders a promotion and reports it in half of this
  /// time.
  static constexpr Milliseconds kLossTimeout{500};

  /// Records that a heartbeat of `peer` arrived at `now`.
  auto NotePeerHeartbeat(const std::string& peer, HeartbeatKind kind, Time now)
      -> void {
    auto& it = peers_[peer];
    it.last = now;
    it.answers = it.answers || kind == HeartbeatKind::kReply;
  }

  /// Records that the primary of `group` is lost and no successor is known. A
  /// repeated call keeps the time of the first.
  auto NotePrimaryLost(const std::string& group, Time now) -> void {
    lost_since_.try_emplace(group, now);
  }

  /// Records that the primary of `group` is back or is being replaced.
  auto NotePrimaryFound(const std::string& group) -> void {
    lost_since_.erase(group);
  }

  /// Returns whether the primary of `group` is recorded as lost.
  auto HasLostPrimary(const std::string& group) const -> bool {
    return lost_since_.contains(group);
  }

  /// Restarts every wait at `now`, because this instance was stalled until then
  /// and could not hear its peers.
  auto NoteStall(Time now) -> void {
    for (auto& [group, since] : lost_since_) {
      since = std::max(since, now);
    }
  }

  /// Returns whether `holder`, which has answered heartbeats before, has been
  /// silent since the loss of the primary while another peer has not. False
  /// until kLossTimeout after the loss.
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
  struct PeerState {
    /// When its last heartbeat arrived.
    Time last{};
    /// Whether it ever answered a heartbeat.
    bool answers = false;
  };

  std::map<std::string, PeerState> peers_;
  std::map<std::string, Time> lost_since_;
};

}  // namespace kingcuplock
