#pragma once

/// Loads that a group meets, by the name of their pattern, for LoadModel.
///
/// Example:
///   for (const auto& it : LoadScenarios()) { Play(it); }

#include <cstdint>
#include <random>
#include <vector>

#include "testing/load_model.h"

namespace kingcuplock {

/// One cheap urgent kind, many of middling cost, and few dear ones.
inline auto MixedRoutes() -> std::vector<LoadRoute> {
  return {{"urgent", 1, 0.15, Milliseconds(11), Milliseconds(200),
           Milliseconds(1200)},
          {"dear", 2, 0.15, Milliseconds(55), Milliseconds(800),
           Milliseconds(5000)},
          {"middling", 2, 0.70, Milliseconds(33), Milliseconds(400),
           Milliseconds(1200)}};
}

/// The replicas lag for longer than reads accept, and one member carries all.
inline auto OnePrimaryCarriesReads() -> LoadScenario {
  LoadScenario out;
  out.pattern = "one primary carries the reads of lagging replicas";
  out.routes = MixedRoutes();
  out.load = 1.3;
  return out;
}

/// As above, with more instances than slots.
inline auto MoreInstancesThanSlots() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "more instances than slots";
  out.instances = 30;
  out.slots = 6;
  out.connections = 66;
  return out;
}

/// Nearly all slots are in use, and nobody need be refused.
inline auto NearlyAllSlotsUsed() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "nearly all slots in use";
  out.load = 0.9;
  return out;
}

/// Twice what the slots can do.
inline auto TwiceTheCapacity() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "twice the capacity";
  out.load = 2;
  return out;
}

/// Two seconds of four times the capacity.
inline auto FourfoldBurst() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "a burst of four times the capacity";
  out.load = 0.7;
  out.burst_load = 4;
  out.burst_from = Time{} + Milliseconds(8000);
  out.burst_to = Time{} + Milliseconds(10'000);
  return out;
}

/// One data centre's instance gets twice the callers of another.
inline auto UnevenArrivals() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "callers spread unevenly over instances";
  out.weights = {0.5, 0.5, 0.8, 1, 1};
  return out;
}

/// An instance comes back while the others use all slots.
inline auto InstanceReturns() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "an instance returns and finds the slots taken";
  out.absent_instance = 4;
  out.returns_at = Time{} + Milliseconds(8000);
  return out;
}

/// Every scenario that has a name.
inline auto LoadScenarios() -> std::vector<LoadScenario> {
  return {OnePrimaryCarriesReads(), NearlyAllSlotsUsed(), TwiceTheCapacity(),
          FourfoldBurst(),          UnevenArrivals(),     InstanceReturns(),
          MoreInstancesThanSlots()};
}

/// Other slots, works, instances and targets than any deployment has.
inline auto RandomScenario(std::uint64_t seed) -> LoadScenario {
  std::mt19937_64 random(seed);
  const auto draw = [&](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  const auto ms = [](double it) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(it));
  };
  LoadScenario out;
  out.pattern = "drawn";
  out.instances = static_cast<std::size_t>(draw(3, 13));
  out.slots = static_cast<std::int64_t>(draw(2, 9));
  out.connections = static_cast<std::int64_t>(
      static_cast<double>(out.instances) * draw(2, 8));
  const auto work = draw(4, 25);
  out.routes = {{"urgent", 1, draw(0.1, 0.25), ms(work),
                 ms(work * draw(14, 20)), ms(work * 110)},
                {"dear", 2, draw(0.1, 0.3), ms(work * 5),
                 ms(work * draw(50, 80)), ms(work * 400)},
                {"middling", 2, draw(0.4, 0.8), ms(work * 3),
                 ms(work * draw(30, 40)), ms(work * 110)}};
  out.load = draw(1.2, 2.2);
  out.length = Milliseconds(12'000);
  return out;
}

}  // namespace kingcuplock
