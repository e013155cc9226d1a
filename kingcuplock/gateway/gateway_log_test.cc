// For each decision that docs/OPERATIONS.md refers to, the log contains what it
// was based on, the age or version of that, and the outcome.

#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{300};
constexpr Milliseconds kAnswer{60};

/// Returns the value of a field; empty if the line lacks it.
auto FieldOf(const LogAction& line, std::string_view name) -> std::string {
  for (const auto& [key, value] : line.fields) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

/// Returns the log lines of an event. Unless `request` is empty, only those of
/// that request.
auto LinesOf(const GatewayFixture& world,
             Event event,
             std::string_view request = "") -> std::vector<LogAction> {
  std::vector<LogAction> out;
  for (const auto& it : world.logs()) {
    if (it.event == event &&
        (request.empty() || FieldOf(it, "request") == request)) {
      out.push_back(it);
    }
  }
  return out;
}

/// Checks that the line has all these fields and none is empty.
auto CheckFields(const LogAction& line,
                 const std::vector<std::string_view>& names) -> void {
  for (const auto name : names) {
    CAPTURE(name);
    CHECK_FALSE(FieldOf(line, name).empty());
  }
}

TEST_CASE("A refusal logs its reason and the time left") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  world.SetStoreUp(false);
  for (const auto* it : {"m1", "m2", "m3"}) {
    world.CrashMember(it);
  }
  world.RunFor(kAnswer);
  world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(1000));
  const auto refused = LinesOf(world, Event::kStatementRefused, "w1");
  REQUIRE(refused.size() == 1);
  CheckFields(refused[0],
              {"group", "outcome", "access", "primary", "term", "attempts",
               "age_ms", "left_ms", "waited_ms", "waiting"});
  CHECK(LinesOf(world, Event::kStatementFailed, "w1").size() == 1);
}

TEST_CASE(
    "A failed transaction and a commit of unknown outcome log their member") {
  for (const auto kind : {StatementKind::kWrite, StatementKind::kCommit}) {
    GatewayFixture world({.gateways = 1});
    world.RunFor(kStart);
    const auto client = world.OpenClient(0, "db-primary");
    world.SendClientStatement(client, "b1", StatementKind::kBegin);
    world.RunFor(kAnswer);
    world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
    world.RunFor(kAnswer);
    world.LoseAnswers("m1", 1);
    world.SendClientStatement(client, "last", kind,
                              kind == StatementKind::kWrite ? "b 2" : "");
    world.RunFor(Milliseconds(8));
    world.CrashMember("m1");
    world.RunFor(kAnswer);
    const auto failed = LinesOf(world, Event::kStatementFailed, "last");
    REQUIRE(failed.size() == 1);
    CheckFields(failed[0], {"client", "group", "member", "kind", "outcome",
                            "transaction", "age_ms"});
    CHECK(FieldOf(failed[0], "transaction") == "b1");
    CHECK(FieldOf(failed[0], "kind") == ToString(kind));
  }
}

TEST_CASE("A promotion logs each step from the lost primary to the new one") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(kAnswer);
  const auto before = world.logs().size();
  world.CrashMember("m1");
  world.RunFor(Milliseconds(3000));
  REQUIRE(world.group().CountPromotions() == 1);
  auto steps = 0;
  for (auto n = before; n < world.logs().size(); ++n) {
    const auto& it = world.logs()[n];
    if (it.event == Event::kEndpointReachabilityChanged) {
      ++steps;
      CheckFields(it, {"group", "member", "reach", "heard_ms"});
    } else if (it.event == Event::kPromotionEvaluated) {
      ++steps;
      CheckFields(it,
                  {"group", "primary", "reason", "outcome", "suspected_ms"});
    } else if (it.event == Event::kPromotionOrdered) {
      ++steps;
      CheckFields(it, {"group", "member", "reason", "fence", "order"});
    } else if (it.event == Event::kPromotionAnswered) {
      ++steps;
      CheckFields(it, {"group", "member", "order", "outcome"});
    } else if (it.event == Event::kPrimaryViewChanged) {
      ++steps;
      CheckFields(it, {"group", "term", "state", "source"});
    }
  }
  constexpr auto kSteps = 5;
  CHECK(steps >= kSteps);
}

TEST_CASE("A statement retried at another member logs where it failed") {
  GatewayFixture world({.gateways = 2});
  world.RunFor(kStart);
  const auto client = world.OpenClient(1, "db-bounded");
  world.SendClientStatement(client, "r0", StatementKind::kRead, "a");
  world.RunFor(kAnswer);
  world.SendClientStatement(client, "r1", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(3));
  world.CrashMember("m2");
  world.RunFor(kAnswer);
  const auto attempts = LinesOf(world, Event::kAttemptWithoutEffect, "r1");
  REQUIRE(attempts.size() == 1);
  CheckFields(attempts[0],
              {"group", "member", "outcome", "access", "age_ms", "left_ms"});
  const auto served = LinesOf(world, Event::kStatementServed, "r1");
  REQUIRE(served.size() == 1);
  CheckFields(served[0],
              {"waited_ms", "member_ms", "in_flight", "limit", "slots"});
}

}  // namespace
}  // namespace kingcuplock
