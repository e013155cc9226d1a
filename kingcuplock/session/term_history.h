#pragma once

/// First log position of each term of a database group. Tells whether an entry
/// that a session has seen survived the failovers since then.
///
/// Example:
///   TermHistory history(record.term_starts);
///   history.NoteTermStart(4, answer.position + 1);
///   if (history.IsLost(token.PositionIn("bookings"))) { Refuse(); }

#include <cstdint>
#include <vector>

#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Value type. A term in which no member served needs no start position.
class TermHistory {
 public:
  /// Number of terms kept. Older terms are merged, after which IsLost() may
  /// report a surviving entry as lost, but never the reverse.
  static constexpr std::size_t kMaxTerms = 64;

  TermHistory() = default;

  /// Restores a history from the result of ToRecord().
  explicit TermHistory(std::vector<TermStart> starts);

  /// Records `position` as that of the first entry of `term`, whether or not
  /// the entry exists yet. Ignored if the term has a start. O(terms kept).
  void NoteTermStart(std::int64_t term, std::int64_t position);

  /// Records a term that was served but whose start is not known. From then on
  /// IsLost() reports all entries of earlier terms as lost.
  void NoteUnknownTermStart(std::int64_t term);

  /// Returns whether a start is recorded for `term`.
  auto HasStartOfTerm(std::int64_t term) const -> bool;

  /// Returns whether a later term began at or before `entry`, so that the log
  /// no longer contains that entry. O(terms kept).
  auto IsLost(LogPosition entry) const -> bool;

  /// Returns the recorded starts in ascending order of term, for the ownership
  /// record.
  auto ToRecord() const -> const std::vector<TermStart>& { return starts_; }

  auto operator==(const TermHistory&) const -> bool = default;

 private:
  void MergeOldestTerms();

  std::vector<TermStart> starts_;
};

}  // namespace kingcuplock
