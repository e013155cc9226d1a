#pragma once

/// Checks a history against the promises.
///
/// Example:
///   for (const auto& it : CheckHistory(history)) { Report(it.text); }

#include <string>
#include <string_view>
#include <vector>

#include "programs/load/history.h"

namespace kingcuplock {

/// Promise that a history breaks.
enum class ViolationKind {
  /// An acknowledged write is not there.
  kLostWrite,
  /// A write is there more than once.
  kDoubledWrite,
  /// A write answered not_run or failed is there.
  kRanAfterRefusal,
  /// A part is there that nobody wrote.
  kForeignPart,
  /// A session did not see its own acknowledged write.
  kOwnWriteUnseen,
  /// A read is older than its kind's stated age.
  kTooOld,
  /// A row with acknowledged writes was not read at the end.
  kRowMissing
};

/// Returns the name of the kind as in result files.
auto ToString(ViolationKind value) -> std::string_view;

/// One broken promise.
struct Violation {
  ViolationKind kind = ViolationKind::kLostWrite;
  /// Names the operation.
  std::string text;
};

/// Returns every violation. O(n log n) in operations for rows of bounded
/// length.
auto CheckHistory(const History& history) -> std::vector<Violation>;

}  // namespace kingcuplock
