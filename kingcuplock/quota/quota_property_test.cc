// Guards against tenants that get more than their limit while instances can't
// hear each other, are killed or return, or while the limit changes, and
// against refusals below the limit. Random schedules; a window slides over what
// all instances admitted. `QUOTA_SEEDS=10000` plays more of them.

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/quota/quota_exchange.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kLeaseTime{3000};
/// Time by which an instance takes its own lease to end earlier.
constexpr Milliseconds kLeaseMargin{200};
/// Interval of heartbeats, which tell who reaches the store. A change is told
/// at once.
constexpr Milliseconds kHeartbeat{2500};
constexpr Milliseconds kMessageDelay{2};
constexpr Milliseconds kStoreDelay{20};

/// Faults of a schedule.
struct Faults {
  bool cuts = false;
  bool store_cuts = false;
  bool kills = false;
  bool limits = false;
};

/// Instances with their links and registrations, on virtual time.
class Deployment {
 public:
  Deployment(std::size_t n, QuotaLimits limits, std::uint64_t seed)
      : limits_(limits), random_(seed), nodes_(n) {
    for (std::size_t it = 0; it < n; ++it) {
      nodes_[it].name = "gw-" + std::to_string(it);
    }
  }

  auto SetTenants(std::vector<TenantConfig> tenants) -> void {
    tenants_ = std::move(tenants);
    for (auto& it : nodes_) {
      if (it.quotas) {
        it.quotas->SetTenants(tenants_);
      }
    }
  }

