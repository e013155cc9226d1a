#pragma once

/// Load patterns for LoadModel, each with a name.
///
/// Example:
///   for (const auto& it : LoadScenarios()) {
///     LoadModel<FixedLimit> model(it, 1, [] { return FixedLimit(6); });
///     const auto result = model.Run();
///   }

#include <cstdint>
#include <random>
#include <vector>

#include "testing/load_model.h"

namespace kingcuplock {

/// Returns routes for a few cheap urgent requests, many requests of medium cost
/// and a few expensive ones.
inline auto MixedRoutes() -> std::vector<LoadRoute> {
  return {{"urgent", 1, 0.15, Milliseconds(11), Milliseconds(200),
           Milliseconds(1200)},
          {"dear", 2, 0.15, Milliseconds(55), Milliseconds(800),
           Milliseconds(5000)},
          {"middling", 2, 0.70, Milliseconds(33), Milliseconds(400),
           Milliseconds(1200)}};
}

/// The replicas lag by more than reads accept, so that the primary serves all
/// reads.
inline auto OnePrimaryCarriesReads() -> LoadScenario {
  LoadScenario out;
  out.pattern = "one primary carries the reads of lagging replicas";
  out.routes = MixedRoutes();
  out.load = 1.3;
  return out;
}

/// Like OnePrimaryCarriesReads(), with more instances than slots.
inline auto MoreInstancesThanSlots() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "more instances than slots";
  out.instances = 30;
  out.slots = 6;
  out.connections = 66;
  return out;
}

/// Nearly all slots are in use, and no request needs to be refused.
inline auto NearlyAllSlotsUsed() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "nearly all slots in use";
  out.load = 0.9;
  return out;
}

/// The load is twice the capacity of the slots.
inline auto TwiceTheCapacity() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "twice the capacity";
  out.load = 2;
  return out;
}

/// The load is four times the capacity for two seconds.
inline auto FourfoldBurst() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "a burst of four times the capacity";
  out.load = 0.7;
  out.burst_load = 4;
  out.burst_from = Time{} + Milliseconds(8000);
  out.burst_to = Time{} + Milliseconds(10'000);
  return out;
}

/// Some instances get twice the requests of others, as between data centres.
inline auto UnevenArrivals() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "callers spread unevenly over instances";
  out.weights = {0.5, 0.5, 0.8, 1, 1};
  return out;
}

/// An instance returns while the others use all slots.
inline auto InstanceReturns() -> LoadScenario {
  auto out = OnePrimaryCarriesReads();
  out.pattern = "an instance returns and finds the slots taken";
  out.absent_instance = 4;
  out.returns_at = Time{} + Milliseconds(8000);
  return out;
}

/// Returns all of the scenarios above.
inline auto LoadScenarios() -> std::vector<LoadScenario> {
  return {OnePrimaryCarriesReads(), NearlyAllSlotsUsed(), TwiceTheCapacity(),
          FourfoldBurst(),          UnevenArrivals(),     InstanceReturns(),
          MoreInstancesThanSlots()};
}

/// Returns a scenario with slots, service times, instances, targets and load
/// drawn at random from `seed`, to try values that no deployment has.
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
