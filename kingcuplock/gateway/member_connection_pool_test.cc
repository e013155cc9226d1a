#include "kingcuplock/gateway/member_connection_pool.h"

#include <vector>

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

struct PoolFixture {
  TimerService timers;
  GatewayOutbox out;
  std::vector<Reach> reaches;
  MemberConnectionPool pool{
      {"m1", "g", "10.0.0.1", 80},
      timers,
      out,
      {[] {}, [this](Reach it) { reaches.push_back(it); }}};

  auto Advance(Milliseconds by) -> void { timers.AdvanceTo(timers.Now() + by); }

  /// Returns the connections that the pool has opened since the last call.
  auto Opened() -> std::vector<ConnectionId> {
    std::vector<ConnectionId> links;
    for (const auto& it : out.Take()) {
      if (const auto* open = std::get_if<OpenMemberConnection>(&it)) {
        links.push_back(open->link);
      }
    }
    return links;
  }

  /// Opens a connection and answers its hello with `error`.
  auto AnswerHello(ConnectionId link,
                   StatementError error = StatementError::kNone) -> void {
    pool.OnOpened(link);
    StatementAnswer greeting;
    greeting.error = error;
    pool.OnAnswer(link, greeting);
  }
};

TEST_CASE(
    "A member that accepts a connection and closes it counts as refused") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  fixture.pool.Start();
  const auto first = fixture.Opened();
  REQUIRE(first.size() == 1);
  fixture.AnswerHello(first[0]);
  CHECK(fixture.reaches == std::vector{Reach::kReached});
  fixture.pool.OnClosed(first[0], Reach::kRefused);
  CHECK(fixture.reaches.size() == 1);
  fixture.Advance(Milliseconds(1));
  const auto second = fixture.Opened();
  REQUIRE(second.size() == 1);
  fixture.pool.OnOpened(second[0]);
  fixture.pool.OnClosed(second[0], Reach::kRefused);
  CHECK(fixture.reaches == std::vector{Reach::kReached, Reach::kRefused});
}

TEST_CASE("A new connection is opened as a test when the member is silent") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  fixture.pool.Start();
  const auto link = fixture.Opened().at(0);
  fixture.AnswerHello(link);
  const auto lent =
      fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  REQUIRE(lent == link);
  fixture.pool.RunStatement(
      lent, {}, [](const StatementAnswer*) {}, Milliseconds(800));
  fixture.Advance(Milliseconds(250));
  const auto fresh = fixture.Opened();
  REQUIRE(fresh.size() == 1);
  CHECK(fixture.reaches.size() == 1);
  fixture.pool.OnClosed(fresh[0], Reach::kSilent);
  CHECK(fixture.reaches.back() == Reach::kSilent);
}

TEST_CASE("Pauses grow between attempts at a member that is at its limit") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 2, .max_connections = 4});
  fixture.pool.Start();
  auto link = fixture.Opened().at(0);
  auto asked = 0;
  for (auto n = 0; n < 3000; ++n) {
    if (link != 0) {
      ++asked;
      fixture.AnswerHello(link, StatementError::kTooManyConnections);
      link = 0;
    }
    fixture.Advance(Milliseconds(1));
    fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
    const auto opened = fixture.Opened();
    link = opened.empty() ? link : opened[0];
  }
  CHECK(asked >= 3);
  CHECK(asked <= 8);
}

TEST_CASE("Transactions leave one connection for single statements") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 2, .max_connections = 2});
  fixture.pool.Start();
  fixture.AnswerHello(fixture.Opened().at(0));
  CHECK(fixture.pool.Acquire({}, nullptr, ConnectionUse::kTransaction) != 0);
  CHECK(fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement) == 0);
  fixture.AnswerHello(fixture.Opened().at(0));
  CHECK(fixture.pool.Acquire({}, nullptr, ConnectionUse::kTransaction) == 0);
  CHECK(fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement) != 0);
}

TEST_CASE("Connections beyond the idle limit are closed soon") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 1, .max_connections = 4});
  fixture.pool.Start();
  fixture.AnswerHello(fixture.Opened().at(0));
  const auto first =
      fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  fixture.AnswerHello(fixture.Opened().at(0));
  const auto second =
      fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
  REQUIRE(second != 0);
  fixture.pool.Release(second);
  fixture.Advance(Milliseconds(300));
  fixture.pool.Release(first);
  CHECK(fixture.pool.Size() == 1);
}

TEST_CASE("With an idle limit of 0 the last idle connection is closed") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 0,
                          .max_connections = 2,
                          .turn_duration = Milliseconds(1500)});
  fixture.pool.Start();
  fixture.AnswerHello(fixture.Opened().at(0));
  fixture.Advance(Milliseconds(500));
  CHECK(fixture.pool.Size() == 0);
  fixture.Advance(Milliseconds(2000));
  CHECK(fixture.Opened().empty());
  CHECK(fixture.pool.EnsureOpening(ConnectionUse::kStatement));
  const auto again = fixture.Opened();
  REQUIRE(again.size() == 1);
  // Attempts go on until the member answers.
  fixture.pool.OnClosed(again[0], Reach::kRefused);
  fixture.Advance(Milliseconds(100));
  CHECK(fixture.Opened().size() == 1);
}

