/// kingcuplock-load: sends load to running proxies, injects faults, checks the
/// answers for consistency violations, and compares the results of two runs.
///
/// Exit codes: 0 no consistency violation, 1 error, 3 consistency violations.
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
/// Violations described in a result.
constexpr std::size_t kMaxListedViolations = 20;

/// Values of the command-line options.
struct Options {
  LoadRunOptions run_options;
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

void ParseKindWeights(const std::vector<std::string>& mix,
                      LoadRunOptions& run_options) {
  for (const auto& it : mix) {
    const auto separator = it.find('=');
    if (separator == std::string::npos) {
      throw std::runtime_error("\"" + it +
                               "\" contains no '='; write KIND=WEIGHT");
    }
    run_options.kind_weights[it.substr(0, separator)] =
        std::stod(it.substr(separator + 1));
    run_options.default_kind_weight = 0;
  }
}

void PrepareRunOptions(Options& options) {
  auto& run_options = options.run_options;
  run_options.manifest = ParseManifest(ReadFile(options.manifest));
  for (const auto& it : options.proxies) {
    run_options.proxies.push_back(ParseHostPort(it));
  }
  run_options.store = ParseHostPort(options.store);
  if (!options.faults.empty()) {
    run_options.faults =
        ParseFaultSchedule(ReadFile(options.faults), run_options.manifest);
  }
  ParseKindWeights(options.mix, run_options);
  run_options.show_progress = !options.quiet;
}

auto RunLoad(Options& options) -> int {
  PrepareRunOptions(options);
  LoadRunner runner(options.run_options);
  const auto history = runner.Run();
  auto result = SummariseHistory(history, options.run_options.manifest,
                                 options.run_options.profile);
  result.faults = runner.faults();
  result.not_sent = runner.not_sent();
  const auto violations = CheckHistory(history);
  result.violations = static_cast<std::int64_t>(violations.size());
  for (std::size_t n = 0; n < violations.size() && n < kMaxListedViolations;
       ++n) {
    result.violation_texts.push_back(fmt::format(
        "{}: {}", ToString(violations[n].kind), violations[n].text));
  }
  fmt::print("{}", FormatResultTable(result));
  if (!options.result.empty()) {
    std::ofstream out(options.result);
    out << nlohmann::json(result).dump(2) << "\n";
    if (!out.flush()) {
      throw std::runtime_error(
          "cannot write " + options.result +
          "; check that the folder exists and can be written");
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
  auto& profile = options.run_options.profile;
  run.add_option("--manifest", options.manifest, "Manifest file")->required();
  run.add_option("--to", options.proxies, "HOST:PORT of a proxy, repeatable")
      ->required();
  run.add_option("--store", options.store, "HOST:PORT of the store stand-in");
  run.add_option("--faults", options.faults, "Fault schedule file, JSON");
  run.add_option("--mix", options.mix,
                 "KIND=WEIGHT, repeatable; other kinds get no requests");
  run.add_option("--rate", profile.rate_per_s, "Arrivals per second")
      ->check(CLI::Range(0.1, 50'000.0));
  run.add_option("--duration-ms", profile.duration_ms,
                 "Duration of the run in ms")
      ->check(CLI::Range(100, 3'600'000));
  run.add_option("--sessions", profile.sessions, "Number of sessions")
      ->check(CLI::Range(1, 100'000));
  run.add_option(
         "--roam-percent", profile.roam_percent,
         "Percentage of requests that move their session to the next proxy")
      ->check(CLI::Range(0.0, 100.0));
  run.add_option("--patience-ms", profile.patience_ms,
                 "Time in ms to wait for each answer")
      ->check(CLI::Range(50, 60'000));
  run.add_option("--seed", profile.seed, "Seed of the random numbers");
  run.add_option("--connections", options.run_options.connections_per_proxy,
                 "Connections to each proxy")
      ->check(CLI::Range(1, 1000));
  run.add_option("--max-requests", options.run_options.max_requests,
                 "Maximum number of requests sent")
      ->check(CLI::Range(1, 10'000'000));
  run.add_option("--result", options.result,
                 "Write the result to this file as JSON");
  run.add_option("--plot", options.plot,
                 "Write a plot to this .png or .svg file");
  run.add_flag("--quiet", options.quiet, "Do not print the progress");
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Sends load to running proxies and checks their consistency"};
  app.set_version_flag("--version", "kingcuplock-load 0.1.0");
  app.footer(
      "Exit codes: 0 no consistency violation, 1 error, 3 consistency "
      "violations");
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
