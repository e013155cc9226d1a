#include <doctest/doctest.h>

#include "proofs/fault_schedules/history_checker.h"
#include "proofs/fault_schedules/schedule_run.h"

namespace kingcuplock {
namespace {

/// Range of seeds that CI runs; the program fault-schedules runs longer ranges.
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kLastSeed = 400;

TEST_CASE("Seeded fault schedules cause no violation") {
  for (auto seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    const auto result = RunFaultSchedule(seed);
    CHECK_MESSAGE(result.violations.empty(), Describe(result));
  }
}

// Guards against a second owner beside one that a restored store does not show,
// and against terms and primaries taken from an older record.
TEST_CASE("Schedules that restore the store cause no violation") {
  constexpr std::uint64_t kLastRestoreSeed = 100;
  for (auto seed = kFirstSeed; seed <= kLastRestoreSeed; ++seed) {
    const auto result = RunFaultSchedule(seed, StoreData::kRestored);
    CHECK_MESSAGE(result.violations.empty(), Describe(result));
  }
}

TEST_CASE("A paused owner sends no statements beside its successor") {
  // Seeds that once failed: an owner resumed after a pause and sent statements
  // while the new owner did, too. In 6886 it still counted its lease as valid.
  for (const std::uint64_t seed : {849, 1425, 6886}) {
    const auto result = RunFaultSchedule(seed);
    CHECK_MESSAGE(result.violations.empty(), Describe(result));
  }
}

TEST_CASE("HistoryChecker reports lost, repeated and wrongly not_run writes") {
  HistoryChecker checker;
  checker.NoteWrite({"lost", 0, WriteOutcome::kAcknowledged, {}});
  checker.NoteWrite({"twice", 0, WriteOutcome::kAcknowledged, {}});
  checker.NoteWrite({"refused", 0, WriteOutcome::kNotRun, {}});
  CHECK(checker.FindViolations({"twice", "refused", "twice"}).size() == 3);
}

TEST_CASE("HistoryChecker reports reads behind their session or too old") {
  HistoryChecker checker;
  const Time now(Milliseconds(10'000));
  checker.NoteWrite(
      {"a", 0, WriteOutcome::kAcknowledged, Time(Milliseconds(1000))});
  checker.NoteRead({0, now, Milliseconds(5000), {}, {}});
  checker.NoteRead({1, now, Milliseconds(9500), {"a"}, {}});
  CHECK(checker.FindViolations({"a"}).size() == 2);
  HistoryChecker checker_without_violation;
  checker_without_violation.NoteRead({0, now, Milliseconds(9500), {}, {}});
  CHECK(checker_without_violation.FindViolations({}).empty());
}

}  // namespace
}  // namespace kingcuplock
