#include "kingcuplock/routing/age_tracker.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

/// Length in ms of a run: long enough that delays overlap.
constexpr int kRunMs = 3000;
constexpr int kMaxDelayMs = 200;

/// Times in ms at which a sample is requested, read at the primary and
/// received.
struct SampleTimes {
  int requested = 0;
  int read = 0;
  int arrived = 0;
};

/// Log of a primary over two terms, with the true time in ms of each commit.
struct TrueLog {
  std::vector<int> commits;
  int second_term_from = 0;

  auto EndAt(int time) const -> LogPosition {
    const auto end = std::upper_bound(commits.begin(), commits.end(), time);
    const auto position = end - commits.begin();
    return {position > second_term_from ? 2 : 1, position};
  }

  /// Returns the age in ms, at `time`, of a copy that ends at `place`.
  auto AgeOf(LogPosition place, int time) const -> int {
    const auto next = static_cast<std::size_t>(place.position);
    return next < commits.size() ? std::max(0, time - commits[next]) : 0;
  }
};

auto AnyLog() -> TrueLog {
  auto commits =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, kRunMs));
  std::sort(commits.begin(), commits.end());
  return {commits, *rc::gen::inRange(0, 60)};
}

auto AnySampleTimes() -> std::vector<SampleTimes> {
  std::vector<SampleTimes> samples;
  for (auto at = 0; at < kRunMs; at += *rc::gen::inRange(10, 400)) {
    const auto read = at + *rc::gen::inRange(0, kMaxDelayMs);
    samples.push_back({at, read, read + *rc::gen::inRange(0, kMaxDelayMs)});
  }
  std::sort(samples.begin(), samples.end(),
            [](const auto& a, const auto& b) { return a.arrived < b.arrived; });
  return samples;
}

/// Returns the largest number of ms by which the bound was below the true age.
/// The instance's clock has a constant offset.
template <bool kCountFromRequest>
auto WorstShortfall() -> int {
  const auto log = AnyLog();
  const auto offset = *rc::gen::inRange(-100'000, 100'000);
  const auto clock = [&](int time) {
    return Time(Milliseconds(time + offset + 1'000'000));
  };
  AgeTracker ages;
  auto worst = -kRunMs;
  for (const auto& it : AnySampleTimes()) {
    ages.AddSample(clock(kCountFromRequest ? it.requested : it.arrived),
                   log.EndAt(it.read));
    const auto replica_at = *rc::gen::inRange(0, it.arrived + 1);
    const auto place = log.EndAt(replica_at);
    const auto asked_at = it.arrived + *rc::gen::inRange(0, kMaxDelayMs);
    if (const auto bound = ages.AgeAt(place, clock(asked_at))) {
      const auto bound_ms =
          std::chrono::duration_cast<Milliseconds>(*bound).count();
      worst = std::max(worst,
                       log.AgeOf(place, asked_at) - static_cast<int>(bound_ms));
    }
  }
  return worst;
}

TEST_CASE(
    "The bound is never below the true age under delays, clock offsets, lag "
    "and reordered samples") {
  CHECK(rc::check([] { RC_ASSERT(WorstShortfall<true>() <= 0); }));
}

TEST_CASE("An age counted from a sample's arrival can be below the true age") {
  auto broken = 0;
  rc::check([&] { broken += WorstShortfall<false>() > 0 ? 1 : 0; });
  CHECK(broken > 0);
}

TEST_CASE("The age is unknown without a sample at or before the position") {
  AgeTracker ages;
  CHECK_FALSE(ages.AgeAt({1, 5}, Time(Milliseconds(10))).has_value());
  ages.AddSample(Time(Milliseconds(1)), {1, 6});
  CHECK_FALSE(ages.AgeAt({1, 5}, Time(Milliseconds(10))).has_value());
  CHECK(ages.AgeAt({1, 6}, Time(Milliseconds(10))) == Milliseconds(9));
}

}  // namespace
}  // namespace kingcuplock

namespace kingcuplock {
namespace {

TEST_CASE("The floor is the oldest sample that was requested since a time") {
  AgeTracker ages;
  CHECK_FALSE(ages.FloorSince(Time{}));
  ages.AddSample(Time{} + Milliseconds(100), {1, 5});
  ages.AddSample(Time{} + Milliseconds(200), {1, 9});
  CHECK(ages.FloorSince(Time{} + Milliseconds(50)) == LogPosition{1, 5});
  CHECK(ages.FloorSince(Time{} + Milliseconds(150)) == LogPosition{1, 9});
  CHECK_FALSE(ages.FloorSince(Time{} + Milliseconds(250)));
}

}  // namespace
}  // namespace kingcuplock
