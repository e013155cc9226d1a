/// kingcuplock-report: reports the burn rate of the error budget per database
/// and request kind, from counters that the instances return over the network.
///
/// Exit codes: 0 within budget, 1 error, 3 an instance did not answer, 4 slow
/// burn, 5 fast burn; the highest that applies.
///
/// Example:
///   kingcuplock-report --manifest manifest.json --to 127.0.0.1:7401
///     --to 127.0.0.1:7402 --json burn.json --plot burn.png

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/manifest/manifest_check.h"
#include "programs/client/sync_client.h"
#include "programs/report/service_report.h"

namespace kingcuplock {
namespace {

constexpr int kUnreachableExit = 3;
constexpr int kSlowBurnExit = 4;
constexpr int kFastBurnExit = 5;

/// Values of the command-line options.
struct Options {
  std::string manifest;
  std::vector<std::string> addresses;
  std::string json;
  std::string plot;
  int timeout_ms = 2000;
};

auto ReadManifestFile(const std::string& path) -> Manifest {
  std::ifstream in(path);
  if (!in) {
    throw std::runtime_error("cannot read " + path +
                             "; give the path of a readable manifest file");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseManifest(text.str());
}

auto QueryStatus(const std::string& address, int timeout_ms) -> InstanceStatus {
  const auto [host, port] = ParseHostPort(address);
  SyncClient client(host, port, timeout_ms);
  return client.SendAndReceive(StatusQuery{"report"}, timeout_ms)
      .get<InstanceStatus>();
}

auto ExitCodeFor(const ServiceReport& report) -> int {
  auto code = report.unreachable.empty() ? 0 : kUnreachableExit;
  for (const auto& it : report.kinds) {
    if (it.state == BurnState::kFastBurn) {
      code = std::max(code, kFastBurnExit);
    } else if (it.state == BurnState::kSlowBurn) {
      code = std::max(code, kSlowBurnExit);
    }
  }
  return code;
}

auto Run(const Options& options) -> int {
  const auto manifest = ReadManifestFile(options.manifest);
  std::vector<InstanceStatus> statuses;
  std::vector<std::string> unreachable;
  for (const auto& it : options.addresses) {
    try {
      statuses.push_back(QueryStatus(it, options.timeout_ms));
    } catch (const std::exception& ex) {
      unreachable.push_back(it + ": " + ex.what());
    }
  }
  const auto report =
      BuildServiceReport(manifest, statuses, std::move(unreachable));
  fmt::print("{}", FormatReportText(report));
  if (!options.json.empty()) {
    std::ofstream out(options.json);
    out << FormatReportJson(report).dump(2) << "\n";
    if (!out.flush()) {
      throw std::runtime_error(
          "cannot write " + options.json +
          "; check that the folder exists and can be written");
    }
  }
  if (!options.plot.empty()) {
    PlotReport(report, options.plot);
  }
  return ExitCodeFor(report);
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{
      "Reports the error budget's burn rate per database and request kind"};
  app.set_version_flag("--version", "kingcuplock-report 0.1.0");
  app.footer(
      "Exit codes: 0 within budget, 1 error, 3 an instance did not answer, 4 "
      "slow burn, 5 fast burn");
  kingcuplock::Options options;
  app.add_option("--manifest", options.manifest, "Manifest file")->required();
  app.add_option("--to", options.addresses,
                 "HOST:PORT of an instance, repeatable")
      ->required();
  app.add_option("--json", options.json,
                 "Write the report to this file as JSON");
  app.add_option("--plot", options.plot,
                 "Write a plot to this .png or .svg file");
  app.add_option("--timeout-ms", options.timeout_ms,
                 "Timeout per instance in ms")
      ->check(CLI::Range(1, 60000));
  CLI11_PARSE(app, argc, argv);
  try {
    return kingcuplock::Run(options);
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-report: {}\n", ex.what());
    return 1;
  }
}
