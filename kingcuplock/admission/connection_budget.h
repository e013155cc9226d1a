#pragma once

/// Division of the connections that a member accepts among the owners of its
/// database, so that a new owner can connect while the connections of the
/// previous one are still open.
///
/// Example:
///   const auto pool = OwnerPoolConnections(config.connections);

#include <algorithm>
#include <cstdint>

namespace kingcuplock {

/// Number of owners whose connections may be open at one member at the same
/// time.
inline constexpr std::int64_t kOverlappingOwners = 2;
/// Control connections of one owner to a member: the current one, and a new one
/// that replaces it before the member has noticed that the old one ended.
inline constexpr std::int64_t kControlConnections = 2;

/// Returns the maximum number of connections that an owner's pool may hold to a
/// member that accepts `connections` in all; at least 1.
constexpr auto OwnerPoolConnections(std::int64_t connections) -> std::int64_t {
  return std::max<std::int64_t>(
      connections / kOverlappingOwners - kControlConnections, 1);
}

}  // namespace kingcuplock
