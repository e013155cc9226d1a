#include "kingcuplock/gateway/member_connection_pool.h"

#include <vector>

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

struct PoolWorld {
  TimerService timers;
  GatewayOutbox out;
  std::vector<Reach> reaches;
  MemberConnectionPool pool{
      {"m1", "g", "10.0.0.1", 80},
      timers,
      out,
      {[] {}, [this](Reach it) { reaches.push_back(it); }}};

  auto Advance(Milliseconds by) -> void { timers.AdvanceTo(timers.Now() + by); }

  /// Returns the connections that the pool asked for since the last call.
  auto Opened() -> std::vector<ConnectionId> {
    std::vector<ConnectionId> links;
    for (const auto& it : out.Take()) {
      if (const auto* open = std::get_if<OpenMemberConnection>(&it)) {
        links.push_back(open->link);
      }
    }
    return links;
  }

  auto Greet(ConnectionId link, StatementError error = StatementError::kNone)
      -> void {
    pool.OnOpened(link);
    StatementAnswer greeting;
    greeting.error = error;
    pool.OnAnswer(link, greeting);
  }
};

TEST_CASE("An address that accepts and resets counts as refused") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  world.pool.Start();
  const auto first = world.Opened();
  REQUIRE(first.size() == 1);
  world.Greet(first[0]);
  CHECK(world.reaches == std::vector{Reach::kReached});
  world.pool.OnClosed(first[0], Reach::kRefused);
  CHECK(world.reaches.size() == 1);
  world.Advance(Milliseconds(1));
  const auto second = world.Opened();
  REQUIRE(second.size() == 1);
  world.pool.OnOpened(second[0]);
  world.pool.OnClosed(second[0], Reach::kRefused);
  CHECK(world.reaches == std::vector{Reach::kReached, Reach::kRefused});
}

TEST_CASE("Silence is told from a dead connection by a fresh one") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  world.pool.Start();
  const auto link = world.Opened().at(0);
  world.Greet(link);
  const auto lent = world.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  REQUIRE(lent == link);
  world.pool.RunStatement(
      lent, {}, [](const StatementAnswer*) {}, Milliseconds(800));
  world.Advance(Milliseconds(250));
  const auto fresh = world.Opened();
  REQUIRE(fresh.size() == 1);
  CHECK(world.reaches.size() == 1);
  world.pool.OnClosed(fresh[0], Reach::kSilent);
  CHECK(world.reaches.back() == Reach::kSilent);
}

TEST_CASE("A member at its limit is asked again at growing pauses") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 2, .max_connections = 4});
  world.pool.Start();
  auto link = world.Opened().at(0);
  auto asked = 0;
  for (auto n = 0; n < 3000; ++n) {
    if (link != 0) {
      ++asked;
      world.Greet(link, StatementError::kTooManyConnections);
      link = 0;
    }
    world.Advance(Milliseconds(1));
    world.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
    const auto opened = world.Opened();
    link = opened.empty() ? link : opened[0];
  }
  CHECK(asked >= 3);
  CHECK(asked <= 8);
}

TEST_CASE("Transactions leave one connection for single statements") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 2, .max_connections = 2});
  world.pool.Start();
  world.Greet(world.Opened().at(0));
  CHECK(world.pool.Acquire({}, nullptr, ConnectionUse::kTransaction) != 0);
  CHECK(world.pool.Acquire({}, nullptr, ConnectionUse::kStatement) == 0);
  world.Greet(world.Opened().at(0));
  CHECK(world.pool.Acquire({}, nullptr, ConnectionUse::kTransaction) == 0);
  CHECK(world.pool.Acquire({}, nullptr, ConnectionUse::kStatement) != 0);
}

TEST_CASE("Connections that were borrowed close soon") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 1, .max_connections = 4});
  world.pool.Start();
  world.Greet(world.Opened().at(0));
  const auto first = world.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  world.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  world.Greet(world.Opened().at(0));
  const auto second =
      world.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  REQUIRE(second != 0);
  world.pool.Release(second);
  world.Advance(Milliseconds(300));
  world.pool.Release(first);
  CHECK(world.pool.Size() == 1);
}

