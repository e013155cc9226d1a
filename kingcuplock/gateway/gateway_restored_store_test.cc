// Gateways whose store is restored from an older copy.

#include <string>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

TEST_SUITE_BEGIN("restored_store");

/// Longest time in ms until a change of the routes is in force on every
/// gateway, from its acknowledgement by the store.
constexpr Milliseconds kRoutesBound{3000};

/// Returns whether the routes of `version` are in force on every gateway.
auto AllUse(GatewayFixture& fixture, std::size_t gateways, std::int64_t version)
    -> bool {
  for (std::size_t n = 0; n < gateways; ++n) {
    if (fixture.gateway(n).Gauges().routes_version != version) {
      return false;
    }
  }
  return true;
}

// Guards against routes that never come into force: the restored store gives
// their revision out a second time.
TEST_CASE("A change after the store was restored comes into force") {
  for (const auto age : {600, 1100, 1600, 2600}) {
    CAPTURE(age);
    GatewayFixture fixture({.gateways = 3});
    fixture.RunFor(Milliseconds(1000));
    for (const auto version : {2, 4, 5}) {
      fixture.ChangeRoutes(version, 0);
      fixture.RunFor(Milliseconds(500));
    }
    REQUIRE(AllUse(fixture, 3, 5));
    fixture.SetStoreUp(false);
    fixture.RunFor(Milliseconds(300));
    fixture.RestoreStore(Milliseconds(age), Milliseconds(200));
    fixture.SetStoreUp(true);
    fixture.RunFor(Milliseconds(1000));
    CHECK(AllUse(fixture, 3, 5));
    fixture.ChangeRoutes(8, 1);
    fixture.RunFor(kRoutesBound);
    CHECK(AllUse(fixture, 3, 8));
  }
}

// Guards against the same fault without a restore: the settings name another
// store, whose revisions and epochs begin below those of the former one.
TEST_CASE("Routes and promotions go on at a new store address") {
  GatewayFixture fixture({.gateways = 3});
  fixture.RunFor(Milliseconds(1200));
  for (const auto version : {2, 4, 5}) {
    fixture.ChangeRoutes(version, 0);
    fixture.RunFor(Milliseconds(300));
  }
  fixture.CrashMember("m1");
  fixture.RunFor(Milliseconds(2500));
  REQUIRE(fixture.OrderFencingTokens().size() == 1);
  fixture.RestartMember("m1");
  fixture.RunFor(Milliseconds(1000));
  fixture.ReplaceStore();
  fixture.RunFor(Milliseconds(300));
  fixture.ChangeRoutes(8, 1);
  fixture.RunFor(kRoutesBound);
  CHECK(AllUse(fixture, 3, 8));
  for (const auto* it : {"m2", "m3"}) {
    if (fixture.group().ActsAsPrimary(it, fixture.Now())) {
      fixture.CrashMember(it);
      break;
    }
  }
  fixture.RunFor(Milliseconds(2500));
  const auto& tokens = fixture.OrderFencingTokens();
  REQUIRE(tokens.size() == 2);
  CHECK(tokens[1] > tokens[0]);
  CHECK(fixture.FindViolations().empty());
}

// Guards against a group without grants after a restore: the holder of the duty
// forgot what it knew of the primary, and a lost member can't tell it.
TEST_CASE(
    "The holder goes on granting after a restore while a member is lost") {
  GatewayFixture fixture({.gateways = 3, .group = {.fenced = false}});
  fixture.RunFor(Milliseconds(3000));
  fixture.SetUnresponsive("m3", true);
  fixture.RunFor(Milliseconds(1000));
  const auto client = fixture.OpenClient(0, "db-primary");
  fixture.RunFor(Milliseconds(100));
  fixture.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  fixture.RunFor(Milliseconds(300));
  REQUIRE(fixture.CountSuccessfulStatements() == 1);
  fixture.RestoreStore(Milliseconds(2500), Milliseconds(1500));
  // The renewals, one every 900 ms, tell of the restore.
  fixture.RunFor(Milliseconds(1200));
  for (auto n = 0; n < 10; ++n) {
    const auto write = fixture.SendClientStatement(
        client, "w2" + std::to_string(n), StatementKind::kWrite, "a 2");
    fixture.RunFor(Milliseconds(100));
    const auto* answer = fixture.FindAnswer(write);
    REQUIRE(answer != nullptr);
    CHECK(answer->IsOk());
  }
  CHECK(fixture.FindViolations().empty());
}

TEST_SUITE_END();

}  // namespace
}  // namespace kingcuplock
