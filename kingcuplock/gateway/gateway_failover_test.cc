#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1200};
/// Target in ms for the time without writes, not counting the platform's own
/// promotion.
constexpr Milliseconds kGapTarget{800};
/// Time in ms that a promotion takes at the platform.
constexpr Milliseconds kPromotion{1000};

/// Writes through the first `gateways` gateways for `length`. Returns the
/// longest time without a successful write, counted from the call.
auto LongestWriteGap(GatewayFixture& world,
                     std::size_t gateways,
                     Duration length) -> Duration {
  std::vector<std::size_t> clients;
  for (std::size_t n = 0; n < gateways; ++n) {
    clients.push_back(world.OpenClient(n, "db-primary"));
  }
  const auto start = world.Now();
  const auto until = start + length;
  auto n = 0;
  while (world.Now() < until) {
    for (const auto client : clients) {
      world.SendClientStatement(client, "gap" + std::to_string(++n),
                                StatementKind::kWrite, "a");
    }
    world.RunFor(Milliseconds(20));
  }
  world.RunFor(Milliseconds(1000));
  std::vector<Time> served = {start};
  for (const auto& it : world.client_statements()) {
    if (it.answer && it.answer->IsOk() &&
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

TEST_CASE("A crashed primary is replaced within the target") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  world.CrashMember("m1");
  const auto gap = LongestWriteGap(world, 3, Milliseconds(3000));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(gap < kPromotion + kGapTarget);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A silent primary is replaced within the target") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  const auto client = world.OpenClient(0, "db-primary");
  world.SendClientStatement(client, "w0", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(100));
  world.SetUnresponsive("m1", true);
  const auto gap = LongestWriteGap(world, 3, Milliseconds(3000));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(gap < kPromotion + kGapTarget);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A primary that one gateway still reaches is not replaced") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  for (std::size_t n = 0; n < 2; ++n) {
    world.PartitionFromMember(n, "m1", true);
  }
  LongestWriteGap(world, 3, Milliseconds(2000));
  CHECK(world.group().CountPromotions() == 0);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A leaving primary is replaced without a gap in writes") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  world.SetMemberLeaving("m1");
  const auto gap = LongestWriteGap(world, 3, Milliseconds(3000));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(gap < Milliseconds(150));
  CHECK(world.FindViolations().empty());
}

TEST_CASE(
    "Fencing tokens increase from order to order, also when answers are lost") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  world.LosePromotionAnswers(Milliseconds(2500));
  world.CrashMember("m1");
  world.RunFor(Milliseconds(2000));
  world.LosePromotionAnswers(std::nullopt);
  LongestWriteGap(world, 3, Milliseconds(4000));
  const auto& fences = world.OrderFencingTokens();
  REQUIRE(fences.size() >= 2);
  CHECK(std::is_sorted(fences.begin(), fences.end()));
  CHECK(std::set(fences.begin(), fences.end()).size() == fences.size());
  CHECK(world.CountSuccessfulStatements() > 0);
  CHECK(world.FindViolations().empty());
}

TEST_CASE("A primary that crashes during a store outage is replaced") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  world.SetStoreUp(false);
  world.RunFor(Milliseconds(1000));
  world.CrashMember("m1");
  const auto gap = LongestWriteGap(world, 3, Milliseconds(3000));
  CHECK(world.group().CountPromotions() == 1);
  CHECK(gap < kPromotion + kGapTarget);
  CHECK(world.FindViolations().empty());
}

// Fails if a leaving primary is used until it is replaced.
TEST_CASE("A leaving primary without a successor gets no new work in the end") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  world.LosePromotionAnswers(std::chrono::hours(1));
  world.SetMemberLeaving("m1");
  const auto client = world.OpenClient(0, "db-primary");
  const auto early =
      world.SendClientStatement(client, "w1", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(60));
  REQUIRE(world.FindAnswer(early) != nullptr);
  CHECK(world.FindAnswer(early)->IsOk());
  world.RunFor(Milliseconds(4000));
  const auto late =
      world.SendClientStatement(client, "w2", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(600));
  REQUIRE(world.FindAnswer(late) != nullptr);
  CHECK(world.FindAnswer(late)->error == StatementError::kBusy);
  CHECK(world.group().commits().size() == 1);
}

