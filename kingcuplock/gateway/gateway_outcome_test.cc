#include <algorithm>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{300};
constexpr Milliseconds kAnswer{60};

auto Begin(GatewayFixture& world, std::size_t client, const std::string& id)
    -> void {
  world.Say(client, id, StatementKind::kBegin);
  world.RunFor(kAnswer);
}

/// One gateway that knows its members, and a client of the primary.
struct OneClient {
  GatewayFixture world{{.gateways = 1}};
  std::size_t client = 0;

  OneClient() {
    world.RunFor(kStart);
    client = world.OpenClient(0, "db-primary");
  }

  /// Begins a transaction and writes once in it.
  auto BeginAndWrite() -> void {
    Begin(world, client, "b1");
    world.Say(client, "w1", StatementKind::kWrite, "a 1");
    world.RunFor(kAnswer);
  }
};

TEST_CASE(
    "A write whose answer is lost has an unknown outcome, and runs once") {
  OneClient one;
  auto& [world, client] = one;
  world.LoseAnswers("m1", 1);
  const auto write = world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(1000));
  REQUIRE(world.AnswerTo(write) != nullptr);
  CHECK(world.AnswerTo(write)->error == StatementError::kUnknownOutcome);
  CHECK(world.group().commits().size() == 1);
}

TEST_CASE("A write on a connection that ends is unknown at once") {
  OneClient one;
  auto& [world, client] = one;
  world.LoseAnswers("m1", 1);
  const auto write = world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(10));
  world.CrashMember("m1");
  world.RunFor(Milliseconds(10));
  REQUIRE(world.AnswerTo(write) != nullptr);
  CHECK(world.AnswerTo(write)->error == StatementError::kUnknownOutcome);
}

TEST_CASE("A transaction whose member dies is aborted, nothing is kept") {
  OneClient one;
  auto& [world, client] = one;
  one.BeginAndWrite();
  world.LoseAnswers("m1", 1);
  const auto second = world.Say(client, "w2", StatementKind::kWrite, "b 2");
  world.RunFor(Milliseconds(8));
  world.CrashMember("m1");
  world.RunFor(kAnswer);
  REQUIRE(world.AnswerTo(second) != nullptr);
  CHECK(world.AnswerTo(second)->error == StatementError::kAborted);
  CHECK(world.AnswerTo(second)->state == TransactionState::kFailed);
  const auto rollback = world.Say(client, "rb", StatementKind::kRollback);
  world.RunFor(kAnswer);
  CHECK(world.AnswerTo(rollback)->IsOk());
  CHECK(world.group().commits().empty());
  CHECK(world.Check().empty());
}

TEST_CASE(
    "A statement of a transaction whose answer is lost ends it in time "
    "for another try") {
  OneClient one;
  auto& [world, client] = one;
  one.BeginAndWrite();
  world.LoseAnswers("m1", 1);
  const auto second = world.Say(client, "w2", StatementKind::kWrite, "b 2");
  world.RunFor(Milliseconds(350));
  REQUIRE(world.AnswerTo(second) != nullptr);
  CHECK(world.AnswerTo(second)->error == StatementError::kAborted);
  CHECK(world.Check().empty());
}

TEST_CASE("A commit whose answer is lost is unknown if it wrote") {
  OneClient one;
  auto& [world, client] = one;
  one.BeginAndWrite();
  world.LoseAnswers("m1", 1);
  const auto commit = world.Say(client, "c1", StatementKind::kCommit);
  world.RunFor(Milliseconds(10));
  world.CrashMember("m1");
  world.RunFor(kAnswer);
  REQUIRE(world.AnswerTo(commit) != nullptr);
  CHECK(world.AnswerTo(commit)->error == StatementError::kUnknownOutcome);
}

TEST_CASE("A client that leaves within a transaction leaves nothing behind") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  for (auto n = 0; n < 12; ++n) {
    const auto client = world.OpenClient(0, "db-primary");
    Begin(world, client, "b" + std::to_string(n));
    world.Say(client, "w" + std::to_string(n), StatementKind::kWrite, "a");
    world.RunFor(n % 2 == 0 ? kAnswer : Milliseconds(5));
    world.CloseClient(client);
    world.RunFor(kAnswer);
  }
  CHECK(world.group().commits().empty());
  const auto client = world.OpenClient(0, "db-primary");
  const auto write = world.Say(client, "last", StatementKind::kWrite, "a");
  world.RunFor(kAnswer);
  CHECK(world.AnswerTo(write)->IsOk());
  CHECK(world.Check().empty());
}

