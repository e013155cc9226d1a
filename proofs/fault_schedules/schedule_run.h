#pragma once

/// One seeded run: sessions that roam and write while failures come and go,
/// then everything is healed and the history is checked.
///
/// Example:
///   auto result = RunSchedule(seed);
///   if (!result.violations.empty()) { Print(result); }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "proofs/fault_schedules/fault_schedule.h"

namespace kingcuplock {

/// What a run showed.
struct RunResult {
  std::uint64_t seed = 0;
  std::vector<Fault> schedule;
  std::vector<std::string> violations;
  /// Answers by status.
  std::map<std::string, int> answers;
  std::int64_t most_connections = 0;
  std::int64_t most_statements = 0;
};

/// Runs the schedule of `seed`. Deterministic.
auto RunSchedule(std::uint64_t seed) -> RunResult;

/// Returns a run's seed, failures and violations as text.
auto Describe(const RunResult& result) -> std::string;

}  // namespace kingcuplock
