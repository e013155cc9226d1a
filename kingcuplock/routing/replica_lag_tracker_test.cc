#include "kingcuplock/routing/replica_lag_tracker.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

const Time kNow{Milliseconds(1000)};

// The pattern: replicas stay behind for tens of seconds, and every read has a
// floor that they lack.
TEST_CASE("A replica that stays behind is asked a few times a second") {
  ReplicaLagTracker places;
  auto asked = 0;
  for (auto n = 0; n < 10'000; ++n) {
    const auto now = kNow + Milliseconds(n);
    const LogPlace floor{1, 100 + n / 10};
    if (places.MayServeRead(floor, now)) {
      ++asked;
      places.NoteReadSent(floor, now);
      places.NoteReadRefused(floor, now);
    }
  }
  CHECK(asked <= 60);
  CHECK(asked >= 40);
}

TEST_CASE("A replica that has caught up is used again") {
  ReplicaLagTracker places;
  for (auto n = 0; n < 20; ++n) {
    places.NoteReadRefused({1, 100}, kNow);
  }
  CHECK_FALSE(places.MayServeRead({1, 100}, kNow + Milliseconds(100)));
  const auto later = kNow + Milliseconds(200);
  REQUIRE(places.MayServeRead({1, 120}, later));
  places.NoteReadSent({1, 120}, later);
  // One read finds out; the next does not join it.
  CHECK_FALSE(places.MayServeRead({1, 120}, later));
  places.NoteReadServed({1, 120});
  CHECK(places.MayServeRead({1, 120}, later));
}

TEST_CASE("A floor below what a replica lacks is not affected") {
  ReplicaLagTracker places;
  places.NoteReadRefused({1, 100}, kNow);
  CHECK(places.MayServeRead({1, 99}, kNow));
  places.NoteReadServed({1, 99});
  CHECK_FALSE(places.MayServeRead({1, 100}, kNow));
  places.NoteReadRefused({1, 50}, kNow);
  CHECK_FALSE(places.MayServeRead({1, 99}, kNow));
}

// A session that has just written reads ahead of the others.
TEST_CASE("A floor far ahead does not keep ordinary reads away") {
  ReplicaLagTracker places;
  places.NoteReadRefused({1, 500}, kNow);
  CHECK(places.MayServeRead({1, 480}, kNow));
  CHECK(places.MayServeRead({1, 500}, kNow + Milliseconds(25)));
}

TEST_CASE("A floor of a later term counts as further") {
  ReplicaLagTracker places;
  places.NoteReadRefused({2, 10}, kNow);
  CHECK(places.MayServeRead({1, 900}, kNow));
  CHECK_FALSE(places.MayServeRead({2, 11}, kNow));
}

}  // namespace
}  // namespace kingcuplock
