/// Measures the cost of request counters: time per counted answer and memory
/// per request kind. Prints a Markdown table.
///
/// Example:
///   build/benchmarks/metrics_cost

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "kingcuplock/metrics/request_counters.h"

namespace kingcuplock {
namespace {

/// Answers that are counted while the time is measured.
constexpr int kMeasuredAnswers = 2'000'000;

auto MakeManifest(int databases) -> Manifest {
  Manifest out;
  for (auto n = 0; n < databases; ++n) {
    DatabaseConfig database;
    database.name = "database-" + std::to_string(n);
    for (const auto* kind : {"book", "confirm", "list-partners"}) {
      database.kinds.push_back({.name = kind});
    }
    out.databases.push_back(std::move(database));
  }
  return out;
}

/// Prints the row of the table for a manifest of this many databases with three
/// kinds each.
void Measure(int databases) {
  const auto before = mallinfo2().uordblks;
  const auto manifest = MakeManifest(databases);
  const auto with_manifest = mallinfo2().uordblks;
  RequestCounters counters;
  counters.SetManifest(manifest);
  const auto without_answers = mallinfo2().uordblks;
  CallerRequest request;
  const CallerAnswer answer;
  Time now{std::chrono::hours(100)};
  const auto count_answer = [&](int n) {
    const auto& database = manifest.databases[std::size_t(n % databases)];
    request.database = database.name;
    request.kind = database.kinds[std::size_t(n / databases % 3)].name;
    now += Duration(10);
    counters.CountAnswer(now, request, answer,
                         Duration(200 + std::int64_t{n} * 7919 % 1000));
  };
  for (auto n = 0; n < 3 * databases * 40; ++n) {
    count_answer(n);
  }
  const auto with_answers = mallinfo2().uordblks;
  const auto began = std::chrono::steady_clock::now();
  for (auto n = 0; n < kMeasuredAnswers; ++n) {
    count_answer(n);
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - began;
  const auto kinds = 3.0 * databases;
  fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", databases * 3,
             took.count() / kMeasuredAnswers,
             double(without_answers - with_manifest) / kinds,
             double(with_answers - without_answers) / kinds,
             double(with_manifest - before) / kinds);
}

}  // namespace
}  // namespace kingcuplock

auto main() -> int {
  fmt::print(
      "| kinds | ns per answer | bytes per kind without answers | more "
      "bytes once answered | manifest bytes per kind |\n"
      "| --- | --- | --- | --- | --- |\n");
  for (const auto databases : {3, 200, 2200}) {
    kingcuplock::Measure(databases);
  }
}
