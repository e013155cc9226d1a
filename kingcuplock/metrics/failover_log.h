#pragma once

/// Log of the newest failovers of an instance, reported in its status.
///
/// Example:
///   FailoverLog log;
///   log.Add(now, gap);
///   status.failovers = log.Snapshot(now);

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Keeps the newest failovers in constant memory. Not thread safe.
class FailoverLog {
 public:
  /// Number of failovers kept; older ones are dropped.
  static constexpr std::size_t kMaxFailovers = 256;

  /// Adds a failover that ended at `now`.
  void Add(Time now, const FailoverGap& gap) {
    if (failovers_.size() == kMaxFailovers) {
      failovers_.pop_front();
    }
    failovers_.emplace_back(now, gap);
  }

  /// Returns the failovers, oldest first, each with its `ended_ms_ago` set.
  auto Snapshot(Time now) const -> std::vector<FailoverGap> {
    std::vector<FailoverGap> out;
    for (const auto& [ended, gap] : failovers_) {
      out.push_back(gap);
      out.back().ended_ms_ago =
          std::chrono::duration_cast<Milliseconds>(now - ended).count();
    }
    return out;
  }

 private:
  std::deque<std::pair<Time, FailoverGap>> failovers_;
};

}  // namespace kingcuplock
