#include "kingcuplock/membership/peer_choice.h"

#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

auto Fleet(int size) -> std::vector<InstanceEntry> {
  std::vector<InstanceEntry> out;
  for (auto n = 0; n < size; ++n) {
    InstanceEntry entry;
    entry.name = "gw-" + std::to_string(n);
    out.push_back(entry);
  }
  return out;
}

/// Returns in how many steps news of one instance reach all.
auto StepsToAll(const std::vector<InstanceEntry>& fleet) -> int {
  std::map<std::string, std::set<std::string>> links;
  for (const auto& it : fleet) {
    for (const auto& peer : ChoosePeers(fleet, it.name)) {
      links[it.name].insert(peer.name);
      links[peer.name].insert(it.name);
    }
  }
  std::set<std::string> reached{fleet.front().name};
  auto steps = 0;
  while (reached.size() < fleet.size() && steps < 100) {
    ++steps;
    for (const auto& from : std::set(reached)) {
      reached.insert(links[from].begin(), links[from].end());
    }
  }
  return steps;
}

TEST_CASE("Links grow with the logarithm of the fleet, and so do the steps") {
  for (const auto size : {2, 5, 32, 300, 1700}) {
    const auto fleet = Fleet(size);
    auto log = 0;
    while ((1 << log) < size) {
      ++log;
    }
    CHECK(ChoosePeers(fleet, "gw-0").size() <= static_cast<std::size_t>(log));
    CHECK(StepsToAll(fleet) <= log);
  }
}

TEST_CASE("Nobody links to itself, and an unlisted instance finds peers") {
  const auto fleet = Fleet(9);
  for (const auto& it : ChoosePeers(fleet, "gw-3")) {
    CHECK(it.name != "gw-3");
  }
  CHECK(ChoosePeers(fleet, "new").size() == 4);
  CHECK(ChoosePeers({}, "new").empty());
}

}  // namespace
}  // namespace kingcuplock
