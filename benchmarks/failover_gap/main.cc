/// Measures the distribution of the failover gap per deployment and fault on
/// virtual time. Exit codes: 0 targets met, 1 a target missed, 2 bad arguments.
///
/// Example:
///   failover-gap --runs 200 --first-seed 1
///   failover-gap --json

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "benchmarks/failover_gap/gap_run.h"

namespace kingcuplock {
namespace {

/// Options of the command line; an empty name selects all.
struct CommandLineOptions {
  std::uint64_t runs = 200;
  std::uint64_t first_seed = 1;
  bool json = false;
  std::string deployment;
  std::string fault;
};

/// Results of all runs of one deployment and fault.
struct Distribution {
  std::vector<GapTimes> times;
  /// Runs in which writes did not resume in time.
  std::uint64_t unfinished = 0;
};

/// Targets for the gap: median and 99th percentile; a median of 0 is no target.
struct GapTarget {
  double median_ms = 0;
  double p99_ms = 0;
};

constexpr double kUsPerMs = 1000;

auto GapTargetOf(Fault fault) -> GapTarget {
  constexpr GapTarget kPrimaryKilledTarget{500, 1000};
  constexpr GapTarget kFrozenOrCutOffTarget{0, 10'000};
  constexpr GapTarget kOwnerAndPrimaryKilledTarget{0, 4000};
  constexpr GapTarget kSlowStoreTarget{0, 3000};
  switch (fault) {
    case Fault::kPrimaryKilled:
      return kPrimaryKilledTarget;
    case Fault::kPrimaryFrozen:
    case Fault::kPrimaryCutOff:
      return kFrozenOrCutOffTarget;
    case Fault::kOwnerAndPrimaryKilled:
      return kOwnerAndPrimaryKilledTarget;
    case Fault::kStoreSlow:
      return kSlowStoreTarget;
  }
  return {};
}

auto RunFailovers(const Deployment& deployment,
                  Fault fault,
                  const CommandLineOptions& options) -> Distribution {
  Distribution out;
  for (std::uint64_t n = 0; n < options.runs; ++n) {
    const auto times = RunFailover(deployment, fault, options.first_seed + n);
    if (times) {
      out.times.push_back(*times);
    } else {
      ++out.unfinished;
    }
  }
  return out;
}

/// Returns a quantile of one column in ms, by the nearest rank; 0 for no runs.
auto Quantile(const Distribution& runs, std::size_t column, double q)
    -> double {
  std::vector<std::int64_t> sorted;
  for (const auto& it : runs.times) {
    sorted.push_back(it.at(column));
  }
  if (sorted.empty()) {
    return 0;
  }
  std::sort(sorted.begin(), sorted.end());
  const auto rank = std::lround(q * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[static_cast<std::size_t>(rank)]) / kUsPerMs;
}

auto MeetsTarget(const Distribution& runs, Fault fault) -> bool {
  const auto target = GapTargetOf(fault);
  const auto median_holds =
      target.median_ms == 0 || Quantile(runs, 0, 0.5) <= target.median_ms;
  return runs.unfinished == 0 && median_holds &&
         Quantile(runs, 0, 0.99) <= target.p99_ms;
}

void PrintTable(const Deployment& deployment,
                Fault fault,
                const Distribution& runs) {
  fmt::print("{} {}: {} runs, {} unfinished, target {}\n", deployment.name,
             ToString(fault), runs.times.size(), runs.unfinished,
             MeetsTarget(runs, fault) ? "met" : "missed");
  fmt::print("  {:<10}{:>10}{:>10}{:>10}\n", "ms", "median", "p99", "max");
  for (std::size_t n = 0; n < kGapColumnCount; ++n) {
    fmt::print("  {:<10}{:>10.1f}{:>10.1f}{:>10.1f}\n", kGapColumnNames.at(n),
               Quantile(runs, n, 0.5), Quantile(runs, n, 0.99),
               Quantile(runs, n, 1));
  }
  std::fflush(stdout);
}

auto ToJson(const Deployment& deployment, Fault fault, const Distribution& runs)
    -> nlohmann::json {
  nlohmann::json out{{"deployment", deployment.name},
                     {"fault", ToString(fault)},
                     {"runs", runs.times.size()},
                     {"unfinished", runs.unfinished},
                     {"target_met", MeetsTarget(runs, fault)}};
  for (std::size_t n = 0; n < kGapColumnCount; ++n) {
    out["ms"][std::string(kGapColumnNames.at(n))] = {
        {"median", Quantile(runs, n, 0.5)},
        {"p99", Quantile(runs, n, 0.99)},
        {"max", Quantile(runs, n, 1)}};
  }
  return out;
}

auto RunAll(const CommandLineOptions& options) -> bool {
  auto met = true;
  auto all = nlohmann::json::array();
  for (const auto& deployment : kDeployments) {
    for (const auto fault : kFaults) {
      const auto selected =
          (options.deployment.empty() ||
           options.deployment == deployment.name) &&
          (options.fault.empty() || options.fault == ToString(fault));
      if (!selected) {
        continue;
      }
      const auto runs = RunFailovers(deployment, fault, options);
      met = met && MeetsTarget(runs, fault);
      if (options.json) {
        all.push_back(ToJson(deployment, fault, runs));
      } else {
        PrintTable(deployment, fault, runs);
      }
    }
  }
  if (options.json) {
    fmt::print("{}\n", all.dump(2));
  }
  return met;
}

auto Main(int argc, char** argv) -> int {
  CommandLineOptions options;
  CLI::App app(
      "Failover gap on virtual time. Exit codes: 0 targets met, 1 a target "
      "missed, 2 bad arguments.");
  app.add_option("--runs", options.runs, "runs per deployment and fault")
      ->check(CLI::Range(1, 100'000));
  app.add_option("--first-seed", options.first_seed, "seed of the first run");
  app.add_option("--deployment", options.deployment,
                 "run only this deployment");
  app.add_option("--fault", options.fault, "run only this fault");
  app.add_flag("--json", options.json, "print JSON instead of tables");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ex) {
    return app.exit(ex) == 0 ? 0 : 2;
  }
  return RunAll(options) ? 0 : 1;
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  return kingcuplock::Main(argc, argv);
}