TEST_CASE("A pool that keeps none closes its last connection once idle") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 0,
                        .max_connections = 2,
                        .turn_duration = Milliseconds(1500)});
  world.pool.Start();
  world.Greet(world.Opened().at(0));
  world.Advance(Milliseconds(500));
  CHECK(world.pool.Size() == 0);
  world.Advance(Milliseconds(2000));
  CHECK(world.Opened().empty());
  CHECK(world.pool.EnsureOpening(ConnectionUse::kStatement));
  const auto again = world.Opened();
  REQUIRE(again.size() == 1);
  // A member that does not answer is tried until it does.
  world.pool.OnClosed(again[0], Reach::kRefused);
  world.Advance(Milliseconds(100));
  CHECK(world.Opened().size() == 1);
}

TEST_CASE("A busy connection is given back once its turn is over") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 0,
                        .max_connections = 2,
                        .turn_duration = Milliseconds(1500)});
  world.pool.Start();
  world.Greet(world.Opened().at(0));
  auto served = 0;
  while (world.pool.Size() > 0) {
    const auto link =
        world.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
    REQUIRE(link != 0);
    world.Advance(Milliseconds(100));
    world.pool.Release(link);
    ++served;
  }
  CHECK(served == 15);
}

TEST_CASE("A pool that is to keep a connection again opens it") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 0,
                        .max_connections = 2,
                        .turn_duration = Milliseconds(1500)});
  world.pool.Start();
  world.Greet(world.Opened().at(0));
  world.Advance(Milliseconds(500));
  REQUIRE(world.pool.Size() == 0);
  world.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  world.Advance(Milliseconds(50));
  CHECK(world.Opened().size() == 1);
}

TEST_CASE("Another process at the address is not the member heard") {
  PoolWorld world;
  world.pool.Start();
  world.Greet(world.Opened().at(0), StatementError::kWrongMember);
  CHECK_FALSE(world.pool.LastHeard());
  CHECK(world.reaches == std::vector{Reach::kRefused});
}

// What is not given back here would keep statements from the member for good.
TEST_CASE(
    "Nothing stays in flight once a statement has ended, however it did") {
  PoolWorld world;
  world.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  world.pool.SetInFlightLimit(
      {.slots = 1, .instances = 1, .max_connections = 1});
  world.pool.Start();
  auto link = world.Opened().at(0);
  world.Greet(link);
  const auto lend = [&](ConnectionUse connection_use) {
    REQUIRE(world.pool.MayStart(false));
    REQUIRE(world.pool.Acquire({}, nullptr, connection_use) == link);
    CHECK(world.pool.in_flight_limit().in_flight() == 1);
    CHECK_FALSE(world.pool.MayStart(false));
  };
  const auto run = [&](StatementKind kind) {
    world.pool.RunStatement(link, {.kind = kind},
                            [](const StatementAnswer*) {});
  };
  StatementAnswer done;

  // LentCount and never used.
  lend(ConnectionUse::kStatement);
  world.pool.Release(link);
  CHECK(world.pool.in_flight_limit().in_flight() == 0);
  // Only a statement that takes no slot.
  lend(ConnectionUse::kTransaction);
  run(StatementKind::kBegin);
  world.pool.OnAnswer(link, done);
  world.pool.Release(link);
  CHECK(world.pool.in_flight_limit().in_flight() == 0);
  // A transaction counts while a statement of it runs, not between them.
  lend(ConnectionUse::kTransaction);
  run(StatementKind::kRead);
  CHECK(world.pool.in_flight_limit().in_flight() == 1);
  world.pool.OnAnswer(link, done);
  CHECK(world.pool.in_flight_limit().in_flight() == 0);
  run(StatementKind::kCommit);
  CHECK(world.pool.in_flight_limit().in_flight() == 1);
  world.pool.OnAnswer(link, done);
  world.pool.Release(link);
  CHECK(world.pool.in_flight_limit().in_flight() == 0);
  // The connection ends before the answer.
  lend(ConnectionUse::kStatement);
  run(StatementKind::kWrite);
  world.pool.OnClosed(link, Reach::kRefused);
  CHECK(world.pool.in_flight_limit().in_flight() == 0);
}

}  // namespace
}  // namespace kingcuplock
