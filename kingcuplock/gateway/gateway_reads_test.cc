#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time in ms in which the gateways find the members.
constexpr Milliseconds kStartTime{300};
/// Time in ms in which a statement is answered.
constexpr Milliseconds kAnswerTime{60};

/// Returns the signature of the member that answered statement `number` with
/// success, "none" if there is no such answer.
auto MemberOf(const GatewayFixture& fixture, std::size_t number)
    -> std::string {
  const auto* answer = fixture.FindAnswer(number);
  return answer != nullptr && answer->IsOk() ? answer->signature : "none";
}

/// Sends a write to the primary through `gateway` and waits for the answer.
/// Returns the number of the statement.
auto Write(GatewayFixture& fixture, std::size_t gateway, std::string id)
    -> std::size_t {
  const auto client = fixture.OpenClient(gateway, "db-primary");
  const auto write = fixture.SendClientStatement(client, std::move(id),
                                                 StatementKind::kWrite, "a 1");
  fixture.RunFor(kAnswerTime);
  return write;
}

TEST_CASE("A bounded read is served by the replica in the own data centre") {
  GatewayFixture fixture({.gateways = 2});
  fixture.RunFor(kStartTime);
  Write(fixture, 1, "w1");
  const auto reader = fixture.OpenClient(1, "db-bounded");
  const auto read =
      fixture.SendClientStatement(reader, "r1", StatementKind::kRead, "a");
  fixture.RunFor(kAnswerTime);
  CHECK(MemberOf(fixture, read) == "by-m2");
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("A session reads its own write although all replicas lag") {
  GatewayFixture fixture(
      {.gateways = 2, .group = {.apply_lag = Milliseconds(400)}});
  fixture.RunFor(kStartTime);
  const auto client = fixture.OpenClient(1, "db-session");
  const auto write =
      fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(kAnswerTime);
  REQUIRE(fixture.FindAnswer(write)->IsOk());
  const auto read =
      fixture.SendClientStatement(client, "r1", StatementKind::kRead, "a");
  fixture.RunFor(kAnswerTime);
  CHECK(MemberOf(fixture, read) == "by-m1");
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("A read at the primary is not served by a replaced primary") {
  GatewayFixture fixture({.gateways = 2});
  fixture.RunFor(kStartTime);
  const auto writer = fixture.OpenClient(0, "db-primary");
  const auto reader = fixture.OpenClient(1, "db-primary");
  fixture.SendClientStatement(writer, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(kAnswerTime);
  // Another process promotes m2; neither gateway learns of it.
  fixture.SetStoreUp(false);
  fixture.group().RequestPromotion("m2", 1'000'000'000, fixture.Now());
  fixture.RunFor(Milliseconds(1100));
  fixture.SendClientStatement(writer, "w2", StatementKind::kWrite, "a 2");
  const auto read =
      fixture.SendClientStatement(reader, "r1", StatementKind::kRead, "a");
  fixture.RunFor(Milliseconds(300));
  CHECK(MemberOf(fixture, read) == "by-m2");
  CHECK(fixture.FindViolations().empty());
}

// Many clients return at once while no sample of the primary's position is
// recent enough to derive a floor. Guards against one request for a sample by
// each read, and against sending the reads to the primary.
TEST_CASE("Reads without a floor share one sample of the primary's position") {
  GatewayFixture fixture({.gateways = 1});
  fixture.RunFor(kStartTime);
  const auto before = fixture.CountInternalStatements();
  for (auto n = 0; n < 20; ++n) {
    const auto client = fixture.OpenClient(0, "db-bounded");
    fixture.SendClientStatement(client, "r" + std::to_string(n),
                                StatementKind::kRead, "a");
  }
  fixture.RunFor(Milliseconds(150));
  CHECK(fixture.CountSuccessfulStatements() == 20);
  CHECK(fixture.CountInternalStatements() - before <= 2);
}

TEST_CASE("A read whose answer is lost is retried at another member") {
  GatewayFixture fixture({.gateways = 2});
  fixture.RunFor(kStartTime);
  Write(fixture, 1, "w1");
  const auto reader = fixture.OpenClient(1, "db-bounded");
  fixture.LoseAnswers("m2", 1);
  const auto read =
      fixture.SendClientStatement(reader, "r1", StatementKind::kRead, "a");
  fixture.RunFor(Milliseconds(100));
  CHECK(MemberOf(fixture, read) != "none");
  CHECK(MemberOf(fixture, read) != "by-m2");
}

// A read at the primary is followed by a ROLLBACK. Guards against taking the
// unsigned answer to the ROLLBACK for that of the read when the latter is lost.
TEST_CASE("An unsigned answer is not taken for the answer to a read") {
  GatewayFixture fixture({.gateways = 1});
  fixture.RunFor(kStartTime);
  const auto client = fixture.OpenClient(0, "db-primary");
  fixture.LoseAnswers("m1", 1);
  const auto read =
      fixture.SendClientStatement(client, "r1", StatementKind::kRead, "a");
  fixture.RunFor(Milliseconds(200));
  const auto* answer = fixture.FindAnswer(read);
  REQUIRE(answer != nullptr);
  REQUIRE(answer->IsOk());
  CHECK(answer->signature == "by-m1");
  CHECK(answer->rows.size() == 1);
}

// Guards against statements that wait for their answers without a timeout:
// three lost answers then occupied every connection to the member for good.
TEST_CASE("A connection is freed when its answer never arrives") {
  GatewayFixture fixture({.gateways = 1, .group = {.connections = 4}});
  fixture.RunFor(kStartTime);
  fixture.LoseAnswers("m1", 4);
  for (auto n = 0; n < 8; ++n) {
    const auto client = fixture.OpenClient(0, "db-primary");
    fixture.SendClientStatement(client, "w" + std::to_string(n),
                                StatementKind::kWrite, "a 1");
  }
  fixture.RunFor(Milliseconds(2500));
  const auto write = Write(fixture, 0, "w9");
  CHECK(MemberOf(fixture, write) == "by-m1");
  CHECK(fixture.FindViolations().empty());
}

// A member whose promotion is pending refuses reads because it lags. Guards
// against taking this as proof that the session's position was discarded.
TEST_CASE("A refusal during a promotion does not reset a session's position") {
  GatewayFixture fixture(
      {.gateways = 2, .group = {.apply_lag = Milliseconds(600)}});
  fixture.RunFor(kStartTime);
  const auto client = fixture.OpenClient(1, "db-session");
  fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(kAnswerTime);
  fixture.SetUnresponsive("m1", true);
  for (auto n = 0; n < 60; ++n) {
    fixture.SendClientStatement(client, "r" + std::to_string(n),
                                StatementKind::kRead, "a");
    fixture.RunFor(Milliseconds(30));
  }
  fixture.RunFor(Milliseconds(1500));
  CHECK(fixture.group().CountPromotions() == 1);
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("A read does not wait for a position that a promotion discarded") {
  GatewayFixture fixture({.gateways = 1});
  fixture.RunFor(kStartTime);
  fixture.group().SetReplicationPaused("m2", true);
  fixture.group().SetReplicationPaused("m3", true);
  const auto client = fixture.OpenClient(0, "db-session");
  const auto write =
      fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(kAnswerTime);
  REQUIRE(fixture.FindAnswer(write)->IsOk());
  fixture.CrashMember("m1");
  fixture.RunFor(Milliseconds(2500));
  const auto other = fixture.OpenClient(0, "db-primary");
  fixture.SendClientStatement(other, "w2", StatementKind::kWrite, "a 2");
  fixture.RunFor(kAnswerTime);
  const auto read =
      fixture.SendClientStatement(client, "r1", StatementKind::kRead, "a");
  fixture.RunFor(Milliseconds(400));
  CHECK(MemberOf(fixture, read) != "none");
  CHECK(fixture.FindViolations().empty());
}

}  // namespace
}  // namespace kingcuplock
