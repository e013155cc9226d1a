#include "kingcuplock/node/node.h"

#include <doctest/doctest.h>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

TEST_CASE("A stale read returns the earlier write of its session") {
  NodeFixture fixture({.seed = 1, .nodes = 3});
  fixture.RunUntilServing();
  const auto written =
      fixture.SendAndWait(0, fixture.MakeAppendRequest("w1", "row", "a"));
  REQUIRE(written.status == Status::kOk);
  auto read = fixture.MakeReadRequest("r1", "stale", "row");
  read.token = written.token;
  const auto answer = fixture.SendAndWait(1, read);
  REQUIRE(answer.status == Status::kOk);
  CHECK(answer.results.at(0).value == "a");
}

TEST_CASE(
    "After the primary is killed, writes continue and none is lost or "
    "repeated") {
  NodeFixture fixture({.seed = 2, .nodes = 3});
  fixture.RunUntilServing();
  REQUIRE(fixture.SendAndWait(0, fixture.MakeAppendRequest("w1", "row", "a"))
              .status == Status::kOk);
  fixture.KillMember("db0-1");
  const auto began = fixture.Now();
  REQUIRE(fixture.SendAndWait(1, fixture.MakeAppendRequest("w2", "row", "b"))
              .status == Status::kOk);
  CHECK(fixture.Now() - began < Milliseconds(1000));
  CHECK(fixture.Primary("db0").rows.at("row") == "a,b");
}

TEST_CASE("Another instance takes over after the owner is killed") {
  NodeFixture fixture({.seed = 3, .nodes = 3});
  fixture.RunUntilServing();
  REQUIRE(fixture.SendAndWait(0, fixture.MakeAppendRequest("w1", "row", "a"))
              .status == Status::kOk);
  const auto owner = fixture.OwnerOf("db0");
  fixture.KillNode(owner);
  const auto other = (owner + 1) % fixture.nodes();
  CHECK(fixture.SendAndWait(other, fixture.MakeAppendRequest("w2", "row", "b"))
            .status == Status::kOk);
}

TEST_CASE("A planned stop hands ownership over without failing a request") {
  NodeFixture fixture({.seed = 4, .nodes = 3});
  fixture.RunUntilServing();
  REQUIRE(fixture.SendAndWait(0, fixture.MakeAppendRequest("w0", "row", "0"))
              .status == Status::kOk);
  const auto owner = fixture.OwnerOf("db0");
  const auto other = (owner + 1) % fixture.nodes();
  fixture.StartPlannedStop(owner);
  for (auto n = 1; n <= 20; ++n) {
    const auto answer = fixture.SendAndWait(
        other, fixture.MakeAppendRequest("w" + std::to_string(n), "row", "x"));
    CHECK(answer.status == Status::kOk);
  }
  CHECK(fixture.RunUntil([&] { return fixture.IsStopped(owner); },
                         Milliseconds(5000)));
}

}  // namespace
}  // namespace kingcuplock