TEST_CASE("A transaction that rests too long is rolled back and says so") {
  OneClient one;
  auto& [world, client] = one;
  Begin(world, client, "b1");
  world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(3500));
  const auto commit = world.Say(client, "c1", StatementKind::kCommit);
  world.RunFor(kAnswer);
  CHECK(world.AnswerTo(commit)->error == StatementError::kAborted);
  CHECK(world.group().commits().empty());
  Begin(world, client, "b2");
  world.Say(client, "w2", StatementKind::kWrite, "a 2");
  const auto second = world.Say(client, "c2", StatementKind::kCommit);
  world.RunFor(kAnswer);
  CHECK(world.AnswerTo(second)->IsOk());
  CHECK(world.Check().empty());
}

TEST_CASE("Sessions share connections without sharing values or names") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  std::vector<std::size_t> clients;
  for (auto n = 0; n < 6; ++n) {
    const auto client = world.OpenClient(0, "db-primary");
    clients.push_back(client);
    if (n % 3 != 0) {
      SessionStatement set;
      set.id = "s" + std::to_string(n);
      set.kind = StatementKind::kSetValue;
      set.name = "zone";
      set.arguments = std::to_string(n);
      world.Say(client, set);
    }
    SessionStatement prepare;
    prepare.id = "p" + std::to_string(n);
    prepare.kind = StatementKind::kPrepare;
    prepare.name = "s1";
    prepare.arguments = "shape" + std::to_string(n % 2);
    world.Say(client, prepare);
  }
  world.RunFor(kAnswer);
  for (auto round = 0; round < 4; ++round) {
    for (std::size_t n = 0; n < clients.size(); ++n) {
      SessionStatement execute;
      execute.id = "e" + std::to_string(round) + "-" + std::to_string(n);
      execute.kind = StatementKind::kExecute;
      execute.name = "s1";
      execute.arguments = "a";
      world.Say(clients[n], execute);
    }
    world.RunFor(Milliseconds(200));
  }
  std::size_t ran = 0;
  for (const auto& it : world.group().runs()) {
    const auto n = std::stoul(it.id.substr(it.id.find('-') + 1));
    CHECK(it.shape == "shape" + std::to_string(n % 2));
    ++ran;
  }
  CHECK(ran == 24);
  CHECK(world.Check().empty());
}

TEST_CASE("Statements out of order get an error and the session goes on") {
  OneClient one;
  auto& [world, client] = one;
  const auto commit = world.Say(client, "c1", StatementKind::kCommit);
  const auto garbage = world.Say(client, "x1", StatementKind::kMalformed);
  const auto execute = world.Say(client, "e1", StatementKind::kExecute, "a");
  const auto write = world.Say(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  CHECK(world.AnswerTo(commit)->error == StatementError::kMalformed);
  CHECK(world.AnswerTo(garbage)->error == StatementError::kMalformed);
  CHECK(world.AnswerTo(execute)->error == StatementError::kUnknownStatement);
  CHECK(world.AnswerTo(write)->IsOk());
}

// A client's mistake must not look like a replaced primary: it was tried again
// until its deadline, and the belief about the primary fell each time.
TEST_CASE("A write in a read-only transaction is refused at once") {
  for (const auto* database : {"db-primary", "db-bounded", "db-session"}) {
    GatewayFixture world({.gateways = 1});
    world.RunFor(Milliseconds(1200));
    const auto client = world.OpenClient(0, database);
    world.Say(client, "b", StatementKind::kBeginReadOnly);
    const auto believed = [&] {
      return std::count_if(
          world.logs().begin(), world.logs().end(),
          [](const auto& it) { return it.event == Event::kPrimaryBelieved; });
    };
    world.RunFor(Milliseconds(100));
    const auto before = believed();
    const auto write = world.Say(client, "w", StatementKind::kWrite, "a 1");
    world.RunFor(Milliseconds(20));
    REQUIRE(world.AnswerTo(write) != nullptr);
    CHECK(world.AnswerTo(write)->error == StatementError::kReadOnly);
    CHECK(believed() == before);
    CHECK(world.Check().empty());
  }
}

}  // namespace
}  // namespace kingcuplock
