#include <algorithm>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time in ms in which the gateways find the members.
constexpr Milliseconds kStartTime{300};
/// Time in ms in which a statement is answered.
constexpr Milliseconds kAnswerTime{60};

/// Sends a BEGIN and waits for its answer.
auto Begin(GatewayFixture& fixture, std::size_t client, const std::string& id)
    -> void {
  fixture.SendClientStatement(client, id, StatementKind::kBegin);
  fixture.RunFor(kAnswerTime);
}

/// A fixture with one gateway that knows its members, and one client that uses
/// the primary.
struct OneClient {
  GatewayFixture fixture{{.gateways = 1}};
  std::size_t client = 0;

  OneClient() {
    fixture.RunFor(kStartTime);
    client = fixture.OpenClient(0, "db-primary");
  }

  /// Begins a transaction and runs one write in it.
  auto BeginAndWrite() -> void {
    Begin(fixture, client, "b1");
    fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
    fixture.RunFor(kAnswerTime);
  }
};

TEST_CASE("A write whose answer is lost has an unknown outcome and runs once") {
  OneClient one;
  auto& [fixture, client] = one;
  fixture.LoseAnswers("m1", 1);
  const auto write =
      fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(Milliseconds(1000));
  REQUIRE(fixture.FindAnswer(write) != nullptr);
  CHECK(fixture.FindAnswer(write)->error == StatementError::kUnknownOutcome);
  CHECK(fixture.group().commits().size() == 1);
}

TEST_CASE("A write has an unknown outcome as soon as its connection ends") {
  OneClient one;
  auto& [fixture, client] = one;
  fixture.LoseAnswers("m1", 1);
  const auto write =
      fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(Milliseconds(10));
  fixture.CrashMember("m1");
  fixture.RunFor(Milliseconds(10));
  REQUIRE(fixture.FindAnswer(write) != nullptr);
  CHECK(fixture.FindAnswer(write)->error == StatementError::kUnknownOutcome);
}

