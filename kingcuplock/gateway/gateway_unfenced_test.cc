// A platform that checks no fencing tokens, where a replaced primary goes on
// until it is demoted or reaches its successor.

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1500};
/// The platform's promotion in the stand-in.
constexpr Milliseconds kPromotion{1000};
/// Target for the time without writes beside it.
constexpr Milliseconds kGapTarget{1000};

auto Options() -> GatewayFixtureOptions {
  return {.gateways = 3, .group = {.fenced = false}};
}

/// Writes and reads through every gateway for `length`; returns the longest
/// time without a write that had success.
auto Play(GatewayFixture& world, Duration length, std::size_t without = 99)
    -> Duration {
  std::vector<std::size_t> clients;
  for (std::size_t n = 0; n < 3; ++n) {
    if (n != without) {
      clients.push_back(world.OpenClient(n, "db-primary"));
      clients.push_back(world.OpenClient(n, "db-session"));
    }
  }
  const auto start = world.Now();
  auto n = static_cast<int>(world.said().size());
  while (world.Now() < start + length) {
    for (const auto it : clients) {
      ++n;
      world.Say(it, std::to_string(n),
                n % 3 == 0 ? StatementKind::kRead : StatementKind::kWrite, "a");
    }
    world.RunFor(Milliseconds(20));
  }
  world.RunFor(Milliseconds(1200));
  std::vector<Time> served{start};
  for (const auto& it : world.said()) {
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

/// Cuts the primary off from the holder and the other members, so that it is
/// replaced and goes on.
auto ReplaceUnheard(GatewayFixture& world) -> std::size_t {
  const auto holder = world.Holder();
  world.group().SetApart("m1", true);
  for (std::size_t n = 0; n < 3; ++n) {
    world.Cut(n, "m1", true);
  }
  return holder;
}

auto Count(const GatewayFixture& world, Event event) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(world.logs().begin(), world.logs().end(),
                    [event](const auto& it) { return it.event == event; }));
}

TEST_CASE("A calm group is served without statements of the gateway's own") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  const auto before = world.OwnStatements();
  Play(world, Milliseconds(2000));
  CHECK(world.Check().empty());
  CHECK(world.OwnStatements() - before < 30);
  CHECK(Count(world, Event::kGrantMissing) == 0);
}

TEST_CASE("A crashed primary is replaced within the target") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  world.CrashMember("m1");
  CHECK(Play(world, Milliseconds(4000)) < kPromotion + kGapTarget);
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
}

TEST_CASE("A replaced primary that goes on gets no write and no read") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  ReplaceUnheard(world);
  Play(world, Milliseconds(3000));
  REQUIRE(world.group().Promotions() == 1);
  // Everybody reaches it again, and it still goes on.
  world.LoseDemotions(true);
  for (std::size_t n = 0; n < 3; ++n) {
    world.Cut(n, "m1", false);
  }
  REQUIRE(world.group().Leads("m1", world.Now()));
  Play(world, Milliseconds(2000));
  CHECK(world.group().Strays().empty());
  CHECK(world.Check().empty());
  world.LoseDemotions(false);
  world.RunFor(Milliseconds(1000));
  CHECK_FALSE(world.group().Leads("m1", world.Now()));
}

TEST_CASE("An instance that only reaches the old primary does not use it") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto holder = world.Holder();
  const auto lonely = (holder + 1) % 3;
  ReplaceUnheard(world);
  world.Cut(lonely, "m1", false);
  world.Cut(lonely, "m2", true);
  world.Cut(lonely, "m3", true);
  for (std::size_t n = 0; n < 3; ++n) {
    world.CutPeers(lonely, n, true);
  }
  Play(world, Milliseconds(4000));
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
}

TEST_CASE("A transaction that a promotion overtook is not committed") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  const auto lonely = (world.Holder() + 1) % 3;
  const auto client = world.OpenClient(lonely, "db-primary");
  world.Say(client, "b", StatementKind::kBegin);
  world.RunFor(Milliseconds(20));
  world.Say(client, "w", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(50));
  ReplaceUnheard(world);
  world.Cut(lonely, "m1", false);
  for (std::size_t n = 0; n < 3; ++n) {
    world.CutPeers(lonely, n, true);
  }
  Play(world, Milliseconds(3000), lonely);
  REQUIRE(world.group().Promotions() == 1);
  REQUIRE(world.group().Leads("m1", world.Now()));
  const auto commit = world.Say(client, "c", StatementKind::kCommit);
  world.RunFor(Milliseconds(400));
  const auto* answer = world.AnswerTo(commit);
  REQUIRE(answer != nullptr);
  CHECK(answer->error == StatementError::kAborted);
  CHECK(world.group().Strays().empty());
  CHECK(world.Check().empty());
}

TEST_CASE("A frozen instance does not send what it decided before") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto frozen = (world.Holder() + 1) % 3;
  const auto client = world.OpenClient(frozen, "db-primary");
  world.RunFor(Milliseconds(50));
  world.FreezeAtSend(frozen, Milliseconds(2600));
  world.Say(client, "w", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(10));
  ReplaceUnheard(world);
  world.Cut(frozen, "m1", false);
  Play(world, Milliseconds(3500), frozen);
  CHECK(world.group().Promotions() == 1);
  CHECK(world.group().Strays().empty());
  CHECK(world.Check().empty());
}

