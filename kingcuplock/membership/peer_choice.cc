#include "kingcuplock/membership/peer_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include <xxhash.h>

namespace kingcuplock {
namespace {

auto PlaceOf(std::string_view name) -> std::pair<XXH64_hash_t, std::string> {
  return {XXH64(name.data(), name.size(), 0), std::string(name)};
}

}  // namespace

auto ChoosePeers(std::span<const InstanceEntry> listed, std::string_view self)
    -> std::vector<InstanceEntry> {
  std::map<std::pair<XXH64_hash_t, std::string>, const InstanceEntry*> ring;
  for (const auto& it : listed) {
    if (it.name != self) {
      ring[PlaceOf(it.name)] = &it;
    }
  }
  // Everybody from the own place on, once around.
  std::vector<const InstanceEntry*> behind;
  const auto own = ring.upper_bound(PlaceOf(self));
  for (auto it = own; it != ring.end(); ++it) {
    behind.push_back(it->second);
  }
  for (auto it = ring.begin(); it != own; ++it) {
    behind.push_back(it->second);
  }
  std::vector<InstanceEntry> chosen;
  for (std::size_t distance = 1; distance <= behind.size(); distance *= 2) {
    chosen.push_back(*behind[distance - 1]);
  }
  return chosen;
}

}  // namespace kingcuplock
