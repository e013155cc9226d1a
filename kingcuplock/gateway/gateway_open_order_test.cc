// Promotions on a platform that does not check fencing tokens, while the holder
// or a member loses what it knew of them by a restart.

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1500};
/// Term of the first primary: above the terms that a holder without any
/// knowledge begins with.
constexpr std::int64_t kFirstTerm = 3;
/// Time in ms after which an order without an answer is given up.
constexpr Milliseconds kOrderTimeout{600};
/// Target in ms for the time without writes around a promotion that takes 1 s.
constexpr Milliseconds kGapTarget{1800};

auto UnfencedOptions() -> GatewayFixtureOptions {
  return {.gateways = 3, .group = {.first_term = kFirstTerm, .fenced = false}};
}

/// Writes through every gateway.
class Writers {
 public:
  explicit Writers(GatewayFixture& world) : world_(world) {}

  /// Sends one write to each gateway every 20 ms for `length`, or until `done`.
  /// Returns whether `done` returned true.
  auto Run(
      Duration length,
      const std::function<bool()>& done = [] { return false; }) -> bool {
    OpenClients();
    const auto end = world_.Now() + length;
    auto next = world_.Now();
    while (world_.Now() < end && !done()) {
      if (world_.Now() >= next) {
        next = world_.Now() + Milliseconds(20);
        for (const auto it : clients_) {
          world_.SendClientStatement(it, fmt::format("w{}", ++last_write_),
                                     StatementKind::kWrite, "a 1");
        }
      }
      world_.RunFor(Milliseconds(1));
    }
    return done();
  }

 private:
  auto OpenClients() -> void {
    clients_.clear();
    for (std::size_t n = 0; n < 3; ++n) {
      clients_.push_back(world_.OpenClient(n, "db-primary"));
    }
  }

  GatewayFixture& world_;
  std::vector<std::size_t> clients_;
  int last_write_ = 0;
};

auto CountEvents(const GatewayFixture& world, Event event) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(world.logs().begin(), world.logs().end(),
                    [event](const auto& it) { return it.event == event; }));
}

/// Crashes the primary, and kills the holder when it has ordered a promotion
/// that gets no answer and is carried out `late`. Returns the holder.
auto KillHolderWithOpenOrder(GatewayFixture& world,
                             Writers& writers,
                             Duration late) -> std::size_t {
  const auto holder = world.PromotionDutyHolder();
  world.LosePromotionAnswers(late);
  world.CrashMember("m1");
  REQUIRE(writers.Run(Milliseconds(5000),
                      [&] { return !world.OrderFencingTokens().empty(); }));
  world.LosePromotionAnswers(std::nullopt);
  world.KillGateway(holder);
  return holder;
}

// Guards against a pause without effect: a restarted holder does not know the
// term, the members follow a later one than it asks for, and their reports go
// on proving the old primary after its replacement.
TEST_CASE("A restarted holder that does not know the term pauses the members") {
  for (const auto back_after_ms : {0, 100, 200, 300}) {
    CAPTURE(back_after_ms);
    GatewayFixture world(UnfencedOptions());
    world.RunFor(kStart);
    Writers writers(world);
    writers.Run(Milliseconds(300));
    const auto holder = world.PromotionDutyHolder();
    world.KillGateway(holder);
    world.CrashMember("m1");
    world.RunFor(Milliseconds(500));
    world.StartGateway(holder);
    const auto paused = CountEvents(world, Event::kMemberPauseAnswered);
    REQUIRE(writers.Run(Milliseconds(12'000), [&] {
      return CountEvents(world, Event::kMemberPauseAnswered) > paused;
    }));
    writers.Run(Milliseconds(back_after_ms));
    world.RestartMember("m1");
    if (writers.Run(Milliseconds(5000),
                    [&] { return !world.OrderFencingTokens().empty(); })) {
      world.FreezeGateway(holder, true);
      writers.Run(Milliseconds(4000));
      world.FreezeGateway(holder, false);
    }
    writers.Run(Milliseconds(3000));
    CHECK(world.FindViolations().empty());
  }
}

// Guards against a replica that stays paused for good: a former holder's pause
// came after its successor had asked the members.
TEST_CASE("A pause that comes late ends") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  Writers writers(world);
  writers.Run(Milliseconds(3000));
  const auto session =
      world.group().Connect("m2", "g0", "m2", world.Now()).session;
  world.group().Handle(session,
                       {.kind = StatementKind::kPause,
                        .arguments = std::to_string(kFirstTerm + 1)},
                       world.Now());
  world.group().Close(session);
  REQUIRE(world.group().PausedTerm("m2") > 0);
  writers.Run(Milliseconds(4000));
  CHECK(world.group().PausedTerm("m2") == 0);
  CHECK(world.FindViolations().empty());
}

