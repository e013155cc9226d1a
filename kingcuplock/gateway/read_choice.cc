#include "kingcuplock/gateway/read_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuplock {
namespace {

/// Cost of a read in another data centre, as a fraction (1 / N) of its latency
/// target. It stands for the price of the traffic; under load, the latencies
/// outweigh it.
constexpr int kCrossingDivisor = 8;
/// Cost in ms of a read at the primary, as added latency: it takes a slot that
/// writes need.
constexpr Milliseconds kPrimaryCost{10};
/// Weight (1 / N) of a new answer time in the average.
constexpr int kAverageWeight = 8;
/// Time in ms in which the average of an unused member halves.
constexpr Milliseconds kAverageHalfLife{2000};
/// Lower bound in ms on the latency of a member. The load is a factor of the
/// cost, so that it would not count for a member that answers at once.
constexpr Milliseconds kMinLatency{2};

auto CostOf(const ReadCandidate& it,
            std::string_view own_data_centre,
            Duration target) -> Duration {
  const auto latency = std::max<Duration>(it.latency, kMinLatency);
  const auto slots = std::max<std::int64_t>(it.slots, 1);
  auto cost = latency + latency * it.running / slots;
  cost += it.data_centre == own_data_centre ? Duration::zero()
                                            : target / kCrossingDivisor;
  cost += it.is_primary ? kPrimaryCost : Duration::zero();
  return cost;
}

}  // namespace

auto RankMembersForRead(std::span<const ReadCandidate> members,
                        std::string_view own_data_centre,
                        Duration target) -> std::vector<std::string> {
  std::vector<std::pair<Duration, std::string>> costs;
  for (const auto& it : members) {
    costs.emplace_back(CostOf(it, own_data_centre, target), it.member);
  }
  std::sort(costs.begin(), costs.end());
  std::vector<std::string> order;
  for (auto& [cost, member] : costs) {
    order.push_back(std::move(member));
  }
  return order;
}

auto LatencyAverage::Add(Time now, Duration latency) -> void {
  const auto average = At(now);
  average_ = average + (latency - average) / kAverageWeight;
  updated_ = now;
}

auto LatencyAverage::At(Time now) const -> Duration {
  const auto unused = now - updated_;
  const auto halvings = std::chrono::duration<double>(unused) /
                        std::chrono::duration<double>(kAverageHalfLife);
  return std::chrono::duration_cast<Duration>(average_ * std::exp2(-halvings));
}

}  // namespace kingcuplock
