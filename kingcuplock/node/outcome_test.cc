#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "kingcuplock/outcome/content_hash.h"
#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

auto CountValueIn(const std::string& row, const std::string& value)
    -> std::size_t {
  std::size_t n = 0;
  for (auto at = (row + ",").find(value + ","); at != std::string::npos;
       at = (row + ",").find(value + ",", at + 1)) {
    ++n;
  }
  return n;
}

auto ReadRow(NodeFixture& fixture) -> std::string {
  const auto& rows = fixture.Primary("db0").rows;
  const auto it = rows.find("row");
  return it == rows.end() ? "" : it->second;
}

/// Number of requests by answer; `wrong` counts those whose answers contradict
/// the row.
struct OutcomeCounts {
  int ok = 0;
  int not_run = 0;
  int unknown = 0;
  int wrong = 0;
};

/// Sends writes during one fault chosen by `seed`, then compares every answer
/// with the row. With `marked` false, no outcome markers are stored.
auto RunSchedule(std::uint64_t seed, bool marked) -> OutcomeCounts {
  NodeFixture fixture({.seed = seed, .nodes = 3, .markers = marked});
  fixture.RunUntilServing();
  std::vector<CallerRequest> sent;
  const auto fault = seed % 5;
  for (auto n = 0; n < 30; ++n) {
    auto request = fixture.MakeAppendRequest("w" + std::to_string(n), "row",
                                             "v" + std::to_string(n));
    request.patience_ms = 1500;
    fixture.Send(static_cast<std::size_t>(n) % 2, request);
    if (n % 3 == 0) {
      // The caller gives up on one instance and repeats it at another.
      auto again = request;
      again.repeated = true;
      fixture.Send(static_cast<std::size_t>(n + 1) % 2, again);
    }
    sent.push_back(request);
    fixture.RunFor(Duration(fixture.random()() % 4000));
    if (n != 10) {
      continue;
    }
    const auto primary = fixture.Primary("db0").name;
    const auto owner = fixture.OwnerOf("db0");
    if (fault == 0) {
      fixture.KillMember(primary);
    } else if (fault == 1) {
      fixture.SilenceOpenConnections(primary);
    } else if (fault == 2 && owner == 2) {
      fixture.KillNode(owner);
    } else if (fault == 3) {
      fixture.PauseMember(primary, true);
    } else if (fault == 4) {
      fixture.PauseNode(2, true);
    }
  }
  fixture.RunFor(Milliseconds(6000));
  OutcomeCounts tally;
  std::map<std::string, std::set<Status>> statuses;
  for (const auto& it : fixture.answers()) {
    statuses[it.answer.id].insert(it.answer.status);
  }
  for (const auto& it : sent) {
    const auto& seen = statuses[it.id];
    tally.ok += seen.contains(Status::kOk) ? 1 : 0;
    tally.unknown += seen.contains(Status::kUnknown) ? 1 : 0;
    const auto in_row = CountValueIn(ReadRow(fixture), it.statements[0].value);
    const auto lost = seen.contains(Status::kOk) && in_row == 0;
    // With several answers, not_run applies to one attempt and not to the id.
    const auto refused = seen == std::set{Status::kNotRun};
    tally.not_run += refused ? 1 : 0;
    tally.wrong += in_row > 1 || lost || (refused && in_row != 0) ? 1 : 0;
  }
  return tally;
}

TEST_CASE(
    "Under faults, each id runs at most once and not_run means it did not "
    "run") {
  OutcomeCounts sum;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const auto tally = RunSchedule(seed, true);
    INFO("seed ", seed);
    CHECK(tally.wrong == 0);
    sum.ok += tally.ok;
    sum.unknown += tally.unknown;
    sum.not_run += tally.not_run;
  }
  MESSAGE("ok ", sum.ok, " unknown ", sum.unknown, " not_run ", sum.not_run);
  CHECK(sum.ok > 1000);
}

TEST_CASE("Without outcome markers some request ids run twice") {
  auto wrong = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    wrong += RunSchedule(seed, false).wrong;
  }
  CHECK(wrong > 0);
}

TEST_CASE("A write whose answer is lost is resolved within its patience") {
  NodeFixture fixture({.seed = 5, .nodes = 2});
  fixture.RunUntilServing();
  fixture.Send(0, fixture.MakeAppendRequest("w1", "row", "a"));
  // The statement has run; its answer is still in transit.
  REQUIRE(fixture.RunUntil([&] { return ReadRow(fixture) == "a"; },
                           Milliseconds(100)));
  fixture.SilenceOpenConnections(fixture.Primary("db0").name);
  REQUIRE(fixture.RunUntil([&] { return !fixture.answers().empty(); },
                           Milliseconds(5000)));
  CHECK(fixture.answers().front().answer.status == Status::kOk);
  CHECK(ReadRow(fixture) == "a");
}

