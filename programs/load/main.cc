/// kingcuplock-load: load and experiments against running proxies.
///
/// Exit codes: 0 every promise kept, 1 error, 3 a promise broken.
///
/// Example:
///   kingcuplock-load run --manifest manifest.json --to 127.0.0.1:7401
///     --store 127.0.0.1:7300 --faults examples/faults/primary-killed.json
///     --result after.json --plot after.png
///   kingcuplock-load compare before.json after.json

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/manifest/manifest_check.h"
#include "programs/load/history_check.h"
#include "programs/load/load_runner.h"

namespace kingcuplock {
namespace {

constexpr int kViolationExit = 3;
/// Violations named in a result.
constexpr std::size_t kNamedViolations = 20;

/// What the command line holds.
struct Options {
  LoadRunOptions setup;
  std::string manifest;
  std::vector<std::string> proxies;
  std::string store = "127.0.0.1:7300";
  std::string faults;
  std::vector<std::string> mix;
  std::string result;
  std::string plot;
  bool quiet = false;
  std::string before;
  std::string after;
};

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path);
  if (!in) {
    throw std::runtime_error("cannot read " + path +
                             "; give the path of a readable file");
  }
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void ReadMix(const std::vector<std::string>& mix, LoadRunOptions& setup) {
  for (const auto& it : mix) {
    const auto at = it.find('=');
    if (at == std::string::npos) {
      throw std::runtime_error("\"" + it + "\" has no '='; write KIND=WEIGHT");
    }
    setup.kind_weights[it.substr(0, at)] = std::stod(it.substr(at + 1));
    setup.default_kind_weight = 0;
  }
}

void Prepare(Options& options) {
  auto& setup = options.setup;
  setup.manifest = ParseManifest(ReadFile(options.manifest));
  for (const auto& it : options.proxies) {
    setup.proxies.push_back(ParseHostPort(it));
  }
  setup.store = ParseHostPort(options.store);
  if (!options.faults.empty()) {
    setup.faults = ParseFaultSchedule(ReadFile(options.faults), setup.manifest);
  }
  ReadMix(options.mix, setup);
  setup.show_progress = !options.quiet;
}

auto RunLoad(Options& options) -> int {
  Prepare(options);
  LoadRunner runner(options.setup);
  const auto history = runner.Run();
  auto result =
      SummariseHistory(history, options.setup.manifest, options.setup.profile);
  result.faults = runner.faults();
  result.not_sent = runner.not_sent();
  const auto violations = CheckHistory(history);
  result.violations = static_cast<std::int64_t>(violations.size());
  for (std::size_t n = 0; n < violations.size() && n < kNamedViolations; ++n) {
    result.violation_texts.push_back(fmt::format(
        "{}: {}", ToString(violations[n].kind), violations[n].text));
  }
  fmt::print("{}", FormatResultTable(result));
  if (!options.result.empty()) {
    std::ofstream out(options.result);
    out << nlohmann::json(result).dump(2) << "\n";
    if (!out.flush()) {
      throw std::runtime_error("cannot write " + options.result);
    }
  }
  if (!options.plot.empty()) {
    PlotResult(result, options.plot);
  }
  return violations.empty() ? 0 : kViolationExit;
}

auto RunCompare(const Options& options) -> int {
  const auto read = [](const std::string& path) {
    return nlohmann::json::parse(ReadFile(path)).get<LoadResult>();
  };
  fmt::print("{}",
             FormatResultComparison(read(options.before), read(options.after)));
  return 0;
}

void AddRunOptions(CLI::App& run, Options& options) {
  auto& profile = options.setup.profile;
  run.add_option("--manifest", options.manifest, "Manifest file")->required();
  run.add_option("--to", options.proxies, "HOST:PORT of a proxy, repeatable")
      ->required();
  run.add_option("--store", options.store, "HOST:PORT of the store stand-in");
  run.add_option("--faults", options.faults, "Fault schedule, JSON");
  run.add_option("--mix", options.mix, "KIND=WEIGHT, repeatable");
  run.add_option("--rate", profile.rate_per_s, "Arrivals per second")
      ->check(CLI::Range(0.1, 50'000.0));
  run.add_option("--duration-ms", profile.duration_ms, "Duration")
      ->check(CLI::Range(100, 3'600'000));
  run.add_option("--sessions", profile.sessions, "Sessions")
      ->check(CLI::Range(1, 100'000));
  run.add_option("--roam-percent", profile.roam_percent,
                 "Share of requests that go to the next proxy")
      ->check(CLI::Range(0.0, 100.0));
  run.add_option("--patience-ms", profile.patience_ms, "Patience")
      ->check(CLI::Range(50, 60'000));
  run.add_option("--seed", profile.seed, "Seed of arrivals and choices");
  run.add_option("--connections", options.setup.connections_per_proxy,
                 "Connections to each proxy")
      ->check(CLI::Range(1, 1000));
  run.add_option("--max-requests", options.setup.max_requests,
                 "Requests sent at most")
      ->check(CLI::Range(1, 10'000'000));
  run.add_option("--result", options.result, "Write the result as JSON");
  run.add_option("--plot", options.plot, "Draw a .png or .svg");
  run.add_flag("--quiet", options.quiet, "No progress");
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Load and experiments against running proxies"};
  app.set_version_flag("--version", "kingcuplock-load 0.1.0");
  app.footer("Exit codes: 0 every promise kept, 1 error, 3 a promise broken");
  app.require_subcommand(1);
  kingcuplock::Options options;
  auto* run = app.add_subcommand("run", "Send load and check the history");
  kingcuplock::AddRunOptions(*run, options);
  auto* compare = app.add_subcommand("compare", "Compare two result files");
  compare->add_option("before", options.before, "Result file")->required();
  compare->add_option("after", options.after, "Result file")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    return *run ? kingcuplock::RunLoad(options)
                : kingcuplock::RunCompare(options);
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-load: {}\n", ex.what());
    return 1;
  }
}
