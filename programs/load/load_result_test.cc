#include "programs/load/load_result.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

auto MakeManifest() -> Manifest {
  DatabaseConfig database;
  database.name = "db";
  database.kinds = {{.name = "book", .access = Access::kWrite, .target_ms = 5},
                    {.name = "list", .max_age_ms = 100}};
  return {1, "d", {database}};
}

auto MakeOkOperation(const std::string& kind,
                     std::int64_t due_us,
                     std::int64_t took_us) -> Operation {
  Operation out;
  out.database = "db";
  out.kind = kind;
  out.part = kind == "book" ? "p" : "";
  out.outcome = OperationOutcome::kOk;
  out.due_us = due_us;
  out.answered_us = due_us + took_us;
  return out;
}

auto MakeHistory() -> History {
  History out;
  out.operations = {MakeOkOperation("book", 1'000'000, 4000),
                    MakeOkOperation("book", 4'000'000, 6000),
                    MakeOkOperation("list", 0, 1000),
                    MakeOkOperation("list", 0, 3000)};
  out.operations[2].from_replica = true;
  return out;
}

TEST_CASE("The result of a run is computed from its history") {
  const auto result =
      SummariseHistory(MakeHistory(), MakeManifest(), {.duration_ms = 5000});
  REQUIRE(result.kinds.size() == 2);
  CHECK(result.kinds[0].within_target == 1);
  CHECK(result.kinds[0].p99_us == 6000);
  CHECK(result.replica_percent == 50.0);
  CHECK(result.gaps.at(0).longest_ms == 3002);
  CHECK(result.gaps.at(0).began_ms == 1004);
  CHECK(result.timeline.size() == 3);
}

TEST_CASE("A result survives a round trip through JSON") {
  const auto result =
      SummariseHistory(MakeHistory(), MakeManifest(), {.duration_ms = 5000});
  const auto json = nlohmann::json(result);
  const auto again = json.get<LoadResult>();
  CHECK(nlohmann::json(again) == json);
  CHECK(FormatResultComparison(result, again).find("+0.0%") !=
        std::string::npos);
  CHECK(FormatResultTable(again) == FormatResultTable(result));
}

}  // namespace
}  // namespace kingcuplock
