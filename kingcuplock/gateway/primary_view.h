#pragma once

/// Which member of a group leads, as far as this instance knows. Terms only go
/// up; a claim without a term counts only while nothing better is known. A
/// member that was ordered to lead replaces one that still serves only once
/// that one refuses.
///
/// Example:
///   PrimaryView view;
///   view.NoteProvedPrimary("m-2", 4);
///   view.NoteLost("m-2");
///   if (view.IsUsable()) { SendTo(view.member()); }

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// Value type. Every Note function returns whether the view changed.
class PrimaryView {
 public:
  /// A member proved that it leads in `term`.
  auto NoteProvedPrimary(std::string_view member, std::int64_t term) -> bool {
    const auto confirmed = member == member_ && (pending_ || lost_);
    const auto news = term > term_ || (term == term_ &&
                                       (confirmed || lost_ || member_.empty()));
    if (news) {
      Set(member, term, false);
    }
    return news;
  }

  /// An instance told that a member leads in `term`. A member that refused here
  /// in that term is not taken back on hearsay.
  auto NoteReportedPrimary(std::string_view member, std::int64_t term) -> bool {
    return !(lost_ && member == member_ && term <= term_) &&
           NoteProvedPrimary(member, term);
  }

  /// A member registered that it leads, without a term.
  auto NoteRegisteredPrimary(std::string_view member) -> bool {
    if (!member_.empty() && !lost_) {
      return false;
    }
    Set(member, term_, false);
    return true;
  }

  /// A member was ordered to lead in `term`. With `keep_current` the present
  /// primary is used until it refuses.
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
      Set(member, term, true);
    }
    return true;
  }

  /// `member` refused as it does not lead, or is gone. A pending one is yet to
  /// lead.
  auto NoteLost(std::string_view member) -> bool {
    if (member != member_ || pending_ || lost_) {
      return false;
    }
    if (!successor_.empty()) {
      Set(std::string(successor_), successor_term_, true);
    } else {
      lost_ = true;
    }
    return true;
  }

  /// The order for the pending member, or the successor, had no effect.
  auto DropPendingPromotion() -> void {
    successor_.clear();
    successor_term_ = 0;
    if (pending_) {
      pending_ = false;
      lost_ = true;
    }
  }

  /// Returns whether a position that `member` lacks was cut off by a promotion:
  /// only a member that already leads a later term can tell. One that is yet to
  /// lead may just be behind.
  auto WasDiscardedByPromotion(std::string_view member, LogPlace place) const
      -> bool {
    return IsUsable() && !pending_ && member == member_ && place.term < term_;
  }

  auto member() const -> const std::string& { return member_; }
  auto term() const -> std::int64_t { return term_; }
  /// Returns the member that was ordered to follow the present primary, empty
  /// for none, and its term.
  auto successor() const -> const std::string& { return successor_; }
  auto successor_term() const -> std::int64_t { return successor_term_; }
  auto IsPending() const -> bool { return pending_; }
  auto IsLost() const -> bool { return lost_; }
  /// Returns whether the member is known to lead, or is about to.
  auto IsUsable() const -> bool { return !member_.empty() && !lost_; }

 private:
  auto Set(std::string_view member, std::int64_t term, bool pending) -> void {
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