  auto StartAll() -> void {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      Start(n);
    }
    RunFor(Milliseconds(1500));
  }

  auto Start(std::size_t n) -> void {
    auto& node = nodes_[n];
    if (node.quotas) {
      return;
    }
    ++node.run;
    node.own_contact = Time{};
    node.list.clear();
    node.told_reaches = false;
    node.told_contact = Time{};
    node.told_hash = 0;
    node.told_lends = false;
    node.told_store = timers_.Now();
    QuotaExchangeCallbacks callbacks;
    callbacks.send = [this, n](const std::string& to, const QuotaWanted& it) {
      return Send(n, Index(to), it);
    };
    callbacks.peer_state = [this, n](const std::string& it) {
      const auto other = Index(it);
      if (cut_.contains(Pair(n, other))) {
        return PeerState::kUnreachable;
      }
      return nodes_[other].quotas ? PeerState::kUp : PeerState::kGone;
    };
    callbacks.last_store_contact = [this, n] {
      return ReachesStore(n) ? timers_.Now() : nodes_[n].own_contact;
    };
    callbacks.is_registered = [this, n] {
      return timers_.Now() - nodes_[n].own_contact < kLeaseTime - kLeaseMargin;
    };
    callbacks.peers = [this, n] {
      std::vector<QuotaPeer> out;
      for (const auto& it : nodes_) {
        if (IsUpFor(n, it)) {
          out.push_back({it.name, it.told_reaches, it.told_contact,
                         it.told_lends, it.told_hash});
        }
      }
      return out;
    };
    node.quotas = std::make_unique<QuotaExchange>(node.name, limits_, timers_,
                                                  std::move(callbacks));
    node.quotas->SetTenants(tenants_);
    Register();
  }

  auto Kill(std::size_t n) -> void {
    nodes_[n].quotas.reset();
    ++nodes_[n].run;
  }

  auto Cut(std::size_t a, std::size_t b, bool cut) -> void {
    if (cut) {
      cut_.insert(Pair(a, b));
    } else {
      cut_.erase(Pair(a, b));
    }
  }

  auto CutFromStore(std::size_t n, bool cut) -> void {
    if (cut) {
      store_cut_.insert(n);
    } else {
      store_cut_.erase(n);
    }
  }

  auto SetStoreUp(bool up) -> void { store_up_ = up; }

  /// Begins an operation; counts what becomes of it.
  auto Begin(std::size_t n, const std::string& tenant) -> void {
    ++offered;
    if (!nodes_[n].quotas) {
      return;
    }
    nodes_[n].quotas->Begin(tenant, [this, tenant](const QuotaDecision& it) {
      if (it.admitted) {
        admitted[tenant].push_back(timers_.Now());
      } else {
        ++refused;
      }
    });
  }

  auto RunFor(Duration duration) -> void {
    const auto until = timers_.Now() + duration;
    while (timers_.Now() < until) {
      timers_.AdvanceTo(timers_.Now() + Milliseconds(1));
      if (timers_.Now().time_since_epoch() % Milliseconds(20) ==
          Duration::zero()) {
        Register();
      }
    }
  }

  auto Now() const -> Time { return timers_.Now(); }
  auto random() -> std::mt19937_64& { return random_; }
  auto size() const -> std::size_t { return nodes_.size(); }

  std::map<std::string, std::vector<Time>> admitted;
  std::int64_t refused = 0;
  std::int64_t offered = 0;

 private:
  struct Node {
    std::string name;
    std::unique_ptr<QuotaExchange> quotas;
    int run = 0;
    /// When it renewed its registration last, as the store and as its present
    /// run know.
    Time last_contact{};
    Time own_contact{};
    /// When its last heartbeat was sent, and what that said.
    Time told_store{};
    bool told_reaches = true;
    Time told_contact{};
    bool told_lends = false;
    std::int64_t told_hash = 0;
    std::vector<std::string> list;
  };

  static auto Pair(std::size_t a, std::size_t b)
      -> std::pair<std::size_t, std::size_t> {
    return std::minmax(a, b);
  }
  auto Index(const std::string& name) const -> std::size_t {
    return std::stoul(name.substr(3));
  }
  auto IsUpFor(std::size_t n, const Node& other) const -> bool {
    return other.quotas && other.name != nodes_[n].name &&
           !cut_.contains(Pair(n, Index(other.name)));
  }
  auto ReachesStore(std::size_t n) const -> bool {
    return store_up_ && !store_cut_.contains(n);
  }

  // Renews registrations and delivers the list to those who reach the store.
  auto Register() -> void {
    std::vector<std::string> list;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      auto& it = nodes_[n];
      if (it.quotas && ReachesStore(n)) {
        it.last_contact = timers_.Now();
        it.own_contact = timers_.Now();
      }
      if (it.last_contact != Time{} &&
          timers_.Now() - it.last_contact < kLeaseTime) {
        list.push_back(it.name);
      }
      if (it.quotas && (timers_.Now() - it.told_store >= kHeartbeat ||
                        it.told_reaches != ReachesStore(n) ||
                        it.told_lends != it.quotas->MayLend() ||
                        it.told_hash != it.quotas->LendersHash())) {
        it.told_store = timers_.Now();
        it.told_reaches = ReachesStore(n);
        it.told_contact = it.own_contact;
        it.told_hash = it.quotas->LendersHash();
        it.told_lends = it.quotas->MayLend();
      }
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n].quotas || !ReachesStore(n) || nodes_[n].list == list) {
        continue;
      }
      nodes_[n].list = list;
      timers_.After(kStoreDelay, [this, n, run = nodes_[n].run, list] {
        if (nodes_[n].quotas && nodes_[n].run == run) {
          nodes_[n].quotas->SetInstances(list);
        }
      });
    }
  }

  auto Send(std::size_t from, std::size_t to, const QuotaWanted& wanted)
      -> bool {
    if (cut_.contains(Pair(from, to)) || !nodes_[to].quotas) {
      return false;
    }
    timers_.After(
        kMessageDelay, [this, from, to, wanted, run = nodes_[to].run] {
          if (cut_.contains(Pair(from, to)) || !nodes_[to].quotas ||
              nodes_[to].run != run) {
            return;
          }
          nodes_[to].quotas->OnWanted(
              wanted, [this, from, to,
                       run = nodes_[from].run](const QuotaGiven& given) {
                timers_.After(kMessageDelay, [this, from, to, given, run] {
                  if (!cut_.contains(Pair(from, to)) && nodes_[from].quotas &&
                      nodes_[from].run == run) {
                    nodes_[from].quotas->OnGiven(given);
                  }
                });
              });
        });
    return true;
  }

  QuotaLimits limits_;
  std::mt19937_64 random_;
  TimerService timers_{Time{Milliseconds(1'000'000)}};
  std::vector<Node> nodes_;
  std::vector<TenantConfig> tenants_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  std::set<std::size_t> store_cut_;
  bool store_up_ = true;
};

