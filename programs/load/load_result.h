#pragma once

/// Result of a load run: computed from its history, stored as JSON, shown as a
/// table or a plot, and compared with another result.
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

/// Parameters of a load run, kept in its result file.
struct LoadProfile {
  std::uint64_t seed = 1;
  double rate_per_s = 100;
  std::int64_t duration_ms = 10'000;
  std::int64_t sessions = 200;
  /// Share in percent of the requests that move their session to the next
  /// proxy.
  double roam_percent = 10;
  std::int64_t patience_ms = 5000;
};

/// One request kind over all databases. Latencies are those of ok answers,
/// measured from the time at which the arrival process scheduled the request.
struct KindSummary {
  std::string kind;
  std::int64_t sent = 0;
  std::int64_t ok = 0;
  std::int64_t failed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /// Ok answers within the latency target of the kind.
  std::int64_t within_target = 0;
  std::int64_t from_replica = 0;
  /// Whether a maximum age lets replicas serve the kind.
  bool replica_allowed = false;
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
  std::int64_t max_us = 0;
};

/// Longest time between two consecutive acknowledged writes of a database. The
/// start and the end of the run count as writes.
struct WriteGap {
  std::string database;
  std::int64_t longest_ms = 0;
  std::int64_t began_ms = 0;
};

/// Requests scheduled within one second of the run. Latencies as in
/// KindSummary.
struct SecondSummary {
  std::int64_t second = 0;
  std::int64_t ok = 0;
  std::int64_t not_ok = 0;
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};

/// A scheduled fault and the answer of the stand-in, empty if there was none.
struct AppliedFault {
  std::int64_t at_ms = 0;
  std::string text;
  std::string answer;
};

/// Contents of a result file.
struct LoadResult {
  LoadProfile profile;
  std::vector<KindSummary> kinds;
  std::vector<WriteGap> gaps;
  std::vector<SecondSummary> timeline;
  std::vector<AppliedFault> faults;
  /// Arrivals that were not sent, because every session was busy or the maximum
  /// of requests was reached.
  std::int64_t not_sent = 0;
  /// Share in percent of the ok reads of kinds with a maximum age that replicas
  /// served.
  double replica_percent = 0;
  std::int64_t violations = 0;
  /// Descriptions of the first violations.
  std::vector<std::string> violation_texts;
};

/// Writes `value` to `out` as JSON.
void to_json(nlohmann::json& out, const LoadResult& value);

/// Reads `value` from JSON. Throws nlohmann::json::exception.
void from_json(const nlohmann::json& in, LoadResult& value);

/// Computes the result of a run. The caller sets `faults`, `not_sent` and the
/// violations.
auto SummariseHistory(const History& history,
                      const Manifest& manifest,
                      const LoadProfile& profile) -> LoadResult;

/// Returns the result as a human-readable table.
auto FormatResultTable(const LoadResult& result) -> std::string;

/// Returns the results side by side with the change in percent.
auto FormatResultComparison(const LoadResult& before, const LoadResult& after)
    -> std::string;

/// Plots answers and latencies over time to a .png or .svg file. Throws
/// PlotError.
void PlotResult(const LoadResult& result, const std::string& path);

}  // namespace kingcuplock
