#pragma once

/// Chooses the member to promote from what members said of their logs.
///
/// Example:
///   MemberLogReports<> hearings;
///   hearings.BeginAttempt(4);
///   hearings.Note(4, {"a", 3, place});
///   auto choice = hearings.Choose({.members = 3, .new_term = 4});
///   if (choice.verdict == CandidateVerdict::kChosen) { Promote(choice); }

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kingcuplock/outcome/safety_rules.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// What a member said when it was heard for a promotion.
struct MemberLogReport {
  /// Member name.
  std::string member;
  /// Term that it follows.
  std::int64_t follows = 0;
  /// Its last log entry.
  LogPosition last_entry;
};

/// What a promotion knows beside the hearings.
struct CandidateCriteria {
  /// Members in the group.
  std::size_t members = 0;
  /// Term that the promotion begins.
  std::int64_t new_term = 0;
  /// Highest place acknowledged, if the owner has acknowledged everything in
  /// the ending term itself.
  std::optional<LogPosition> acknowledged;
  /// Whether the manifest's time for allowing a loss has passed.
  bool loss_allowed = false;
  /// Members on endpoints that are leaving; chosen only for want of another.
  std::span<const std::string> leaving;
};

/// Verdict on the hearings so far.
enum class CandidateVerdict {
  /// Too little was heard to exclude the loss of an acknowledged write.
  kWait,
  /// A member follows the new term or a later one: begin a higher term.
  kTermTooLow,
  /// A candidate was found.
  kChosen
};

/// The candidate, if there is one.
struct CandidateChoice {
  CandidateVerdict verdict = CandidateVerdict::kWait;
  MemberLogReport candidate;
};

/// Returns the furthest member that stays and holds everything acknowledged,
/// or nullptr. Only an owner that acknowledged everything itself can tell.
inline auto FindStaying(std::span<const MemberLogReport> heard,
                        const CandidateCriteria& question)
    -> const MemberLogReport* {
  const MemberLogReport* best = nullptr;
  for (const auto& it : heard) {
    const auto stays =
        std::find(question.leaving.begin(), question.leaving.end(),
                  it.member) == question.leaving.end();
    const auto holds_all =
        question.acknowledged && it.last_entry >= *question.acknowledged;
    const auto better = best == nullptr || it.last_entry > best->last_entry;
    if (stays && holds_all && better) {
      best = &it;
    }
  }
  return best;
}

/// Returns the member that is furthest, if it holds everything acknowledged.
/// A write is acknowledged once two members hold it, so hearing all but one
/// finds it; an owner that knows the highest acknowledged place needs just a
/// member that has reached it. O(hearings).
template <SafetyRules Rules = AllSafetyRules>
auto ChooseCandidate(std::span<const MemberLogReport> heard,
                     const CandidateCriteria& question) -> CandidateChoice {
  const auto rank = [](const MemberLogReport& it) {
    const auto term =
        Rules::kCompareLastEntryTerm ? it.last_entry.term : it.follows;
    return LogPosition{term, it.last_entry.position};
  };
  const auto best = std::max_element(
      heard.begin(), heard.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (best == heard.end()) {
    return {};
  }
  const auto too_low = std::any_of(
      heard.begin(), heard.end(),
      [&](const auto& it) { return it.follows >= question.new_term; });
  if (too_low) {
    return {CandidateVerdict::kTermTooLow, {}};
  }
  if (!question.leaving.empty()) {
    if (const auto* staying = FindStaying(heard, question)) {
      return {CandidateVerdict::kChosen, *staying};
    }
  }
  const auto needed = Rules::kRequireAllButOneReport
                          ? std::max<std::size_t>(question.members, 2) - 1
                          : 1;
  const auto holds_all =
      question.acknowledged && best->last_entry >= *question.acknowledged;
  if (holds_all || heard.size() >= needed || question.loss_allowed) {
    return {CandidateVerdict::kChosen, *best};
  }
  return {};
}

/// What members said for the attempts of one promotion. Not thread safe.
template <SafetyRules Rules = AllSafetyRules>
class MemberLogReports {
 public:
  /// Begins an attempt for `term`; nothing heard before counts for it.
  void BeginAttempt(std::int64_t term) {
    term_ = term;
    if (Rules::kRequireFreshReports) {
      heard_.clear();
    }
  }

  /// Notes what a member said when it was asked for the attempt of `term`.
  /// Returns whether that is the present attempt.
  auto Note(std::int64_t term, const MemberLogReport& hearing) -> bool {
    if (Rules::kRequireFreshReports && term != term_) {
      return false;
    }
    heard_[hearing.member] = hearing;
    return true;
  }

  /// Returns the choice among the members heard. O(members).
  auto Choose(const CandidateCriteria& question) const -> CandidateChoice {
    const auto heard = All();
    return ChooseCandidate<Rules>(heard, question);
  }

  /// Returns the highest term that a member heard follows, 0 for none.
  auto HighestFollowedTerm() const -> std::int64_t {
    std::int64_t highest = 0;
    for (const auto& [member, hearing] : heard_) {
      highest = std::max(highest, hearing.follows);
    }
    return highest;
  }

  /// Returns the number of members heard.
  auto size() const -> std::size_t { return heard_.size(); }

 private:
  auto All() const -> std::vector<MemberLogReport> {
    std::vector<MemberLogReport> heard;
    for (const auto& [member, hearing] : heard_) {
      heard.push_back(hearing);
    }
    return heard;
  }

  std::int64_t term_ = 0;
  std::map<std::string, MemberLogReport> heard_;
};

}  // namespace kingcuplock
