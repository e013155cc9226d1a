#include <cmath>

#include <fmt/format.h>

#include "programs/load/load_result.h"
#include "programs/plot/gnuplot.h"

namespace kingcuplock {
namespace {

constexpr double kUsPerMs = 1000.0;
constexpr double kPercent = 100.0;

auto ToMs(std::int64_t us) -> double {
  return static_cast<double>(us) / kUsPerMs;
}

auto FormatComparisonRow(const std::string& name, double before, double after)
    -> std::string {
  const auto change =
      before == 0 ? std::string("-")
                  : fmt::format("{:+.1f}%", kPercent * (after / before - 1));
  return fmt::format("{:34} {:>12.2f} {:>12.2f} {:>9}\n", name, before, after,
                     change);
}

/// Returns the first item that matches, or an empty one.
template <typename Items, typename Matches>
auto FindFirst(const Items& items, const Matches& matches) ->
    typename Items::value_type {
  for (const auto& it : items) {
    if (matches(it)) {
      return it;
    }
  }
  return {};
}

}  // namespace

auto FormatResultTable(const LoadResult& result) -> std::string {
  auto out = fmt::format(
      "{:16} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8} {:>9} {:>9} {:>9}\n",
      "kind", "sent", "ok", "failed", "not_run", "unknown", "in target",
      "replica", "p50 ms", "p99 ms", "max ms");
  for (const auto& it : result.kinds) {
    out += fmt::format(
        "{:16} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8} {:>9.2f} {:>9.2f} "
        "{:>9.2f}\n",
        it.kind, it.sent, it.ok, it.failed, it.not_run, it.unknown,
        it.within_target, it.from_replica, ToMs(it.p50_us), ToMs(it.p99_us),
        ToMs(it.max_us));
  }
  out += fmt::format("replica share of reads with a maximum age: {:.1f}%\n",
                     result.replica_percent);
  for (const auto& it : result.gaps) {
    out += fmt::format("longest write gap of {}: {} ms, starting at {} ms\n",
                       it.database, it.longest_ms, it.began_ms);
  }
  for (const auto& it : result.faults) {
    out += fmt::format("fault at {} ms: {}: {}\n", it.at_ms, it.text,
                       it.answer.empty() ? "NO ANSWER" : it.answer);
  }
  if (result.not_sent > 0) {
    out += fmt::format(
        "{} arrivals were not sent: every session was busy or the maximum of "
        "requests was reached\n",
        result.not_sent);
  }
  out += fmt::format("consistency violations: {}\n", result.violations);
  for (const auto& it : result.violation_texts) {
    out += "  " + it + "\n";
  }
  return out;
}

auto FormatResultComparison(const LoadResult& before, const LoadResult& after)
    -> std::string {
  auto out = fmt::format("{:34} {:>12} {:>12} {:>9}\n", "figure", "before",
                         "after", "change");
  for (const auto& it : after.kinds) {
    const auto old = FindFirst(before.kinds, [&](const KindSummary& candidate) {
      return candidate.kind == it.kind;
    });
    out += FormatComparisonRow(it.kind + " ok", double(old.ok), double(it.ok));
    out += FormatComparisonRow(it.kind + " not_run", double(old.not_run),
                               double(it.not_run));
    out += FormatComparisonRow(it.kind + " unknown", double(old.unknown),
                               double(it.unknown));
    out += FormatComparisonRow(it.kind + " p50 ms", ToMs(old.p50_us),
                               ToMs(it.p50_us));
    out += FormatComparisonRow(it.kind + " p99 ms", ToMs(old.p99_us),
                               ToMs(it.p99_us));
  }
  for (const auto& it : after.gaps) {
    const auto old = FindFirst(before.gaps, [&](const WriteGap& candidate) {
      return candidate.database == it.database;
    });
    out += FormatComparisonRow(it.database + " gap ms", double(old.longest_ms),
                               double(it.longest_ms));
  }
  out += FormatComparisonRow("replica %", before.replica_percent,
                             after.replica_percent);
  out += FormatComparisonRow("violations", double(before.violations),
                             double(after.violations));
  return out;
}

void PlotResult(const LoadResult& result, const std::string& path) {
  GnuplotScript script(path, "Answers and latency per second of the run");
  std::vector<std::string> rows;
  for (const auto& it : result.timeline) {
    rows.push_back(fmt::format("{} {} {} {:.3f} {:.3f}", it.second, it.ok,
                               it.not_ok, ToMs(it.p50_us), ToMs(it.p99_us)));
  }
  if (rows.empty()) {
    rows.emplace_back("0 0 0 0 0");
  }
  script.AddData("run", rows);
  for (const auto& it : result.faults) {
    script.AddLine(fmt::format(
        "set arrow from {0}, graph 0 to {0}, graph 1 nohead dt 2 lc rgb 'red'; "
        "set label {1} at {0}, graph 0.97 rotate by -90 tc rgb 'red'",
        ToMs(it.at_ms), QuoteForGnuplot(it.text)));
  }
  script.AddLine(
      "set xlabel \"s\"; set ylabel \"requests/s\"; set y2label \"ms\"");
  script.AddLine("set y2tics; set ytics nomirror; set logscale y2; set grid");
  script.AddLine("set yrange [0:*]; set y2range [0.1:*]; set key outside top");
  script.AddLine(
      "plot $run using 1:2 with steps lw 2 title \"ok\", '' using 1:3 with "
      "steps lw 2 title \"not ok\", '' using 1:($4 > 0 ? $4 : NaN) axes x1y2 "
      "with linespoints title \"p50 ms\", '' using 1:($5 > 0 ? $5 : NaN) axes "
      "x1y2 with linespoints title \"p99 ms\"");
  script.RunGnuplot();
}

}  // namespace kingcuplock
