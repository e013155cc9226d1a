#pragma once

/// The newest failovers of an instance, for its status.
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

/// Not thread safe. Constant memory.
class FailoverLog {
 public:
  /// Failovers kept; older ones are dropped.
  static constexpr std::size_t kMaxFailovers = 256;

  /// Keeps a failover that ended at `now`.
  void Add(Time now, const FailoverGap& gap) {
    if (failovers_.size() == kMaxFailovers) {
      failovers_.pop_front();
    }
    failovers_.emplace_back(now, gap);
  }

  /// Returns the failovers, oldest first, each with its age.
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
