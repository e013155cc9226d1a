// Tests of gateways under loads of a whole deployment.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time in ms in which the gateways find the members.
constexpr Milliseconds kStartTime{300};
/// Time in ms for the last answers; longer than any deadline of the fixture's
/// routes.
constexpr Milliseconds kDrainTime{1000};

// There are more instances than connections that a member accepts, and each has
// little load; all of it would fit on one connection. Guards against instances
// that get no connection because the others keep theirs.
TEST_CASE("All instances are served when there are fewer connections") {
  constexpr std::size_t kInstances = 12;
  GatewayFixture fixture({.gateways = kInstances, .group = {.connections = 8}});
  fixture.RunFor(kStartTime);
  std::vector<std::size_t> writers;
  std::vector<std::size_t> readers;
  for (std::size_t n = 0; n < kInstances; ++n) {
    writers.push_back(fixture.OpenClient(n, "db-primary"));
    readers.push_back(fixture.OpenClient(n, "db-bounded"));
  }
  for (auto round = 0; round < 12; ++round) {
    for (std::size_t n = 0; n < kInstances; ++n) {
      const auto id = std::to_string(round) + "-" + std::to_string(n);
      fixture.SendClientStatement(writers[n], "w" + id, StatementKind::kWrite,
                                  "a " + id);
      fixture.SendClientStatement(readers[n], "r" + id, StatementKind::kRead,
                                  "a");
      fixture.RunFor(Milliseconds(20));
    }
  }
  fixture.RunFor(kDrainTime);
  CHECK(fixture.CountSuccessfulStatements() ==
        fixture.client_statements().size());
  CHECK(fixture.FindViolations().empty());
}

// Guards against peers that go on sending reports for hours after one change.
TEST_CASE("Peers stop reporting a group once all of them know its change") {
  GatewayFixture fixture({.gateways = 4});
  fixture.RunFor(kStartTime);
  fixture.CrashMember("m1");
  fixture.RunFor(Milliseconds(10'000));
  CHECK(fixture.group().CountPromotions() == 1);
  const auto before = fixture.CountGroupReports();
  CHECK(before > 0);
  fixture.RunFor(Milliseconds(20'000));
  CHECK(fixture.CountGroupReports() == before);
}

// All gateways learn of a large configuration at once, on links that take a
// good part of a second for one copy. Guards against copies from every peer.
TEST_CASE("A large route table is read from the store, not sent by peers") {
  GatewayFixture fixture({.gateways = 12});
  fixture.RunFor(Milliseconds(2500));
  const auto before = fixture.CountRouteOffers();
  fixture.SetStoreDelayPerGateway(Milliseconds(40));
  fixture.ChangeRoutes(2, 2000);
  fixture.RunFor(Milliseconds(2000));
  for (std::size_t n = 0; n < 12; ++n) {
    CHECK(fixture.gateway(n).Gauges().routes_version == 2);
  }
  CHECK(fixture.CountRouteOffers() == before);
}

TEST_CASE(
    "An instance that the store rejects gets the route table from a peer") {
  GatewayFixture fixture({.gateways = 12});
  fixture.RunFor(Milliseconds(2500));
  fixture.RevokeStoreAccess(3);
  fixture.RunFor(Milliseconds(2500));
  const auto before = fixture.CountRouteOffers();
  fixture.ChangeRoutes(2, 2000);
  fixture.RunFor(Milliseconds(2500));
  CHECK(fixture.gateway(3).Gauges().routes_version == 2);
  CHECK(fixture.CountRouteOffers() - before <= 2);
}

// Reads wait for a floor while the primary answers but nobody grants its use.
// Guards against requests for samples without a pause.
TEST_CASE("Requests for samples are limited while the primary has no grant") {
  GatewayFixture fixture({.gateways = 2, .group = {.fenced = false}});
  fixture.RunFor(Milliseconds(3000));
  // The holder of the promotion duty is gone, and a silent member prevents a
  // grant by the reports of all members.
  const auto holder = fixture.PromotionDutyHolder();
  const auto other = 1 - holder;
  fixture.SetStoreUp(false);
  fixture.KillGateway(holder);
  fixture.SetUnresponsive("m3", true);
  fixture.RunFor(Milliseconds(1600));
  const auto before = fixture.CountInternalStatements();
  for (auto n = 0; n < 20; ++n) {
    const auto client = fixture.OpenClient(other, "db-bounded");
    fixture.SendClientStatement(client, "r" + std::to_string(n),
                                StatementKind::kRead, "a");
    fixture.RunFor(Milliseconds(50));
  }
  // One sample request every 25 ms, three status requests every 50 ms.
  CHECK(fixture.CountInternalStatements() - before <= 120);
  fixture.RunFor(kDrainTime);
  CHECK(fixture.FindViolations().empty());
}

}  // namespace
}  // namespace kingcuplock
