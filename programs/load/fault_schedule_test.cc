#include "programs/load/fault_schedule.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

auto MakeManifestWithTwoDatabases() -> Manifest {
  Manifest out;
  out.databases.resize(2);
  out.databases[0].name = "a";
  out.databases[1].name = "b";
  return out;
}

TEST_CASE("Faults are parsed and sorted by time") {
  const auto faults = ParseFaultSchedule(
      R"({"faults": [
        {"at_ms": 9, "target": "store", "action": "down"},
        {"at_ms": 5, "target": "#1", "action": "lag", "member": "b-2",
         "ms": 70}]})",
      MakeManifestWithTwoDatabases());
  REQUIRE(faults.size() == 2);
  CHECK(faults[0].database == "b");
  CHECK(faults[0].command.action == ControlAction::kLag);
  CHECK(faults[0].command.ms == 70);
  CHECK(faults[1].database.empty());
}

TEST_CASE("An invalid schedule is rejected") {
  for (const auto* text :
       {"", "[]", "{}", R"({"faults": [{}]})", R"({"faults": [1]})",
        R"({"faults": [{"at_ms": 1, "target": "c", "action": "kill"}]})",
        R"({"faults": [{"at_ms": 1, "target": "#2", "action": "kill"}]})",
        R"({"faults": [{"at_ms": 1, "target": "a", "action": "burn"}]})",
        R"({"faults": [{"at_ms": -1, "target": "a", "action": "kill"}]})"}) {
    CHECK_THROWS_AS(ParseFaultSchedule(text, MakeManifestWithTwoDatabases()),
                    FaultScheduleError);
  }
}

}  // namespace
}  // namespace kingcuplock
