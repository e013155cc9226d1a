#include "programs/report/service_report.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

auto MakeManifest(double objective) -> Manifest {
  KindConfig kind;
  kind.name = "list";
  kind.max_age_ms = 5000;
  kind.objective_percent = objective;
  DatabaseConfig database;
  database.name = "db";
  database.kinds = {kind};
  return {1, "d", {database}};
}

auto MakeStatus(const std::string& instance,
                std::int64_t good,
                std::int64_t bad) -> InstanceStatus {
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

TEST_CASE("The burn rate is 1 if the bad share is what the objective allows") {
  CHECK(*ComputeBurnRate(999, 1, 99.9) == doctest::Approx(1.0));
  CHECK(*ComputeBurnRate(0, 7, 99.0) == doctest::Approx(100.0));
  CHECK(*ComputeBurnRate(7, 0, 99.0) == 0.0);
  CHECK_FALSE(ComputeBurnRate(0, 0, 99.0).has_value());
}

TEST_CASE(
    "The burn rate rises with bad requests up to the limit of the objective") {
  CHECK(rc::check([] {
    const auto good = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
    const auto bad = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
    const auto objective = *rc::gen::inRange(1, 1000) / 10.0;
    RC_PRE(good + bad > 0);
    const auto burn_rate = *ComputeBurnRate(good, bad, objective);
    RC_ASSERT(burn_rate >= 0);
    RC_ASSERT(*ComputeBurnRate(good, bad + 1, objective) >= burn_rate);
    RC_ASSERT(*ComputeBurnRate(good + 1, bad, objective) <= burn_rate);
    const auto highest_burn_rate = *ComputeBurnRate(0, 1, objective);
    RC_ASSERT(burn_rate <= highest_burn_rate * (1 + 1e-9));
  }));
}

TEST_CASE("Counters of instances add up, however the requests are split") {
  CHECK(rc::check([] {
    const auto good = *rc::gen::inRange<std::int64_t>(0, 100'000);
    const auto bad = *rc::gen::inRange<std::int64_t>(0, 100'000);
    const auto first_good = *rc::gen::inRange<std::int64_t>(0, good + 1);
    const auto first_bad = *rc::gen::inRange<std::int64_t>(0, bad + 1);
    const std::vector<InstanceStatus> whole{MakeStatus("x", good, bad)};
    const std::vector<InstanceStatus> split{
        MakeStatus("x", first_good, first_bad),
        MakeStatus("y", good - first_good, bad - first_bad)};
    const auto manifest = MakeManifest(99.5);
    const auto whole_report = BuildServiceReport(manifest, whole, {});
    const auto split_report = BuildServiceReport(manifest, split, {});
    RC_ASSERT(whole_report.kinds[0].windows[2].burn_rate ==
              split_report.kinds[0].windows[2].burn_rate);
    RC_ASSERT(whole_report.kinds[0].state == split_report.kinds[0].state);
  }));
}

TEST_CASE("An outage is a fast burn, even with a low objective") {
  for (const auto objective : {50.0, 90.0, 99.0, 99.95}) {
    const std::vector<InstanceStatus> statuses{MakeStatus("x", 10, 90)};
    const auto report =
        BuildServiceReport(MakeManifest(objective), statuses, {});
    CHECK(report.kinds[0].state == BurnState::kFastBurn);
  }
}

TEST_CASE("A slow burn is distinguished from a kept budget") {
  const std::vector<InstanceStatus> slow{MakeStatus("x", 980, 20)};
  CHECK(BuildServiceReport(MakeManifest(99), slow, {}).kinds[0].state ==
        BurnState::kSlowBurn);
  const std::vector<InstanceStatus> within_budget{MakeStatus("x", 995, 5)};
  CHECK(
      BuildServiceReport(MakeManifest(99), within_budget, {}).kinds[0].state ==
      BurnState::kWithinBudget);
}

TEST_CASE("Missing data is reported") {
  auto behind = MakeStatus("x", 0, 0);
  behind.manifest_version = 7;
  behind.uptime_ms = 5000;
  behind.counters[0].kind = "gone";
  const std::vector<InstanceStatus> statuses{behind};
  const auto report =
      BuildServiceReport(MakeManifest(99), statuses, {"127.0.0.1:1: refused"});
  CHECK(report.kinds[0].state == BurnState::kNoData);
  CHECK(report.gaps_in_data.size() == 3);
  const auto text = FormatReportText(report);
  CHECK(text.find("MISSING: 127.0.0.1:1: refused") != std::string::npos);
  CHECK(text.find("no data") != std::string::npos);
  CHECK(FormatReportJson(report)["kinds"][0]["windows"][0]["burn"].is_null());
}

}  // namespace
}  // namespace kingcuplock
