#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include "programs/plot/gnuplot.h"
#include "programs/report/service_report.h"

namespace kingcuplock {
namespace {

constexpr double kUsPerMs = 1000.0;
constexpr double kPercent = 100.0;

auto FormatBurnRate(const WindowBurn& window) -> std::string {
  return window.burn_rate ? fmt::format("{:.2f}", *window.burn_rate) : "-";
}

/// Returns the share of requests that replicas served over 1 h, or "primary" if
/// replicas may not serve the kind.
auto FormatReplicaShare(const KindBurn& kind) -> std::string {
  const auto& window = kind.windows[1];
  const auto all = window.good + window.bad;
  if (!kind.replica_allowed) {
    return "primary";
  }
  if (all == 0) {
    return "-";
  }
  return fmt::format("{:.1f}%",
                     kPercent * double(window.from_replica) / double(all));
}

void AppendFailovers(const ServiceReport& report, std::string& out) {
  if (report.failovers.empty()) {
    out += "\nNo failover recorded by the instances that answered.\n";
    return;
  }
  out +=
      fmt::format("\n{:20} {:>5} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}\n",
                  "failover of", "term", "gap ms", "suspect", "record", "hear",
                  "promote", "open", "ago s");
  for (const auto& it : report.failovers) {
    out += fmt::format(
        "{:20} {:>5} {:>9.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} "
        "{:>9.0f}\n",
        it.database, it.term, double(TotalFailoverGapUs(it)) / kUsPerMs,
        double(it.suspect_us) / kUsPerMs, double(it.record_us) / kUsPerMs,
        double(it.hear_us) / kUsPerMs, double(it.promote_us) / kUsPerMs,
        double(it.open_us) / kUsPerMs, double(it.ended_ms_ago) / kUsPerMs);
  }
}

}  // namespace

auto FormatReportText(const ServiceReport& report) -> std::string {
  auto out = fmt::format(
      "{:18} {:14} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8}  {}\n",
      "database", "kind", "target", "goal %", "5 min", "1 h", "6 h", "3 d",
      "p99 ms", "replica", "state");
  for (const auto& it : report.kinds) {
    out += fmt::format(
        "{:18} {:14} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} {:>9.1f} {:>8}  {}\n",
        it.database, it.kind, it.target_ms, it.objective_percent,
        FormatBurnRate(it.windows[0]), FormatBurnRate(it.windows[1]),
        FormatBurnRate(it.windows[2]), FormatBurnRate(it.windows[3]),
        double(it.worst_p99_us) / kUsPerMs, FormatReplicaShare(it),
        ToString(it.state));
  }
  out +=
      "A burn rate of 1 spends the whole error budget within its period; - "
      "means no requests. Replica share over 1 h.\n";
  AppendFailovers(report, out);
  for (const auto& it : report.unreachable) {
    out += fmt::format("MISSING: {}; its requests are not counted\n", it);
  }
  for (const auto& it : report.gaps_in_data) {
    out += fmt::format("note: {}\n", it);
  }
  return out;
}

auto FormatReportJson(const ServiceReport& report) -> nlohmann::json {
  nlohmann::json out;
  out["instances"] = report.instances;
  out["unreachable"] = report.unreachable;
  out["gaps_in_data"] = report.gaps_in_data;
  out["failovers"] = report.failovers;
  out["kinds"] = nlohmann::json::array();
  for (const auto& it : report.kinds) {
    nlohmann::json kind{{"database", it.database},
                        {"kind", it.kind},
                        {"objective_percent", it.objective_percent},
                        {"target_ms", it.target_ms},
                        {"replica_allowed", it.replica_allowed},
                        {"worst_p99_us", it.worst_p99_us},
                        {"state", ToString(it.state)}};
    for (const auto& window : it.windows) {
      kind["windows"].push_back(
          {{"window_ms", window.window_ms},
           {"good", window.good},
           {"bad", window.bad},
           {"from_replica", window.from_replica},
           {"burn", window.burn_rate ? nlohmann::json(*window.burn_rate)
                                     : nlohmann::json(nullptr)}});
    }
    out["kinds"].push_back(std::move(kind));
  }
  return out;
}

void PlotReport(const ServiceReport& report, const std::string& path) {
  GnuplotScript script(path, "Service-level burn per request kind and window");
  std::vector<std::string> rows;
  for (const auto& it : report.kinds) {
    auto row = QuoteForGnuplot(it.database + " / " + it.kind);
    for (const auto& window : it.windows) {
      row += window.burn_rate
                 ? fmt::format(" {:.4f}", std::max(*window.burn_rate, 0.01))
                 : " NaN";
    }
    rows.push_back(std::move(row));
  }
  script.AddData("burn", rows);
  script.AddLine("set style data histograms");
  script.AddLine("set style fill solid 0.8");
  script.AddLine("set logscale y; set yrange [0.005:1100]");
  script.AddLine("set ylabel \"burn rate (0.01 or less is drawn as 0.01)\"");
  script.AddLine(
      "set xtics rotate by -35; set grid ytics; set key outside top");
  if (rows.empty()) {
    script.AddLine("set label \"no request kinds\" at graph 0.4, 0.5");
    script.AddLine("plot 1 notitle");
  } else {
    script.AddLine(
        "plot $burn using 2:xtic(1) title \"5 min\", '' using 3 title \"1 h\", "
        "'' using 4 title \"6 h\", '' using 5 title \"3 d\", "
        "1 with lines dt 2 lc rgb 'black' title \"budget\", "
        "14.4 with lines dt 2 lc rgb 'red' title \"fast burn\"");
  }
  script.RunGnuplot();
}

}  // namespace kingcuplock
