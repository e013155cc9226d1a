#pragma once

/// Rendezvous hashing: an order of preference over instances that is the same
/// on every instance and changes little when instances come or go.
///
/// Example:
///   auto rank = RendezvousRank("bookings", "proxy-1", live_instances);

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplock {

/// Returns `instances` in order of preference for `key`. O(n log n).
auto RendezvousOrder(std::string_view key,
                     std::span<const std::string> instances)
    -> std::vector<std::string>;

/// Returns the index of `instance` in RendezvousOrder(), from 0; the number of
/// instances if it is not among them. O(n).
auto RendezvousRank(std::string_view key,
                    std::string_view instance,
                    std::span<const std::string> instances) -> std::size_t;

}  // namespace kingcuplock
