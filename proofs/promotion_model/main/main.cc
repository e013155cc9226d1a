/// Searches for lost acknowledged writes by random walks of the promotion
/// model, with every rule enabled or one disabled. Prints a line for each seed
/// and the shortest trace that loses an entry.
///
/// Exit codes: 0 no loss, 1 a loss was found, 2 bad arguments.
///
/// Example:
///   promotion-model-search --walks 1200000 --first-seed 1 --last-seed 4
///   promotion-model-search --without own-entry

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "proofs/promotion_model/promotion_model.h"

namespace kingcuplock {
namespace {

using WalkFunction = PromotionWalkResult (*)(std::int64_t, std::uint64_t);

/// Values of the command line options.
struct SearchOptions {
  std::int64_t walks = 100'000;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  std::string without = "none";
};

/// Returns the functions that run walks, by the name of the disabled rule;
/// "none" disables no rule.
auto WalkFunctions() -> const std::map<std::string, WalkFunction>& {
  static const std::map<std::string, WalkFunction> kWalkFunctions = {
      {"none", RunPromotionWalks<AllSafetyRules>},
      {"entry-term", RunPromotionWalks<WithoutCompareLastEntryTerm>},
      {"own-entry", RunPromotionWalks<WithoutOwnTermEntry>},
      {"hear-enough", RunPromotionWalks<WithoutAllButOneReport>},
      {"confirm-all", RunPromotionWalks<WithoutAllConfirmations>},
      {"hear-again", RunPromotionWalks<WithoutFreshReports>}};
  return kWalkFunctions;
}

void PrintLoss(const LostWrite& loss) {
  for (const auto& it : loss.trace) {
    fmt::print("  {}\n", it);
  }
  fmt::print("  lost: entry {} of term {}\n", loss.entry.serial,
             loss.entry.term);
}

auto RunSearch(const SearchOptions& options) -> std::int64_t {
  const auto run = WalkFunctions().at(options.without);
  std::int64_t losses = 0;
  for (auto seed = options.first_seed; seed <= options.last_seed; ++seed) {
    const auto result = run(options.walks, seed);
    losses += result.losses;
    fmt::print("without={} seed={} walks={} losses={}\n", options.without, seed,
               result.walks, result.losses);
    std::fflush(stdout);
    if (result.shortest) {
      PrintLoss(*result.shortest);
    }
  }
  return losses;
}

auto Main(int argc, char** argv) -> int {
  SearchOptions options;
  std::vector<std::string> names;
  for (const auto& [name, run_walks] : WalkFunctions()) {
    names.push_back(name);
  }
  CLI::App app(
      "Random walks of the promotion model. Exit codes: 0 no loss, 1 a loss "
      "was found, 2 bad arguments.");
  app.add_option("--walks", options.walks, "walks for each seed")
      ->check(CLI::Range(std::int64_t{1}, std::int64_t{100'000'000}));
  app.add_option("--first-seed", options.first_seed, "first seed");
  app.add_option("--last-seed", options.last_seed, "last seed");
  app.add_option("--without", options.without, "rule to disable, or none")
      ->check(CLI::IsMember(names));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ex) {
    return app.exit(ex) == 0 ? 0 : 2;
  }
  return RunSearch(options) == 0 ? 0 : 1;
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  return kingcuplock::Main(argc, argv);
}
