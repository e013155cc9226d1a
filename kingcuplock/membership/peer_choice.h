#pragma once

/// Chooses the peers that an instance keeps links to. The number of links per
/// instance, and the number of hops in which news reach every instance, grow
/// with the logarithm of the number of instances.
///
/// Example:
///   peers.SetPeers(ChoosePeers(directory.instances(), "proxy-1"));

#include <span>
#include <string_view>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Orders the names of all instances by hash on a ring and returns the
/// instances at the distances 1, 2, 4, 8 and so on after `self`. `self` need
/// not be listed and is never returned. O(n log n).
auto ChoosePeers(std::span<const InstanceEntry> listed, std::string_view self)
    -> std::vector<InstanceEntry>;

}  // namespace kingcuplock
