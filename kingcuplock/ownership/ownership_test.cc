#include <doctest/doctest.h>

#include <string>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Sends writes to `node` until one is acknowledged. Returns whether that
/// happens within `longest`.
auto WritesResume(NodeFixture& fixture, std::size_t node, Duration longest)
    -> bool {
  const auto until = fixture.Now() + longest;
  for (auto n = 0; fixture.Now() < until; ++n) {
    auto request =
        fixture.MakeAppendRequest("resume-" + std::to_string(n), "r", "x");
    request.patience_ms = 1000;
    if (fixture.SendAndWait(node, request).status == Status::kOk) {
      return true;
    }
    fixture.RunFor(Milliseconds(20));
  }
  return false;
}

// The record write of the next promotion waits for that of the previous one,
// which takes 400 ms. If it were dropped, the owner would never serve again.
TEST_CASE("Writes resume if a primary fails while the last record is written") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 1});
    fixture.RunUntilServing();
    fixture.SetStoreDelay(Milliseconds(400));
    fixture.KillMember("db0-1");
    REQUIRE(
        fixture.RunUntil([&] { return fixture.Primary("db0").name != "db0-1"; },
                         Milliseconds(5000)));
    fixture.ReviveMember("db0-1");
    fixture.RunFor(Milliseconds(100));
    fixture.KillMember(fixture.Primary("db0").name);
    CHECK(WritesResume(fixture, 0, Milliseconds(5000)));
  }
}

// The members' fence holds a higher epoch than the ownership record, so the
// owner must take the database over with an epoch above the fence.
TEST_CASE("Writes resume if the members' epoch is above the record's") {
  NodeFixture fixture({.seed = 1, .nodes = 2});
  fixture.RunUntilServing();
  for (const auto* name : {"db0-1", "db0-2", "db0-3"}) {
    fixture.group("db0").member(name).epoch = 50;
  }
  CHECK(WritesResume(fixture, 0, Milliseconds(3000)));
}

// The store applies the new owner's write, but the answer is lost and the lease
// in the record expires before the owner has repeated the write.
TEST_CASE("Writes resume if the answer to a takeover and its lease are lost") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    const auto owner = fixture.OwnerOf("db0");
    const auto other = 1 - owner;
    fixture.KillNode(owner);
    fixture.RunFor(Milliseconds(1800 + 10 * static_cast<int>(seed)));
    fixture.LoseStoreAnswers(static_cast<int>(seed % 4) + 1);
    fixture.RunFor(Milliseconds(100));
    fixture.ExpireLeases();
    CHECK(WritesResume(fixture, other, Milliseconds(8000)));
  }
}

TEST_CASE("Discovery ignores a primary of an older term") {
  NodeFixture fixture({.seed = 1, .nodes = 1});
  auto& group = fixture.group("db0");
  group.member("db0-2").term = 3;
  group.member("db0-2").primary = "db0-3";
  group.member("db0-3").term = 3;
  group.member("db0-3").role = MemberRole::kPrimary;
  fixture.KillMember("db0-3");
  CHECK(fixture.RunUntil([&] { return fixture.OwnerOf("db0") == 0; },
                         Milliseconds(5000)));
}

// Two members follow a term that the ownership record does not know, so the
// owner must begin a higher one.
TEST_CASE("Writes resume if members follow a term above the record's") {
  NodeFixture fixture({.seed = 1, .nodes = 1});
  fixture.RunUntilServing();
  for (const auto* name : {"db0-2", "db0-3"}) {
    fixture.group("db0").member(name).term = 7;
  }
  CHECK(WritesResume(fixture, 0, Milliseconds(3000)));
}

}  // namespace
}  // namespace kingcuplock