TEST_CASE("A holder that slept before its order does not send it") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto holder = world.Holder();
  world.FreezeAtSend(holder, Milliseconds(9000));
  // The next thing it sends under a bound is the order.
  world.CrashMember("m1");
  Play(world, Milliseconds(12'000), holder);
  const auto& fences = world.Fences();
  REQUIRE_FALSE(fences.empty());
  CHECK(std::is_sorted(fences.begin(), fences.end()));
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
}

TEST_CASE(
    "A holder whose lease was taken unseen does not act beside the next") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto holder = world.Holder();
  world.RevokeLease(holder);
  for (std::size_t n = 0; n < 3; ++n) {
    if (n != holder) {
      world.CutPeers(holder, n, true);
    }
  }
  world.RunFor(Milliseconds(600));
  world.CrashMember("m1");
  Play(world, Milliseconds(7000));
  CHECK(world.Holder() != holder);
  const auto& fences = world.Fences();
  CHECK(std::is_sorted(fences.begin(), fences.end()));
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
}

TEST_CASE("Work goes on while the holder is lost") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto holder = world.Holder();
  world.Freeze(holder, true);
  CHECK(Play(world, Milliseconds(3000), holder) < Milliseconds(800));
  world.Freeze(holder, false);
  Play(world, Milliseconds(1000));
  CHECK(world.group().Promotions() == 0);
  CHECK(world.Check().empty());
}

TEST_CASE("Work goes on while the store is away longer than a lease") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  world.SetStoreUp(false);
  CHECK(Play(world, Milliseconds(7000)) < Milliseconds(800));
  CHECK(world.Check().empty());
}

TEST_CASE("Work goes on while a replica is dark") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  world.SetDark("m3", true);
  CHECK(Play(world, Milliseconds(2000)) < Milliseconds(800));
  CHECK(world.group().Promotions() == 0);
  CHECK(world.Check().empty());
}

TEST_CASE("A restarted holder acts at once under its old name") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto holder = world.Holder();
  world.KillGateway(holder);
  world.RunFor(Milliseconds(100));
  world.StartGateway(holder);
  world.RunFor(Milliseconds(600));
  CHECK(world.Holder() == holder);
  world.CrashMember("m1");
  CHECK(Play(world, Milliseconds(4000)) < kPromotion + kGapTarget);
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
}

TEST_CASE("A leaving primary loses no write that was acknowledged") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  world.SetLeaving("m1");
  CHECK(Play(world, Milliseconds(4000)) < kPromotion + kGapTarget);
  CHECK(world.group().Promotions() == 1);
  CHECK(world.Check().empty());
  for (const auto& it : world.said()) {
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

TEST_CASE("A demoted primary that is the only member left leads again") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  world.SetLeaving("m1");
  world.RunFor(Milliseconds(60));
  world.CrashMember("m2");
  world.CrashMember("m3");
  Play(world, Milliseconds(5000));
  CHECK(world.group().Leads("m1", world.Now()));
  CHECK(world.Check().empty());
}

TEST_CASE("While an order may come late, nobody else is ordered") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  world.LoseOrders(Milliseconds(2500));
  world.CrashMember("m1");
  world.RunFor(Milliseconds(1500));
  world.LoseOrders(std::nullopt);
  world.RestartMember("m1");
  Play(world, Milliseconds(6000));
  CHECK(world.group().Promotions() <= 2);
  CHECK(world.Check().empty());
}

TEST_CASE("A planned stop hands the duty over while statements wait for it") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto holder = world.Holder();
  const auto client = world.OpenClient(holder, "db-primary");
  world.RunFor(Milliseconds(50));
  const auto write = world.Say(client, "last", StatementKind::kWrite, "a");
  world.RunFor(Milliseconds(1));
  world.StopGateway(holder);
  CHECK(Play(world, Milliseconds(2000), holder) < Milliseconds(500));
  CHECK(world.Holder() != holder);
  REQUIRE(world.AnswerTo(write) != nullptr);
  CHECK(world.AnswerTo(write)->IsOk());
  CHECK(world.Check().empty());
}

TEST_CASE("Replicas go on where an instance does not reach the primary") {
  GatewayFixture world(Options());
  world.RunFor(kStart);
  Play(world, Milliseconds(300));
  const auto apart = (world.Holder() + 1) % 3;
  world.Cut(apart, "m1", true);
  world.RunFor(Milliseconds(2500));
  const auto client = world.OpenClient(apart, "db-bounded");
  world.RunFor(Milliseconds(20));
  const auto read = world.Say(client, "r", StatementKind::kRead, "a");
  world.RunFor(Milliseconds(200));
  REQUIRE(world.AnswerTo(read) != nullptr);
  CHECK(world.AnswerTo(read)->IsOk());
  CHECK(world.group().Promotions() == 0);
  CHECK(world.Check().empty());
}

}  // namespace
}  // namespace kingcuplock
