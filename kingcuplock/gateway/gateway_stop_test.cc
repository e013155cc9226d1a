#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{300};

TEST_CASE("A planned stop answers all statements and ends before the kill") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  world.RunFor(Milliseconds(20));
  CHECK(world.gateway(0).AnswerReadinessProbe());
  world.SendClientStatement(client, "b1", StatementKind::kBegin);
  world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(40));
  world.StopGateway(0);
  CHECK_FALSE(world.gateway(0).AnswerReadinessProbe());
  world.RunFor(Milliseconds(1000));
  CHECK_FALSE(world.gateway(0).AnswerReadinessProbe());
  // New sessions are served until the load balancer sends no more.
  const auto late = world.OpenClient(0, "db-primary");
  const auto write =
      world.SendClientStatement(late, "w2", StatementKind::kWrite, "b 2");
  world.RunFor(Milliseconds(60));
  CHECK(world.FindAnswer(write)->IsOk());
  // The open transaction can still commit.
  world.RunFor(Milliseconds(900));
  const auto commit =
      world.SendClientStatement(client, "c1", StatementKind::kCommit);
  world.RunFor(Milliseconds(60));
  REQUIRE(world.FindAnswer(commit) != nullptr);
  CHECK(world.FindAnswer(commit)->IsOk());
  world.RunFor(Milliseconds(600));
  CHECK(world.IsStopped(0));
  CHECK(world.FindViolations().empty());
}

// Guards against a session that opens after the last one has ended and before
// the process ends.
TEST_CASE("No session opens once the stop is complete") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  world.StopGateway(0);
  world.RunFor(Milliseconds(3000));
  REQUIRE(world.IsStopped(0));
  const auto client = world.OpenClient(0, "db-bounded");
  world.SendClientStatement(client, "r1", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(60));
  CHECK(world.group().runs().empty());
}

TEST_CASE("A transaction that never ends does not delay the stop") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  world.SendClientStatement(client, "b1", StatementKind::kBegin);
  for (auto n = 0; n < 3; ++n) {
    world.SendClientStatement(client, "w" + std::to_string(n),
                              StatementKind::kWrite, "a");
    world.RunFor(Milliseconds(100));
  }
  world.StopGateway(0);
  for (auto n = 0; n < 60; ++n) {
    world.SendClientStatement(client, "x" + std::to_string(n),
                              StatementKind::kRead, "a");
    world.RunFor(Milliseconds(100));
  }
  CHECK(world.IsStopped(0));
  CHECK(world.group().commits().empty());
}

TEST_CASE("A planned stop hands the promotion duty over at once") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(Milliseconds(1200));
  world.StopGateway(0);
  world.RunFor(Milliseconds(3500));
  world.KillGateway(0);
  world.RunFor(Milliseconds(200));
  world.CrashMember("m1");
  world.RunFor(Milliseconds(2000));
  CHECK(world.group().CountPromotions() == 1);
}

// Without a route table no client can be served, so the load balancer must not
// send any.
TEST_CASE("A gateway without a route table is not ready") {
  GatewayFixture world({.gateways = 1});
  CHECK_FALSE(world.gateway(0).AnswerReadinessProbe());
  world.RunFor(kStart);
  CHECK(world.gateway(0).AnswerReadinessProbe());
}

TEST_CASE(
    "A gateway that starts without the store gets its routes from a peer") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(Milliseconds(1500));
  world.KillGateway(2);
  world.SetStoreUp(false);
  world.RunFor(Milliseconds(100));
  world.StartGateway(2);
  world.RunFor(Milliseconds(4000));
  world.SetStoreUp(true);
  world.RunFor(Milliseconds(4000));
  const auto client = world.OpenClient(2, "db-primary");
  const auto write =
      world.SendClientStatement(client, "w1", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(60));
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->IsOk());
}

}  // namespace
}  // namespace kingcuplock
