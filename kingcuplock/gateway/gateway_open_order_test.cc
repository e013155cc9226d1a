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

}  // namespace
}  // namespace kingcuplock
