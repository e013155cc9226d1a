#pragma once

/// Figures of a run: as a file, a table, a plot, and compared with another run.
///
/// Example:
///   auto result = SummariseHistory(history, manifest, profile);
///   fmt::print("{}", FormatResultTable(result));

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/manifest.h"
#include "programs/load/history.h"

namespace kingcuplock {

/// What was asked of the run.
struct LoadProfile {
  std::uint64_t seed = 1;
  double rate_per_s = 100;
  std::int64_t duration_ms = 10'000;
  std::int64_t sessions = 200;
  double roam_percent = 10;
  std::int64_t patience_ms = 5000;
};

/// One request kind over all databases. Latencies are of ok answers, from the
/// time at which the arrival process wanted the request sent.
struct KindSummary {
  std::string kind;
  std::int64_t sent = 0;
  std::int64_t ok = 0;
  std::int64_t failed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t within_target = 0;
  std::int64_t from_replica = 0;
  bool replica_allowed = false;
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
  std::int64_t max_us = 0;
};

/// Longest time between two acknowledged writes of a database.
struct WriteGap {
  std::string database;
  std::int64_t longest_ms = 0;
  std::int64_t began_ms = 0;
};

/// Requests due within one second of the run.
struct SecondSummary {
  std::int64_t second = 0;
  std::int64_t ok = 0;
  std::int64_t not_ok = 0;
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};

/// A fault that was switched on, and the stand-in's answer.
struct AppliedFault {
  std::int64_t at_ms = 0;
  std::string text;
  std::string answer;
};

/// A whole result file.
struct LoadResult {
  LoadProfile profile;
  std::vector<KindSummary> kinds;
  std::vector<WriteGap> gaps;
  std::vector<SecondSummary> timeline;
  std::vector<AppliedFault> faults;
  /// Arrivals that found every session busy and were not sent.
  std::int64_t not_sent = 0;
  /// Share in percent of ok reads with a stated age that replicas served.
  double replica_percent = 0;
  std::int64_t violations = 0;
  /// The first violations.
  std::vector<std::string> violation_texts;
};

/// Writes `value` to `out`.
void to_json(nlohmann::json& out, const LoadResult& value);

/// Reads `value`. Throws nlohmann::json::exception.
void from_json(const nlohmann::json& in, LoadResult& value);

/// Works the figures out, without the check of the history.
auto SummariseHistory(const History& history,
                      const Manifest& manifest,
                      const LoadProfile& profile) -> LoadResult;

/// Returns the figures as a table for people.
auto FormatResultTable(const LoadResult& result) -> std::string;

/// Returns both runs' figures side by side, with the change in percent.
auto FormatResultComparison(const LoadResult& before, const LoadResult& after)
    -> std::string;

/// Draws answers and latencies over time to a .png or .svg file. Throws
/// PlotError.
void PlotResult(const LoadResult& result, const std::string& path);

}  // namespace kingcuplock