auto Limited(std::string name, double rate, double burst) -> TenantConfig {
  TenantConfig out;
  out.name = std::move(name);
  out.limited = true;
  out.rate_per_s = rate;
  out.burst = burst;
  return out;
}

/// Returns the largest number of admissions in a window of `length` that begins
/// in [from, until).
auto MostInWindow(const std::vector<Time>& times,
                  Duration length,
                  Time from,
                  Time until) -> std::size_t {
  std::size_t most = 0;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < times.size(); ++begin) {
    end = std::max(end, begin);
    while (end < times.size() && times[end] < times[begin] + length) {
      ++end;
    }
    if (times[begin] >= from && times[begin] < until) {
      most = std::max(most, end - begin);
    }
  }
  return most;
}

auto Allowed(const TenantConfig& it, const QuotaLimits& limits) -> double {
  const auto window_s = std::chrono::duration<double>(limits.window).count();
  return (it.rate_per_s * window_s + it.burst) * (1 + limits.overshoot) +
         limits.slack;
}

/// Plays 25 s in which `demand` operations a second of the tenant arrive.
auto Play(Deployment& world,
          const TenantConfig& tenant,
          double demand,
          const Faults& faults,
          Duration duration = std::chrono::seconds(25)) -> void {
  auto& random = world.random();
  const auto n = world.size();
  const auto pick = [&] { return random() % n; };
  const auto until = world.Now() + duration;
  std::poisson_distribution<int> arrivals(demand / 200);
  std::vector<std::pair<Time, std::function<void()>>> undo;
  while (world.Now() < until) {
    for (auto k = arrivals(random); k > 0; --k) {
      world.Begin(pick(), tenant.name);
    }
    world.RunFor(Milliseconds(5));
    std::erase_if(undo, [&](auto& it) {
      if (it.first <= world.Now()) {
        it.second();
        return true;
      }
      return false;
    });
    const auto chance = [&](int one_in) {
      return random() % static_cast<unsigned>(one_in) == 0;
    };
    const auto later = [&](std::function<void()> action) {
      undo.emplace_back(world.Now() + Milliseconds(300 + random() % 8000),
                        std::move(action));
    };
    if (faults.cuts && chance(400)) {
      const auto a = pick();
      for (std::size_t b = 0; b < n; ++b) {
        if (a != b && chance(2)) {
          world.Cut(a, b, true);
          later([&world, a, b] { world.Cut(a, b, false); });
        }
      }
    }
    if (faults.store_cuts && chance(500)) {
      for (std::size_t a = 0; a < n; ++a) {
        if (chance(3)) {
          world.CutFromStore(a, true);
          later([&world, a] { world.CutFromStore(a, false); });
        }
      }
    }
    if (faults.store_cuts && chance(1500)) {
      world.SetStoreUp(false);
      later([&world] { world.SetStoreUp(true); });
    }
    if (faults.kills && chance(400)) {
      const auto all = chance(4);
      for (std::size_t a = 0; a < n; ++a) {
        if (all || chance(6)) {
          world.Kill(a);
          undo.emplace_back(world.Now() + Milliseconds(200 + random() % 2000),
                            [&world, a] { world.Start(a); });
        }
      }
    }
  }
}

