#pragma once

/// Chooses the few peers that an instance keeps links to, so that the cost of
/// an instance grows with the logarithm of the fleet and news reach everybody
/// in as many steps.
///
/// Example:
///   peers.SetPeers(ChoosePeers(listed, "proxy-1"));

#include <span>
#include <string_view>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Returns the instances 1, 2, 4, 8 and so on places behind `self` on a ring of
/// all names by hash. `self` need not be listed. O(n log n).
auto ChoosePeers(std::span<const InstanceEntry> listed, std::string_view self)
    -> std::vector<InstanceEntry>;

}  // namespace kingcuplock
