#pragma once

/// Service-level burn per database and request kind, worked out from the
/// instances' counters and the manifest's objectives.
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

/// Number of windows reported.
inline constexpr std::size_t kReportWindowCount = 4;

/// Burn over one window.
struct WindowBurn {
  std::int64_t window_ms = 0;
  std::int64_t good = 0;
  std::int64_t bad = 0;
  std::int64_t from_replica = 0;
  /// Rate at which the error budget is spent: 1 spends exactly the whole of it
  /// within the objective's period. No value without requests.
  std::optional<double> burn_rate;
};

/// How pressing the burn is.
enum class BurnState { kNoData, kWithinBudget, kSlowBurn, kFastBurn };

/// Returns the state in words.
auto ToString(BurnState state) -> std::string_view;

/// One request kind of one database, over all instances that answered.
struct KindBurn {
  std::string database;
  std::string kind;
  double objective_percent = 0;
  std::int64_t target_ms = 0;
  /// Whether a stated age lets replicas serve the kind.
  bool replica_allowed = false;
  std::array<WindowBurn, kReportWindowCount> windows{};
  BurnState state = BurnState::kNoData;
  /// Highest of the instances' 99th percentiles in microseconds.
  std::int64_t worst_p99_us = 0;
};

/// The whole report.
struct ServiceReport {
  std::vector<KindBurn> kinds;
  std::vector<FailoverGap> failovers;
  /// Instances that answered.
  std::vector<std::string> instances;
  /// Addresses that did not, each with the reason.
  std::vector<std::string> unreachable;
  /// Anything else that makes the figures less than whole.
  std::vector<std::string> gaps_in_data;
};

/// Returns the burn rate: the share of bad requests over the share that the
/// objective allows. No value without requests. `objective_percent` is within
/// (0, 100).
auto ComputeBurnRate(std::int64_t good,
                     std::int64_t bad,
                     double objective_percent) -> std::optional<double>;

/// Returns the state for the burn over 5 min, 1 h, 6 h and 3 d: fast when both
/// the first two exceed 14.4 (2% of a 30 d budget within 1 h) or have more than
/// half of all requests bad, slow when both the last two exceed 1.
auto ClassifyBurn(std::span<const WindowBurn, kReportWindowCount> windows,
                  double objective_percent) -> BurnState;

/// Joins the instances' counters. `unreachable` is taken over as it is.
auto BuildServiceReport(const Manifest& manifest,
                        std::span<const InstanceStatus> statuses,
                        std::vector<std::string> unreachable) -> ServiceReport;

/// Returns the report as a table for people.
auto FormatReportText(const ServiceReport& report) -> std::string;

/// Returns the report as JSON for programs.
auto FormatReportJson(const ServiceReport& report) -> nlohmann::json;

/// Draws burn per kind and window to a .png or .svg file. Throws PlotError.
void PlotReport(const ServiceReport& report, const std::string& path);

/// Returns the whole gap of a failover in microseconds.
auto TotalFailoverGapUs(const FailoverGap& gap) -> std::int64_t;

}  // namespace kingcuplock
