// Tests with a platform that does not check fencing tokens: a replaced primary
// goes on serving until it is demoted or reaches its successor.

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1500};
/// Time in ms that a promotion takes at the platform's stand-in.
constexpr Milliseconds kPromotion{1000};
/// Target in ms for the time without writes, not counting that promotion.
constexpr Milliseconds kGapTarget{1000};

auto UnfencedOptions() -> GatewayFixtureOptions {
  return {.gateways = 3, .group = {.fenced = false}};
}

/// Writes and reads through every gateway except `without` for `length`.
/// Returns the longest time without a successful write.
auto RunTraffic(GatewayFixture& world,
                Duration length,
                std::size_t without = 99) -> Duration {
  std::vector<std::size_t> clients;
  for (std::size_t n = 0; n < 3; ++n) {
    if (n != without) {
      clients.push_back(world.OpenClient(n, "db-primary"));
      clients.push_back(world.OpenClient(n, "db-session"));
    }
  }
  const auto start = world.Now();
  auto n = static_cast<int>(world.client_statements().size());
  while (world.Now() < start + length) {
    for (const auto it : clients) {
      ++n;
      world.SendClientStatement(
          it, std::to_string(n),
          n % 3 == 0 ? StatementKind::kRead : StatementKind::kWrite, "a");
    }
    world.RunFor(Milliseconds(20));
  }
  world.RunFor(Milliseconds(1200));
  std::vector<Time> served{start};
  for (const auto& it : world.client_statements()) {
    if (it.answer && it.answer->IsOk() && it.answered >= start &&
        it.statement.kind == StatementKind::kWrite) {
      served.push_back(it.answered);
    }
  }
  std::sort(served.begin(), served.end());
  Duration gap{};
  for (std::size_t i = 1; i < served.size(); ++i) {
    gap = std::max<Duration>(gap, served[i] - served[i - 1]);
  }
  return gap;
}

/// Cuts the primary off from all gateways and the other members, so that it is
/// replaced but goes on serving. Returns the index of the holder.
auto CutOffPrimary(GatewayFixture& world) -> std::size_t {
  const auto holder = world.PromotionDutyHolder();
  world.group().SetIsolated("m1", true);
  for (std::size_t n = 0; n < 3; ++n) {
    world.PartitionFromMember(n, "m1", true);
  }
  return holder;
}

auto CountEvents(const GatewayFixture& world, Event event) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(world.logs().begin(), world.logs().end(),
                    [event](const auto& it) { return it.event == event; }));
}

TEST_CASE("Without faults, gateways send almost no statements of their own") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  const auto before = world.CountInternalStatements();
  RunTraffic(world, Milliseconds(2000));
  CHECK(world.FindViolations().empty());
  CHECK(world.CountInternalStatements() - before < 30);
  CHECK(CountEvents(world, Event::kPrimaryGrantMissing) == 0);
}

TEST_CASE("A crashed primary is replaced within the target") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  world.CrashMember("m1");
  CHECK(RunTraffic(world, Milliseconds(4000)) < kPromotion + kGapTarget);
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A replaced primary that goes on serving gets no write and no read") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  CutOffPrimary(world);
  RunTraffic(world, Milliseconds(3000));
  REQUIRE(world.group().CountPromotions() == 1);
  // All gateways reach it again while it still serves.
  world.LoseDemotions(true);
  for (std::size_t n = 0; n < 3; ++n) {
    world.PartitionFromMember(n, "m1", false);
  }
  REQUIRE(world.group().ActsAsPrimary("m1", world.Now()));
  RunTraffic(world, Milliseconds(2000));
  CHECK(world.group().DivergentCommits().empty());
  CHECK(world.FindViolations().empty());
  world.LoseDemotions(false);
  world.RunFor(Milliseconds(1000));
  CHECK_FALSE(world.group().ActsAsPrimary("m1", world.Now()));
}

TEST_CASE(
    "An instance that reaches only the replaced primary does not use it") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  const auto partitioned = (holder + 1) % 3;
  CutOffPrimary(world);
  world.PartitionFromMember(partitioned, "m1", false);
  world.PartitionFromMember(partitioned, "m2", true);
  world.PartitionFromMember(partitioned, "m3", true);
  for (std::size_t n = 0; n < 3; ++n) {
    world.PartitionPeers(partitioned, n, true);
  }
  RunTraffic(world, Milliseconds(4000));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A transaction begun before a promotion is not committed") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  const auto partitioned = (world.PromotionDutyHolder() + 1) % 3;
  const auto client = world.OpenClient(partitioned, "db-primary");
  world.SendClientStatement(client, "b", StatementKind::kBegin);
  world.RunFor(Milliseconds(20));
  world.SendClientStatement(client, "w", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(50));
  CutOffPrimary(world);
  world.PartitionFromMember(partitioned, "m1", false);
  for (std::size_t n = 0; n < 3; ++n) {
    world.PartitionPeers(partitioned, n, true);
  }
  RunTraffic(world, Milliseconds(3000), partitioned);
  REQUIRE(world.group().CountPromotions() == 1);
  REQUIRE(world.group().ActsAsPrimary("m1", world.Now()));
  const auto commit =
      world.SendClientStatement(client, "c", StatementKind::kCommit);
  world.RunFor(Milliseconds(400));
  const auto* answer = world.FindAnswer(commit);
  REQUIRE(answer != nullptr);
  CHECK(answer->error == StatementError::kAborted);
  CHECK(world.group().DivergentCommits().empty());
  CHECK(world.FindViolations().empty());
}

