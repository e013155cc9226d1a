#pragma once

/// Computes the burn rate of the error budget per database and request kind
/// from the counters of the instances and the objectives in the manifest.
///
/// Example:
///   auto report = BuildServiceReport(manifest, statuses, unreachable);
///   fmt::print("{}", FormatReportText(report));

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Number of windows reported: 5 min, 1 h, 6 h and 3 d.
inline constexpr std::size_t kReportWindowCount = 4;

/// Requests and burn rate over one window.
struct WindowBurn {
  std::int64_t window_ms = 0;
  std::int64_t good = 0;
  std::int64_t bad = 0;
  std::int64_t from_replica = 0;
  /// Rate at which the error budget is spent; 1 spends exactly the whole budget
  /// within the period of the objective. No value without requests.
  std::optional<double> burn_rate;
};

/// Severity of the burn rates, in ascending order. See ClassifyBurn().
enum class BurnState { kNoData, kWithinBudget, kSlowBurn, kFastBurn };

/// Returns the state as shown in reports.
auto ToString(BurnState state) -> std::string_view;

/// Service level of one request kind of one database, over all instances that
/// answered.
struct KindBurn {
  std::string database;
  std::string kind;
  double objective_percent = 0;
  std::int64_t target_ms = 0;
  /// Whether a maximum age lets replicas serve the kind.
  bool replica_allowed = false;
  std::array<WindowBurn, kReportWindowCount> windows{};
  BurnState state = BurnState::kNoData;
  /// Highest 99th percentile latency of any instance in microseconds.
  std::int64_t worst_p99_us = 0;
};

/// Service level of all request kinds, and the failovers.
struct ServiceReport {
  std::vector<KindBurn> kinds;
  std::vector<FailoverGap> failovers;
  /// Instances that answered.
  std::vector<std::string> instances;
  /// Addresses that did not answer, each with the reason.
  std::vector<std::string> unreachable;
  /// Other reasons why the counts are incomplete, as messages.
  std::vector<std::string> gaps_in_data;
};

/// Returns the burn rate: the share of bad requests over the share that the
/// objective allows. No value without requests. `objective_percent` is within
/// (0, 100).
auto ComputeBurnRate(std::int64_t good,
                     std::int64_t bad,
                     double objective_percent) -> std::optional<double>;

/// Classifies the burn rates over 5 min, 1 h, 6 h and 3 d: fast if each of the
/// first two exceeds 14.4 (2% of a 30 d budget within 1 h) or has more than
/// half of its requests bad, slow if both the last two exceed 1.
auto ClassifyBurn(std::span<const WindowBurn, kReportWindowCount> windows,
                  double objective_percent) -> BurnState;

/// Adds up the counters of the instances. `unreachable` is copied to the
/// report.
auto BuildServiceReport(const Manifest& manifest,
                        std::span<const InstanceStatus> statuses,
                        std::vector<std::string> unreachable) -> ServiceReport;

/// Returns the report as a human-readable table.
auto FormatReportText(const ServiceReport& report) -> std::string;

/// Returns the report as JSON.
auto FormatReportJson(const ServiceReport& report) -> nlohmann::json;

/// Plots the burn rate per kind and window to a .png or .svg file. Throws
/// PlotError.
void PlotReport(const ServiceReport& report, const std::string& path);

/// Returns the duration of a failover over all of its stages in microseconds.
auto TotalFailoverGapUs(const FailoverGap& gap) -> std::int64_t;

}  // namespace kingcuplock