// Entries that expired during a store outage return a little after its end.
TEST_CASE("A primary whose entry is not back yet is not replaced") {
  GatewayFixture world({.gateways = 2, .unregistered_member = "m1"});
  world.RunFor(Milliseconds(4000));
  world.RegisterMissingMember();
  world.RunFor(Milliseconds(1500));
  CHECK(world.group().CountPromotions() == 0);
  const auto client = world.OpenClient(0, "db-primary");
  const auto write =
      world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(60));
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->IsOk());
}

// The primary is down, and no write can be served in time.
TEST_CASE("Writes that can't be served in time are refused at once") {
  GatewayFixture world({.gateways = 1});
  world.RunFor(kStart);
  world.CrashMember("m1");
  world.RunFor(Milliseconds(20));
  const auto client = world.OpenClient(0, "db-primary");
  const auto write =
      world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(20));
  const auto* answer = world.FindAnswer(write);
  REQUIRE(answer != nullptr);
  CHECK(answer->error == StatementError::kBusy);
  CHECK(answer->text.find("retry after") != std::string::npos);
}

TEST_CASE("The duty moves to another instance when its holder dies") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  for (std::size_t n = 0; n < 2; ++n) {
    world.KillGateway(n);
  }
  world.RunFor(Milliseconds(4500));
  world.CrashMember("m1");
  const auto client = world.OpenClient(2, "db-primary");
  world.RunFor(Milliseconds(2500));
  const auto write =
      world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(100));
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->IsOk());
}

/// Time in ms that the loss of the duty's holder may add to a failover: the
/// target for a failover once more.
constexpr Milliseconds kHolderTarget{800};

// One of the three gateways holds the duty, and its lease stays valid for
// seconds. Fails if the others wait for the end of that lease.
TEST_CASE(
    "A holder lost with the primary adds at most one more failover target") {
  for (std::size_t lost = 0; lost < 3; ++lost) {
    CAPTURE(lost);
    GatewayFixture world({.gateways = 3});
    world.RunFor(kStart);
    world.KillGateway(lost);
    world.CrashMember("m1");
    const auto gap = LongestWriteGap(world, 3, Milliseconds(5000));
    CHECK(world.group().CountPromotions() == 1);
    CHECK(gap < kPromotion + kGapTarget + kHolderTarget);
    CHECK(world.FindViolations().empty());
  }
}

// The holder waits for the platform's answer, and the others get no news from
// it. Fails if its silence is mistaken for its loss.
TEST_CASE("A live holder keeps its duty during a long promotion") {
  GatewayFixture world(
      {.gateways = 3, .group = {.promotion_time = Milliseconds(4000)}});
  world.RunFor(kStart);
  world.LosePromotionAnswers(Milliseconds(2000));
  world.CrashMember("m1");
  world.RunFor(Milliseconds(9000));
  auto acquired = 0;
  for (const auto& it : world.logs()) {
    acquired += it.event == Event::kOwnerAcquired ? 1 : 0;
  }
  CHECK(acquired == 1);
  CHECK(world.FindViolations().empty());
}

// Each instance reaches the primary just before it crashes. Fails if reports
// from before the crash delay the promotion.
TEST_CASE("Contact before a refused connection does not delay a promotion") {
  GatewayFixture world({.gateways = 3});
  world.RunFor(kStart);
  LongestWriteGap(world, 3, Milliseconds(100));
  for (std::size_t n = 0; n < 3; ++n) {
    world.SendClientStatement(world.OpenClient(n, "db-primary"),
                              "last" + std::to_string(n), StatementKind::kWrite,
                              "a");
  }
  world.RunFor(Milliseconds(20));
  world.CrashMember("m1");
  // Well before the peers' last contact is too old to count.
  world.RunFor(Milliseconds(250));
  CHECK(world.OrderFencingTokens().size() == 1);
}

}  // namespace
}  // namespace kingcuplock
