#pragma once

/// Chooses the member that serves a read: near ones first, busy and slow ones
/// last. Answers the pattern of many reads that may be stale while the primary
/// is needed for writes.
///
/// Example:
///   auto order = RankMembersForRead(views, "dc-a", target);

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// What the choice knows of one member.
struct ReadCandidate {
  std::string member;
  std::string data_centre;
  bool is_primary = false;
  /// Statements of this instance that it runs.
  std::int64_t running = 0;
  std::int64_t slots = 1;
  /// How long it took to answer lately.
  Duration latency{};
};

/// Returns the members' names in order of preference. `target` is the latency
/// target of the read. O(n log n).
auto RankMembersForRead(std::span<const ReadCandidate> members,
                        std::string_view own_data_centre,
                        Duration target) -> std::vector<std::string>;

/// Moving average of a member's answer times that falls back towards zero while
/// the member is not used, so that a slow one is tried again. Value type; O(1).
class LatencyAverage {
 public:
  /// Takes one answer time in.
  auto Add(Time now, Duration latency) -> void;

  /// Returns the average as of `now`.
  auto At(Time now) const -> Duration;

 private:
  Duration average_{};
  Time updated_{};
};

}  // namespace kingcuplock
