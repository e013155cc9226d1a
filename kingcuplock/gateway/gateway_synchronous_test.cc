// Promotions of services with a synchronous replica: an order that is carried
// out late must find every acknowledged commit in its member's log.

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1500};
/// Time until an order without an answer is carried out.
constexpr Milliseconds kLate{2200};
/// Target in ms for the time without writes around a promotion that takes 1 s.
constexpr Milliseconds kGapTarget{1800};
/// The same where a promoted member or a holder is lost as well, whose lease
/// lasts 3 s.
constexpr Milliseconds kTakeoverTarget{4800};

/// Writes through every gateway to a group with a synchronous replica whose
/// primary is m1 and whose longest log is at first that of m2.
class SynchronousGroup {
 public:
  explicit SynchronousGroup(std::int64_t synchronous_replicas = 1)
      : world_({.gateways = 3,
                .group = {.synchronous_replicas = synchronous_replicas}}) {
    SetLags(Milliseconds(1), Milliseconds(40));
    world_.RunFor(kStart);
    Write(Milliseconds(300));
  }

  auto world() -> GatewayFixture& { return world_; }

  /// Sets the times until m2 and m3 have received a commit.
  auto SetLags(Duration second, Duration third) -> void {
    world_.group().SetReceiveLag("m2", second);
    world_.group().SetReceiveLag("m3", third);
  }

  /// Writes through each running gateway, one statement after the other, for
  /// `length` or until `done`. Returns the longest time without an acknowledged
  /// write.
  auto Write(
      Duration length,
      const std::function<bool()>& done = [] { return false; }) -> Duration {
    std::vector<std::pair<std::size_t, std::optional<std::size_t>>> clients;
    for (std::size_t n = 0; n < 3; ++n) {
      if (n != killed_ && !world_.IsStopped(n)) {
        clients.emplace_back(world_.OpenClient(n, "db-primary"), std::nullopt);
      }
    }
    auto last = world_.Now();
    Duration longest{};
    const auto end = world_.Now() + length;
    while (world_.Now() < end && !done()) {
      for (auto& [client, statement] : clients) {
        const auto* answer =
            statement ? world_.FindAnswer(*statement) : nullptr;
        if (answer != nullptr && answer->IsOk()) {
          last = world_.Now();
        }
        if (answer != nullptr || !statement) {
          statement = world_.SendClientStatement(
              client, fmt::format("w{}", ++last_write_), StatementKind::kWrite,
              "a 1");
        }
      }
      world_.RunFor(Milliseconds(10));
      longest = std::max<Duration>(longest, world_.Now() - last);
    }
    return longest;
  }

  /// Crashes the primary until one order was sent, which gets no answer and is
  /// carried out `late`. From then on m3 receives first.
  auto LeaveOrderOpen(Duration late) -> void {
    const auto sent = CountOrders();
    world_.LosePromotionAnswers(late);
    world_.CrashMember("m1");
    Write(Milliseconds(3000), [&] { return CountOrders() > sent; });
    REQUIRE(CountOrders() == sent + 1);
    world_.LosePromotionAnswers(std::nullopt);
    world_.RestartMember("m1");
    SetLags(Milliseconds(60), Milliseconds(1));
  }

  auto KillHolder() -> std::size_t {
    killed_ = world_.PromotionDutyHolder();
    world_.KillGateway(killed_);
    return killed_;
  }

  auto RestartKilled() -> void {
    world_.StartGateway(killed_);
    killed_ = 3;
  }

  auto CountOrders() const -> std::size_t {
    return world_.OrderFencingTokens().size();
  }

  /// Returns whether a replica doesn't receive.
  auto AnyPaused() -> bool {
    return std::any_of(world_.group().members().begin(),
                       world_.group().members().end(), [&](const auto& it) {
                         return world_.group().PausedTerm(it) >
                                world_.group().CurrentTerm(world_.Now());
                       });
  }

 private:
  GatewayFixture world_;
  std::size_t killed_ = 3;
  int last_write_ = 0;
};

// Guards against members that are resumed while an order is open: another
// replica receives commits, they are acknowledged, and the member of the order
// lacks them when it is carried out.
TEST_CASE("An order that is carried out late loses no acknowledged commit") {
  SynchronousGroup group;
  group.LeaveOrderOpen(kLate);
  CHECK(group.Write(Milliseconds(4000)) < kGapTarget);
  CHECK(group.world().group().CountPromotions() == 1);
  CHECK_FALSE(group.AnyPaused());
  CHECK(group.world().FindViolations().empty());
}

// Guards against a second order, for another member, while the first is open:
// both are carried out, and the second member lacks what was acknowledged
// between them.
TEST_CASE("Orders that all get no answer name the same member") {
  SynchronousGroup group;
  group.LeaveOrderOpen(kLate);
  group.world().LosePromotionAnswers(kLate);
  group.Write(Milliseconds(5000));
  group.world().LosePromotionAnswers(std::nullopt);
  CHECK(group.Write(Milliseconds(4000)) < kGapTarget);
  CHECK(group.world().group().CountPromotions() == 1);
  CHECK(group.world().FindViolations().empty());
}

