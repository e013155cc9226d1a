#pragma once

/// Chooses the member to promote from what members said of their logs.
///
/// Example:
///   auto choice = ChooseCandidate(heard, {.members = 3, .new_term = 4});
///   if (choice.verdict == CandidateVerdict::kChosen) { Promote(choice); }

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "kingcuplock/outcome/safety_rules.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// What a member said when it was heard for a promotion.
struct Hearing {
  /// Member name.
  std::string member;
  /// Term that it follows.
  std::int64_t follows = 0;
  /// Its last log entry.
  LogPlace last_entry;
};

/// What a promotion knows beside the hearings.
struct CandidateQuestion {
  /// Members in the group.
  std::size_t members = 0;
  /// Term that the promotion begins.
  std::int64_t new_term = 0;
  /// Highest place acknowledged, if the owner has acknowledged everything in
  /// the ending term itself.
  std::optional<LogPlace> acknowledged;
  /// Whether the manifest's time for allowing a loss has passed.
  bool loss_allowed = false;
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
  Hearing candidate;
};

/// Returns the member that is furthest, if it holds everything acknowledged.
/// A write is acknowledged once two members hold it, so hearing all but one
/// finds it; an owner that knows the highest acknowledged place needs just a
/// member that has reached it. O(hearings).
template <SafetyRules Rules = AllRules>
auto ChooseCandidate(std::span<const Hearing> heard,
                     const CandidateQuestion& question) -> CandidateChoice {
  const auto rank = [](const Hearing& it) {
    const auto term =
        Rules::kCompareEntryTerm ? it.last_entry.term : it.follows;
    return LogPlace{term, it.last_entry.position};
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
  const auto needed =
      Rules::kHearEnough ? std::max<std::size_t>(question.members, 2) - 1 : 1;
  const auto holds_all =
      question.acknowledged && best->last_entry >= *question.acknowledged;
  if (holds_all || heard.size() >= needed || question.loss_allowed) {
    return {CandidateVerdict::kChosen, *best};
  }
  return {};
}

}  // namespace kingcuplock
