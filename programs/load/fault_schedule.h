#pragma once

/// Parses the schedule of faults that a load run injects by sending control
/// commands to the stand-ins.
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

/// The text is not a valid fault schedule.
class FaultScheduleError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A control command and the time at which it is sent.
struct ScheduledFault {
  /// Time in ms since the start of the run.
  std::int64_t at_ms = 0;
  /// Database whose stand-in receives the command; empty for the store.
  std::string database;
  /// The command. With kCurrentPrimary as its member it is sent for the member
  /// that served the latest write answered ok.
  ControlCommand command;
};

/// Member name that stands for the current primary.
inline constexpr std::string_view kCurrentPrimary = "primary";

/// Parses {"faults": [{"at_ms", "target", "action", "member", "ms", "count"}]}.
/// `target` is "store", a database's name, or "#N" for the Nth database of the
/// manifest, from 0; `member`, `ms` and `count` are optional. Returns the
/// faults ordered by time. Throws FaultScheduleError.
auto ParseFaultSchedule(std::string_view text, const Manifest& manifest)
    -> std::vector<ScheduledFault>;

}  // namespace kingcuplock
