/// fault-schedules: runs a range of seeded fault schedules and prints every
/// violation.
///
/// Exit codes: 0 no violation, 1 some.
///
/// Example:
///   fault-schedules --from 1 --to 10000 --threads 8

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "proofs/fault_schedules/schedule_run.h"

namespace {

/// Runs and violations over all seeds.
struct Totals {
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::uint64_t bad_runs = 0;
  std::int64_t most_connections = 0;
  std::int64_t most_statements = 0;
};

void Note(Totals& totals, const kingcuplock::RunResult& result) {
  const std::lock_guard lock(totals.mutex);
  for (const auto& [status, n] : result.answers) {
    totals.answers[status] += n;
  }
  totals.most_connections =
      std::max(totals.most_connections, result.most_connections);
  totals.most_statements =
      std::max(totals.most_statements, result.most_statements);
  if (!result.violations.empty()) {
    ++totals.bad_runs;
    fmt::print("{}\n", Describe(result));
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  CLI::App app{"Seeded fault schedules against the decisions of real nodes"};
  std::uint64_t from = 1;
  std::uint64_t to = 1000;
  auto threads = 4;
  app.add_option("--from", from, "First seed");
  app.add_option("--to", to, "Last seed");
  app.add_option("--threads", threads, "Threads");
  CLI11_PARSE(app, argc, argv);
  Totals totals;
  std::atomic<std::uint64_t> next{from};
  std::vector<std::thread> workers;
  for (auto n = 0; n < threads; ++n) {
    workers.emplace_back([&] {
      for (auto seed = next++; seed <= to; seed = next++) {
        Note(totals, kingcuplock::RunSchedule(seed));
      }
    });
  }
  for (auto& it : workers) {
    it.join();
  }
  fmt::print("runs {}, with violations {}\n", to - from + 1, totals.bad_runs);
  for (const auto& [status, n] : totals.answers) {
    fmt::print("answers {}: {}\n", status, n);
  }
  fmt::print("most connections {}, most statements {} at one member\n",
             totals.most_connections, totals.most_statements);
  return totals.bad_runs == 0 ? 0 : 1;
}