TEST_CASE("Two requests with one id, in flight at two instances, run once") {
  NodeFixture fixture({.seed = 6, .nodes = 2});
  fixture.RunUntilServing();
  const auto request = fixture.MakeAppendRequest("w1", "row", "a");
  fixture.Send(0, request);
  fixture.Send(1, request);
  REQUIRE(fixture.RunUntil([&] { return fixture.answers().size() == 2; },
                           Milliseconds(1000)));
  for (const auto& it : fixture.answers()) {
    CHECK(it.answer.status == Status::kOk);
  }
  CHECK(ReadRow(fixture) == "a");
}

TEST_CASE("An id reused with other content is rejected, in flight and later") {
  NodeFixture fixture({.seed = 7, .nodes = 2});
  fixture.RunUntilServing();
  fixture.Send(0, fixture.MakeAppendRequest("w1", "row", "a"));
  fixture.Send(0, fixture.MakeAppendRequest("w1", "row", "b"));
  REQUIRE(fixture.RunUntil([&] { return fixture.answers().size() == 2; },
                           Milliseconds(1000)));
  const auto refused = std::count_if(
      fixture.answers().begin(), fixture.answers().end(), [](const auto& it) {
        return it.answer.error == ErrorKind::kRequestIdReused;
      });
  CHECK(refused == 1);
  const auto later =
      fixture.SendAndWait(1, fixture.MakeAppendRequest("w1", "row", "c"));
  CHECK(later.status == Status::kFailed);
  CHECK(later.error == ErrorKind::kRequestIdReused);
  CHECK(ReadRow(fixture).size() == 1);
}

TEST_CASE("A write that is not repeatable is rejected without its issue time") {
  NodeFixture fixture({.seed = 8, .nodes = 1});
  fixture.RunUntilServing();
  auto request = fixture.MakeAppendRequest("w1", "row", "a");
  request.issued_ms = 0;
  const auto answer = fixture.SendAndWait(0, request);
  CHECK(answer.status == Status::kNotRun);
  CHECK(answer.error == ErrorKind::kIssueTimeMissing);
  CHECK(ReadRow(fixture).empty());
}

TEST_CASE("Markers are removed after their retention, older ids are rejected") {
  NodeFixture fixture({.seed = 9, .nodes = 2, .marker_retention_ms = 8000});
  fixture.RunUntilServing();
  const auto request = fixture.MakeAppendRequest("w1", "row", "a");
  REQUIRE(fixture.SendAndWait(0, request).status == Status::kOk);
  CHECK(fixture.SendAndWait(0, request).status == Status::kOk);
  fixture.RunFor(Milliseconds(12'000));
  CHECK(fixture.Primary("db0").markers.empty());
  const auto late = fixture.SendAndWait(1, request);
  CHECK(late.status == Status::kUnknown);
  CHECK(late.error == ErrorKind::kRequestIdTooOld);
  CHECK(ReadRow(fixture) == "a");
}

TEST_CASE("A request marked as repeated is never answered not_run") {
  NodeFixture fixture({.seed = 10, .nodes = 1});
  fixture.RunUntilServing();
  auto request = fixture.MakeAppendRequest("w1", "row", "a");
  REQUIRE(fixture.SendAndWait(0, request).status == Status::kOk);
  for (const auto& it : fixture.manifest().databases.front().members) {
    fixture.KillMember(it.name);
  }
  request.patience_ms = 300;
  request.repeated = true;
  const auto answer = fixture.SendAndWait(0, request);
  CHECK(answer.status == Status::kUnknown);
  CHECK(answer.receipt == "w1");
  CHECK(answer.retry_after_ms > 0);
  // If not marked as repeated, not_run applies to this attempt only.
  request.repeated = false;
  CHECK(fixture.SendAndWait(0, request).status == Status::kNotRun);
  auto other = fixture.MakeAppendRequest("w2", "row", "b");
  other.patience_ms = 300;
  CHECK(fixture.SendAndWait(0, other).status == Status::kNotRun);
}

TEST_CASE(
    "A repeated request resolves an unknown answer after its owner was "
    "killed") {
  NodeFixture fixture({.seed = 11, .nodes = 3});
  fixture.RunUntilServing();
  const auto owner = fixture.OwnerOf("db0");
  const auto non_owner = (owner + 1) % 3;
  auto request = fixture.MakeAppendRequest("w1", "row", "a");
  request.patience_ms = 200;
  fixture.Send(non_owner, request);
  REQUIRE(fixture.RunUntil([&] { return ReadRow(fixture) == "a"; },
                           Milliseconds(100)));
  fixture.KillNode(owner);
  REQUIRE(fixture.RunUntil([&] { return !fixture.answers().empty(); },
                           Milliseconds(1000)));
  CHECK(fixture.answers().front().answer.status == Status::kUnknown);
  request.repeated = true;
  request.patience_ms = 10'000;
  CHECK(fixture.SendAndWait(non_owner, request).status == Status::kOk);
  CHECK(ReadRow(fixture) == "a");
}

}  // namespace
}  // namespace kingcuplock
