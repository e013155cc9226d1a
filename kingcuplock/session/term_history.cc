#include "kingcuplock/session/term_history.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Lowest log position; used as the start of a term whose start is not known.
constexpr std::int64_t kFirstPosition = 1;

}  // namespace

TermHistory::TermHistory(std::vector<TermStart> starts)
    : starts_(std::move(starts)) {
  std::sort(starts_.begin(), starts_.end(),
            [](const auto& a, const auto& b) { return a.term < b.term; });
  MergeOldestTerms();
}

void TermHistory::NoteTermStart(std::int64_t term, std::int64_t position) {
  const auto it = std::lower_bound(
      starts_.begin(), starts_.end(), term,
      [](const auto& start, auto value) { return start.term < value; });
  if (it != starts_.end() && it->term == term) {
    return;
  }
  starts_.insert(it, {term, position});
  MergeOldestTerms();
}

void TermHistory::NoteUnknownTermStart(std::int64_t term) {
  NoteTermStart(term, kFirstPosition);
}

auto TermHistory::HasStartOfTerm(std::int64_t term) const -> bool {
  return std::any_of(starts_.begin(), starts_.end(),
                     [&](const auto& it) { return it.term == term; });
}

auto TermHistory::IsLost(LogPosition entry) const -> bool {
  return std::any_of(starts_.begin(), starts_.end(), [&](const auto& it) {
    return it.term > entry.term && it.position <= entry.position;
  });
}

void TermHistory::MergeOldestTerms() {
  while (starts_.size() > kMaxTerms) {
    auto& next = starts_.at(1);
    next.position = std::min(next.position, starts_.front().position);
    starts_.erase(starts_.begin());
  }
}

}  // namespace kingcuplock
