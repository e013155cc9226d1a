// Loads that clients put on a deployment, each by the name of its pattern.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{300};
/// Longer than any deadline of the fixture's routes.
constexpr Milliseconds kDrain{1000};

// The pattern: more instances than connections that a member takes, each with a
// little load. The load would fit on one connection.
TEST_CASE("Every instance gets its turn where connections are fewer") {
  constexpr std::size_t kInstances = 12;
  GatewayFixture world({.gateways = kInstances, .group = {.connections = 8}});
  world.RunFor(kStart);
  std::vector<std::size_t> writers;
  std::vector<std::size_t> readers;
  for (std::size_t n = 0; n < kInstances; ++n) {
    writers.push_back(world.OpenClient(n, "db-primary"));
    readers.push_back(world.OpenClient(n, "db-bounded"));
  }
  for (auto round = 0; round < 12; ++round) {
    for (std::size_t n = 0; n < kInstances; ++n) {
      const auto id = std::to_string(round) + "-" + std::to_string(n);
      world.Say(writers[n], "w" + id, StatementKind::kWrite, "a " + id);
      world.Say(readers[n], "r" + id, StatementKind::kRead, "a");
      world.RunFor(Milliseconds(20));
    }
  }
  world.RunFor(kDrain);
  CHECK(world.CountOk() == world.said().size());
  CHECK(world.Check().empty());
}

// The pattern: many quiet hours after one change.
TEST_CASE("Peers stop reporting a group once its change has spread") {
  GatewayFixture world({.gateways = 4});
  world.RunFor(kStart);
  world.CrashMember("m1");
  world.RunFor(Milliseconds(10'000));
  CHECK(world.group().Promotions() == 1);
  const auto before = world.Reports();
  CHECK(before > 0);
  world.RunFor(Milliseconds(20'000));
  CHECK(world.Reports() == before);
}

// Fan-out of a large configuration: everybody learns of it at once, on links
// that take a good part of a second for one copy.
TEST_CASE("A large route table comes from the store, not from every peer") {
  GatewayFixture world({.gateways = 12});
  world.RunFor(Milliseconds(2500));
  const auto before = world.Offers();
  world.SetStoreStagger(Milliseconds(40));
  world.ChangeRoutes(2, 2000);
  world.RunFor(Milliseconds(2000));
  for (std::size_t n = 0; n < 12; ++n) {
    CHECK(world.gateway(n).Gauges().routes_version == 2);
  }
  CHECK(world.Offers() == before);
}

TEST_CASE("An instance that the store turns away gets the table from a peer") {
  GatewayFixture world({.gateways = 12});
  world.RunFor(Milliseconds(2500));
  world.RevokeLease(3);
  world.RunFor(Milliseconds(2500));
  const auto before = world.Offers();
  world.ChangeRoutes(2, 2000);
  world.RunFor(Milliseconds(2500));
  CHECK(world.gateway(3).Gauges().routes_version == 2);
  CHECK(world.Offers() - before <= 2);
}

// The pattern: reads wait for a floor while the primary answers but nobody
// vouches for it.
TEST_CASE("A primary without a grant is not asked for samples all the time") {
  GatewayFixture world({.gateways = 2, .group = {.fenced = false}});
  world.RunFor(Milliseconds(3000));
  // The duty's holder is gone and a member is silent: no evidence either.
  const auto holder = world.Holder();
  const auto other = 1 - holder;
  world.SetStoreUp(false);
  world.KillGateway(holder);
  world.SetDark("m3", true);
  world.RunFor(Milliseconds(1600));
  const auto before = world.OwnStatements();
  for (auto n = 0; n < 20; ++n) {
    const auto client = world.OpenClient(other, "db-bounded");
    world.Say(client, "r" + std::to_string(n), StatementKind::kRead, "a");
    world.RunFor(Milliseconds(50));
  }
  // One sample each 25 ms, and three questions each 50 ms for evidence.
  CHECK(world.OwnStatements() - before <= 120);
  world.RunFor(kDrain);
  CHECK(world.Check().empty());
}

}  // namespace
}  // namespace kingcuplock
