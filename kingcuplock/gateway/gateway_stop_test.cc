#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

/// A client that sends its next statement as soon as it has an answer, until
/// its connection ends: single statements, or transactions.
class BusyClient {
 public:
  BusyClient(GatewayFixture& world, std::string name, int transaction_length)
      : world_(world),
        name_(std::move(name)),
        transaction_length_(transaction_length),
        client_(world.OpenClient(0, "db-primary")) {}

  auto SendNext() -> void {
    const auto* answer = sent_ ? world_.FindAnswer(*sent_) : nullptr;
    if (!world_.IsClientOpen(client_) || (sent_ && answer == nullptr)) {
      return;
    }
    const auto failed =
        answer != nullptr && answer->state == TransactionState::kFailed;
    const auto in_transaction =
        answer != nullptr && answer->state == TransactionState::kOpen;
    auto kind = StatementKind::kRead;
    if (failed) {
      kind = StatementKind::kRollback;
    } else if (transaction_length_ > 0 && !in_transaction) {
      kind = StatementKind::kBegin;
      position_ = 0;
    } else if (transaction_length_ > 0 && ++position_ > transaction_length_) {
      kind = StatementKind::kCommit;
    } else if (position_ % 3 == 0) {
      kind = StatementKind::kWrite;
    }
    sent_ = world_.SendClientStatement(
        client_, name_ + "-" + std::to_string(++count_), kind, "a 1");
  }

 private:
  GatewayFixture& world_;
  std::string name_;
  int transaction_length_;
  std::size_t client_;
  std::optional<std::size_t> sent_;
  int position_ = 0;
  int count_ = 0;
};

/// Half of the number of clients in StopUnderBusyClients().
constexpr int kBusyClientPairs = 6;

/// Load pattern "sessions without a pause": stops the gateway under clients
/// that send one operation after the other, half of them single statements and
/// half transactions, and ends its process when the stop is complete.
auto StopUnderBusyClients(GatewayFixture& world) -> void {
  world.RunFor(kStart);
  std::vector<BusyClient> clients;
  for (auto n = 0; n < kBusyClientPairs; ++n) {
    clients.emplace_back(world, "s" + std::to_string(n), 0);
    clients.emplace_back(world, "t" + std::to_string(n), 10);
  }
  const auto run = [&](Duration length) {
    const auto end = world.Now() + length;
    while (world.Now() < end && !world.IsStopped(0)) {
      for (auto& it : clients) {
        it.SendNext();
      }
      world.RunFor(Milliseconds(1));
    }
  };
  run(Milliseconds(500));
  world.StopGateway(0);
  world.gateway(0).AnswerReadinessProbe();
  run(Milliseconds(1000));
  world.gateway(0).AnswerReadinessProbe();
  run(Milliseconds(6000));
  // The process sends its last answers for this long.
  world.RunFor(Milliseconds(60));
  world.KillGateway(0);
  world.RunFor(Milliseconds(20));
}

// Guards against statements that are cut by a planned stop: a session that
// sends one operation after the other is never idle when the stop checks it.
TEST_CASE("A planned stop answers every statement of busy sessions") {
  for (const auto work_ms : {5, 30, 120, 400}) {
    CAPTURE(work_ms);
    GatewayFixture world({.gateways = 1,
                          .work = Milliseconds(work_ms),
                          .timeout_ms = 4000,
                          .target_ms = 1000});
    StopUnderBusyClients(world);
    CHECK(world.CountSuccessfulStatements() > 40);
    const auto refusals = std::count_if(
        world.client_statements().begin(), world.client_statements().end(),
        [](const auto& it) {
          return it.answer &&
                 it.answer->text.find("about to stop") != std::string::npos;
        });
    // No session is refused twice: it is closed after the first refusal.
    CHECK(refusals <= 2 * kBusyClientPairs);
    MESSAGE(work_ms << " ms: " << world.CountSuccessfulStatements()
                    << " served, " << refusals << " refused");
    std::map<std::string, const ClientStatement*> by_id;
    for (const auto& it : world.client_statements()) {
      by_id[it.statement.id] = &it;
    }
    for (const auto& it : world.group().runs()) {
      const auto found = by_id.find(it.id);
      if (found != by_id.end()) {
        CHECK_MESSAGE(found->second->answer.has_value(), it.id);
      }
    }
    CHECK(world.FindViolations().empty());
  }
}

// Guards against statements that end with their connection at the end of a
// stop: the member has not answered them by then.
TEST_CASE("The end of a planned stop tells the outcome of what still runs") {
  GatewayFixture world({.gateways = 1, .timeout_ms = 20'000});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  const auto transaction = world.OpenClient(0, "db-primary");
  world.SendClientStatement(transaction, "b", StatementKind::kBegin);
  world.SendClientStatement(transaction, "t", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(50));
  world.LoseAnswers("m1", 9);
  const auto write =
      world.SendClientStatement(client, "w", StatementKind::kWrite, "a 1");
  const auto behind =
      world.SendClientStatement(client, "r", StatementKind::kRead, "a");
  const auto commit =
      world.SendClientStatement(transaction, "c", StatementKind::kCommit);
  world.RunFor(Milliseconds(50));
  world.StopGateway(0);
  world.RunFor(Milliseconds(6000));
  REQUIRE(world.IsStopped(0));
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->error == StatementError::kUnknownOutcome);
  REQUIRE(world.FindAnswer(behind) != nullptr);
  CHECK(world.FindAnswer(behind)->error == StatementError::kBusy);
  REQUIRE(world.FindAnswer(commit) != nullptr);
  CHECK(world.FindAnswer(commit)->error == StatementError::kUnknownOutcome);
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