// Guards against an order that gets no answer and is carried out when it counts
// as void: the primary, which is back, is granted again and goes on serving
// after its replacement. Also guards against writes that wait until then.
TEST_CASE("A lost order is completed although the primary is back") {
  for (const auto back_after_ms : {0, 200, 700}) {
    CAPTURE(back_after_ms);
    GatewayFixture world(UnfencedOptions());
    world.RunFor(kStart);
    Writers writers(world);
    writers.Run(Milliseconds(300));
    world.LosePromotionAnswers(Milliseconds(9000));
    world.CrashMember("m1");
    REQUIRE(writers.Run(Milliseconds(3000),
                        [&] { return !world.OrderFencingTokens().empty(); }));
    world.LosePromotionAnswers(std::nullopt);
    writers.Run(Milliseconds(back_after_ms));
    world.RestartMember("m1");
    // The time of an order without an answer, and that of a promotion.
    writers.Run(kOrderTimeout + kGapTarget);
    const auto before = world.CountSuccessfulStatements();
    writers.Run(Milliseconds(200));
    CHECK(world.CountSuccessfulStatements() > before);
    writers.Run(Milliseconds(11'000));
    CHECK(world.group().CountPromotions() == 1);
    CHECK(world.FindViolations().empty());
  }
}

// Guards against a holder that takes over without knowing of an open order: the
// former holder was killed, and its next run confirms that it acts no more.
TEST_CASE("A restarted holder's open order is known to its successor") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  Writers writers(world);
  writers.Run(Milliseconds(300));
  const auto holder =
      KillHolderWithOpenOrder(world, writers, Milliseconds(4800));
  writers.Run(Milliseconds(2000));
  world.RestartMember("m1");
  writers.Run(Milliseconds(1300));
  world.StartGateway(holder);
  writers.Run(Milliseconds(12'000));
  CHECK(world.PromotionDutyHolder() != holder);
  CHECK(world.group().CountPromotions() > 0);
  CHECK(world.FindViolations().empty());
}

// Guards against a holder that forgets its own open order by a restart: the
// term that an earlier, planned stop left in the record is taken for the
// newest.
TEST_CASE("A restarted holder knows its open order after a release") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  Writers writers(world);
  for (std::size_t n = 0; n < 3; ++n) {
    world.StopGateway(n);
    writers.Run(Milliseconds(6500), [&] { return world.IsStopped(n); });
    world.KillGateway(n);
    world.RunFor(Milliseconds(200));
    world.StartGateway(n);
    writers.Run(Milliseconds(1500));
  }
  const auto holder =
      KillHolderWithOpenOrder(world, writers, Milliseconds(3500));
  writers.Run(Milliseconds(1200));
  world.RestartMember("m1");
  writers.Run(Milliseconds(300));
  world.StartGateway(holder);
  writers.Run(Milliseconds(12'000));
  CHECK(world.group().CountPromotions() > 0);
  CHECK(world.FindViolations().empty());
}

// Guards against waiting for an order that was never sent: the holder is killed
// while the members are paused, and the record shows that no order is open.
TEST_CASE("Members left paused without an order are resumed at once") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  Writers writers(world);
  writers.Run(Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  const auto paused = CountEvents(world, Event::kMemberPauseAnswered);
  // The order can't be recorded.
  world.SetStoreUp(false);
  world.CrashMember("m1");
  REQUIRE(writers.Run(Milliseconds(5000), [&] {
    return CountEvents(world, Event::kMemberPauseAnswered) > paused;
  }));
  world.KillGateway(holder);
  world.RunFor(Milliseconds(20));
  world.SetStoreUp(true);
  world.RestartMember("m1");
  world.RunFor(Milliseconds(100));
  world.StartGateway(holder);
  writers.Run(Milliseconds(1500));
  const auto client = world.OpenClient(holder, "db-primary");
  world.RunFor(Milliseconds(20));
  const auto write =
      world.SendClientStatement(client, "last", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(300));
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->IsOk());
  CHECK(world.group().PausedTerm("m2") == 0);
  CHECK(world.group().PausedTerm("m3") == 0);
  CHECK(world.FindViolations().empty());
}

// Guards against a duty that stays with a holder that stops, and against a
// successor that waits for an order that was only recorded.
TEST_CASE("A holder that stops before its order is sent leaves none open") {
  GatewayFixture world(UnfencedOptions());
  world.RunFor(kStart);
  Writers writers(world);
  writers.Run(Milliseconds(300));
  const auto holder = world.PromotionDutyHolder();
  const auto delayed = CountEvents(world, Event::kPromotionDelayed);
  // The next run of the holder never hears the primary and knows no term.
  world.CrashMember("m1");
  world.KillGateway(holder);
  world.RunFor(Milliseconds(50));
  world.StartGateway(holder);
  REQUIRE(writers.Run(Milliseconds(5000), [&] {
    return CountEvents(world, Event::kPromotionDelayed) > delayed;
  }));
  world.StopGateway(holder);
  writers.Run(Milliseconds(800));
  CHECK(world.PromotionDutyHolder() != holder);
  world.RestartMember("m1");
  writers.Run(Milliseconds(1200));
  const auto client = world.OpenClient((holder + 1) % 3, "db-primary");
  world.RunFor(Milliseconds(20));
  const auto write =
      world.SendClientStatement(client, "last", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(300));
  REQUIRE(world.FindAnswer(write) != nullptr);
  CHECK(world.FindAnswer(write)->IsOk());
  CHECK(world.FindViolations().empty());
}

// Guards against members that prove the old primary since they lost their pause
// by a restart: the holder knows of its open order, the other instances do not.
TEST_CASE("Restarted members prove no primary while an order is open") {
  for (const auto late_ms : {1500, 2500, 3500, 4500}) {
    CAPTURE(late_ms);
    GatewayFixture world(UnfencedOptions());
    world.RunFor(kStart);
    Writers writers(world);
    writers.Run(Milliseconds(300));
    world.LosePromotionAnswers(Milliseconds(late_ms));
    world.CrashMember("m1");
    REQUIRE(writers.Run(Milliseconds(5000),
                        [&] { return !world.OrderFencingTokens().empty(); }));
    for (const auto* it : {"m2", "m3"}) {
      world.CrashMember(it);
      writers.Run(Milliseconds(200));
      world.RestartMember("m1");
      world.RestartMember(it);
    }
    writers.Run(Milliseconds(8000));
    world.LosePromotionAnswers(std::nullopt);
    writers.Run(Milliseconds(4000));
    CHECK(world.group().CountPromotions() > 0);
    CHECK(world.FindViolations().empty());
  }
}

}  // namespace
}  // namespace kingcuplock