TEST_CASE("A busy connection is closed once its turn is over") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 0,
                          .max_connections = 2,
                          .turn_duration = Milliseconds(1500)});
  fixture.pool.Start();
  fixture.AnswerHello(fixture.Opened().at(0));
  auto served = 0;
  while (fixture.pool.Size() > 0) {
    const auto link =
        fixture.pool.Acquire({}, nullptr, ConnectionUse::kStatement);
    REQUIRE(link != 0);
    fixture.Advance(Milliseconds(100));
    fixture.pool.Release(link);
    ++served;
  }
  CHECK(served == 15);
}

TEST_CASE("Raising the idle limit from 0 opens a connection") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 0,
                          .max_connections = 2,
                          .turn_duration = Milliseconds(1500)});
  fixture.pool.Start();
  fixture.AnswerHello(fixture.Opened().at(0));
  fixture.Advance(Milliseconds(500));
  REQUIRE(fixture.pool.Size() == 0);
  fixture.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  fixture.Advance(Milliseconds(50));
  CHECK(fixture.Opened().size() == 1);
}

TEST_CASE("An answer from another process at the address does not count") {
  PoolFixture fixture;
  fixture.pool.Start();
  fixture.AnswerHello(fixture.Opened().at(0), StatementError::kWrongMember);
  CHECK_FALSE(fixture.pool.LastHeard());
  CHECK(fixture.reaches == std::vector{Reach::kRefused});
}

// A statement that stays counted as in flight uses up the limit for good, which
// keeps further statements from the member.
TEST_CASE("No statement stays counted as in flight after any kind of end") {
  PoolFixture fixture;
  fixture.pool.SetLimits({.max_idle = 1, .max_connections = 2});
  fixture.pool.SetInFlightLimit(
      {.slots = 1, .instances = 1, .max_connections = 1});
  fixture.pool.Start();
  auto link = fixture.Opened().at(0);
  fixture.AnswerHello(link);
  const auto lend = [&](ConnectionUse connection_use) {
    REQUIRE(fixture.pool.MayStart(false));
    REQUIRE(fixture.pool.Acquire({}, nullptr, connection_use) == link);
    CHECK(fixture.pool.in_flight_limit().in_flight() == 1);
    CHECK_FALSE(fixture.pool.MayStart(false));
  };
  const auto run = [&](StatementKind kind) {
    fixture.pool.RunStatement(link, {.kind = kind},
                              [](const StatementAnswer*) {});
  };
  StatementAnswer done;

  // The connection is lent and not used.
  lend(ConnectionUse::kStatement);
  fixture.pool.Release(link);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 0);
  // Only a statement that needs no slot is sent.
  lend(ConnectionUse::kTransaction);
  run(StatementKind::kBegin);
  fixture.pool.OnAnswer(link, done);
  fixture.pool.Release(link);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 0);
  // A transaction counts while one of its statements runs, not between them.
  lend(ConnectionUse::kTransaction);
  run(StatementKind::kRead);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 1);
  fixture.pool.OnAnswer(link, done);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 0);
  run(StatementKind::kCommit);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 1);
  fixture.pool.OnAnswer(link, done);
  fixture.pool.Release(link);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 0);
  // The connection ends before the answer.
  lend(ConnectionUse::kStatement);
  run(StatementKind::kWrite);
  fixture.pool.OnClosed(link, Reach::kRefused);
  CHECK(fixture.pool.in_flight_limit().in_flight() == 0);
}

// Guards against the use of a pool that is gone: its member was dropped, and
// the end of its last statement, which the pool reports, frees it.
TEST_CASE("A retired pool outlives the report of its last statement") {
  TimerService timers;
  GatewayOutbox out;
  auto pool = std::make_shared<MemberConnectionPool>(
      EndpointEntry{"m1", "g", "10.0.0.1", 80}, timers, out,
      MemberConnectionPoolCallbacks{[] {}, [](Reach) {}});
  pool->SetLimits({.max_idle = 1, .max_connections = 2});
  pool->Start();
  const auto actions = out.Take();
  const auto link = std::get<OpenMemberConnection>(actions.at(0)).link;
  pool->OnOpened(link);
  pool->OnAnswer(link, {});
  const auto lent = pool->Acquire({}, nullptr, ConnectionUse::kStatement);
  REQUIRE(lent == link);
  auto ended = false;
  pool->RunStatement(
      lent, {}, [&ended, pool](const StatementAnswer*) { ended = true; },
      Milliseconds(100));
  pool->Retire();
  pool.reset();
  timers.AdvanceTo(timers.Now() + Milliseconds(400));
  CHECK(ended);
}

}  // namespace
}  // namespace kingcuplock
