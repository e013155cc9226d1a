#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{300};
constexpr Milliseconds kAnswer{60};

auto MemberOf(const GatewayFixture& world, std::size_t number) -> std::string {
  const auto* answer = world.AnswerTo(number);
  return answer != nullptr && answer->IsOk() ? answer->signature : "none";
}

/// Writes to the primary from `gateway`, and waits for the answer.
auto Write(GatewayFixture& world, std::size_t gateway, std::string id)
    -> std::size_t {
  const auto client = world.OpenClient(gateway, "db-primary");
  const auto write =
      world.Say(client, std::move(id), StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  return write;
}

TEST_CASE("A bounded read is served by the replica of the data centre") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  Write(world, 1, "w1");
  const auto reader = world.OpenClient(1, "db-bounded");
  const auto read = world.Say(reader, "r1", StatementKind::kRead, "a");
  world.RunFor(kAnswer);
  CHECK(MemberOf(world, read) == "by-m2");
  CHECK(world.Check().empty());
}

TEST_CASE("A session reads its own write, whatever the lag of replicas") {
  GatewayFixture world(
      {.gateways = 2, .group = {.apply_lag = Milliseconds(400)}});
  world.RunFor(kStart);
  const auto client = world.OpenClient(1, "db-session");
  const auto write = world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  REQUIRE(world.AnswerTo(write)->IsOk());
  const auto read = world.Say(client, "r1", StatementKind::kRead, "a");
  world.RunFor(kAnswer);
  CHECK(MemberOf(world, read) == "by-m1");
  CHECK(world.Check().empty());
}

TEST_CASE("A read of the primary runs only at a member that leads") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  const auto writer = world.OpenClient(0, "db-primary");
  const auto reader = world.OpenClient(1, "db-primary");
  world.Say(writer, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  // Another process promotes; neither gateway is told.
  world.SetStoreUp(false);
  world.group().Order("m2", 1'000'000'000, world.Now());
  world.RunFor(Milliseconds(1100));
  world.Say(writer, "w2", StatementKind::kWrite, "a 2");
  const auto read = world.Say(reader, "r1", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(300));
  CHECK(MemberOf(world, read) == "by-m2");
  CHECK(world.Check().empty());
}

// The pattern: many clients come back at once and no sample of the primary is
// young enough.
TEST_CASE("Reads without a floor wait for one sample, not for the primary") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  const auto before = world.OwnStatements();
  for (auto n = 0; n < 20; ++n) {
    const auto client = world.OpenClient(0, "db-bounded");
    world.Say(client, "r" + std::to_string(n), StatementKind::kRead, "a");
  }
  world.RunFor(Milliseconds(150));
  CHECK(world.CountOk() == 20);
  CHECK(world.OwnStatements() - before <= 2);
}

TEST_CASE("A read whose answer is lost is sent to another member") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  Write(world, 1, "w1");
  const auto reader = world.OpenClient(1, "db-bounded");
  world.LoseAnswers("m2", 1);
  const auto read = world.Say(reader, "r1", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(100));
  CHECK(MemberOf(world, read) != "none");
  CHECK(MemberOf(world, read) != "by-m2");
}

// Fails when the answer to the ROLLBACK behind a read is taken for the read's.
TEST_CASE("An answer that is not signed is never a read's") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  world.LoseAnswers("m1", 1);
  const auto read = world.Say(client, "r1", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(200));
  const auto* answer = world.AnswerTo(read);
  REQUIRE(answer != nullptr);
  REQUIRE(answer->IsOk());
  CHECK(answer->signature == "by-m1");
  CHECK(answer->rows.size() == 1);
}

// Fails without the patience of statements: three lost answers took every
// connection to the member for good.
TEST_CASE("Answers that never come free their connections") {
  GatewayFixture world({.gateways = 1, .group = {.connections = 4}});
  world.RunFor(kStart);
  world.LoseAnswers("m1", 4);
  for (auto n = 0; n < 8; ++n) {
    const auto client = world.OpenClient(0, "db-primary");
    world.Say(client, "w" + std::to_string(n), StatementKind::kWrite, "a 1");
  }
  world.RunFor(Milliseconds(2500));
  const auto write = Write(world, 0, "w9");
  CHECK(MemberOf(world, write) == "by-m1");
  CHECK(world.Check().empty());
}

// Fails when the refusal of a member that is yet to lead drops the position.
TEST_CASE("A member that was ordered to lead does not make a session forget") {
  GatewayFixture world(
      {.gateways = 2, .group = {.apply_lag = Milliseconds(600)}});
  world.RunFor(kStart);
  const auto client = world.OpenClient(1, "db-session");
  world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  world.SetDark("m1", true);
  for (auto n = 0; n < 60; ++n) {
    world.Say(client, "r" + std::to_string(n), StatementKind::kRead, "a");
    world.RunFor(Milliseconds(30));
  }
  world.RunFor(Milliseconds(1500));
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
}

TEST_CASE("A position that a promotion cut off is not waited for") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  world.group().SetDeaf("m2", true);
  world.group().SetDeaf("m3", true);
  const auto client = world.OpenClient(0, "db-session");
  const auto write = world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  REQUIRE(world.AnswerTo(write)->IsOk());
  world.CrashMember("m1");
  world.RunFor(Milliseconds(2500));
  const auto other = world.OpenClient(0, "db-primary");
  world.Say(other, "w2", StatementKind::kWrite, "a 2");
  world.RunFor(kAnswer);
  const auto read = world.Say(client, "r1", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(400));
  CHECK(MemberOf(world, read) != "none");
  CHECK(world.Check().empty());
}

}  // namespace
}  // namespace kingcuplock
