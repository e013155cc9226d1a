#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Service time of a statement in microseconds.
constexpr std::int64_t kServiceUs = 10'000;
constexpr std::int64_t kSlots = 2;
/// Maximum rate of statements per second with kSlots slots.
constexpr std::int64_t kCapacity = kSlots * 1'000'000 / kServiceUs;
/// Offered load as a multiple of the capacity.
constexpr std::int64_t kLoadFactor = 10;
/// Duration of the load in seconds.
constexpr std::int64_t kSeconds = 4;

/// Returns the next version of `manifest`, in which writes have priority over
/// reads.
auto WithPriorities(Manifest manifest) -> Manifest {
  constexpr std::int64_t kListingPriority = 6;
  manifest.version += 1;
  for (auto& it : manifest.databases.front().kinds) {
    it.priority = it.access == Access::kWrite ? 0 : kListingPriority;
  }
  return manifest;
}

TEST_CASE("At ten times the capacity, goodput holds and writes precede reads") {
  NodeFixture fixture({.seed = 1, .nodes = 2, .service_us = kServiceUs});
  fixture.RunUntilServing();
  fixture.PublishManifest(WithPriorities(fixture.manifest()));
  fixture.RunFor(Milliseconds(500));
  const auto sends = kLoadFactor * kCapacity * kSeconds;
  std::int64_t bookings = 0;
  for (std::int64_t n = 0; n < sends; ++n) {
    // One request in twenty is a booking, which is half of the capacity.
    const auto is_booking = n % 20 == 0;
    const auto id = "r" + std::to_string(n);
    auto request = is_booking ? fixture.MakeAppendRequest(id, "b", "x")
                              : fixture.MakeReadRequest(id, "fresh", "row");
    if (is_booking) {
      request.statements.front().verb = Verb::kPut;
    }
    request.patience_ms = 1000;
    bookings += is_booking ? 1 : 0;
    fixture.Send(static_cast<std::size_t>(n % 2), request);
    fixture.RunFor(Duration(1'000'000 / (kLoadFactor * kCapacity)));
  }
  const auto ended = fixture.Now();
  fixture.RunFor(Milliseconds(2000));
  std::int64_t good = 0;
  std::int64_t booked = 0;
  std::vector<Duration> refused;
  for (const auto& it : fixture.answers()) {
    const auto ok = it.answer.status == Status::kOk;
    good += ok && it.answered <= ended ? 1 : 0;
    booked += ok && it.request.kind == "write" ? 1 : 0;
    if (it.answer.status == Status::kNotRun) {
      CHECK(it.answer.retry_after_ms > 0);
      refused.push_back(it.answered - it.asked);
    }
  }
  CHECK(booked == bookings);
  // A slot is occupied during transit to and from the member too, 0.9 ms on
  // average.
  CHECK(good * 100 >= 90 * kCapacity * kSeconds * 10 / 11);
  REQUIRE(!refused.empty());
  std::sort(refused.begin(), refused.end());
  CHECK(refused.at(refused.size() / 2) < Milliseconds(20));
}

TEST_CASE("A spare connection avoids waiting for a connection to open") {
  for (const std::int64_t open_us : {12'000, 30'000}) {
    NodeFixture fixture({.seed = 2, .nodes = 1, .open_us = open_us});
    fixture.RunUntilServing();
    fixture.RunFor(Milliseconds(100));
    for (auto n = 0; n < 3; ++n) {
      auto begin = fixture.MakeAppendRequest("b" + std::to_string(n), "", "");
      begin.statements.clear();
      begin.step = Step::kBegin;
      const auto began = fixture.Now();
      REQUIRE(fixture.SendAndWait(0, begin).status == Status::kOk);
      CHECK(fixture.Now() - began < Duration(open_us) / 2);
      const auto wrote = fixture.Now();
      REQUIRE(fixture
                  .SendAndWait(0, fixture.MakeAppendRequest(
                                      "w" + std::to_string(n), "row", "x"))
                  .status == Status::kOk);
      CHECK(fixture.Now() - wrote < Duration(open_us) / 2);
      fixture.RunFor(Duration(open_us) + Milliseconds(5));
    }
  }
}

}  // namespace
}  // namespace kingcuplock
