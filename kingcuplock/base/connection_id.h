#pragma once

/// Identity of a connection, shared by decisions and transport.
///
/// Example:
///   if ((connection & kInboundBit) != 0) { /* a caller or a peer */ }

#include <cstdint>

namespace kingcuplock {

/// Identifies a connection of one instance; never reused.
using ConnectionId = std::uint64_t;

/// Inbound connections have this bit set in their id.
inline constexpr ConnectionId kInboundBit = 1ULL << 63U;

}  // namespace kingcuplock
