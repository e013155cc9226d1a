// Items in the store that another writer has written, and messages of peers
// with values that can't be used.

#include <limits>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/schema/codec.h"
#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1500};

/// Texts that are no item of any kind, or have a field that can't be used.
auto OddTexts() -> std::vector<std::string> {
  constexpr std::size_t kDepth = 100'000;
  return {
      "",
      "\xff\xfe",
      "5",
      "[]",
      "{}",
      std::string(kDepth, '['),
      R"({"a":)" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}",
      R"({"epoch":1e300,"owner":"x","member":"x","group":"g0","host":"x",)"
      R"("port":1e300,"name":"x","version":1e300})",
      R"({"epoch":9223372036854775807,"owner":"x","name":"x","host":"x",)"
      R"("port":99999,"member":"x","group":"g0","version":"7"})",
      R"({"epoch":-5,"owner":"x","name":"x","host":"x","port":-1,)"
      R"("member":"x","group":"g0","lease":"5","term":{}})",
      R"({"name":"a b\r\n","host":"no address","port":7,"member":"a b",)"
      R"("group":"g0","data_centre":"dc","slots":1})"};
}

/// Returns whether a write through each gateway is served.
auto ServesWrites(GatewayFixture& world, const std::string& name) -> bool {
  auto served = true;
  for (std::size_t n = 0; n < 3; ++n) {
    const auto client = world.OpenClient(n, "db-primary");
    world.RunFor(Milliseconds(20));
    const auto write = world.SendClientStatement(
        client, name + std::to_string(n), StatementKind::kWrite, "a 1");
    world.RunFor(Milliseconds(300));
    const auto* answer = world.FindAnswer(write);
    served = served && answer != nullptr && answer->IsOk();
  }
  return served;
}

// Guards against an odd entry that ends the process or keeps it from following
// the others, under every prefix that the gateway watches.
TEST_CASE("Odd items under any watched key do no harm") {
  for (const auto fenced : {true, false}) {
    CAPTURE(fenced);
    GatewayFixture world({.gateways = 3,
                          .group = {.fenced = fenced},
                          .unregistered_member = "m3"});
    world.RunFor(kStart);
    REQUIRE(ServesWrites(world, "before"));
    auto number = 0;
    for (const auto& text : OddTexts()) {
      const auto name = std::to_string(++number);
      for (const auto* prefix :
           {"endpoint/", "kingcuplock/owner/", "kingcuplock/lease/"}) {
        world.PutStoreItem(prefix + name, text);
        world.PutStoreItem(prefix + std::string("odd name ") + name, text);
        world.PutStoreItem(prefix, text);
      }
      world.PutStoreItem(std::string(kRoutesKey), text);
      world.RunFor(Milliseconds(100));
    }
    CHECK(ServesWrites(world, "odd"));
    // Later changes come into force: routes, a member, a new primary.
    world.ChangeRoutes(4, 1);
    world.RegisterMissingMember();
    world.RunFor(Milliseconds(1000));
    for (std::size_t n = 0; n < 3; ++n) {
      CHECK(world.gateway(n).Gauges().routes_version == 4);
      CHECK(world.gateway(n).Gauges().members.size() == 3);
    }
    world.CrashMember("m1");
    world.RunFor(Milliseconds(4000));
    CHECK(world.group().CountPromotions() == 1);
    CHECK(ServesWrites(world, "promoted"));
    CHECK(world.FindViolations().empty());
  }
}

// Guards against a duty that nobody can take or keep any more: its record was
// replaced by something else.
TEST_CASE("The owner of a record writes it again over an odd one") {
  for (const auto fenced : {true, false}) {
    for (const auto& text : OddTexts()) {
      CAPTURE(fenced);
      CAPTURE(text.substr(0, 40));
      GatewayFixture world({.gateways = 3, .group = {.fenced = fenced}});
      world.RunFor(kStart);
      REQUIRE(ServesWrites(world, "before"));
      const auto holder = world.PromotionDutyHolder();
      world.PutStoreItem("kingcuplock/owner/g0", text);
      world.RunFor(Milliseconds(200));
      CHECK(world.PromotionDutyHolder() == holder);
      CHECK(ServesWrites(world, "after"));
      world.CrashMember("m1");
      world.RunFor(Milliseconds(4000));
      CHECK(world.group().CountPromotions() == 1);
      CHECK(ServesWrites(world, "promoted"));
      CHECK(world.FindViolations().empty());
    }
  }
}

// Guards against two holders: an instance that has just started can't read the
// record, and the owner can't write it again yet.
TEST_CASE("A record that can't be read is not taken while its owner may act") {
  GatewayFixture world({.gateways = 3, .group = {.fenced = false}});
  world.RunFor(kStart);
  REQUIRE(ServesWrites(world, "before"));
  const auto holder = world.PromotionDutyHolder();
  const auto other = (holder + 1) % 3;
  world.KillGateway(other);
  world.FreezeGateway(holder, true);
  world.PutStoreItem("kingcuplock/owner/g0", "odd");
  world.RunFor(Milliseconds(50));
  world.StartGateway(other);
  world.RunFor(Milliseconds(1000));
  world.FreezeGateway(holder, false);
  world.RunFor(Milliseconds(3000));
  CHECK(ServesWrites(world, "after"));
  CHECK(world.FindViolations().empty());
}

// Guards against a fencing token that is used again: an instance that has just
// started can't read the record that its earlier run wrote.
TEST_CASE("Fencing tokens rise over a record that can't be read") {
  GatewayFixture world({.gateways = 1, .group = {.fenced = false}});
  world.RunFor(kStart);
  world.CrashMember("m1");
  world.RunFor(Milliseconds(3000));
  REQUIRE(world.OrderFencingTokens().size() == 1);
  world.RestartMember("m1");
  world.KillGateway(0);
  world.PutStoreItem("kingcuplock/owner/g0", "odd");
  world.StartGateway(0);
  world.RunFor(Milliseconds(12'000));
  world.CrashMember("m2");
  world.RunFor(Milliseconds(4000));
  CHECK(world.OrderFencingTokens().size() == 2);
  CHECK(world.FindViolations().empty());
}

// Guards against times and ports of a peer that overflow.
TEST_CASE("Messages with numbers out of range are rejected") {
  const std::vector<std::string> numbers{
      "1e300", "9223372036854775807", "9223372036854775808", "-1e300", "\"5\""};
  for (const auto& it : numbers) {
    CAPTURE(it);
    for (const auto& text :
         {R"({"type":"heartbeat","instance":"a","host":"h","port":)" + it + "}",
          R"({"type":"grant_given","group":"g","ask":1,"lasts_ms":)" + it + "}",
          R"({"type":"grant_given","group":"g","ask":1,"floor_age_ms":)" + it +
              "}"}) {
      CAPTURE(text);
      CHECK_THROWS_AS(ReadPeerMessage(DecodeFrame(text, FrameFormat::kJson)),
                      SchemaError);
    }
  }
  CHECK_NOTHROW(ReadPeerMessage(DecodeFrame(
      R"({"type":"heartbeat","instance":"a","host":"h","port":65535})",
      FrameFormat::kJson)));
}

}  // namespace
}  // namespace kingcuplock
