/// fault-schedules: runs a range of seeded fault schedules and prints every
/// violation.
///
/// Exit codes: 0 no violation, 1 at least one; other values for bad arguments.
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

/// Sums and maxima over all seeds.
struct SearchTotals {
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::uint64_t runs_with_violations = 0;
  std::int64_t peak_connections = 0;
  std::int64_t peak_statements = 0;
};

void AddResult(SearchTotals& totals,
               const kingcuplock::ScheduleRunResult& result) {
  const std::lock_guard lock(totals.mutex);
  for (const auto& [status, n] : result.answers) {
    totals.answers[status] += n;
  }
  totals.peak_connections =
      std::max(totals.peak_connections, result.peak_connections);
  totals.peak_statements =
      std::max(totals.peak_statements, result.peak_statements);
  if (!result.violations.empty()) {
    ++totals.runs_with_violations;
    fmt::print("{}\n", Describe(result));
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  CLI::App app{"Runs seeded fault schedules against real nodes"};
  std::uint64_t from = 1;
  std::uint64_t to = 1000;
  auto threads = 4;
  app.add_option("--from", from, "first seed");
  app.add_option("--to", to, "last seed");
  app.add_option("--threads", threads, "number of threads");
  auto restore = false;
  app.add_flag("--restore", restore, "restore the store in every schedule");
  CLI11_PARSE(app, argc, argv);
  SearchTotals totals;
  std::atomic<std::uint64_t> next{from};
  std::vector<std::thread> workers;
  for (auto n = 0; n < threads; ++n) {
    workers.emplace_back([&] {
      for (auto seed = next++; seed <= to; seed = next++) {
        AddResult(totals, kingcuplock::RunFaultSchedule(
                              seed, restore ? kingcuplock::StoreData::kRestored
                                            : kingcuplock::StoreData::kKept));
      }
    });
  }
  for (auto& it : workers) {
    it.join();
  }
  fmt::print("runs {}, with violations {}\n", to - from + 1,
             totals.runs_with_violations);
  for (const auto& [status, n] : totals.answers) {
    fmt::print("answers {}: {}\n", status, n);
  }
  fmt::print("most connections {}, most statements {} at one member\n",
             totals.peak_connections, totals.peak_statements);
  return totals.runs_with_violations == 0 ? 0 : 1;
}
