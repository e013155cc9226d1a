#include "kingcuplock/admission/concurrency_limit.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "testing/load_model.h"
#include "testing/load_scenarios.h"

namespace kingcuplock {
namespace {

const Time kNow{Milliseconds(1000)};

/// Sends and answers `n` statements one after another that each take `took`,
/// while others wait. Advances `now`.
auto Answer(ConcurrencyLimit& limit, int n, Duration took, Time& now) -> void {
  for (auto it = 0; it < n; ++it) {
    limit.NoteStatementSent();
    limit.NoteWaiting();
    now += took;
    limit.NoteAnswer(now, took);
  }
}

TEST_CASE("A limit starts near the share of the slots") {
  CHECK(ConcurrencyLimit({.slots = 5, .instances = 5, .max_connections = 12})
            .limit() == 2);
  CHECK(ConcurrencyLimit({.slots = 6, .instances = 30, .max_connections = 4})
            .limit() == 1);
  CHECK(ConcurrencyLimit({.slots = 6, .instances = 1, .max_connections = 4})
            .limit() == 4);
}

TEST_CASE(
    "A statement may start whatever numbers of slots and instances are given") {
  for (const std::int64_t slots : {0, -3}) {
    for (const std::int64_t instances : {0, -1, 1, 5}) {
      ConcurrencyLimit limit(
          {.slots = slots, .instances = instances, .max_connections = 0});
      CHECK(limit.MayStart(kNow, false));
    }
  }
  ConcurrencyLimit limit({.slots = 5, .instances = 5, .max_connections = 12});
  limit.SetOptions({.slots = 1'000'000, .instances = 1, .max_connections = 12});
  CHECK(limit.limit() == 12);
  limit.SetOptions({.slots = 0, .instances = 1'000'000, .max_connections = 12});
  CHECK(limit.MayStart(kNow, false));
}

TEST_CASE(
    "A standing queue at the member lowers the limit, free slots raise it") {
  ConcurrencyLimit limit({.slots = 5, .instances = 5, .max_connections = 12});
  auto now = kNow;
  Answer(limit, 40, Milliseconds(90), now);
  CHECK(limit.limit() < 1);
  CHECK(limit.limit() >= 0.5);
  Answer(limit, 200, Milliseconds(8), now);
  CHECK(limit.limit() > 4);
}

// There are far more instances than slots, and an overload has ended.
TEST_CASE("A limit far below one recovers within seconds after an overload") {
  ConcurrencyLimit limit({.slots = 2, .instances = 78, .max_connections = 2});
  auto now = kNow;
  Answer(limit, 200, Milliseconds(90), now);
  REQUIRE(limit.limit() < 0.05);
  Answer(limit, 100, Milliseconds(4), now);
  CHECK(limit.limit() >= 1);
}

TEST_CASE("A limit is not raised while no statement waits for it") {
  ConcurrencyLimit limit({.slots = 5, .instances = 5, .max_connections = 12});
  for (auto n = 0; n < 100; ++n) {
    limit.NoteStatementSent();
    limit.NoteAnswer(kNow + Milliseconds(10 * n), Milliseconds(5));
  }
  CHECK(limit.limit() == 2);
}

TEST_CASE("A limit of one half pauses for as long as the statement took") {
  ConcurrencyLimit limit({.slots = 1, .instances = 1, .max_connections = 4});
  auto now = kNow;
  Answer(limit, 80, Milliseconds(90), now);
  REQUIRE(limit.limit() == doctest::Approx(0.5));
  now += Milliseconds(1000);
  limit.NoteStatementSent();
  CHECK_FALSE(limit.MayStart(now, true));
  now += Milliseconds(30);
  limit.NoteAnswer(now, Milliseconds(30));
  CHECK_FALSE(limit.MayStart(now, false));
  CHECK(limit.PauseEndsAt(now) == now + Milliseconds(30));
  CHECK(limit.MayStart(now + Milliseconds(30), false));
  // An urgent statement is sent during the pause, which becomes longer.
  CHECK(limit.MayStart(now, true));
  limit.NoteStatementSent();
  now += Milliseconds(10);
  limit.NoteAnswer(now, Milliseconds(10));
  CHECK(limit.PauseEndsAt(now) == now + Milliseconds(30));
}

TEST_CASE("Refusals for lack of room halve the limit once per window") {
  ConcurrencyLimit limit({.slots = 20, .instances = 1, .max_connections = 32});
  REQUIRE(limit.limit() == 32);
  for (auto n = 0; n < 10; ++n) {
    limit.NoteStatementSent();
    limit.NoteBusy(kNow, Milliseconds(2));
  }
  CHECK(limit.limit() == 16);
  limit.NoteStatementSent();
  limit.NoteBusy(kNow + Milliseconds(600), Milliseconds(2));
  CHECK(limit.limit() == 8);
}

TEST_CASE("A lost statement that ends twice is not counted below zero") {
  ConcurrencyLimit limit({.slots = 1, .instances = 1, .max_connections = 1});
  limit.NoteStatementSent();
  CHECK_FALSE(limit.MayStart(kNow, true));
  limit.NoteEnd(kNow);
  limit.NoteEnd(kNow);
  CHECK(limit.in_flight() == 0);
}

// ------------------------------------------------------------ simulated loads

auto OptionsOf(const LoadScenario& it) -> ConcurrencyLimitOptions {
  ConcurrencyLimitOptions out;
  out.slots = it.slots;
  out.instances = static_cast<std::int64_t>(it.instances);
  out.max_connections =
      std::max<std::int64_t>(2, 2 * it.connections / out.instances);
  out.queue_threshold = it.routes.front().target / 8;
  return out;
}

auto Simulate(const LoadScenario& it, std::uint64_t seed) -> LoadResult {
  return LoadModel<ConcurrencyLimit>(
             it, seed, [&] { return ConcurrencyLimit(OptionsOf(it)); })
      .Run();
}

TEST_CASE(
    "Urgent reads do not wait behind others when the primary serves the reads "
    "of lagging replicas") {
  auto result = Simulate(OnePrimaryCarriesReads(), 1);
  CHECK(result.routes["urgent"].InTargetShare() >= 0.98);
  CHECK(result.slot_utilization >= 0.95);
  // Three times the mean time that this mix of statements takes.
  CHECK(result.MedianMemberLatency() < 3 * Milliseconds(33));
}

TEST_CASE(
    "With nearly all slots in use, the limit is not too low for the load") {
  const auto result = Simulate(NearlyAllSlotsUsed(), 1);
  CHECK(result.all.InTargetShare() >= 0.97);
}

TEST_CASE(
    "In a burst of four times the capacity urgent requests are served and "
    "the others are refused early") {
  auto result = Simulate(FourfoldBurst(), 1);
  CHECK(result.routes["urgent"].InTargetShare() >= 0.95);
  CHECK(result.all.gave_up * 100 <= result.all.offered);
  CHECK(result.all.total_refusal_time <
        result.all.refusals * Duration(Milliseconds(100)));
}

TEST_CASE("Urgent requests are served in time with more instances than slots") {
  auto result = Simulate(MoreInstancesThanSlots(), 1);
  CHECK(result.routes["urgent"].InTargetShare() >= 0.97);
  CHECK(result.slot_utilization >= 0.9);
}

TEST_CASE("An instance that returns gets its share of slots that are in use") {
  const auto scenario = InstanceReturns();
  const auto result = Simulate(scenario, 1);
  const auto back = result.instances.at(4).InTargetShare();
  CHECK(back >= 0.8 * result.all.InTargetShare());
}

TEST_CASE(
    "At twice the capacity each kind and each instance has at least half the "
    "mean served share") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const auto result = Simulate(TwiceTheCapacity(), seed);
    const auto fair = result.all.InTargetShare();
    for (const auto& [name, it] : result.routes) {
      CHECK_MESSAGE(it.InTargetShare() >= fair / 2, name);
    }
    for (const auto& it : result.instances) {
      CHECK(it.InTargetShare() >= fair / 2);
    }
  }
}

