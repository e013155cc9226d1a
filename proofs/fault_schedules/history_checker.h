#pragma once

/// Checks what callers were told against what the database holds in the end.
/// Every write appends a part that no other write appends to one row.
///
/// Example:
///   HistoryChecker checker;
///   checker.NoteWrite({.part = "p1", .outcome = WriteOutcome::kAcknowledged});
///   for (const auto& it : checker.Check(final_parts)) { Report(it); }

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// What the caller knows of a write in the end.
enum class WriteOutcome {
  /// Some answer to its id was ok.
  kAcknowledged,
  /// Every answer to its id was not_run.
  kNotRun,
  /// Anything else: it may have run, once.
  kOpen
};

/// One write, over all attempts with its id.
struct WriteRecord {
  std::string part;
  std::size_t session = 0;
  WriteOutcome outcome = WriteOutcome::kOpen;
  /// When it was first acknowledged.
  Time acknowledged{};
};

/// One read that was answered ok.
struct ReadRecord {
  std::size_t session = 0;
  Time answered{};
  /// Age that the read accepts; zero for a read of the primary.
  Duration max_age{};
  /// Parts that the session had seen or written before.
  std::set<std::string> seen_before;
  /// Parts in the answer, in order.
  std::vector<std::string> parts;
};

/// Collects a history. Not thread safe.
class HistoryChecker {
 public:
  void NoteWrite(WriteRecord write) { writes_.push_back(std::move(write)); }
  void NoteRead(ReadRecord read) { reads_.push_back(std::move(read)); }

  /// Returns every violation, none if all promises held. `final_parts` is the
  /// row in the end. O(reads x parts).
  auto Check(const std::vector<std::string>& final_parts) const
      -> std::vector<std::string>;

 private:
  void CheckWrites(const std::vector<std::string>& final_parts,
                   std::vector<std::string>& violations) const;
  void CheckRead(const ReadRecord& read,
                 std::vector<std::string>& violations) const;

  std::vector<WriteRecord> writes_;
  std::vector<ReadRecord> reads_;
};

/// Splits a row into its parts.
auto SplitParts(std::string_view row) -> std::vector<std::string>;

}  // namespace kingcuplock
