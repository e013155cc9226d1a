#pragma once

/// Identifiers of connections, used by the decision code and the I/O code.
///
/// Example:
///   if ((connection & kInboundBit) != 0) { /* a caller or a peer */ }

#include <cstdint>

namespace kingcuplock {

/// Identifies a connection within one instance. Ids are never reused; 0 is
/// none.
using ConnectionId = std::uint64_t;

/// Bit that is set in the ids of inbound connections only.
inline constexpr ConnectionId kInboundBit = 1ULL << 63U;

}  // namespace kingcuplock