// Callers are spread unevenly over the instances: one data centre has two
// instances, each with half as many callers as the single one of another.
TEST_CASE(
    "With uneven callers each instance has at least half the mean served "
    "share") {
  std::vector<double> served_shares(UnevenArrivals().instances, 0);
  auto all = 0.0;
  constexpr std::uint64_t kRuns = 4;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    const auto result = Simulate(UnevenArrivals(), seed);
    for (std::size_t n = 0; n < served_shares.size(); ++n) {
      served_shares[n] += result.instances[n].InTargetShare() / kRuns;
    }
    all += result.all.InTargetShare() / kRuns;
  }
  CHECK(*std::min_element(served_shares.begin(), served_shares.end()) >=
        all / 2);
}

// Each load is simulated with several seeds: one run has some 500 requests, and
// two runs differ by more than the bound by chance alone.
TEST_CASE(
    "A hundred random loads are served no worse than with a fixed limit of the "
    "number of connections") {
  constexpr std::uint64_t kRuns = 4;
  auto better = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const auto scenario = RandomScenario(seed);
    const auto options = OptionsOf(scenario);
    auto adaptive = 0.0;
    auto fixed = 0.0;
    for (std::uint64_t run = 0; run < kRuns; ++run) {
      const auto run_seed = seed + 1000 * run;
      adaptive += Simulate(scenario, run_seed).all.InTargetShare() / kRuns;
      LoadModel<FixedLimit> model(scenario, run_seed, [&] {
        return FixedLimit(options.max_connections);
      });
      fixed += model.Run().all.InTargetShare() / kRuns;
    }
    CHECK_MESSAGE(adaptive >= fixed - 0.03,
                  "load " << seed << ": " << adaptive << " for " << fixed);
    better += adaptive > fixed ? 1 : 0;
  }
  CHECK(better >= 90);
}

}  // namespace
}  // namespace kingcuplock
