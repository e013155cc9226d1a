/// Searches for uses of a replaced primary by random walks of the grant model,
/// with every rule enabled or one disabled. Prints a line for each seed and the
/// shortest trace that uses a replaced primary.
///
/// Exit codes: 0 no fault, 1 a fault was found, 2 bad arguments.
///
/// Example:
///   grant-model-search --walks 1000000 --first-seed 1 --last-seed 4
///   grant-model-search --without tenure

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "proofs/grant_model/grant_model.h"
#include "proofs/grant_model/grant_rule_sets.h"

namespace kingcuplock {
namespace {

using WalkFunction = GrantWalkResult (*)(std::int64_t, std::uint64_t);

/// Returns the functions that run walks, by the name of the disabled rule;
/// "none" disables no rule.
auto WalkFunctions() -> const std::map<std::string, WalkFunction>& {
  static const std::map<std::string, WalkFunction> kWalkFunctions = {
      {"none", RunGrantWalks<AllGrantRules>},
      {"count-from-ask", RunGrantWalks<WithoutCountFromRequest>},
      {"wait-for-grants", RunGrantWalks<WithoutWaitForGrantExpiry>},
      {"see-pause", RunGrantWalks<WithoutRejectPausedReports>},
      {"effective-pause", RunGrantWalks<WithoutEffectivePause>},
      {"record-orders", RunGrantWalks<WithoutRecordedOrders>},
      {"observed-members", RunGrantWalks<WithoutObservedMembers>},
      {"hear-all", RunGrantWalks<WithoutAllReports>},
      {"tenure", RunGrantWalks<WithoutWaitForPredecessor>},
      {"valid-lease", RunGrantWalks<WithoutValidLease>},
      {"one-order", RunGrantWalks<WithoutSingleUnresolvedOrder>}};
  return kWalkFunctions;
}

auto Main(int argc, char** argv) -> int {
  std::int64_t walks = 20'000;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  std::string without = "none";
  std::vector<std::string> names;
  for (const auto& [name, run_walks] : WalkFunctions()) {
    names.push_back(name);
  }
  CLI::App app(
      "Random walks of the grant model. Exit codes: 0 no fault, 1 a fault was "
      "found, 2 bad arguments.");
  app.add_option("--walks", walks, "walks for each seed")
      ->check(CLI::Range(std::int64_t{1}, std::int64_t{100'000'000}));
  app.add_option("--first-seed", first_seed, "first seed");
  app.add_option("--last-seed", last_seed, "last seed");
  app.add_option("--without", without, "rule to disable, or none")
      ->check(CLI::IsMember(names));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ex) {
    return app.exit(ex) == 0 ? 0 : 2;
  }
  std::int64_t faults = 0;
  for (auto seed = first_seed; seed <= last_seed; ++seed) {
    const auto result = WalkFunctions().at(without)(walks, seed);
    faults += result.faults;
    fmt::print("without={} seed={} walks={} faults={}\n", without, seed,
               result.walks, result.faults);
    std::fflush(stdout);
    if (result.shortest) {
      for (const auto& it : result.shortest->trace) {
        fmt::print("  {}\n", it);
      }
      fmt::print("  fault: {}\n", result.shortest->description);
    }
  }
  return faults == 0 ? 0 : 1;
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  return kingcuplock::Main(argc, argv);
}
