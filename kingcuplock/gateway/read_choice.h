#pragma once

/// Ranks the members that may serve a read: members of the own data centre come
/// first, busy and slow ones last. This spreads reads that may be stale over
/// the replicas, so that the primary stays free for writes.
///
/// Example:
///   auto order = RankMembersForRead(members, "dc-a", Milliseconds(100));
///   if (!order.empty()) { SendTo(order.front()); }

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// A member that may serve a read, with its load.
struct ReadCandidate {
  std::string member;
  std::string data_centre;
  bool is_primary = false;
  /// Statements of this instance that the member runs.
  std::int64_t running = 0;
  /// Statements that the member runs at once, for all instances.
  std::int64_t slots = 1;
  /// Recent average of its answer times.
  Duration latency{};
};

/// Returns the names of `members`, best first. `target` is the latency target
/// of the read; it sets the cost of using another data centre. O(n log n).
auto RankMembersForRead(std::span<const ReadCandidate> members,
                        std::string_view own_data_centre,
                        Duration target) -> std::vector<std::string>;

/// Moving average of a member's answer times. It decays towards zero while the
/// member is not used, so that a slow member is tried again later. Value type;
/// O(1).
class LatencyAverage {
 public:
  /// Adds an answer time that was measured at `now`.
  auto Add(Time now, Duration latency) -> void;

  /// Returns the average as of `now`.
  auto At(Time now) const -> Duration;

 private:
  Duration average_{};
  Time updated_{};
};

}  // namespace kingcuplock
