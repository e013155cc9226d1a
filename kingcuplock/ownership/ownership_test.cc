#include <doctest/doctest.h>

#include <string>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Sends writes to `node` until one is acknowledged within `longest`.
auto WritesResume(NodeFixture& fixture, std::size_t node, Duration longest)
    -> bool {
  const auto until = fixture.Now() + longest;
  for (auto n = 0; fixture.Now() < until; ++n) {
    auto request = fixture.Append("resume-" + std::to_string(n), "r", "x");
    request.patience_ms = 1000;
    if (fixture.Ask(node, request).status == Status::kOk) {
      return true;
    }
    fixture.RunFor(Milliseconds(20));
  }
  return false;
}

TEST_CASE("A primary that dies while the last record is being written") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 1});
    fixture.Settle();
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

TEST_CASE("An epoch row past the record's epoch is overtaken") {
  NodeFixture fixture({.seed = 1, .nodes = 2});
  fixture.Settle();
  for (const auto* name : {"db0-1", "db0-2", "db0-3"}) {
    fixture.group("db0").member(name).epoch = 50;
  }
  CHECK(WritesResume(fixture, 0, Milliseconds(3000)));
}

TEST_CASE("A takeover whose answer is lost while its lease lapses") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.Settle();
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

TEST_CASE("Discovery passes over a primary of an older term") {
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

TEST_CASE("A term past the record's is overtaken") {
  NodeFixture fixture({.seed = 1, .nodes = 1});
  fixture.Settle();
  for (const auto* name : {"db0-2", "db0-3"}) {
    fixture.group("db0").member(name).term = 7;
  }
  CHECK(WritesResume(fixture, 0, Milliseconds(3000)));
}

}  // namespace
}  // namespace kingcuplock
