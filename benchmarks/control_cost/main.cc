/// Cost of control per second against databases owned, peers linked and size of
/// the manifest, on virtual time. Prints Markdown.
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

auto SizesOf(const std::string& axis) -> std::vector<ControlSizes> {
  if (axis == "owned") {
    return {{1, 4, 50}, {10, 4, 50}, {50, 4, 50}};
  }
  if (axis == "peers") {
    return {{1, 4, 3}, {1, 50, 3}, {1, 200, 3}};
  }
  return {{1, 4, 3}, {1, 4, 200}, {1, 4, 2200}};
}

void Run(const std::string& axis) {
  fmt::print(
      "| owned | peers | manifest | CPU us/s | messages/s | bytes/s | store "
      "calls/s | heap KB | growth B/s |\n| --- | --- | --- | --- | --- | --- | "
      "--- | --- | --- "
      "|\n");
  for (const auto& it : SizesOf(axis)) {
    ControlBench bench(it);
    const auto cost = bench.Measure();
    fmt::print(
        "| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {} | {:.0f} |\n",
        cost.databases_owned, it.peers, it.manifest, cost.cpu_us, cost.messages,
        cost.bytes, cost.store_calls, cost.heap / 1024, cost.heap_growth);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Cost of control per second"};
  std::string axis = "owned";
  app.add_option("--axis", axis, "owned, peers or manifest")
      ->check(CLI::IsMember({"owned", "peers", "manifest"}));
  CLI11_PARSE(app, argc, argv);
  kingcuplock::Run(axis);
}
