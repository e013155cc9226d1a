#include "kingcuplock/routing/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace kingcuplock {
namespace {

/// Returns the weight of an instance for a key; its name breaks ties.
auto Weight(std::string_view key, std::string_view instance)
    -> std::pair<std::uint64_t, std::string_view> {
  const auto seed = XXH64(key.data(), key.size(), 0);
  return {XXH64(instance.data(), instance.size(), seed), instance};
}

}  // namespace

auto RendezvousOrder(std::string_view key,
                     std::span<const std::string> instances)
    -> std::vector<std::string> {
  std::vector<std::string> order(instances.begin(), instances.end());
  std::sort(order.begin(), order.end(), [key](const auto& a, const auto& b) {
    return Weight(key, a) > Weight(key, b);
  });
  return order;
}

auto RendezvousRank(std::string_view key,
                    std::string_view instance,
                    std::span<const std::string> instances) -> std::size_t {
  const auto self = std::find(instances.begin(), instances.end(), instance);
  if (self == instances.end()) {
    return instances.size();
  }
  const auto own = Weight(key, instance);
  return static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(),
                    [&](const auto& it) { return Weight(key, it) > own; }));
}

}  // namespace kingcuplock
