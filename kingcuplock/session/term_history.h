#pragma once

/// Where each term of a database group began, to tell whether data that a
/// session saw outlived the failovers since.
///
/// Example:
///   TermHistory history(record.term_starts);
///   history.NoteTermStart(4, answer.position + 1);
///   if (history.IsLost(token.PositionIn("bookings"))) { Refuse(); }

#include <cstdint>
#include <vector>

#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// Value type. A term that nobody served needs no start.
class TermHistory {
 public:
  /// Terms kept; older ones are merged, which may only call too much lost.
  static constexpr std::size_t kMaxTerms = 64;

  TermHistory() = default;

  /// Restores what ToRecord() gave.
  explicit TermHistory(std::vector<TermStart> starts);

  /// Notes that the first entry of `term` has, or would have, `position`. Only
  /// the first note of a term counts. O(terms kept).
  void NoteTermStart(std::int64_t term, std::int64_t position);

  /// Notes a term that was served and of which no start is known: all data of
  /// earlier terms counts as lost from then on.
  void NoteUnknownTermStart(std::int64_t term);

  /// Returns whether the start of `term` is known.
  auto HasStartOfTerm(std::int64_t term) const -> bool;

  /// Returns whether some later term began at or before `place`, so that the
  /// entry at `place` is in the log no more. O(terms kept).
  auto IsLost(LogPosition place) const -> bool;

  /// Returns the starts, by ascending term, for the ownership record.
  auto ToRecord() const -> const std::vector<TermStart>& { return starts_; }

  auto operator==(const TermHistory&) const -> bool = default;

 private:
  void Merge();

  std::vector<TermStart> starts_;
};

}  // namespace kingcuplock
