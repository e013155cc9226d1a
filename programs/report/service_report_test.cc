#include "programs/report/service_report.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

auto OneKind(double objective) -> Manifest {
  KindConfig kind;
  kind.name = "list";
  kind.max_age_ms = 5000;
  kind.objective_percent = objective;
  DatabaseConfig database;
  database.name = "db";
  database.kinds = {kind};
  return {1, "d", {database}};
}

auto Status(const std::string& instance, std::int64_t good, std::int64_t bad)
    -> InstanceStatus {
  RequestCounter counter;
  counter.database = "db";
  counter.kind = "list";
  for (const auto window : {300'000, 3'600'000, 21'600'000, 259'200'000}) {
    counter.windows.push_back({window, good, bad, good / 2});
  }
  InstanceStatus out;
  out.instance = instance;
  out.manifest_version = 1;
  out.uptime_ms = 300'000'000;
  out.counters = {counter};
  return out;
}

TEST_CASE("Burn is 1 when the bad share is what the objective allows") {
  CHECK(*ComputeBurnRate(999, 1, 99.9) == doctest::Approx(1.0));
  CHECK(*ComputeBurnRate(0, 7, 99.0) == doctest::Approx(100.0));
  CHECK(*ComputeBurnRate(7, 0, 99.0) == 0.0);
  CHECK_FALSE(ComputeBurnRate(0, 0, 99.0).has_value());
}

TEST_CASE("Burn grows with each bad request and scales with the objective") {
  CHECK(rc::check([] {
    const auto good = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
    const auto bad = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
    const auto objective = *rc::gen::inRange(1, 1000) / 10.0;
    RC_PRE(good + bad > 0);
    const auto burn_rate = *ComputeBurnRate(good, bad, objective);
    RC_ASSERT(burn_rate >= 0);
    RC_ASSERT(*ComputeBurnRate(good, bad + 1, objective) >= burn_rate);
    RC_ASSERT(*ComputeBurnRate(good + 1, bad, objective) <= burn_rate);
    const auto most = *ComputeBurnRate(0, 1, objective);
    RC_ASSERT(burn_rate <= most * (1 + 1e-9));
  }));
}

TEST_CASE("Counts of instances add up, whatever their split") {
  CHECK(rc::check([] {
    const auto good = *rc::gen::inRange<std::int64_t>(0, 100'000);
    const auto bad = *rc::gen::inRange<std::int64_t>(0, 100'000);
    const auto a = *rc::gen::inRange<std::int64_t>(0, good + 1);
    const auto b = *rc::gen::inRange<std::int64_t>(0, bad + 1);
    const std::vector<InstanceStatus> whole{Status("x", good, bad)};
    const std::vector<InstanceStatus> split{Status("x", a, b),
                                            Status("y", good - a, bad - b)};
    const auto manifest = OneKind(99.5);
    const auto left = BuildServiceReport(manifest, whole, {});
    const auto right = BuildServiceReport(manifest, split, {});
    RC_ASSERT(left.kinds[0].windows[2].burn_rate ==
              right.kinds[0].windows[2].burn_rate);
    RC_ASSERT(left.kinds[0].state == right.kinds[0].state);
  }));
}

TEST_CASE("An outage is a fast burn, also under a loose objective") {
  for (const auto objective : {50.0, 90.0, 99.0, 99.95}) {
    const std::vector<InstanceStatus> all{Status("x", 10, 90)};
    const auto report = BuildServiceReport(OneKind(objective), all, {});
    CHECK(report.kinds[0].state == BurnState::kFastBurn);
  }
}

TEST_CASE("A slow burn and a budget kept are told apart") {
  const std::vector<InstanceStatus> slow{Status("x", 980, 20)};
  CHECK(BuildServiceReport(OneKind(99), slow, {}).kinds[0].state ==
        BurnState::kSlowBurn);
  const std::vector<InstanceStatus> kept{Status("x", 995, 5)};
  CHECK(BuildServiceReport(OneKind(99), kept, {}).kinds[0].state ==
        BurnState::kWithinBudget);
}

TEST_CASE("Missing data is said in words") {
  auto behind = Status("x", 0, 0);
  behind.manifest_version = 7;
  behind.uptime_ms = 5000;
  behind.counters[0].kind = "gone";
  const std::vector<InstanceStatus> all{behind};
  const auto report =
      BuildServiceReport(OneKind(99), all, {"127.0.0.1:1: refused"});
  CHECK(report.kinds[0].state == BurnState::kNoData);
  CHECK(report.gaps_in_data.size() == 3);
  const auto text = FormatReportText(report);
  CHECK(text.find("MISSING: 127.0.0.1:1: refused") != std::string::npos);
  CHECK(text.find("no data") != std::string::npos);
  CHECK(FormatReportJson(report)["kinds"][0]["windows"][0]["burn"].is_null());
}

}  // namespace
}  // namespace kingcuplock
