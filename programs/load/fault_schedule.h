#pragma once

/// Faults that a run switches on through the stand-ins' control.
///
/// Example:
///   auto faults = ParseFaultSchedule(text, manifest);

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// A fault schedule that can't be run.
class FaultScheduleError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One command at a time.
struct ScheduledFault {
  /// Time in ms since the start of the run.
  std::int64_t at_ms = 0;
  /// Database whose stand-in is commanded; empty for the store's.
  std::string database;
  /// Command. Member "primary" is the member that served the newest write.
  ControlCommand command;
};

/// Member name that stands for the present primary.
inline constexpr std::string_view kCurrentPrimary = "primary";

/// Reads {"faults": [{"at_ms", "target", "action", "member", "ms", "count"}]}.
/// `target` is "store", a database's name, or "#N" for the manifest's Nth
/// database, from 0. Returns the faults in order of time. Throws
/// FaultScheduleError.
auto ParseFaultSchedule(std::string_view text, const Manifest& manifest)
    -> std::vector<ScheduledFault>;

}  // namespace kingcuplock
