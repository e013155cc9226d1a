#include <doctest/doctest.h>

#include "proofs/fault_schedules/history_checker.h"
#include "proofs/fault_schedules/schedule_run.h"

namespace kingcuplock {
namespace {

/// Seeds that CI runs; the longer search is the program beside this test.
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kLastSeed = 400;

TEST_CASE("No promise is broken under seeded fault schedules") {
  for (auto seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    const auto result = RunSchedule(seed);
    CHECK_MESSAGE(result.violations.empty(), Describe(result));
  }
}

TEST_CASE("Schedules that once broke a promise keep it") {
  // A paused owner that woke sent statements beside the new owner's; in 6886
  // it still counted its lease as valid.
  for (const std::uint64_t seed : {849, 1425, 6886}) {
    const auto result = RunSchedule(seed);
    CHECK_MESSAGE(result.violations.empty(), Describe(result));
  }
}

TEST_CASE("The checker finds a lost, a doubled and a falsely refused write") {
  HistoryChecker checker;
  checker.NoteWrite({"lost", 0, WriteOutcome::kAcknowledged, {}});
  checker.NoteWrite({"twice", 0, WriteOutcome::kAcknowledged, {}});
  checker.NoteWrite({"refused", 0, WriteOutcome::kNotRun, {}});
  CHECK(checker.Check({"twice", "refused", "twice"}).size() == 3);
}

TEST_CASE("The checker finds a read behind its session or older than stated") {
  HistoryChecker checker;
  const Time now(Milliseconds(10'000));
  checker.NoteWrite(
      {"a", 0, WriteOutcome::kAcknowledged, Time(Milliseconds(1000))});
  checker.NoteRead({0, now, Milliseconds(5000), {}, {}});
  checker.NoteRead({1, now, Milliseconds(9500), {"a"}, {}});
  CHECK(checker.Check({"a"}).size() == 2);
  HistoryChecker fine;
  fine.NoteRead({0, now, Milliseconds(9500), {}, {}});
  CHECK(fine.Check({}).empty());
}

}  // namespace
}  // namespace kingcuplock
