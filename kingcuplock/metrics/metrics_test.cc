#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "kingcuplock/metrics/failover_log.h"
#include "kingcuplock/metrics/request_counters.h"

namespace kingcuplock {
namespace {

auto ManifestWithOneKind(std::int64_t target_ms) -> Manifest {
  KindConfig kind;
  kind.name = "book";
  kind.access = Access::kWrite;
  kind.target_ms = target_ms;
  DatabaseConfig database;
  database.name = "db";
  database.kinds = {kind};
  return {1, "d", {database}};
}

auto MakeRequest(const std::string& database, const std::string& kind)
    -> CallerRequest {
  CallerRequest out;
  out.database = database;
  out.kind = kind;
  return out;
}

TEST_CASE("A window counts all of its last 11/12 and nothing older than it") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& raw) {
    WindowCounter counter;
    Time now{Milliseconds(1)};
    std::vector<Time> times;
    for (const auto it : raw) {
      now += Milliseconds(it % 4'000'000);
      counter.Add(now, {.good = 1});
      times.push_back(now);
    }
    now += Milliseconds(*rc::gen::inRange(0, 400'000'000));
    for (const auto& it : counter.Windows(now)) {
      const auto length = Duration(Milliseconds(it.window_ms));
      const auto within = [&](Duration age) {
        return std::count_if(times.begin(), times.end(),
                             [&](Time t) { return now - t < age; });
      };
      RC_ASSERT(it.good >= within(length / 12 * 11));
      RC_ASSERT(it.good <= within(length));
    }
  }));
}

TEST_CASE("Quantiles of long-tailed latencies are within 10%") {
  std::mt19937_64 random(20261204);
  std::lognormal_distribution<double> latency(8, 1);
  LatencySketch sketch;
  std::vector<double> all;
  for (auto n = 0; n < 50'000; ++n) {
    all.push_back(latency(random));
    sketch.Add(Duration(std::llround(all.back())));
  }
  std::sort(all.begin(), all.end());
  for (const auto probability : {0.5, 0.9, 0.99}) {
    const auto exact = all[static_cast<std::size_t>(probability * 50'000)];
    const auto got = double(sketch.Quantile(probability).count());
    CHECK(std::abs(got / exact - 1) < 0.1);
  }
}

TEST_CASE("A few samples give exact quantiles") {
  LatencySketch sketch;
  CHECK(sketch.Quantile(0.5) == Duration::zero());
  for (auto n = 1; n <= 20; ++n) {
    sketch.Add(Duration(n));
  }
  CHECK(sketch.Quantile(0.5) == Duration(10));
  CHECK(sketch.Quantile(0.99) == Duration(20));
}

TEST_CASE("Constant, negative and extreme latencies keep quantiles in range") {
  LatencySketch constant;
  LatencySketch wrapped;
  LatencySketch extreme;
  for (std::int64_t n = 0; n < 300'000; ++n) {
    constant.Add(Duration(0));
    wrapped.Add(Duration(200 + static_cast<std::int32_t>(n * 7919) % 1000));
    extreme.Add(n % 7 == 0 ? Duration::max() : Duration(-n));
  }
  for (const auto probability : {0.5, 0.99}) {
    CHECK(constant.Quantile(probability) == Duration(1));
    CHECK(wrapped.Quantile(probability) >= Duration(1));
    CHECK(wrapped.Quantile(probability) <= Duration(1199));
    CHECK(extreme.Quantile(probability) >= Duration(1));
  }
}

TEST_CASE("Quantiles contain no sample older than two periods") {
  LatencyQuantiles latency;
  const Time start{std::chrono::hours(1)};
  latency.Add(start, Milliseconds(900));
  latency.Add(start + kLatencyPeriod, Milliseconds(1));
  latency.Add(start + 2 * kLatencyPeriod, Milliseconds(1));
  CHECK(latency.Quantile(start + 2 * kLatencyPeriod, 0.99) == Milliseconds(1));
}

TEST_CASE("Only ok answers within the latency target count as good") {
  RequestCounters counters;
  counters.SetManifest(ManifestWithOneKind(100));
  const Time now{std::chrono::hours(1)};
  const auto request = MakeRequest("db", "book");
  CallerAnswer answer;
  counters.CountAnswer(now, request, answer, Milliseconds(100));
  counters.CountAnswer(now, request, answer, Milliseconds(101));
  answer.status = Status::kNotRun;
  counters.CountAnswer(now, request, answer, Milliseconds(1));
  const auto all = counters.Snapshot(now);
  REQUIRE(all.size() == 1);
  CHECK(all[0].windows.at(0).good == 1);
  CHECK(all[0].windows.at(0).bad == 2);
  CHECK(all[0].ok == 2);
}

// Names that callers invent must not take memory: otherwise a caller could make
// an instance run out of it.
TEST_CASE("Requests with unknown names are counted in one entry") {
  RequestCounters counters;
  counters.SetManifest(ManifestWithOneKind(100));
  for (auto n = 0; n < 1000; ++n) {
    counters.CountAnswer(Time{}, MakeRequest("db" + std::to_string(n), "x"), {},
                         {});
  }
  const auto all = counters.Snapshot(Time{});
  REQUIRE(all.size() == 1);
  CHECK(all[0].database.empty());
  CHECK(all[0].windows.at(0).bad + all[0].windows.at(0).good == 1000);
}

TEST_CASE("A new manifest keeps counts of its kinds and drops all others") {
  RequestCounters counters;
  counters.SetManifest(ManifestWithOneKind(100));
  counters.CountAnswer(Time{}, MakeRequest("db", "book"), {}, {});
  counters.SetManifest(ManifestWithOneKind(200));
  CHECK(counters.Snapshot(Time{}).size() == 1);
  counters.SetManifest({2, "d", {}});
  CHECK(counters.Snapshot(Time{}).empty());
}

TEST_CASE("The failover log keeps the newest failovers") {
  FailoverLog log;
  for (std::size_t n = 1; n <= FailoverLog::kMaxFailovers + 5; ++n) {
    FailoverGap gap;
    gap.term = static_cast<std::int64_t>(n);
    log.Add(Time{Milliseconds(n)}, gap);
  }
  const auto all = log.Snapshot(Time{Milliseconds(1000)});
  CHECK(all.size() == FailoverLog::kMaxFailovers);
  CHECK(all.back().term == FailoverLog::kMaxFailovers + 5);
  CHECK(all.back().ended_ms_ago ==
        1000 - static_cast<int>(FailoverLog::kMaxFailovers + 5));
}

}  // namespace
}  // namespace kingcuplock
