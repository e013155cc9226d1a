#pragma once

/// Checks the history of a load run for violations of the consistency
/// guarantees.
///
/// Example:
///   for (const auto& it : CheckHistory(history)) { Report(it.text); }

#include <string>
#include <string_view>
#include <vector>

#include "programs/load/history.h"

namespace kingcuplock {

/// Kind of a violation.
enum class ViolationKind {
  /// A row lacks an acknowledged write.
  kLostWrite,
  /// A row contains a write more than once.
  kDoubledWrite,
  /// A row contains a write that was answered not_run or failed.
  kRanAfterRefusal,
  /// A row contains a part that no operation of the run appended.
  kForeignPart,
  /// A read lacks a write that was acknowledged to the same session before.
  kOwnWriteUnseen,
  /// A read lacks a write that was acknowledged longer ago than the maximum age
  /// of the read's kind.
  kTooOld,
  /// A row with acknowledged writes could not be read at the end of the run.
  kRowMissing
};

/// Returns the name of the kind as written to result files.
auto ToString(ViolationKind value) -> std::string_view;

/// One violation of a guarantee.
struct Violation {
  ViolationKind kind = ViolationKind::kLostWrite;
  /// Describes the operation or the row.
  std::string text;
};

/// Returns all violations. O(n log n) in the number of operations for rows of
/// bounded length.
auto CheckHistory(const History& history) -> std::vector<Violation>;

}  // namespace kingcuplock