TEST_CASE("A transaction whose member crashes is aborted and commits nothing") {
  OneClient one;
  auto& [fixture, client] = one;
  one.BeginAndWrite();
  fixture.LoseAnswers("m1", 1);
  const auto second =
      fixture.SendClientStatement(client, "w2", StatementKind::kWrite, "b 2");
  fixture.RunFor(Milliseconds(8));
  fixture.CrashMember("m1");
  fixture.RunFor(kAnswerTime);
  REQUIRE(fixture.FindAnswer(second) != nullptr);
  CHECK(fixture.FindAnswer(second)->error == StatementError::kAborted);
  CHECK(fixture.FindAnswer(second)->state == TransactionState::kFailed);
  const auto rollback =
      fixture.SendClientStatement(client, "rb", StatementKind::kRollback);
  fixture.RunFor(kAnswerTime);
  CHECK(fixture.FindAnswer(rollback)->IsOk());
  CHECK(fixture.group().commits().empty());
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE(
    "A lost answer aborts its transaction early enough for the client to "
    "retry") {
  OneClient one;
  auto& [fixture, client] = one;
  one.BeginAndWrite();
  fixture.LoseAnswers("m1", 1);
  const auto second =
      fixture.SendClientStatement(client, "w2", StatementKind::kWrite, "b 2");
  fixture.RunFor(Milliseconds(350));
  REQUIRE(fixture.FindAnswer(second) != nullptr);
  CHECK(fixture.FindAnswer(second)->error == StatementError::kAborted);
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE(
    "A COMMIT after a write has an unknown outcome if its answer is lost") {
  OneClient one;
  auto& [fixture, client] = one;
  one.BeginAndWrite();
  fixture.LoseAnswers("m1", 1);
  const auto commit =
      fixture.SendClientStatement(client, "c1", StatementKind::kCommit);
  fixture.RunFor(Milliseconds(10));
  fixture.CrashMember("m1");
  fixture.RunFor(kAnswerTime);
  REQUIRE(fixture.FindAnswer(commit) != nullptr);
  CHECK(fixture.FindAnswer(commit)->error == StatementError::kUnknownOutcome);
}

TEST_CASE("A transaction is rolled back when its client disconnects") {
  GatewayFixture fixture({.gateways = 1});
  fixture.RunFor(kStartTime);
  for (auto n = 0; n < 12; ++n) {
    const auto client = fixture.OpenClient(0, "db-primary");
    Begin(fixture, client, "b" + std::to_string(n));
    fixture.SendClientStatement(client, "w" + std::to_string(n),
                                StatementKind::kWrite, "a");
    fixture.RunFor(n % 2 == 0 ? kAnswerTime : Milliseconds(5));
    fixture.CloseClient(client);
    fixture.RunFor(kAnswerTime);
  }
  CHECK(fixture.group().commits().empty());
  const auto client = fixture.OpenClient(0, "db-primary");
  const auto write =
      fixture.SendClientStatement(client, "last", StatementKind::kWrite, "a");
  fixture.RunFor(kAnswerTime);
  CHECK(fixture.FindAnswer(write)->IsOk());
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE(
    "A transaction that is idle too long is rolled back and reported aborted") {
  OneClient one;
  auto& [fixture, client] = one;
  Begin(fixture, client, "b1");
  fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(Milliseconds(3500));
  const auto commit =
      fixture.SendClientStatement(client, "c1", StatementKind::kCommit);
  fixture.RunFor(kAnswerTime);
  CHECK(fixture.FindAnswer(commit)->error == StatementError::kAborted);
  CHECK(fixture.group().commits().empty());
  Begin(fixture, client, "b2");
  fixture.SendClientStatement(client, "w2", StatementKind::kWrite, "a 2");
  const auto second =
      fixture.SendClientStatement(client, "c2", StatementKind::kCommit);
  fixture.RunFor(kAnswerTime);
  CHECK(fixture.FindAnswer(second)->IsOk());
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE(
    "Sessions on one connection keep their own values and statement names") {
  GatewayFixture fixture({.gateways = 1});
  fixture.RunFor(kStartTime);
  std::vector<std::size_t> clients;
  for (auto n = 0; n < 6; ++n) {
    const auto client = fixture.OpenClient(0, "db-primary");
    clients.push_back(client);
    if (n % 3 != 0) {
      SessionStatement set;
      set.id = "s" + std::to_string(n);
      set.kind = StatementKind::kSetValue;
      set.name = "zone";
      set.arguments = std::to_string(n);
      fixture.SendClientStatement(client, set);
    }
    SessionStatement prepare;
    prepare.id = "p" + std::to_string(n);
    prepare.kind = StatementKind::kPrepare;
    prepare.name = "s1";
    prepare.arguments = "shape" + std::to_string(n % 2);
    fixture.SendClientStatement(client, prepare);
  }
  fixture.RunFor(kAnswerTime);
  for (auto round = 0; round < 4; ++round) {
    for (std::size_t n = 0; n < clients.size(); ++n) {
      SessionStatement execute;
      execute.id = "e" + std::to_string(round) + "-" + std::to_string(n);
      execute.kind = StatementKind::kExecute;
      execute.name = "s1";
      execute.arguments = "a";
      fixture.SendClientStatement(clients[n], execute);
    }
    fixture.RunFor(Milliseconds(200));
  }
  std::size_t ran = 0;
  for (const auto& it : fixture.group().runs()) {
    const auto n = std::stoul(it.id.substr(it.id.find('-') + 1));
    CHECK(it.shape == "shape" + std::to_string(n % 2));
    ++ran;
  }
  CHECK(ran == 24);
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("Invalid statements get an error and the session stays usable") {
  OneClient one;
  auto& [fixture, client] = one;
  const auto commit =
      fixture.SendClientStatement(client, "c1", StatementKind::kCommit);
  const auto garbage =
      fixture.SendClientStatement(client, "x1", StatementKind::kMalformed);
  const auto execute =
      fixture.SendClientStatement(client, "e1", StatementKind::kExecute, "a");
  const auto write =
      fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(kAnswerTime);
  CHECK(fixture.FindAnswer(commit)->error == StatementError::kMalformed);
  CHECK(fixture.FindAnswer(garbage)->error == StatementError::kMalformed);
  CHECK(fixture.FindAnswer(execute)->error ==
        StatementError::kUnknownStatement);
  CHECK(fixture.FindAnswer(write)->IsOk());
}

// A member refuses such a write with the same error as one that is not the
// primary. A client's mistake must not look like a replaced primary: the write
// would be retried until its deadline, and the primary marked as lost each
// time.
TEST_CASE("A write in a read-only transaction is refused at once") {
  for (const auto* database : {"db-primary", "db-bounded", "db-session"}) {
    GatewayFixture fixture({.gateways = 1});
    fixture.RunFor(Milliseconds(1200));
    const auto client = fixture.OpenClient(0, database);
    fixture.SendClientStatement(client, "b", StatementKind::kBeginReadOnly);
    const auto believed = [&] {
      return std::count_if(fixture.logs().begin(), fixture.logs().end(),
                           [](const auto& it) {
                             return it.event == Event::kPrimaryViewChanged;
                           });
    };
    fixture.RunFor(Milliseconds(100));
    const auto before = believed();
    const auto write =
        fixture.SendClientStatement(client, "w", StatementKind::kWrite, "a 1");
    fixture.RunFor(Milliseconds(20));
    REQUIRE(fixture.FindAnswer(write) != nullptr);
    CHECK(fixture.FindAnswer(write)->error == StatementError::kReadOnly);
    CHECK(believed() == before);
    CHECK(fixture.FindViolations().empty());
  }
}

}  // namespace
}  // namespace kingcuplock
