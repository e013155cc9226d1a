#pragma once

/// Timing constants and helpers shared by the source files of GroupController.
///
/// Example:
///   gap.open_us = internal::MicrosecondsBetween(promoted, now);

#include <algorithm>
#include <cstdint>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock::internal {

/// Longest wait in ms for a member's answer to a status, epoch or follow
/// request.
inline constexpr Milliseconds kControlTimeout{300};

/// Returns the time from `from` to `to` in microseconds, 0 if it is negative.
inline auto MicrosecondsBetween(Time from, Time to) -> std::int64_t {
  return std::max<std::int64_t>((to - from).count(), 0);
}

}  // namespace kingcuplock::internal
