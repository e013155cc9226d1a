#pragma once

/// Chooses the member to promote from the log positions that the members of a
/// group report.
///
/// Example:
///   MemberLogReports<> reports;
///   reports.BeginAttempt(4);
///   reports.Note(4, {.member = "a", .followed_term = 3, .last_entry = place});
///   auto choice = reports.Choose({.members = 3, .new_term = 4});
///   if (choice.verdict == CandidateVerdict::kChosen) {
///     Promote(choice.candidate);
///   }

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/outcome/safety_rules.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// A member's answer to the status request of a promotion attempt.
struct MemberLogReport {
  /// Member name.
  std::string member;
  /// Term that the member follows.
  std::int64_t followed_term = 0;
  /// Term and position of the last entry in its log.
  LogPosition last_entry;
};

/// The group and the conditions under which a candidate may be chosen.
struct CandidateCriteria {
  /// Number of members in the group.
  std::size_t members = 0;
  /// Term that the promotion begins.
  std::int64_t new_term = 0;
  /// Highest acknowledged log position. Set only if the owner itself
  /// acknowledged every write of the ending term.
  std::optional<LogPosition> acknowledged;
  /// Whether a candidate may be chosen although acknowledged writes may be
  /// lost: the time that the manifest sets for this has passed, or the database
  /// has no synchronous replicas.
  bool loss_allowed = false;
  /// Members on endpoints that are leaving. One of them is chosen only if no
  /// other member qualifies.
  std::span<const std::string> leaving;
  /// The only member that may be chosen, as an order to promote it may still be
  /// carried out; empty for no such limit.
  std::string_view only = {};
};

/// Outcome of a choice among the reports received so far.
enum class CandidateVerdict {
  /// Too few members have reported to rule out the loss of an acknowledged
  /// write.
  kWait,
  /// A member already follows the new term or a later one. The promotion must
  /// begin a higher term.
  kTermTooLow,
  /// A candidate was found.
  kChosen
};

/// Outcome of a choice, with the candidate if the verdict is kChosen.
struct CandidateChoice {
  CandidateVerdict verdict = CandidateVerdict::kWait;
  MemberLogReport candidate;
};

/// Returns the member with the highest log position among those that are not
/// leaving and hold every acknowledged write, or nullptr if there is none or
/// `criteria.acknowledged` is not set. O(reports * leaving members).
inline auto FindNonLeavingCandidate(std::span<const MemberLogReport> reports,
                                    const CandidateCriteria& criteria)
    -> const MemberLogReport* {
  const MemberLogReport* best = nullptr;
  for (const auto& it : reports) {
    const auto stays =
        std::find(criteria.leaving.begin(), criteria.leaving.end(),
                  it.member) == criteria.leaving.end();
    const auto holds_all =
        criteria.acknowledged && it.last_entry >= *criteria.acknowledged;
    const auto better = best == nullptr || it.last_entry > best->last_entry;
    if (stays && holds_all && better) {
      best = &it;
    }
  }
  return best;
}

/// Returns the member with the highest log position if the reports show that it
/// holds every acknowledged write, or if a loss is allowed. A write is
/// acknowledged once two members hold it, so reports of all members but one
/// include it. An owner that knows the highest acknowledged position needs only
/// one member that has reached it. O(reports), or O(reports * leaving members)
/// if any member is leaving.
template <SafetyRules Rules = AllSafetyRules>
auto ChooseCandidate(std::span<const MemberLogReport> reports,
                     const CandidateCriteria& criteria) -> CandidateChoice {
  const auto rank = [](const MemberLogReport& it) {
    const auto term =
        Rules::kCompareLastEntryTerm ? it.last_entry.term : it.followed_term;
    return LogPosition{term, it.last_entry.position};
  };
  auto best = std::max_element(
      reports.begin(), reports.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (best == reports.end()) {
    return {};
  }
  if (!criteria.only.empty()) {
    const auto only = std::find_if(
        reports.begin(), reports.end(),
        [&](const auto& it) { return it.member == criteria.only; });
    if (only == reports.end() || rank(*only) < rank(*best)) {
      return {};
    }
    best = only;
  }
  const auto too_low = std::any_of(
      reports.begin(), reports.end(),
      [&](const auto& it) { return it.followed_term >= criteria.new_term; });
  if (too_low) {
    return {CandidateVerdict::kTermTooLow, {}};
  }
  if (!criteria.leaving.empty()) {
    if (const auto* staying = FindNonLeavingCandidate(reports, criteria)) {
      return {CandidateVerdict::kChosen, *staying};
    }
  }
  const auto needed = Rules::kRequireAllButOneReport
                          ? std::max<std::size_t>(criteria.members, 2) - 1
                          : 1;
  const auto holds_all =
      criteria.acknowledged && best->last_entry >= *criteria.acknowledged;
  if (holds_all || reports.size() >= needed || criteria.loss_allowed) {
    return {CandidateVerdict::kChosen, *best};
  }
  return {};
}

/// Collects the members' reports for the attempts of one promotion. Not thread
/// safe.
template <SafetyRules Rules = AllSafetyRules>
class MemberLogReports {
 public:
  /// Begins an attempt for `term`. Reports received before do not count for it.
  void BeginAttempt(std::int64_t term) {
    term_ = term;
    if (Rules::kRequireFreshReports) {
      reports_.clear();
    }
  }

  /// Stores the report of a member that was asked during the attempt for
  /// `term`, replacing an earlier one. Returns false, and ignores the report,
  /// if that is not the current attempt.
  auto Note(std::int64_t term, const MemberLogReport& report) -> bool {
    if (Rules::kRequireFreshReports && term != term_) {
      return false;
    }
    reports_[report.member] = report;
    return true;
  }

  /// Returns the choice among the members that reported; see
  /// ChooseCandidate(). Copies the reports in O(members).
  auto Choose(const CandidateCriteria& criteria) const -> CandidateChoice {
    const auto reports = All();
    return ChooseCandidate<Rules>(reports, criteria);
  }

  /// Returns the highest term that a reporting member follows, 0 if none has
  /// reported.
  auto HighestFollowedTerm() const -> std::int64_t {
    std::int64_t highest = 0;
    for (const auto& [member, report] : reports_) {
      highest = std::max(highest, report.followed_term);
    }
    return highest;
  }

  /// Returns the number of members that reported.
  auto size() const -> std::size_t { return reports_.size(); }

 private:
  auto All() const -> std::vector<MemberLogReport> {
    std::vector<MemberLogReport> reports;
    for (const auto& [member, report] : reports_) {
      reports.push_back(report);
    }
    return reports;
  }

  std::int64_t term_ = 0;
  std::map<std::string, MemberLogReport> reports_;
};

}  // namespace kingcuplock