// Guards against a successor, or the holder's next run, that doesn't know of an
// open order and resumes the members.
TEST_CASE("An order of a holder that was killed loses no commit") {
  for (const auto back_after_ms : {0, 200, 1000}) {
    CAPTURE(back_after_ms);
    SynchronousGroup group;
    group.LeaveOrderOpen(Milliseconds(4500));
    group.KillHolder();
    group.Write(Milliseconds(back_after_ms));
    group.RestartKilled();
    CHECK(group.Write(Milliseconds(9000)) < kTakeoverTarget);
    CHECK_FALSE(group.AnyPaused());
    CHECK(group.world().FindViolations().empty());
  }
}

// Guards against a release that clears the record of an order that is open.
TEST_CASE("An order of a holder that was stopped loses no commit") {
  SynchronousGroup group;
  group.LeaveOrderOpen(Milliseconds(4500));
  group.world().StopGateway(group.world().PromotionDutyHolder());
  CHECK(group.Write(Milliseconds(9000)) < kTakeoverTarget);
  CHECK_FALSE(group.AnyPaused());
  CHECK(group.world().FindViolations().empty());
}

// Guards against a planned hand-over whose order is lost: the primary leads on
// meanwhile, and all replicas but one stay paused.
TEST_CASE("A planned hand-over that is carried out late loses no commit") {
  SynchronousGroup group;
  const auto sent = group.CountOrders();
  group.world().LosePromotionAnswers(kLate);
  group.world().SetMemberLeaving("m1");
  group.Write(Milliseconds(1000), [&] { return group.CountOrders() > sent; });
  group.SetLags(Milliseconds(60), Milliseconds(1));
  group.Write(Milliseconds(4000));
  group.world().LosePromotionAnswers(std::nullopt);
  CHECK(group.Write(Milliseconds(4000)) < kGapTarget);
  CHECK(group.world().group().CountPromotions() == 1);
  CHECK_FALSE(group.AnyPaused());
  CHECK(group.world().FindViolations().empty());
}

// Guards against writes that wait for a member that can't be promoted: while
// its order is open no other one receives.
TEST_CASE("Writes go on when the member of an open order is lost") {
  SynchronousGroup group;
  group.LeaveOrderOpen(Milliseconds(8000));
  group.world().CrashMember("m2");
  CHECK(group.Write(Milliseconds(6000)) < kTakeoverTarget);
  group.world().RestartMember("m2");
  CHECK(group.Write(Milliseconds(6000)) < kGapTarget);
  CHECK_FALSE(group.AnyPaused());
  CHECK(group.world().FindViolations().empty());
}

// Guards against a restarted replica, whose pause is gone, and that receives
// ahead of the order's member.
TEST_CASE("A replica that restarts while an order is open is paused again") {
  SynchronousGroup group;
  group.LeaveOrderOpen(Milliseconds(3000));
  group.world().LosePromotionAnswers(Milliseconds(3000));
  group.Write(Milliseconds(300));
  group.world().RestartMember("m3");
  group.Write(Milliseconds(1500));
  CHECK(group.world().group().PausedTerm("m3") > 0);
  group.world().LosePromotionAnswers(std::nullopt);
  CHECK(group.Write(Milliseconds(5000)) < kGapTarget);
  CHECK_FALSE(group.AnyPaused());
  CHECK(group.world().FindViolations().empty());
}

// Guards against members that stay paused for good, as a pause of a former
// holder came late: without a replica that receives, nothing is acknowledged.
TEST_CASE("A pause that nobody remembers ends") {
  SynchronousGroup group;
  auto& world = group.world();
  for (const auto* it : {"m2", "m3"}) {
    const auto session =
        world.group().Connect(it, "g0", it, world.Now()).session;
    world.group().Handle(session,
                         {.kind = StatementKind::kPause, .arguments = "2"},
                         world.Now());
    world.group().Close(session);
  }
  REQUIRE(group.AnyPaused());
  group.Write(Milliseconds(8000));
  CHECK(group.Write(Milliseconds(2500)) < kGapTarget);
  CHECK_FALSE(group.AnyPaused());
  CHECK(world.FindViolations().empty());
}

// Guards against a late order that replaces a primary that is back without
// need, by a member that lags, where commits aren't acknowledged by replicas.
TEST_CASE("A primary that is back outdates the order to replace it") {
  SynchronousGroup group(0);
  group.LeaveOrderOpen(kLate);
  CHECK(group.Write(Milliseconds(4000)) < kGapTarget);
  CHECK(group.world().group().CountPromotions() == 0);
  CHECK(group.world().group().DiscardedCommits().empty());
  CHECK(group.world().FindViolations().empty());
}

// Guards against a successor that doesn't know of the order where commits
// aren't acknowledged by replicas: no member is paused that would tell it.
TEST_CASE("A successor outdates the order of a holder that was killed") {
  SynchronousGroup group(0);
  group.LeaveOrderOpen(Milliseconds(6000));
  group.KillHolder();
  group.Write(Milliseconds(200));
  group.RestartKilled();
  CHECK(group.Write(Milliseconds(9000)) < kTakeoverTarget);
  CHECK(group.world().group().CountPromotions() == 0);
  CHECK(group.world().FindViolations().empty());
}

}  // namespace
}  // namespace kingcuplock
