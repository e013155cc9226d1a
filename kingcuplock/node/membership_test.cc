#include <cstdint>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Target: time after which a leaving endpoint gets no new requests.
constexpr Milliseconds kDrainTimeout{3000};

auto MakeInstanceList(const NodeFixture& fixture, std::size_t count)
    -> InstanceList {
  InstanceList list;
  for (std::size_t n = 0; n < count; ++n) {
    list.instances.push_back(fixture.MakeInstanceEntry(n));
  }
  return list;
}

auto MakeEndpoint(const std::string& member, bool leaving) -> InstanceEntry {
  return {member, "127.0.0.1", 1, "dc-1", leaving};
}

/// Sends `count` reads and returns how many of them `member` served.
auto CountReadsServedBy(NodeFixture& fixture,
                        const std::string& member,
                        int count) -> int {
  auto served = 0;
  for (auto n = 0; n < count; ++n) {
    const auto id = member + std::to_string(fixture.answers().size());
    const auto answer =
        fixture.SendAndWait(static_cast<std::size_t>(n) % fixture.nodes(),
                            fixture.MakeReadRequest(id, "stale", "row"));
    REQUIRE(answer.status == Status::kOk);
    served += answer.served_by == member ? 1 : 0;
  }
  return served;
}

TEST_CASE("A leaving replica gets no reads until it is no longer leaving") {
  NodeFixture fixture({.seed = 1, .nodes = 3});
  fixture.RunUntilServing();
  fixture.RunFor(Milliseconds(500));
  REQUIRE(CountReadsServedBy(fixture, "db0-2", 40) > 0);
  auto list = MakeInstanceList(fixture, 3);
  list.endpoints = {MakeEndpoint("db0-2", true)};
  fixture.PublishInstanceList(list);
  fixture.RunFor(kDrainTimeout);
  CHECK(CountReadsServedBy(fixture, "db0-2", 40) == 0);
  list.endpoints = {MakeEndpoint("db0-2", false)};
  fixture.PublishInstanceList(list);
  fixture.RunFor(kDrainTimeout);
  CHECK(CountReadsServedBy(fixture, "db0-2", 40) > 0);
}

TEST_CASE("A leaving primary is replaced within 3 s and no write fails") {
  rc::check("planned change of primary", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    NodeFixture fixture({.seed = seed, .nodes = 3});
    fixture.RunUntilServing();
    auto list = MakeInstanceList(fixture, 3);
    list.endpoints = {MakeEndpoint("db0-1", true), MakeEndpoint("db0-3", true)};
    constexpr int kWrites = 60;
    for (auto n = 0; n < kWrites; ++n) {
      if (n == 10) {
        fixture.PublishInstanceList(list);
      }
      fixture.Send(
          static_cast<std::size_t>(n) % 3,
          fixture.MakeAppendRequest("w" + std::to_string(n), "row", "x"));
      fixture.RunFor(Milliseconds(20 + fixture.random()() % 20));
    }
    RC_ASSERT(fixture.Primary("db0").name == "db0-2");
    fixture.RunFor(kDrainTimeout);
    RC_ASSERT(fixture.answers().size() == kWrites);
    for (const auto& it : fixture.answers()) {
      RC_ASSERT(it.answer.status == Status::kOk);
    }
    const auto& row = fixture.Primary("db0").rows.at("row");
    RC_ASSERT(std::count(row.begin(), row.end(), 'x') == kWrites);
  });
}

TEST_CASE("A listed instance that is dead does not delay a change of owner") {
  NodeFixture fixture({.seed = 3, .nodes = 4});
  fixture.RunUntilServing();
  fixture.PublishInstanceList(MakeInstanceList(fixture, 4));
  const auto owner = fixture.OwnerOf("db0");
  fixture.KillNode(owner);
  REQUIRE(
      fixture.RunUntil([&] { return fixture.OwnerOf("db0") < fixture.nodes(); },
                       Milliseconds(6000)));
  CHECK(fixture.OwnerOf("db0") != owner);
}

TEST_CASE(
    "A live instance that is not listed stays owner and gets forwarded "
    "writes") {
  NodeFixture fixture({.seed = 4, .nodes = 3});
  fixture.RunUntilServing();
  const auto owner = fixture.OwnerOf("db0");
  InstanceList list;
  for (std::size_t n = 0; n < 3; ++n) {
    if (n != owner) {
      list.instances.push_back(fixture.MakeInstanceEntry(n));
    }
  }
  fixture.PublishInstanceList(list);
  fixture.RunFor(Milliseconds(15'000));
  CHECK(fixture.OwnerOf("db0") == owner);
  const auto answer = fixture.SendAndWait(
      (owner + 1) % 3, fixture.MakeAppendRequest("w1", "row", "x"));
  CHECK(answer.status == Status::kOk);
}

TEST_CASE("An instance moved to another address is found by its heartbeat") {
  for (std::size_t moved = 0; moved < 3; ++moved) {
    NodeFixture fixture({.seed = 5, .nodes = 3});
    fixture.RunUntilServing();
    // The list keeps the old address.
    fixture.PublishInstanceList(MakeInstanceList(fixture, 3));
    fixture.RestartNodeAtNewAddress(moved);
    fixture.RunFor(Milliseconds(5000));
    REQUIRE(fixture.CountLoggedEvents(Event::kPeerMoved) >= 2);
    for (std::size_t n = 0; n < 3; ++n) {
      const auto id = "w" + std::to_string(n);
      CHECK(fixture.SendAndWait(n, fixture.MakeAppendRequest(id, "row", "x"))
                .status == Status::kOk);
    }
  }
}

}  // namespace
}  // namespace kingcuplock