auto Seeds() -> std::uint64_t {
  const auto* text = std::getenv("QUOTA_SEEDS");
  constexpr std::uint64_t kDefaultSeeds = 120;
  return text == nullptr ? kDefaultSeeds : std::stoull(text);
}

TEST_SUITE("quota_property") {
  TEST_CASE("No window holds more than the limit, whatever fails") {
    for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
      CAPTURE(seed);
      std::mt19937_64 random(seed);
      const std::size_t n = 3 + random() % 14;
      const auto rate = std::vector<double>{2, 20, 120, 400}[random() % 4];
      const auto tenant = Limited("t", rate, rate * (random() % 2 ? 1 : 0.3));
      Deployment world(n, {}, seed);
      world.SetTenants({tenant});
      world.StartAll();
      const Faults faults{.cuts = random() % 2 == 0,
                          .store_cuts = random() % 2 == 0,
                          .kills = random() % 2 == 0};
      CAPTURE(faults.cuts);
      CAPTURE(faults.store_cuts);
      CAPTURE(faults.kills);
      CAPTURE(rate);
      Play(world, tenant, rate * (1 + static_cast<double>(random() % 8)),
           faults);
      const QuotaLimits limits;
      CHECK(static_cast<double>(MostInWindow(world.admitted["t"], limits.window,
                                             Time{}, Time::max())) <=
            Allowed(tenant, limits));
    }
  }

  TEST_CASE("A lower limit binds one window after it is known") {
    for (std::uint64_t seed = 1; seed <= Seeds() / 4; ++seed) {
      CAPTURE(seed);
      Deployment world(8, {}, seed);
      const auto high = Limited("t", 200, 200);
      const auto low = Limited("t", 20, 20);
      world.SetTenants({high});
      world.StartAll();
      Play(world, high, 900, {}, Milliseconds(6000));
      const auto changed = world.Now();
      world.SetTenants({low});
      Play(world, low, 900, {}, Milliseconds(9000));
      const QuotaLimits limits;
      CHECK(static_cast<double>(MostInWindow(
                world.admitted["t"], limits.window, changed + Milliseconds(500),
                Time::max())) <= Allowed(low, limits));
    }
  }

  TEST_CASE("Above the limit, 0.95 of it is served without faults") {
    for (std::uint64_t seed = 1; seed <= Seeds() / 6; ++seed) {
      CAPTURE(seed);
      std::mt19937_64 random(seed);
      const auto rate = std::vector<double>{5, 40, 300}[random() % 3];
      const auto tenant = Limited("t", rate, rate);
      Deployment world(4 + random() % 28, {}, seed);
      world.SetTenants({tenant});
      world.StartAll();
      constexpr double kSeconds = 15;
      Play(world, tenant, rate * (2 + static_cast<double>(random() % 6)), {},
           std::chrono::seconds(15));
      CHECK(static_cast<double>(world.admitted["t"].size()) >=
            0.95 * rate * kSeconds);
    }
  }

  TEST_CASE("Below the limit, under 0.1% is refused without faults") {
    std::int64_t refused = 0;
    std::int64_t offered = 0;
    for (std::uint64_t seed = 1; seed <= Seeds() / 6; ++seed) {
      std::mt19937_64 random(seed);
      const auto rate = std::vector<double>{5, 40, 300}[random() % 3];
      const auto tenant = Limited("t", rate, rate);
      Deployment world(4 + random() % 28, {}, seed);
      world.SetTenants({tenant});
      world.StartAll();
      // The bucket of a new lender fills within the first seconds.
      Play(world, tenant, rate * 0.3, {}, Milliseconds(3000));
      refused -= world.refused;
      offered -= world.offered;
      Play(world, tenant, rate * 0.62, {}, std::chrono::seconds(15));
      refused += world.refused;
      offered += world.offered;
    }
    CAPTURE(refused);
    CAPTURE(offered);
    CHECK(refused * 1000 <= offered);
  }
}

}  // namespace
}  // namespace kingcuplock
