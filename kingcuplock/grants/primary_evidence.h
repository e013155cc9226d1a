#pragma once

/// Judges reports of a group's members: if all others were asked at one moment
/// and none leads or is about to, the primary leads for a while. A member that
/// is to be promoted is paused first, and its promotion waits until what it
/// reported before has run out.
///
/// Example:
///   PrimaryEvidence<> evidence("m-1", 3, {"m-2", "m-3"}, asked);
///   evidence.NoteReport("m-2", &report);
///   if (evidence.IsComplete() && evidence.ProvesPrimary()) {
///   Use(evidence.Grant()); }

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

/// One round of questions. Not thread safe. O(log n) in members.
template <GrantRules Rules = AllGrantRules>
class PrimaryEvidence {
 public:
  /// `others` are all other members that are registered; without any there is
  /// no evidence. `asked` is no later than the first question.
  PrimaryEvidence(std::string primary,
                  std::int64_t term,
                  std::vector<std::string> others,
                  Time asked)
      : grant_{std::move(primary), term, asked + kGrantDuration},
        missing_(others.begin(), others.end()),
        refuted_(missing_.empty()) {}

  /// Takes a member's report, nullptr if it gave none in time.
  auto NoteReport(const std::string& member, const MemberReport* report)
      -> void {
    if (missing_.erase(member) == 0) {
      return;
    }
    if (report == nullptr) {
      refuted_ = refuted_ || Rules::kRequireAllReports;
      return;
    }
    // An older primary goes on until it learns of its successor.
    const auto leads = report->is_primary && report->term >= grant_.term;
    const auto newer = report->term > grant_.term;
    const auto paused =
        Rules::kRejectPausedReports && report->paused_term > grant_.term;
    refuted_ = refuted_ || leads || newer || paused;
  }

  /// Returns whether all members were heard or missed.
  auto IsComplete() const -> bool { return missing_.empty(); }

  /// Returns whether the primary leads, as far as was heard.
  auto ProvesPrimary() const -> bool { return !refuted_; }

  /// Valid if complete evidence holds.
  auto Grant() const -> const PrimaryGrant& { return grant_; }

 private:
  PrimaryGrant grant_;
  std::set<std::string> missing_;
  bool refuted_ = false;
};

}  // namespace kingcuplock
