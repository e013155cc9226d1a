#pragma once

/// Derives a grant from the reports of a group's members, without the holder of
/// the promotion duty: if all other members were asked at one moment and none
/// is or is about to become the primary, the current primary keeps its role for
/// kGrantDuration. This is safe because a member is paused before its
/// promotion, and the promotion waits until the member's earlier reports have
/// expired.
///
/// Example:
///   PrimaryEvidence<> evidence("m-1", 3, {"m-2", "m-3"}, asked);
///   evidence.NoteReport("m-2", &report);
///   if (evidence.IsComplete() && evidence.ProvesPrimary()) {
///     Use(evidence.Grant());
///   }

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Evidence from one round of status requests. Not thread safe. O(log n) in
/// members.
template <GrantRules Rules = AllGrantRules>
class PrimaryEvidence {
 public:
  /// `others` are all other registered members; if there are none, nothing can
  /// be proved. `asked` is the time of the first request or earlier.
  PrimaryEvidence(std::string primary,
                  std::int64_t term,
                  std::vector<std::string> others,
                  Time asked)
      : grant_{std::move(primary), term, asked + kGrantDuration},
        awaited_(others.begin(), others.end()),
        refuted_(awaited_.empty()) {}

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
  }

  /// Returns whether every other member has answered or failed to.
  auto IsComplete() const -> bool { return awaited_.empty(); }

  /// Returns whether no report so far disproves the primary; conclusive once
  /// IsComplete().
  auto ProvesPrimary() const -> bool { return !refuted_; }

  /// Returns the grant that follows; valid only if IsComplete() and
  /// ProvesPrimary().
  auto Grant() const -> const PrimaryGrant& { return grant_; }

 private:
  PrimaryGrant grant_;
  std::set<std::string> awaited_;
  bool refuted_ = false;
};

}  // namespace kingcuplock
