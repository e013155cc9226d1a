#pragma once

/// One seeded run: sessions send reads and writes to changing instances while
/// failures begin and end. Then every failure is ended and the history is
/// checked.
///
/// Example:
///   auto result = RunFaultSchedule(seed);
///   if (!result.violations.empty()) { Print(Describe(result)); }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "proofs/fault_schedules/fault_schedule.h"

namespace kingcuplock {

/// Schedule, violations and figures of one run.
struct ScheduleRunResult {
  std::uint64_t seed = 0;
  std::vector<ScheduledFault> schedule;
  std::vector<std::string> violations;
  /// Number of answers by status.
  std::map<std::string, int> answers;
  /// Most connections that one member had open at once.
  std::int64_t peak_connections = 0;
  /// Most statements that one member had running at once.
  std::int64_t peak_statements = 0;
};

/// Runs the schedule of `seed`. The same arguments give the same result.
auto RunFaultSchedule(std::uint64_t seed,
                      StoreData store_data = StoreData::kKept)
    -> ScheduleRunResult;

/// Returns a run's seed, failures (kind@begin+duration/choice) and violations
/// as text.
auto Describe(const ScheduleRunResult& result) -> std::string;

}  // namespace kingcuplock
