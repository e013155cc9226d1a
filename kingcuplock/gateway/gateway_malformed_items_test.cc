// Items in the store that another writer has written, and messages of peers
// with values that can't be used.

#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/schema/codec.h"
#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1500};

/// Texts that are no item of any kind, or have a field that can't be used.
auto MalformedTexts() -> std::vector<std::string> {
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

// Guards against a malformed entry that ends the process or keeps it from
// following the others, under every prefix that the gateway watches.
TEST_CASE("Malformed items under any watched key do no harm") {
  for (const auto fenced : {true, false}) {
    CAPTURE(fenced);
    GatewayFixture world({.gateways = 3,
                          .group = {.fenced = fenced},
                          .unregistered_member = "m3"});
    world.RunFor(kStart);
    REQUIRE(ServesWrites(world, "before"));
    auto number = 0;
    for (const auto& text : MalformedTexts()) {
      const auto name = std::to_string(++number);
      for (const auto* prefix :
           {"endpoint/", "kingcuplock/owner/", "kingcuplock/lease/"}) {
        world.PutStoreItem(prefix + name, text);
        world.PutStoreItem(prefix + std::string("bad name ") + name, text);
        world.PutStoreItem(prefix, text);
      }
      world.PutStoreItem(std::string(kRoutesKey), text);
      world.RunFor(Milliseconds(100));
    }
    CHECK(ServesWrites(world, "bad"));
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
TEST_CASE("The owner of a record writes it again over a malformed one") {
  for (const auto fenced : {true, false}) {
    for (const auto& text : MalformedTexts()) {
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
  world.PutStoreItem("kingcuplock/owner/g0", "bad");
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
  world.PutStoreItem("kingcuplock/owner/g0", "bad");
  world.StartGateway(0);
  world.RunFor(Milliseconds(12'000));
  world.CrashMember("m2");
  world.RunFor(Milliseconds(4000));
  CHECK(world.OrderFencingTokens().size() == 2);
  CHECK(world.FindViolations().empty());
}

/// Returns a peer's offer with one endpoint and one route, both of which can be
/// used.
auto UsableOffer() -> RoutesOffer {
  RoutesOffer out;
  out.table.version = 9;
  out.table.routes.push_back({"db-new", "g0"});
  out.table.groups.push_back({"g0"});
  EndpointEntry entry;
  entry.member = "m9";
  entry.group = "g0";
  entry.host = "m9";
  entry.port = 1;
  entry.data_centre = "dc-0";
  entry.slots = 1;
  out.endpoints.push_back(entry);
  return out;
}

// Guards against a peer's message whose values can't be used: it ends no
// process, nothing of it comes into force, and the next one is followed.
TEST_CASE("A peer's offer with a malformed value is rejected whole") {
  using Change = std::function<void(RoutesOffer&)>;
  const std::vector<Change> changes{
      [](auto& it) { it.endpoints[0].port = 0; },
      [](auto& it) { it.endpoints[0].slots = 0; },
      [](auto& it) { it.endpoints[0].slots = 1'000'000'000; },
      [](auto& it) { it.endpoints[0].member = "a b"; },
      [](auto& it) { it.endpoints[0].group = "g0\r\nBYE"; },
      [](auto& it) { it.endpoints[0].host = ""; },
      [](auto& it) { it.endpoints[0].data_centre = std::string(300, 'x'); },
      [](auto& it) { it.endpoints[0].born_ms = -1; },
      [](auto& it) { it.endpoints[0].sequence = -1; },
      [](auto& it) { it.table.routes[0].database = ""; },
      [](auto& it) { it.table.routes[0].group = "a b"; },
      [](auto& it) { it.table.routes[0].timeout_ms = -1; },
      [](auto& it) { it.table.routes[0].max_age_ms = -1; },
      [](auto& it) { it.table.groups[0].name = "\n"; },
      [](auto& it) { it.table.groups[0].connections = 0; },
      [](auto& it) { it.table.groups[0].synchronous_replicas = -1; },
      [](auto& it) { it.table.transaction_idle_ms = -1; }};
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  const auto send = [&](const RoutesOffer& offer) {
    world.gateway(0).Handle(MessageArrived{777, InboundMessage{offer}});
    world.RunFor(Milliseconds(50));
  };
  for (std::size_t n = 0; n < changes.size(); ++n) {
    CAPTURE(n);
    auto offer = UsableOffer();
    changes[n](offer);
    send(offer);
    CHECK(world.gateway(0).Gauges().routes_version == 1);
  }
  Heartbeat heartbeat;
  heartbeat.instance = "gw-9\r\n";
  heartbeat.host = "no address";
  heartbeat.port = 7;
  heartbeat.groups.push_back({"no group", "no member"});
  world.gateway(0).Handle(MessageArrived{777, InboundMessage{heartbeat}});
  world.RunFor(Milliseconds(50));
  CHECK(ServesWrites(world, "after"));
  send(UsableOffer());
  CHECK(world.gateway(0).Gauges().routes_version == 9);
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
