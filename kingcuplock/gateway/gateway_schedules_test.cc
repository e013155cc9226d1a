// Random schedules of clients and faults, checked against the members' record.

#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Seeds that CI runs; `KINGCUPLOCK_SCHEDULES` in the environment sets another
/// number.
constexpr int kSeeds = 120;

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed, bool fenced = true)
      : random_(seed),
        fenced_(fenced),
        world_({.seed = seed,
                .gateways = 3,
                .group = {.apply_lag = Milliseconds(Pick(5, 300)),
                          .fenced = fenced}}) {}

  auto Run() -> std::vector<std::string> {
    world_.RunFor(Milliseconds(1200));
    for (std::size_t n = 0; n < 9; ++n) {
      clients_.push_back(Open());
    }
    for (auto step = 0; step < 250; ++step) {
      Speak();
      if (Pick(0, 11) == 0) {
        Fault();
      }
      world_.RunFor(Milliseconds(Pick(1, 25)));
    }
    world_.RunFor(Milliseconds(2500));
    return world_.Check();
  }

  auto CountOk() const -> std::size_t { return world_.CountOk(); }

 private:
  struct Talker {
    std::size_t client = 0;
    bool in_transaction = false;
    std::size_t last = 0;
    bool spoke = false;
  };

  auto Pick(int low, int high) -> int {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

  auto Open() -> Talker {
    const char* databases[] = {"db-primary", "db-bounded", "db-session"};
    Talker it;
    it.client = world_.OpenClient(static_cast<std::size_t>(Pick(0, 2)),
                                  databases[Pick(0, 2)]);
    return it;
  }

  auto Speak() -> void {
    auto& it = clients_[static_cast<std::size_t>(Pick(0, 8))];
    if (it.spoke && world_.AnswerTo(it.last) == nullptr) {
      if (Pick(0, 40) == 0) {
        world_.CloseClient(it.client);
        it = Open();
      }
      return;
    }
    const auto id = fmt::format("s{}", ++last_id_);
    const auto kind = Pick(0, 9);
    it.spoke = true;
    const auto failed =
        it.in_transaction && world_.AnswerTo(it.last) != nullptr &&
        world_.AnswerTo(it.last)->state == TransactionState::kFailed;
    if (failed || (it.in_transaction && kind == 0)) {
      it.last = world_.Say(it.client, id, StatementKind::kRollback);
      it.in_transaction = false;
    } else if (it.in_transaction && kind < 4) {
      it.last = world_.Say(it.client, id, StatementKind::kCommit);
      it.in_transaction = false;
    } else if (!it.in_transaction && kind < 2) {
      it.last = world_.Say(it.client, id, StatementKind::kBegin);
      it.in_transaction = true;
    } else if (!it.in_transaction && kind == 2) {
      SessionStatement set;
      set.id = id;
      set.kind = StatementKind::kSetValue;
      set.name = "zone";
      set.arguments = std::to_string(Pick(1, 3));
      it.last = world_.Say(it.client, set);
    } else {
      it.last = world_.Say(
          it.client, id,
          kind < 6 ? StatementKind::kWrite : StatementKind::kRead, "a 1");
    }
  }

  auto Fault() -> void {
    const auto member = fmt::format("m{}", Pick(1, 3));
    const auto gateway = static_cast<std::size_t>(Pick(0, 2));
    switch (Pick(0, fenced_ ? 8 : 14)) {
      case 0:
        if (world_.group().IsUp("m1") && world_.group().IsUp("m2") &&
            world_.group().IsUp("m3")) {
          world_.CrashMember(member);
        }
        break;
      case 1:
        for (const auto* it : {"m1", "m2", "m3"}) {
          world_.RestartMember(it);
          world_.SetDark(it, false);
          world_.group().SetDeaf(it, false);
        }
        break;
      case 2:
        world_.SetDark(member, Pick(0, 1) == 0);
        break;
      case 3:
        world_.Cut(gateway, member, Pick(0, 1) == 0);
        break;
      case 4:
        world_.LoseAnswers(member, Pick(1, 3));
        break;
      case 5:
        world_.SetStoreUp(Pick(0, 1) == 0);
        break;
      case 6:
        world_.group().SetDeaf(member, Pick(0, 1) == 0);
        break;
      case 7:
        world_.LoseOrders(Pick(0, 1) == 0 ? std::optional<Duration>(
                                                Milliseconds(Pick(200, 3000)))
                                          : std::nullopt);
        break;
      case 9:
        world_.Freeze(gateway, Pick(0, 2) == 0);
        break;
      case 10:
        world_.CutPeers(gateway, (gateway + 1) % 3, Pick(0, 1) == 0);
        break;
      case 11:
        if (Pick(0, 1) == 0) {
          world_.RevokeLease(gateway);
        } else {
          world_.ServeAgain(gateway);
        }
        break;
      case 12:
        world_.LoseDemotions(Pick(0, 1) == 0);
        break;
      case 13:
        world_.group().SetApart(member, Pick(0, 1) == 0);
        break;
      case 14:
        world_.FreezeAtSend(gateway, Milliseconds(Pick(50, 3000)));
        break;
      default:
        Restart(gateway);
        break;
    }
  }

  auto Restart(std::size_t gateway) -> void {
    world_.KillGateway(gateway);
    world_.RunFor(Milliseconds(Pick(5, 400)));
    world_.StartGateway(gateway);
    for (auto& it : clients_) {
      it = Open();
    }
  }

  std::mt19937_64 random_;
  bool fenced_;
  GatewayFixture world_;
  std::vector<Talker> clients_;
  int last_id_ = 0;
};

auto RunSchedules(bool fenced) -> void {
  const auto* text = std::getenv("KINGCUPLOCK_SCHEDULES");
  const auto seeds = text == nullptr ? kSeeds : std::stoi(text);
  std::size_t ok = 0;
  for (auto seed = 1; seed <= seeds; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed), fenced);
    const auto broken = schedule.Run();
    CHECK_MESSAGE(broken.empty(), "seed " << seed << ": "
                                          << (broken.empty() ? "" : broken[0])
                                          << " and " << broken.size());
    ok += schedule.CountOk();
  }
  CHECK(ok > static_cast<std::size_t>(seeds) * 40);
}

TEST_CASE("Promises hold under random faults") {
  RunSchedules(true);
}

TEST_CASE("Promises hold under random faults where nothing is fenced") {
  RunSchedules(false);
}

}  // namespace
}  // namespace kingcuplock
