// Guards against tenants that get more than their limit over several gateways,
// that keep others waiting, or that are refused after the gateway that counted
// their operations was killed.

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/tenants/key_digest.h"
#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time in ms in which the gateways find members and peers.
constexpr Milliseconds kStartTime{3000};
/// Time in ms for the last answers.
constexpr Milliseconds kDrainTime{1000};

auto Tenant(const std::string& name, double rate) -> TenantConfig {
  TenantConfig out;
  out.name = name;
  out.key_digests = {DigestOfKey("key of " + name)};
  out.limited = true;
  out.rate_per_s = rate;
  out.burst = rate;
  return out;
}

/// Clients of one tenant, one at each gateway.
struct Crowd {
  Crowd(GatewayFixture& fixture, std::size_t gateways, std::string name)
      : tenant(std::move(name)) {
    for (std::size_t n = 0; n < gateways; ++n) {
      clients.push_back(
          fixture.OpenClient(n, "db-bounded", "key of " + tenant));
    }
  }

  /// Each client sends a read.
  auto Send(GatewayFixture& fixture) -> void {
    for (const auto it : clients) {
      fixture.SendClientStatement(it, tenant + "-" + std::to_string(++sent),
                                  StatementKind::kRead, "x");
    }
  }

  std::string tenant;
  std::vector<std::size_t> clients;
  int sent = 0;
};

/// Returns the largest number of runs of a tenant in a window of 5 s.
auto MostInWindow(GatewayFixture& fixture, const std::string& tenant)
    -> std::size_t {
  std::vector<Time> times;
  for (const auto& it : fixture.group().runs()) {
    if (it.tenant == tenant) {
      times.push_back(it.at);
    }
  }
  std::size_t most = 0;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < times.size(); ++begin) {
    while (end < times.size() &&
           times[end] < times[begin] + Milliseconds(5000)) {
      ++end;
    }
    most = std::max(most, end - begin);
  }
  return most;
}

// Load: one tenant at eight times its limit, and a small one beside it.
TEST_CASE("A tenant beyond its limit is held to it over all gateways") {
  constexpr std::size_t kGateways = 4;
  GatewayFixture fixture({.gateways = kGateways,
                          .group = {.connections = 40},
                          .tenants = {Tenant("hot", 10), Tenant("small", 10)}});
  fixture.RunFor(kStartTime);
  Crowd hot(fixture, kGateways, "hot");
  Crowd small(fixture, 1, "small");
  fixture.RunFor(Milliseconds(100));
  for (int n = 0; n < 120; ++n) {
    hot.Send(fixture);
    if (n % 5 == 0) {
      small.Send(fixture);
    }
    fixture.RunFor(Milliseconds(50));
  }
  fixture.RunFor(kDrainTime);
  CHECK(static_cast<double>(MostInWindow(fixture, "hot")) <=
        (10 * 5 + 10) * 1.1 + 20);
  auto small_failed = 0;
  auto hot_served = 0;
  for (const auto& it : fixture.client_statements()) {
    const auto ok = it.answer && it.answer->IsOk();
    if (it.statement.id.starts_with("small")) {
      small_failed += ok ? 0 : 1;
    } else if (ok) {
      ++hot_served;
    } else {
      REQUIRE(it.answer);
      CHECK(it.answer->error == StatementError::kBusy);
      CHECK(it.answer->text.find("retry after") != std::string::npos);
    }
  }
  CHECK(small_failed == 0);
  // 0.95 of the rate, over 6 s.
  CHECK(hot_served >= 57);
  CHECK(fixture.FindViolations().empty());
}

TEST_CASE("Tenants are served on after the gateway that lends is killed") {
  constexpr std::size_t kGateways = 4;
  for (std::size_t killed = 0; killed < kGateways; ++killed) {
    CAPTURE(killed);
    GatewayFixture fixture({.gateways = kGateways,
                            .group = {.connections = 40},
                            .tenants = {Tenant("t", 200)}});
    fixture.RunFor(kStartTime);
    Crowd crowd(fixture, kGateways, "t");
    fixture.RunFor(Milliseconds(100));
    for (int n = 0; n < 20; ++n) {
      crowd.Send(fixture);
      fixture.RunFor(Milliseconds(50));
    }
    fixture.KillGateway(killed);
    fixture.RunFor(Milliseconds(500));
    const auto before = fixture.CountSuccessfulStatements();
    for (int n = 0; n < 20; ++n) {
      crowd.Send(fixture);
      fixture.RunFor(Milliseconds(50));
    }
    fixture.RunFor(kDrainTime);
    CHECK(fixture.CountSuccessfulStatements() - before == 20 * 3);
    CHECK(fixture.FindViolations().empty());
  }
}

TEST_CASE("A limit that is raised or removed holds at once") {
  GatewayFixture fixture({.gateways = 2,
                          .group = {.connections = 40},
                          .tenants = {Tenant("t", 0.2)}});
  fixture.RunFor(kStartTime);
  Crowd crowd(fixture, 2, "t");
  fixture.RunFor(Milliseconds(100));
  for (int n = 0; n < 60; ++n) {
    crowd.Send(fixture);
    fixture.RunFor(Milliseconds(20));
  }
  fixture.RunFor(kDrainTime);
  const auto before = fixture.CountSuccessfulStatements();
  CHECK(before <= 27);
  auto unlimited = Tenant("t", 0);
  unlimited.limited = false;
  fixture.ChangeTenants(2, {unlimited});
  fixture.RunFor(Milliseconds(200));
  for (int n = 0; n < 40; ++n) {
    crowd.Send(fixture);
    fixture.RunFor(Milliseconds(20));
  }
  fixture.RunFor(kDrainTime);
  CHECK(fixture.CountSuccessfulStatements() - before == 80);
  CHECK(fixture.FindViolations().empty());
}

}  // namespace
}  // namespace kingcuplock
