#include "kingcuplock/routing/replica_lag_tracker.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

const Time kNow{Milliseconds(1000)};

// Replicas lag for tens of seconds, and every read has a floor that they lack.
TEST_CASE("A replica that keeps lagging is tried a few times a second") {
  ReplicaLagTracker lag;
  auto asked = 0;
  for (auto n = 0; n < 10'000; ++n) {
    const auto now = kNow + Milliseconds(n);
    const LogPosition floor{1, 100 + n / 10};
    if (lag.MayServeRead(floor, now)) {
      ++asked;
      lag.NoteReadSent(floor, now);
      lag.NoteReadRefused(floor, now);
    }
  }
  CHECK(asked <= 60);
  CHECK(asked >= 40);
}

TEST_CASE("A replica that has caught up is used again") {
  ReplicaLagTracker lag;
  for (auto n = 0; n < 20; ++n) {
    lag.NoteReadRefused({1, 100}, kNow);
  }
  CHECK_FALSE(lag.MayServeRead({1, 100}, kNow + Milliseconds(100)));
  const auto later = kNow + Milliseconds(200);
  REQUIRE(lag.MayServeRead({1, 120}, later));
  lag.NoteReadSent({1, 120}, later);
  // A second read is not sent until the first one is answered.
  CHECK_FALSE(lag.MayServeRead({1, 120}, later));
  lag.NoteReadServed({1, 120});
  CHECK(lag.MayServeRead({1, 120}, later));
}

TEST_CASE("Reads below the floor that a replica lacks are not held back") {
  ReplicaLagTracker lag;
  lag.NoteReadRefused({1, 100}, kNow);
  CHECK(lag.MayServeRead({1, 99}, kNow));
  lag.NoteReadServed({1, 99});
  CHECK_FALSE(lag.MayServeRead({1, 100}, kNow));
  lag.NoteReadRefused({1, 50}, kNow);
  CHECK_FALSE(lag.MayServeRead({1, 99}, kNow));
}

// A session that has just written has a higher floor than the others.
TEST_CASE("A refusal of a high floor does not hold back ordinary reads") {
  ReplicaLagTracker lag;
  lag.NoteReadRefused({1, 500}, kNow);
  CHECK(lag.MayServeRead({1, 480}, kNow));
  CHECK(lag.MayServeRead({1, 500}, kNow + Milliseconds(25)));
}

TEST_CASE("A floor of a later term is higher than any of an earlier one") {
  ReplicaLagTracker lag;
  lag.NoteReadRefused({2, 10}, kNow);
  CHECK(lag.MayServeRead({1, 900}, kNow));
  CHECK_FALSE(lag.MayServeRead({2, 11}, kNow));
}

}  // namespace
}  // namespace kingcuplock
