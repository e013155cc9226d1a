#include "kingcuplock/membership/peer_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include <xxhash.h>

namespace kingcuplock {
namespace {

auto RingPosition(std::string_view name)
    -> std::pair<XXH64_hash_t, std::string> {
  return {XXH64(name.data(), name.size(), 0), std::string(name)};
}

}  // namespace

auto ChoosePeers(std::span<const InstanceEntry> listed, std::string_view self)
    -> std::vector<InstanceEntry> {
  std::map<std::pair<XXH64_hash_t, std::string>, const InstanceEntry*> ring;
  for (const auto& it : listed) {
    if (it.name != self) {
      ring[RingPosition(it.name)] = &it;
    }
  }
  // All other instances in ring order, beginning after `self`.
  std::vector<const InstanceEntry*> successors;
  const auto own_successor = ring.upper_bound(RingPosition(self));
  for (auto it = own_successor; it != ring.end(); ++it) {
    successors.push_back(it->second);
  }
  for (auto it = ring.begin(); it != own_successor; ++it) {
    successors.push_back(it->second);
  }
  std::vector<InstanceEntry> chosen;
  for (std::size_t distance = 1; distance <= successors.size(); distance *= 2) {
    chosen.push_back(*successors[distance - 1]);
  }
  return chosen;
}

}  // namespace kingcuplock