TEST_CASE(
    "An instance frozen before it sends a statement does not send it later") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto frozen = (world.PromotionDutyHolder() + 1) % 3;
  const auto client = world.OpenClient(frozen, "db-primary");
  world.RunFor(Milliseconds(50));
  world.FreezeBeforeNextSend(frozen, Milliseconds(2600));
  world.SendClientStatement(client, "w", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(10));
  CutOffPrimary(world);
  world.PartitionFromMember(frozen, "m1", false);
  RunTraffic(world, Milliseconds(3500), frozen);
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.group().DivergentCommits().empty());
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A holder frozen before it sends an order does not send it later") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  world.FreezeBeforeNextSend(holder, Milliseconds(9000));
  // The order is the next thing that it sends with a time limit.
  world.CrashMember("m1");
  RunTraffic(world, Milliseconds(12'000), holder);
  const auto& fences = world.OrderFencingTokens();
  REQUIRE_FALSE(fences.empty());
  CHECK(std::is_sorted(fences.begin(), fences.end()));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.FindViolations().empty());
}

TEST_CASE(
    "A holder unaware of its lost lease does not act beside the next holder") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  world.RevokeStoreAccess(holder);
  for (std::size_t n = 0; n < 3; ++n) {
    if (n != holder) {
      world.PartitionPeers(holder, n, true);
    }
  }
  world.RunFor(Milliseconds(600));
  world.CrashMember("m1");
  RunTraffic(world, Milliseconds(7000));
  CHECK(world.PromotionDutyHolder() != holder);
  const auto& fences = world.OrderFencingTokens();
  CHECK(std::is_sorted(fences.begin(), fences.end()));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("Writes continue while the holder is frozen") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  world.FreezeGateway(holder, true);
  CHECK(RunTraffic(world, Milliseconds(3000), holder) < Milliseconds(800));
  world.FreezeGateway(holder, false);
  RunTraffic(world, Milliseconds(1000));
  CHECK(world.group().CountPromotions() == 0);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("Writes continue during a store outage longer than a lease") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  world.SetStoreUp(false);
  CHECK(RunTraffic(world, Milliseconds(7000)) < Milliseconds(800));
  CHECK(world.FindViolations().empty());
}

TEST_CASE("Writes continue while a replica is silent") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  world.SetUnresponsive("m3", true);
  CHECK(RunTraffic(world, Milliseconds(2000)) < Milliseconds(800));
  CHECK(world.group().CountPromotions() == 0);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A restarted holder keeps its duty under the same name") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  world.KillGateway(holder);
  world.RunFor(Milliseconds(100));
  world.StartGateway(holder);
  world.RunFor(Milliseconds(600));
  CHECK(world.PromotionDutyHolder() == holder);
  world.CrashMember("m1");
  CHECK(RunTraffic(world, Milliseconds(4000)) < kPromotion + kGapTarget);
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("No acknowledged write is lost when a primary leaves") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  world.SetMemberLeaving("m1");
  CHECK(RunTraffic(world, Milliseconds(4000)) < kPromotion + kGapTarget);
  CHECK(world.group().CountPromotions() == 1);
  CHECK(world.FindViolations().empty());
  for (const auto& it : world.client_statements()) {
    const auto acknowledged = it.answer && it.answer->IsOk() &&
                              it.statement.kind == StatementKind::kWrite;
    const auto kept = [&](const StatementCommit& commit) {
      return std::find(commit.writes.begin(), commit.writes.end(),
                       it.statement.id) != commit.writes.end();
    };
    if (acknowledged) {
      CHECK(std::any_of(world.group().commits().begin(),
                        world.group().commits().end(), kept));
    }
  }
}

TEST_CASE(
    "A demoted primary that is the only member left becomes primary again") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  world.SetMemberLeaving("m1");
  world.RunFor(Milliseconds(60));
  world.CrashMember("m2");
  world.CrashMember("m3");
  RunTraffic(world, Milliseconds(5000));
  CHECK(world.group().ActsAsPrimary("m1", world.Now()));
  CHECK(world.FindViolations().empty());
}

TEST_CASE(
    "No other member is ordered while an order may still be carried out") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  world.LosePromotionAnswers(Milliseconds(2500));
  world.CrashMember("m1");
  world.RunFor(Milliseconds(1500));
  world.LosePromotionAnswers(std::nullopt);
  world.RestartMember("m1");
  RunTraffic(world, Milliseconds(6000));
  CHECK(world.group().CountPromotions() <= 2);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A planned stop hands the duty over while a statement is in flight") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  const auto client = world.OpenClient(holder, "db-primary");
  world.RunFor(Milliseconds(50));
  const auto write =
      world.SendClientStatement(client, "last", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(1));
  world.StopGateway(holder);
  CHECK(RunTraffic(world, Milliseconds(2000), holder) < Milliseconds(500));
  CHECK(world.PromotionDutyHolder() != holder);
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->IsOk());
  CHECK(world.FindViolations().empty());
}

TEST_CASE(
    "An instance that does not reach the primary still reads from replicas") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  RunTraffic(world, Milliseconds(300));
  const auto cut_off = (world.PromotionDutyHolder() + 1) % 3;
  world.PartitionFromMember(cut_off, "m1", true);
  world.RunFor(Milliseconds(2500));
  const auto client = world.OpenClient(cut_off, "db-bounded");
  world.RunFor(Milliseconds(20));
  const auto read =
      world.SendClientStatement(client, "r", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(200));
  REQUIRE(world.FindAnswer(read) != nullptr);
  CHECK(world.FindAnswer(read)->IsOk());
  CHECK(world.group().CountPromotions() == 0);
  CHECK(world.FindViolations().empty());
}

}  // namespace
}  // namespace kingcuplock
