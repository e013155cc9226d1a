#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

auto MakeStep(const NodeFixture& fixture,
              const std::string& id,
              Step step,
              const std::string& transaction) -> CallerRequest {
  auto request = fixture.MakeAppendRequest(id, "", "");
  request.statements.clear();
  request.step = step;
  request.transaction = transaction;
  request.patience_ms = 2000;
  return request;
}

auto MakeAppendStep(const NodeFixture& fixture,
                    const std::string& id,
                    const std::string& transaction,
                    const std::string& key,
                    const std::string& value) -> CallerRequest {
  auto request = MakeStep(fixture, id, Step::kStatement, transaction);
  request.statements = {{Verb::kAppend, key, value}};
  return request;
}

auto ReadRow(NodeFixture& fixture, const std::string& key) -> std::string {
  const auto& rows = fixture.Primary("db0").rows;
  const auto it = rows.find(key);
  return it == rows.end() ? "" : it->second;
}

/// Begins a transaction that has written "a" to rows x and y.
auto BeginAndWriteRows(NodeFixture& fixture, std::size_t node) -> std::string {
  const auto begun =
      fixture.SendAndWait(node, MakeStep(fixture, "b", Step::kBegin, ""));
  REQUIRE(begun.status == Status::kOk);
  const auto handle = begun.transaction;
  for (const std::string key : {"x", "y"}) {
    const auto answer = fixture.SendAndWait(
        node, MakeAppendStep(fixture, "s" + key, handle, key, "a"));
    REQUIRE(answer.status == Status::kOk);
  }
  return handle;
}

TEST_CASE("A transaction is visible only after its commit, and commits once") {
  NodeFixture fixture({.seed = 1, .nodes = 2});
  fixture.RunUntilServing();
  const auto handle = BeginAndWriteRows(fixture, 0);
  CHECK(ReadRow(fixture, "x").empty());
  const auto done =
      fixture.SendAndWait(0, MakeStep(fixture, "c", Step::kCommit, handle));
  CHECK(done.status == Status::kOk);
  CHECK(ReadRow(fixture, "x") == "a");
  CHECK(ReadRow(fixture, "y") == "a");
  const auto late =
      fixture.SendAndWait(0, MakeAppendStep(fixture, "late", handle, "x", "b"));
  CHECK(late.error == ErrorKind::kTransactionUnknown);
  auto again = MakeStep(fixture, "c", Step::kCommit, handle);
  CHECK(fixture.SendAndWait(1, again).status == Status::kOk);
  CHECK(ReadRow(fixture, "x") == "a");
}

TEST_CASE("A transaction is rolled back on request and when idle too long") {
  NodeFixture fixture({.seed = 2, .nodes = 2});
  fixture.RunUntilServing();
  auto handle = BeginAndWriteRows(fixture, 0);
  CHECK(fixture.SendAndWait(0, MakeStep(fixture, "r", Step::kRollback, handle))
            .status == Status::kOk);
  handle = BeginAndWriteRows(fixture, 1);
  fixture.RunFor(Milliseconds(6000));
  const auto late =
      fixture.SendAndWait(1, MakeStep(fixture, "c", Step::kCommit, handle));
  CHECK(late.status == Status::kNotRun);
  CHECK(late.error == ErrorKind::kTransactionUnknown);
  CHECK(ReadRow(fixture, "x").empty());
}

TEST_CASE("After an owner change a transaction is unknown and has no effect") {
  NodeFixture fixture({.seed = 3, .nodes = 3});
  fixture.RunUntilServing();
  const auto owner = fixture.OwnerOf("db0");
  const auto non_owner = (owner + 1) % 3;
  const auto handle = BeginAndWriteRows(fixture, non_owner);
  fixture.KillNode(owner);
  auto commit = MakeStep(fixture, "c", Step::kCommit, handle);
  commit.patience_ms = 10'000;
  const auto answer = fixture.SendAndWait(non_owner, commit);
  CHECK(answer.error == ErrorKind::kTransactionUnknown);
  CHECK(answer.status == Status::kNotRun);
  CHECK(ReadRow(fixture, "x").empty());
}

