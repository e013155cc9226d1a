#pragma once

/// A place in a database's log: what a session has seen, or what a member
/// holds.
///
/// Example:
///   if (member_place >= session_place) { /* the member may serve it */ }

#include <compare>
#include <cstdint>

namespace kingcuplock {

/// Ordered by the term of the entry, then by position. A member whose last
/// entry is of a later term holds all that survived of earlier terms.
struct LogPosition {
  /// Term of the entry.
  std::int64_t term = 0;
  /// Position of the entry, from 1.
  std::int64_t position = 0;

  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace kingcuplock
