#pragma once

/// Checks the answers that callers got against the final contents of the
/// database. All writes append to one row, each a part that is unique to it.
///
/// Example:
///   HistoryChecker checker;
///   checker.NoteWrite({.part = "p1", .outcome = WriteOutcome::kAcknowledged});
///   for (const auto& it : checker.FindViolations(final_parts)) { Report(it); }

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Outcome of a write, as far as the answers tell its caller.
enum class WriteOutcome {
  /// At least one answer to its request id was ok.
  kAcknowledged,
  /// Every answer to its request id was not_run.
  kNotRun,
  /// Anything else: the write may have run, at most once.
  kUnknown
};

/// A write with the outcome of all attempts under its request id.
struct WriteRecord {
  std::string part;
  std::size_t session = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  /// Time of the first ok answer; unset for other outcomes.
  Time acknowledged_at{};
};

/// A read that was answered ok.
struct ReadRecord {
  std::size_t session = 0;
  Time answered_at{};
  /// Oldest data that the read accepts; zero for a read from the primary.
  Duration max_age{};
  /// Parts that the session had read or written when it sent the read.
  std::set<std::string> seen_before;
  /// Parts in the answer, in the row's order.
  std::vector<std::string> parts;
};

/// Collects the writes and reads of one run. Not thread safe.
class HistoryChecker {
 public:
  void NoteWrite(WriteRecord write) { writes_.push_back(std::move(write)); }
  void NoteRead(ReadRecord read) { reads_.push_back(std::move(read)); }

  /// Returns a text for every violation: a part that occurs twice, a lost
  /// acknowledged write, a write that ran despite not_run, a read that misses a
  /// part its session knew, a read older than its max_age. `final_parts` are
  /// the row's parts at the end. O(reads x (writes + parts)).
  auto FindViolations(const std::vector<std::string>& final_parts) const
      -> std::vector<std::string>;

 private:
  void CheckWrites(const std::vector<std::string>& final_parts,
                   std::vector<std::string>& violations) const;
  void CheckRead(const ReadRecord& read,
                 std::vector<std::string>& violations) const;

  std::vector<WriteRecord> writes_;
  std::vector<ReadRecord> reads_;
};

/// Splits a row at its commas.
auto SplitParts(std::string_view row) -> std::vector<std::string>;

}  // namespace kingcuplock
