#pragma once

/// How the connections that a member accepts are shared out, so that a new
/// owner can connect while those of the old one are still open.
///
/// Example:
///   const auto pool = OwnerPoolConnections(config.connections);

#include <algorithm>
#include <cstdint>

namespace kingcuplock {

/// Owners whose connections may be open at one member at the same time.
inline constexpr std::int64_t kOverlappingOwners = 2;
/// Control connections of one owner to a member: the link, and the fresh one
/// that replaces it while the member has not yet noticed its end.
inline constexpr std::int64_t kControlConnections = 2;

/// Returns the most connections that an owner's pool may hold to a member
/// that accepts `connections` in all; 1 at least.
constexpr auto OwnerPoolConnections(std::int64_t connections) -> std::int64_t {
  return std::max<std::int64_t>(
      connections / kOverlappingOwners - kControlConnections, 1);
}

}  // namespace kingcuplock
