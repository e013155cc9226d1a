#pragma once

/// Tracks which member of a group is the primary, as far as this instance
/// knows. Terms never decrease. A registration without a term counts only while
/// nothing better is known. If a promotion is ordered while the primary still
/// serves, the new member replaces it only when the old one refuses.
///
/// Example:
///   PrimaryView view;
///   view.NoteProvedPrimary("m-2", 4);
///   if (view.IsUsable()) { SendTo(view.member()); }
///   view.NoteLost("m-2");

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Value type. Every function whose name begins with "Note" returns whether the
/// view changed.
class PrimaryView {
 public:
  /// Notes that a member proved to be the primary in `term`.
  auto NoteProvedPrimary(std::string_view member, std::int64_t term) -> bool {
    const auto confirmed = member == member_ && (pending_ || lost_);
    const auto is_new =
        term > term_ ||
        (term == term_ && (confirmed || lost_ || member_.empty()));
    if (is_new) {
      SetPrimary(member, term, false);
    }
    return is_new;
  }

  /// Notes that a peer reported a member as the primary in `term`. Ignored if
  /// that member has itself refused here in that term.
  auto NoteReportedPrimary(std::string_view member, std::int64_t term) -> bool {
    return !(lost_ && member == member_ && term <= term_) &&
           NoteProvedPrimary(member, term);
  }

  /// Notes that a member registered itself as the primary, without a term.
  /// Ignored while a primary is known.
  auto NoteRegisteredPrimary(std::string_view member) -> bool {
    if (!member_.empty() && !lost_) {
      return false;
    }
    SetPrimary(member, term_, false);
    return true;
  }

  /// Notes that `member` was ordered to become the primary in `term`. With
  /// `keep_current` the current primary is used until it refuses.
  auto NotePromotionOrdered(std::string_view member,
                            std::int64_t term,
                            bool keep_current) -> bool {
    if (term <= term_ || (term == successor_term_ && member == successor_)) {
      return false;
    }
    if (keep_current && IsUsable()) {
      successor_ = std::string(member);
      successor_term_ = term;
    } else {
      SetPrimary(member, term, true);
    }
    return true;
  }

  /// Notes that `member` refused because it is not the primary, or that it is
  /// gone. Ignored while its promotion is pending, since a refusal is expected
  /// until then.
  auto NoteLost(std::string_view member) -> bool {
    if (member != member_ || pending_ || lost_) {
      return false;
    }
    if (!successor_.empty()) {
      SetPrimary(std::string(successor_), successor_term_, true);
    } else {
      lost_ = true;
    }
    return true;
  }

  /// Gives up on the pending promotion, or on that of the successor, because it
  /// had no effect.
  auto DropPendingPromotion() -> void {
    successor_.clear();
    successor_term_ = 0;
    if (pending_) {
      pending_ = false;
      lost_ = true;
    }
  }

  /// Returns whether `place`, which `member` lacks, was discarded by a
  /// promotion. Only a primary of a later term proves that; a member whose
  /// promotion is pending may just be behind.
  auto WasDiscardedByPromotion(std::string_view member, LogPosition place) const
      -> bool {
    return IsUsable() && !pending_ && member == member_ && place.term < term_;
  }

  /// Returns the primary, or the last one if it is lost; empty if none was ever
  /// known.
  auto member() const -> const std::string& { return member_; }
  auto term() const -> std::int64_t { return term_; }
  /// Returns the member that was ordered to replace the current primary, empty
  /// for none, and its term.
  auto successor() const -> const std::string& { return successor_; }
  auto successor_term() const -> std::int64_t { return successor_term_; }
  /// Returns whether the member was ordered to become the primary and has not
  /// proved it yet.
  auto IsPending() const -> bool { return pending_; }
  /// Returns whether the member has refused, is gone, or was not promoted in
  /// time.
  auto IsLost() const -> bool { return lost_; }
  /// Returns whether there is a primary, or a member whose promotion is
  /// pending.
  auto IsUsable() const -> bool { return !member_.empty() && !lost_; }

 private:
  auto SetPrimary(std::string_view member, std::int64_t term, bool pending)
      -> void {
    member_ = std::string(member);
    term_ = term;
    pending_ = pending;
    lost_ = false;
    if (term >= successor_term_) {
      successor_.clear();
      successor_term_ = 0;
    }
  }

  std::string member_;
  std::int64_t term_ = 0;
  bool pending_ = false;
  bool lost_ = false;
  std::string successor_;
  std::int64_t successor_term_ = 0;
};

}  // namespace kingcuplock
