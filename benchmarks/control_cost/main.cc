/// Measures the cost of control traffic per second on virtual time, for several
/// numbers of owned databases, of peers or of databases in the manifest.
/// Prints a Markdown table.
///
/// Example:
///   control_cost --axis owned

#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "benchmarks/control_cost/control_bench.h"

namespace kingcuplock {
namespace {

/// Returns the measurements of a table; `axis` names the size that varies.
auto OptionsForAxis(const std::string& axis)
    -> std::vector<ControlBenchOptions> {
  if (axis == "owned") {
    return {{1, 4, 50}, {10, 4, 50}, {50, 4, 50}};
  }
  if (axis == "peers") {
    return {{1, 4, 3}, {1, 50, 3}, {1, 200, 3}};
  }
  return {{1, 4, 3}, {1, 4, 200}, {1, 4, 2200}};
}

void PrintTable(const std::string& axis) {
  fmt::print(
      "| owned | peers | manifest | CPU us/s | messages/s | bytes/s | store "
      "calls/s | heap KB | growth B/s |\n| --- | --- | --- | --- | --- | --- | "
      "--- | --- | --- "
      "|\n");
  for (const auto& it : OptionsForAxis(axis)) {
    ControlBench bench(it);
    const auto cost = bench.Measure();
    fmt::print(
        "| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {} | {:.0f} |\n",
        cost.databases_owned, it.peers, it.manifest_databases,
        cost.cpu_us_per_s, cost.messages_per_s, cost.bytes_per_s,
        cost.store_calls_per_s, cost.heap_bytes / 1024,
        cost.heap_growth_bytes_per_s);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Cost of control traffic per second of virtual time"};
  std::string axis = "owned";
  app.add_option("--axis", axis, "Size to vary: owned, peers or manifest")
      ->check(CLI::IsMember({"owned", "peers", "manifest"}));
  CLI11_PARSE(app, argc, argv);
  kingcuplock::PrintTable(axis);
}