TEST_CASE(
    "A transaction ends within 100 ms after its caller's instance is killed") {
  NodeFixture fixture({.seed = 4, .nodes = 3});
  fixture.RunUntilServing();
  const auto owner = fixture.OwnerOf("db0");
  const auto non_owner = (owner + 1) % 3;
  const auto other = (owner + 2) % 3;
  const auto handle = BeginAndWriteRows(fixture, non_owner);
  fixture.KillNode(non_owner);
  fixture.RunFor(Milliseconds(100));
  const auto answer = fixture.SendAndWait(
      other, MakeAppendStep(fixture, "s", handle, "x", "b"));
  CHECK(answer.error == ErrorKind::kTransactionUnknown);
  CHECK(ReadRow(fixture, "x").empty());
}

TEST_CASE("A commit whose answer is lost is resolved by its marker") {
  NodeFixture fixture({.seed = 5, .nodes = 2});
  fixture.RunUntilServing();
  const auto handle = BeginAndWriteRows(fixture, 0);
  const auto before = fixture.answers().size();
  fixture.Send(0, MakeStep(fixture, "c", Step::kCommit, handle));
  REQUIRE(fixture.RunUntil([&] { return ReadRow(fixture, "x") == "a"; },
                           Milliseconds(100)));
  fixture.SilenceOpenConnections(fixture.Primary("db0").name);
  REQUIRE(fixture.RunUntil([&] { return fixture.answers().size() > before; },
                           Milliseconds(5000)));
  CHECK(fixture.answers().back().answer.status == Status::kOk);
  CHECK(ReadRow(fixture, "x") == "a");
}

TEST_CASE("A commit that did not arrive is resolved as not_run") {
  NodeFixture fixture({.seed = 6, .nodes = 2});
  fixture.RunUntilServing();
  const auto handle = BeginAndWriteRows(fixture, 0);
  fixture.SilenceOpenConnections(fixture.Primary("db0").name);
  auto commit = MakeStep(fixture, "c", Step::kCommit, handle);
  commit.patience_ms = 5000;
  const auto answer = fixture.SendAndWait(0, commit);
  CHECK(answer.status == Status::kNotRun);
  CHECK(answer.error == ErrorKind::kTransactionUnknown);
  CHECK(ReadRow(fixture, "x").empty());
}

TEST_CASE("Open transactions leave connections for single requests") {
  NodeFixture fixture({.seed = 7, .nodes = 1});
  fixture.RunUntilServing();
  auto opened = 0;
  for (auto n = 0; n < 20; ++n) {
    const auto answer = fixture.SendAndWait(
        0, MakeStep(fixture, "b" + std::to_string(n), Step::kBegin, ""));
    opened += answer.status == Status::kOk ? 1 : 0;
    if (answer.status != Status::kOk) {
      CHECK(answer.error == ErrorKind::kTransactionsFull);
      CHECK(answer.retry_after_ms > 0);
    }
    fixture.RunFor(Milliseconds(5));
  }
  CHECK(opened == 3);
  CHECK(fixture.SendAndWait(0, fixture.MakeAppendRequest("w", "row", "a"))
            .status == Status::kOk);
}

/// Injects a fault chosen by `seed`.
void InjectFault(NodeFixture& fixture, std::uint64_t seed) {
  const auto primary = fixture.Primary("db0").name;
  const auto owner = fixture.OwnerOf("db0");
  switch (seed % 5) {
    case 0:
      fixture.KillMember(primary);
      return;
    case 1:
      fixture.SilenceOpenConnections(primary);
      return;
    case 2:
      if (owner != 0) {
        fixture.KillNode(owner);
      }
      return;
    case 3:
      fixture.PartitionPeers(0, 1, true);
      fixture.PartitionPeers(0, 2, true);
      return;
    default:
      fixture.StartPlannedStop(owner == 0 ? 1 : owner);
  }
}

