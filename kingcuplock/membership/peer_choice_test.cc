#include "kingcuplock/membership/peer_choice.h"

#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

auto MakeInstances(int size) -> std::vector<InstanceEntry> {
  std::vector<InstanceEntry> out;
  for (auto n = 0; n < size; ++n) {
    InstanceEntry entry;
    entry.name = "gw-" + std::to_string(n);
    out.push_back(entry);
  }
  return out;
}

/// Returns the number of hops in which news of the first instance reach all.
auto CountHopsToAll(const std::vector<InstanceEntry>& instances) -> int {
  std::map<std::string, std::set<std::string>> links;
  for (const auto& it : instances) {
    for (const auto& peer : ChoosePeers(instances, it.name)) {
      links[it.name].insert(peer.name);
      links[peer.name].insert(it.name);
    }
  }
  std::set<std::string> reached{instances.front().name};
  auto hops = 0;
  while (reached.size() < instances.size() && hops < 100) {
    ++hops;
    for (const auto& from : std::set(reached)) {
      reached.insert(links[from].begin(), links[from].end());
    }
  }
  return hops;
}

TEST_CASE("Links and hops grow with the logarithm of the number of instances") {
  for (const auto size : {2, 5, 32, 300, 1700}) {
    const auto instances = MakeInstances(size);
    auto log = 0;
    while ((1 << log) < size) {
      ++log;
    }
    CHECK(ChoosePeers(instances, "gw-0").size() <=
          static_cast<std::size_t>(log));
    CHECK(CountHopsToAll(instances) <= log);
  }
}

TEST_CASE("No instance is its own peer, and an unlisted one gets peers") {
  const auto instances = MakeInstances(9);
  for (const auto& it : ChoosePeers(instances, "gw-3")) {
    CHECK(it.name != "gw-3");
  }
  CHECK(ChoosePeers(instances, "new").size() == 4);
  CHECK(ChoosePeers({}, "new").empty());
}

}  // namespace
}  // namespace kingcuplock
