#pragma once

/// Derives a grant from the reports of a group's members, without the holder of
/// the promotion duty: if all other members were asked at one moment and none
/// is or is about to become the primary, the current primary keeps its role for
/// kGrantDuration. This is safe because a member is paused before its
/// promotion, and the promotion waits until the member's earlier reports have
/// expired. A member loses its pause by a restart, so one that this instance
/// has not observed for kMaxPauseAge and kMaxOrderDelay proves nothing by its
/// report; then the record of the last order has to show that none is open.
///
/// Example:
///   PrimaryEvidence<> evidence("m-1", 3, {"m-2", "m-3"}, asked, known_since);
///   evidence.NoteReport("m-2", &report);
///   if (evidence.IsComplete() && evidence.NeedsRecord()) {
///     evidence.NoteRecord(ReadRecord());
///   }
///   if (evidence.IsComplete() && evidence.ProvesPrimary()) {
///     Use(evidence.Grant());
///   }

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// What the store holds about the orders to promote a member of one group.
struct OrderRecord {
  /// Newest term that a settled order began, 0 for none.
  std::int64_t term = 0;
  /// Member of the order that may still be carried out, empty for none.
  std::string ordered = {};
  /// Whether orders that the record does not show may still be carried out.
  bool orders_unknown = false;
};

/// Evidence from one round of status requests. Not thread safe. O(log n) in
/// members.
template <GrantRules Rules = AllGrantRules>
class PrimaryEvidence {
 public:
  /// `others` are all other registered members; if there are none, nothing can
  /// be proved. `asked` is the time of the first request or earlier, and
  /// `members_known_since` is since when no member has been removed.
  PrimaryEvidence(std::string primary,
                  std::int64_t term,
                  std::vector<std::string> others,
                  Time asked,
                  Time members_known_since)
      : grant_{std::move(primary), term, asked + kGrantDuration},
        asked_(asked),
        awaited_(others.begin(), others.end()),
        refuted_(awaited_.empty()),
        observed_(IsObserved(members_known_since)) {}

  /// Records the report of `member`, nullptr if it did not answer in time. A
  /// second report of a member and one of an unknown member are ignored.
  auto NoteReport(const std::string& member, const MemberReport* report)
      -> void {
    if (awaited_.erase(member) == 0) {
      return;
    }
    if (report == nullptr) {
      refuted_ = refuted_ || Rules::kRequireAllReports;
      return;
    }
    // A replaced primary goes on serving until it learns of its successor, so
    // one of an earlier term does not disprove the current primary.
    const auto leads = report->is_primary && report->term >= grant_.term;
    const auto newer = report->term > grant_.term;
    const auto paused = Rules::kRejectPausedReports && report->IsPaused();
    refuted_ = refuted_ || leads || newer || paused;
    observed_ = observed_ && IsObserved(report->connected_since);
  }

  /// Returns whether the reports prove nothing without the record.
  auto NeedsRecord() const -> bool { return !refuted_ && !observed_; }

  /// Records what the store held at the time of the first request or later;
  /// nullopt if that is not known.
  auto NoteRecord(const std::optional<OrderRecord>& record) -> void {
    // Carrying out an order for the primary itself changes nothing.
    const auto other_open =
        record && !record->ordered.empty() && record->ordered != grant_.member;
    refuted_ = refuted_ || !record || record->orders_unknown || other_open ||
               record->term > grant_.term;
    observed_ = true;
  }

  /// Returns whether every other member has answered or failed to.
  auto IsComplete() const -> bool { return awaited_.empty(); }

  /// Returns whether nothing noted so far disproves the primary, and the
  /// members are observed or the record shows no open order; conclusive once
  /// IsComplete().
  auto ProvesPrimary() const -> bool { return !refuted_ && observed_; }

  /// Returns the grant that follows; valid only if IsComplete() and
  /// ProvesPrimary().
  auto Grant() const -> const PrimaryGrant& { return grant_; }

 private:
  // Returns whether `since` is early enough that no order from before it can be
  // open.
  auto IsObserved(Time since) const -> bool {
    return !Rules::kRequireObservedMembers ||
           asked_ - since >= kMaxPauseAge + kMaxOrderDelay;
  }

  PrimaryGrant grant_;
  Time asked_;
  std::set<std::string> awaited_;
  bool refuted_ = false;
  bool observed_ = false;
};

}  // namespace kingcuplock