/// Sends a commit and injects a fault at a random time while it is in flight.
/// Returns its status, kUnknown if it is not answered.
auto CommitUnderFault(NodeFixture& fixture,
                      const CallerRequest& commit,
                      std::uint64_t seed) -> Status {
  const auto number = fixture.Send(0, commit);
  fixture.RunFor(Duration(fixture.random()() % 4000));
  InjectFault(fixture, seed);
  auto status = Status::kUnknown;
  fixture.RunUntil(
      [&] {
        return std::any_of(fixture.answers().begin(), fixture.answers().end(),
                           [&](const auto& it) {
                             status = it.answer.status;
                             return it.number == number;
                           });
      },
      Milliseconds(commit.patience_ms + 1000));
  return status;
}

/// Runs transactions that each append their name to rows x and y, with a fault
/// during one commit. Returns how many are applied in part or answered wrongly.
auto CountWrongOutcomes(std::uint64_t seed) -> int {
  NodeFixture fixture({.seed = seed, .nodes = 3});
  fixture.RunUntilServing();
  std::map<std::string, Status> outcomes;
  for (auto n = 0; n < 8; ++n) {
    const auto name = "t" + std::to_string(n);
    const auto begun =
        fixture.SendAndWait(0, MakeStep(fixture, name + "b", Step::kBegin, ""));
    const auto handle = begun.transaction;
    auto written = 0;
    for (const std::string key : {"x", "y"}) {
      const auto step =
          MakeAppendStep(fixture, name + key, handle, key, name + ";");
      written += fixture.SendAndWait(0, step).status == Status::kOk ? 1 : 0;
    }
    const auto commit = MakeStep(fixture, name + "c", Step::kCommit, handle);
    if (begun.status == Status::kOk && written == 2) {
      outcomes[name] = n == 3 ? CommitUnderFault(fixture, commit, seed)
                              : fixture.SendAndWait(0, commit).status;
    }
  }
  fixture.PartitionPeers(0, 1, false);
  fixture.PartitionPeers(0, 2, false);
  fixture.RunFor(Milliseconds(6000));
  auto wrong = 0;
  for (const auto& [name, status] : outcomes) {
    const auto in = [&](const std::string& key) {
      return ReadRow(fixture, key).find(name + ";") != std::string::npos;
    };
    wrong += in("x") != in("y") ? 1 : 0;
    wrong += status == Status::kOk && !in("x") ? 1 : 0;
    wrong += status == Status::kNotRun && in("x") ? 1 : 0;
    wrong += status == Status::kFailed && in("x") ? 1 : 0;
  }
  return wrong;
}

TEST_CASE("Under faults, commits are atomic and answered correctly") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed ", seed);
    CHECK(CountWrongOutcomes(seed) == 0);
  }
}

TEST_CASE(
    "Connections and statements stay within limits during owner changes") {
  struct Size {
    std::int64_t slots;
    std::int64_t connections;
    std::int64_t open_us;
  };
  for (const auto size : {Size{2, 16, 12'000}, Size{5, 50, 30'000}}) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      NodeFixture fixture({.seed = seed,
                           .nodes = 3,
                           .slots = size.slots,
                           .connections = size.connections,
                           .open_us = size.open_us});
      fixture.RunUntilServing();
      for (auto n = 0; n < 400; ++n) {
        const auto step = n % 4 == 0 ? Step::kBegin : Step::kSingle;
        auto request =
            fixture.MakeAppendRequest("w" + std::to_string(n), "row", "a");
        request.step = step;
        request.patience_ms = 8000;
        fixture.Send(static_cast<std::size_t>(n) % 2, request);
        fixture.RunFor(Duration(2000));
        if (n == 100 && seed % 3 == 0) {
          fixture.PauseNode(fixture.OwnerOf("db0"), true);
        } else if (n == 100 && seed % 3 == 1) {
          fixture.StartPlannedStop(fixture.OwnerOf("db0"));
        } else if (n == 100) {
          fixture.KillMember(fixture.Primary("db0").name);
        }
      }
      fixture.RunFor(Milliseconds(6000));
      for (std::size_t n = 0; n < fixture.nodes(); ++n) {
        fixture.PauseNode(n, false);
      }
      fixture.RunFor(Milliseconds(1000));
      INFO("seed ", seed, " slots ", size.slots);
      CHECK(fixture.PeakOpenConnections() <= size.connections);
      CHECK(fixture.PeakRunningStatements() <= size.slots);
    }
  }
}

}  // namespace
}  // namespace kingcuplock
