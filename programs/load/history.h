#pragma once

/// What callers sent and were told during a run, as the checker reads it.
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

/// What an operation came to for its caller, after all attempts.
enum class OperationOutcome { kOk, kFailed, kNotRun, kUnknown };

/// Returns the name of the outcome as in result files.
auto ToString(OperationOutcome value) -> std::string_view;

/// One append of a unique part to a row, or one read of a row.
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
  int attempts = 1;
  /// Times in microseconds since the start of the run. `due_us` is when the
  /// arrival process wanted it sent.
  std::int64_t due_us = 0;
  std::int64_t sent_us = 0;
  std::int64_t answered_us = 0;

  auto is_write() const -> bool { return !part.empty(); }
};

/// A whole run.
struct History {
  std::vector<Operation> operations;
  /// Rows at the end, by database and key; parts are joined by commas.
  std::map<std::pair<std::string, std::string>, std::string> rows;
  /// Stated age in ms per database and kind; 0 for the primary.
  std::map<std::pair<std::string, std::string>, std::int64_t> max_age_ms;
};

}  // namespace kingcuplock
