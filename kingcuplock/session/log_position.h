#pragma once

/// Position in a database's replication log, as seen by a session or held by a
/// member.
///
/// Example:
///   if (member_position >= session_position) { /* the member may serve it */ }

#include <compare>
#include <cstdint>

namespace kingcuplock {

/// Identifies a log entry. Ordered by term, then by position: a member whose
/// last entry has a later term holds every surviving entry of earlier terms.
struct LogPosition {
  /// Term in which the entry was written.
  std::int64_t term = 0;
  /// Position of the entry in the log, counted from 1.
  std::int64_t position = 0;

  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace kingcuplock
