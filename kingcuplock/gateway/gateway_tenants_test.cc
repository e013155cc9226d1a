// Guards against clients that work in another tenant's name, or with a key that
// was removed, and against a tenant that waits for ever because others hold all
// connections.

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/tenants/key_digest.h"
#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time in ms in which the gateways find the members.
constexpr Milliseconds kStartTime{300};
/// Time in ms for the last answers.
constexpr Milliseconds kDrainTime{1000};

auto Tenant(std::string name, std::initializer_list<const char*> keys)
    -> TenantConfig {
  TenantConfig out;
  out.name = std::move(name);
  for (const auto* it : keys) {
    out.key_digests.push_back(DigestOfKey(it));
  }
  return out;
}

auto CountEvents(const GatewayFixture& fixture, Event event) -> std::size_t {
  const auto& logs = fixture.logs();
  return static_cast<std::size_t>(
      std::count_if(logs.begin(), logs.end(),
                    [event](const auto& it) { return it.event == event; }));
}

TEST_CASE("A member is told the tenant, and an unknown key is refused") {
  GatewayFixture fixture(
      {.tenants = {Tenant("t-a", {"ka", "ka2"}), Tenant("t-b", {"kb"})}});
  fixture.RunFor(kStartTime);
  const auto one = fixture.OpenClient(0, "db-session", "ka");
  const auto two = fixture.OpenClient(0, "db-session", "ka2");
  const auto other = fixture.OpenClient(0, "db-primary", "kb");
  const auto wrong = fixture.OpenClient(0, "db-session", "nobody's");
  const auto none = fixture.OpenClient(0, "db-session");
  fixture.RunFor(Milliseconds(50));
  for (int n = 0; n < 10; ++n) {
    const auto id = std::to_string(n);
    fixture.SendClientStatement(one, "a" + id, StatementKind::kWrite, "x 1");
    fixture.SendClientStatement(two, "b" + id, StatementKind::kRead, "x");
    fixture.SendClientStatement(other, "c" + id, StatementKind::kWrite, "y 1");
    fixture.RunFor(Milliseconds(20));
  }
  fixture.RunFor(kDrainTime);
  CHECK(fixture.CountSuccessfulStatements() == 30);
  CHECK(fixture.HelloError(one) == StatementError::kNone);
  CHECK(fixture.HelloError(wrong) == StatementError::kUnauthorized);
  CHECK(fixture.HelloError(none) == StatementError::kUnauthorized);
  CHECK(fixture.FindViolations().empty());
  CHECK(CountEvents(fixture, Event::kUnknownKeyRefused) == 2);
}

