#pragma once

/// Rendezvous hashing: an order of preference over instances that every
/// instance computes alike and that moves little when instances change.
///
/// Example:
///   auto rank = RendezvousRank("bookings", "proxy-1", live);

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

/// Returns the place of `instance` in that order, from 0; the number of
/// instances if it is not among them. O(n).
auto RendezvousRank(std::string_view key,
                    std::string_view instance,
                    std::span<const std::string> instances) -> std::size_t;

}  // namespace kingcuplock
