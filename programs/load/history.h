#pragma once

/// Operations of a load run with their outcomes, as input for CheckHistory().
///
/// Example:
///   History history;
///   history.operations.push_back(operation);
///   auto violations = CheckHistory(history);

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Outcome of an operation for its caller, after all attempts.
enum class OperationOutcome { kOk, kFailed, kNotRun, kUnknown };

/// Returns the name of the outcome, such as "not_run".
auto ToString(OperationOutcome value) -> std::string_view;

/// One append of a part to a row, or one read of a row. Each part is unique
/// within its run.
struct Operation {
  std::int64_t session = 0;
  std::string database;
  std::string kind;
  std::string key;
  /// Part appended; empty for a read.
  std::string part;
  /// Value read; empty for an append.
  std::string value;
  OperationOutcome outcome = OperationOutcome::kUnknown;
  bool from_replica = false;
  /// Number of the last attempt that was sent, from 1.
  int attempts = 1;
  /// Times in microseconds since the start of the run. `due_us` is the time at
  /// which the arrival process scheduled the operation.
  std::int64_t due_us = 0;
  std::int64_t sent_us = 0;
  std::int64_t answered_us = 0;

  auto is_write() const -> bool { return !part.empty(); }
};

/// All operations of a run and the final rows.
struct History {
  std::vector<Operation> operations;
  /// Rows at the end of the run by database and key. The parts of a row are
  /// separated by commas.
  std::map<std::pair<std::string, std::string>, std::string> rows;
  /// Maximum age of the data in ms by database and kind; 0 reads the primary.
  std::map<std::pair<std::string, std::string>, std::int64_t> max_age_ms;
};

}  // namespace kingcuplock
