#include "kingcuplock/gateway/read_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuplock {
namespace {

/// What a read in another data centre costs, as a part of its latency target:
/// the priced bytes. Under load, latencies outgrow it.
constexpr int kCrossingDivisor = 8;
/// What a read at the primary costs, as added latency: a slot that writes need.
constexpr Milliseconds kAtPrimary{10};
/// Weight of a new answer time in the average, one in so many.
constexpr int kAverageWeight = 8;
/// Time in which an unused member's average halves.
constexpr Milliseconds kHalfLife{2000};
/// Latency assumed of a member that answers at once, so that load counts.
constexpr Milliseconds kLeastLatency{2};

auto CostOf(const ReadCandidate& it,
            std::string_view own_data_centre,
            Duration target) -> Duration {
  const auto latency = std::max<Duration>(it.latency, kLeastLatency);
  const auto slots = std::max<std::int64_t>(it.slots, 1);
  auto cost = latency + latency * it.running / slots;
  cost += it.data_centre == own_data_centre ? Duration::zero()
                                            : target / kCrossingDivisor;
  cost += it.is_primary ? kAtPrimary : Duration::zero();
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
                        std::chrono::duration<double>(kHalfLife);
  return std::chrono::duration_cast<Duration>(average_ * std::exp2(-halvings));
}

}  // namespace kingcuplock