TEST_CASE("A key that was added a moment ago opens a session") {
  GatewayFixture fixture({.gateways = 2, .tenants = {Tenant("t-a", {"ka"})}});
  fixture.RunFor(kStartTime);
  // The watch of the second gateway is slow, so it has to look again.
  fixture.SetStoreDelayPerGateway(Milliseconds(200));
  fixture.ChangeTenants(2, {Tenant("t-a", {"ka"}), Tenant("t-b", {"kb"})});
  const auto client = fixture.OpenClient(1, "db-session", "kb");
  fixture.RunFor(Milliseconds(100));
  CHECK(fixture.HelloError(client) == StatementError::kNone);
  fixture.SendClientStatement(client, "r", StatementKind::kRead, "x");
  fixture.RunFor(kDrainTime);
  CHECK(fixture.CountSuccessfulStatements() == 1);
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("Sessions whose key is removed end, idle ones at once") {
  GatewayFixture fixture(
      {.tenants = {Tenant("t-a", {"ka"}), Tenant("t-b", {"kb"})}});
  fixture.RunFor(kStartTime);
  const auto idle = fixture.OpenClient(0, "db-session", "ka");
  const auto open = fixture.OpenClient(0, "db-session", "ka");
  const auto resting = fixture.OpenClient(0, "db-session", "ka");
  const auto other = fixture.OpenClient(0, "db-session", "kb");
  fixture.RunFor(Milliseconds(50));
  fixture.SendClientStatement(open, "o1", StatementKind::kBegin);
  const auto write =
      fixture.SendClientStatement(open, "o2", StatementKind::kWrite, "x 1");
  fixture.SendClientStatement(resting, "r1", StatementKind::kBegin);
  fixture.SendClientStatement(resting, "r2", StatementKind::kWrite, "y 1");
  fixture.RunFor(Milliseconds(100));
  REQUIRE(fixture.FindAnswer(write) != nullptr);
  fixture.ChangeTenants(2, {Tenant("t-b", {"kb"})});
  fixture.RunFor(Milliseconds(100));
  CHECK_FALSE(fixture.IsClientOpen(idle));
  CHECK(fixture.IsClientOpen(open));
  CHECK(fixture.IsClientOpen(other));
  const auto commit =
      fixture.SendClientStatement(open, "o3", StatementKind::kCommit);
  fixture.RunFor(Milliseconds(100));
  REQUIRE(fixture.FindAnswer(commit) != nullptr);
  CHECK(fixture.FindAnswer(commit)->IsOk());
  CHECK_FALSE(fixture.IsClientOpen(open));
  // A quarter of the 3 s in which a configuration has to be in use is over.
  fixture.RunFor(Milliseconds(700));
  const auto late =
      fixture.SendClientStatement(resting, "r3", StatementKind::kCommit);
  fixture.RunFor(Milliseconds(100));
  REQUIRE(fixture.FindAnswer(late) != nullptr);
  CHECK(fixture.FindAnswer(late)->error == StatementError::kAborted);
  CHECK_FALSE(fixture.IsClientOpen(resting));
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("A key that moves to another tenant ends its session") {
  GatewayFixture fixture({.tenants = {Tenant("t-a", {"k"})}});
  fixture.RunFor(kStartTime);
  const auto client = fixture.OpenClient(0, "db-session", "k");
  fixture.RunFor(Milliseconds(50));
  fixture.ChangeTenants(2, {Tenant("t-b", {"k"})});
  fixture.RunFor(Milliseconds(50));
  CHECK_FALSE(fixture.IsClientOpen(client));
  const auto again = fixture.OpenClient(0, "db-session", "k");
  fixture.RunFor(Milliseconds(50));
  fixture.SendClientStatement(again, "r", StatementKind::kRead, "x");
  fixture.RunFor(kDrainTime);
  CHECK(fixture.CountSuccessfulStatements() == 1);
  CHECK(fixture.FindViolations().empty());
}

// Load: many tenants, few connections. Each instance has two connections to a
// member and clients of twelve tenants that work all the time.
TEST_CASE("Many tenants share few connections and all are served") {
  std::vector<TenantConfig> tenants;
  for (int n = 0; n < 12; ++n) {
    tenants.push_back(
        Tenant("t" + std::to_string(n), {("k" + std::to_string(n)).c_str()}));
  }
  GatewayFixture fixture({.gateways = 4,
                          .group = {.connections = 8},
                          .timeout_ms = 800,
                          .tenants = tenants});
  fixture.RunFor(kStartTime);
  std::vector<std::size_t> clients;
  for (std::size_t n = 0; n < 48; ++n) {
    clients.push_back(
        fixture.OpenClient(n % 4, n % 3 == 0 ? "db-primary" : "db-bounded",
                           "k" + std::to_string(n % 12)));
  }
  fixture.RunFor(Milliseconds(50));
  for (int round = 0; round < 8; ++round) {
    for (std::size_t n = 0; n < clients.size(); ++n) {
      fixture.SendClientStatement(
          clients[n], "r" + std::to_string(round) + "-" + std::to_string(n),
          StatementKind::kRead, "x");
      fixture.RunFor(Milliseconds(5));
    }
  }
  fixture.RunFor(kDrainTime);
  const auto sent = fixture.client_statements().size();
  CHECK(fixture.CountSuccessfulStatements() >= sent * 99 / 100);
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("An instance that hears nobody says that its keys may be old") {
  GatewayFixture fixture({.tenants = {Tenant("t-a", {"ka"})}});
  fixture.RunFor(kStartTime);
  fixture.SetStoreUp(false);
  fixture.RunFor(Milliseconds(2500));
  CHECK(CountEvents(fixture, Event::kConfigurationUnheard) == 0);
  fixture.RunFor(Milliseconds(8000));
  CHECK(CountEvents(fixture, Event::kConfigurationUnheard) == 1);
}

TEST_CASE("No log line holds a key") {
  GatewayFixture fixture({.tenants = {Tenant("t-a", {"secret-key-a"})}});
  fixture.RunFor(kStartTime);
  const auto client = fixture.OpenClient(0, "db-session", "secret-key-a");
  fixture.OpenClient(0, "db-session", "secret-key-b");
  fixture.RunFor(Milliseconds(50));
  fixture.SendClientStatement(client, "r", StatementKind::kRead, "x");
  fixture.ChangeTenants(2, {Tenant("t-b", {"secret-key-b"})});
  fixture.RunFor(kDrainTime);
  for (const auto& line : fixture.logs()) {
    for (const auto& [name, value] : line.fields) {
      CHECK(value.find("secret-key") == std::string::npos);
      CHECK(value.find(DigestOfKey("secret-key-a")) == std::string::npos);
    }
  }
}

}  // namespace
}  // namespace kingcuplock
