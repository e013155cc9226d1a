/// Runs the load model under several limits on statements in flight and prints,
/// for each limit, the shares of requests served in their target, late and
/// given up.
///
/// Example:
///   benchmark-group-load --seeds 3 --instances 5 --load 1.3 --json
///   benchmark-group-load --plot shares.png

#include <cmath>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "kingcuplock/admission/concurrency_limit.h"
#include "programs/plot/gnuplot.h"
#include "testing/load_model.h"
#include "testing/load_scenarios.h"

namespace kingcuplock {
namespace {

/// Result of one limit, the policy, for one scenario, named by its pattern.
struct PolicyResult {
  std::string pattern;
  std::string policy;
  LoadResult result;
};

/// Returns the connections that an instance holds if statements have no limit:
/// twice its even share, and at least two.
auto ConnectionsPerInstance(const LoadScenario& it) -> std::int64_t {
  return std::max<std::int64_t>(
      2, 2 * (it.connections / static_cast<std::int64_t>(it.instances)));
}

auto AddLoadShare(LoadOutcome& sum, const LoadOutcome& it) -> void {
  sum.offered += it.offered;
  sum.in_target += it.in_target;
  sum.late += it.late;
  sum.refusals += it.refusals;
  sum.gave_up += it.gave_up;
  sum.total_refusal_time += it.total_refusal_time;
  sum.longest_refusal_time =
      std::max(sum.longest_refusal_time, it.longest_refusal_time);
  sum.longest_wait = std::max(sum.longest_wait, it.longest_wait);
}

/// Runs a scenario with seeds 1 to `seeds` and returns the sum of the results,
/// or the mean for the parts of the slots' time.
template <typename Limit>
auto RunScenario(const LoadScenario& scenario,
                 int seeds,
                 std::function<Limit()> make_limit) -> LoadResult {
  LoadResult sum;
  sum.instances.resize(scenario.instances);
  for (auto seed = 1; seed <= seeds; ++seed) {
    LoadModel<Limit> model(scenario, static_cast<std::uint64_t>(seed),
                           make_limit);
    auto result = model.Run();
    AddLoadShare(sum.all, result.all);
    for (const auto& [name, it] : result.routes) {
      AddLoadShare(sum.routes[name], it);
    }
    for (std::size_t n = 0; n < scenario.instances; ++n) {
      AddLoadShare(sum.instances[n], result.instances[n]);
    }
    sum.member_latencies.insert(sum.member_latencies.end(),
                                result.member_latencies.begin(),
                                result.member_latencies.end());
    sum.slot_utilization += result.slot_utilization / seeds;
    sum.wasted_slot_share += result.wasted_slot_share / seeds;
    sum.busy_answers += result.busy_answers;
  }
  return sum;
}

/// Runs a scenario under every policy.
auto RunPolicies(const LoadScenario& scenario, int seeds)
    -> std::vector<PolicyResult> {
  std::vector<PolicyResult> out;
  const auto fixed = [&](std::string name, std::int64_t limit) {
    out.push_back({scenario.pattern, std::move(name),
                   RunScenario<FixedLimit>(scenario, seeds,
                                           [=] { return FixedLimit(limit); })});
  };
  const auto share = static_cast<double>(scenario.slots) /
                     static_cast<double>(scenario.instances);
  fixed("connections only", ConnectionsPerInstance(scenario));
  fixed("even share", std::max<std::int64_t>(1, std::llround(share)));
  fixed("three shares", std::max<std::int64_t>(1, std::llround(3 * share)));
  ConcurrencyLimitOptions options;
  options.slots = scenario.slots;
  options.instances = static_cast<std::int64_t>(scenario.instances);
  options.max_connections = ConnectionsPerInstance(scenario);
  out.push_back({scenario.pattern, "learned",
                 RunScenario<ConcurrencyLimit>(scenario, seeds, [=] {
                   return ConcurrencyLimit(options);
                 })});
  return out;
}

/// Returns the smallest share that any instance served in target.
auto WorstInstanceServedShare(const LoadResult& it) -> double {
  auto worst = 1.0;
  for (const auto& instance : it.instances) {
    worst = std::min(worst, instance.InTargetShare());
  }
  return worst;
}

auto ToMs(Duration it) -> double {
  return std::chrono::duration<double, std::milli>(it).count();
}

/// Returns the mean time in ms from arrival to refusal.
auto MeanHeldMs(const LoadOutcome& it) -> double {
  return it.refusals == 0
             ? 0
             : ToMs(it.total_refusal_time) / static_cast<double>(it.refusals);
}

auto PrintText(std::vector<PolicyResult>& rows) -> void {
  std::string pattern;
  for (auto& it : rows) {
    if (std::exchange(pattern, it.pattern) != it.pattern) {
      fmt::print(
          "\n{}\n{:<17} {:>6} {:>6} {:>8} {:>6} {:>5} {:>8} {:>9} "
          "{:>5} {:>9} {:>8} {:>6}\n",
          it.pattern, "policy", "urgent", "dear", "middling", "all", "late",
          "gave up", "instance", "busy", "member ms", "held ms", "BUSY");
    }
    auto& result = it.result;
    const auto share_of_offered = [&](std::int64_t n) {
      return static_cast<double>(n) /
             static_cast<double>(std::max<std::int64_t>(result.all.offered, 1));
    };
    fmt::print(
        "{:<17} {:>6.3f} {:>6.3f} {:>8.3f} {:>6.3f} {:>5.3f} {:>8.3f} "
        "{:>9.3f} {:>5.2f} {:>9.0f} {:>8.0f} {:>6}\n",
        it.policy, result.routes["urgent"].InTargetShare(),
        result.routes["dear"].InTargetShare(),
        result.routes["middling"].InTargetShare(), result.all.InTargetShare(),
        share_of_offered(result.all.late), share_of_offered(result.all.gave_up),
        WorstInstanceServedShare(result), result.slot_utilization,
        ToMs(result.MedianMemberLatency()), MeanHeldMs(result.all),
        result.busy_answers);
  }
}

auto PrintJson(std::vector<PolicyResult>& rows) -> void {
  auto out = nlohmann::json::array();
  for (auto& it : rows) {
    nlohmann::json routes;
    for (const auto& [name, share] : it.result.routes) {
      routes[name] = {{"offered", share.offered},
                      {"in_target", share.in_target},
                      {"late", share.late},
                      {"refusals", share.refusals},
                      {"gave_up", share.gave_up},
                      {"longest_wait_ms", ToMs(share.longest_wait)},
                      {"mean_held_ms", MeanHeldMs(share)}};
    }
    out.push_back({{"pattern", it.pattern},
                   {"policy", it.policy},
                   {"in_target", it.result.all.InTargetShare()},
                   {"worst_instance", WorstInstanceServedShare(it.result)},
                   {"busy", it.result.slot_utilization},
                   {"member_ms", ToMs(it.result.MedianMemberLatency())},
                   {"routes", routes}});
  }
  fmt::print("{}\n", out.dump(2));
}

auto PlotServedShares(const std::vector<PolicyResult>& rows,
                      const std::string& path) -> void {
  GnuplotScript script(path, "Requests served in their target");
  std::vector<std::string> lines;
  for (const auto& it : rows) {
    lines.push_back(fmt::format("{} {:.4f}",
                                QuoteForGnuplot(it.pattern + ", " + it.policy),
                                it.result.all.InTargetShare()));
  }
  script.AddData("served", lines);
  script.AddLine("set style fill solid 0.6");
  script.AddLine("set boxwidth 0.8");
  script.AddLine("set yrange [0:1]");
  script.AddLine("set ylabel \"share in target\"");
  script.AddLine("set xtics rotate by -60 noenhanced font \",7\"");
  script.AddLine("set bmargin 18");
  script.AddLine("plot $served using 0:2:xtic(1) with boxes notitle");
  script.RunGnuplot();
}

auto Main(int argc, char** argv) -> int {
  CLI::App app{
      "Runs loads on one group under several limits on statements in flight."};
  auto seeds = 3;
  std::size_t instances = 0;
  auto load = 0.0;
  auto json = false;
  std::string plot;
  app.add_option("--seeds", seeds, "Runs of each scenario")
      ->check(CLI::Range(1, 1000));
  app.add_option("--instances", instances,
                 "Number of instances in place of each scenario's own")
      ->check(CLI::Range(1, 1000));
  app.add_option("--load", load,
                 "Offered work over capacity in place of each scenario's own")
      ->check(CLI::Range(0.05, 10.0));
  app.add_flag("--json", json, "Print JSON");
  app.add_option("--plot", plot,
                 "File for a plot of the shares in target: a .png or .svg");
  CLI11_PARSE(app, argc, argv);
  std::vector<PolicyResult> rows;
  for (auto it : LoadScenarios()) {
    if (instances > 0) {
      it.instances = instances;
      it.weights.clear();
      it.absent_instance = -1;
    }
    it.load = load > 0 ? load : it.load;
    for (auto& row : RunPolicies(it, seeds)) {
      rows.push_back(std::move(row));
    }
  }
  json ? PrintJson(rows) : PrintText(rows);
  if (!plot.empty()) {
    PlotServedShares(rows, plot);
  }
  return 0;
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  try {
    return kingcuplock::Main(argc, argv);
  } catch (const std::exception& ex) {
    fmt::print(stderr, "benchmark-group-load: {}\n", ex.what());
    return 1;
  }
}
