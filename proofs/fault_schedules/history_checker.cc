#include "proofs/fault_schedules/history_checker.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace kingcuplock {

auto SplitParts(std::string_view row) -> std::vector<std::string> {
  std::vector<std::string> parts;
  while (!row.empty()) {
    const auto end = std::min(row.find(','), row.size());
    parts.emplace_back(row.substr(0, end));
    row.remove_prefix(std::min(end + 1, row.size()));
  }
  return parts;
}

auto HistoryChecker::FindViolations(const std::vector<std::string>& final_parts)
    const -> std::vector<std::string> {
  std::vector<std::string> violations;
  CheckWrites(final_parts, violations);
  for (const auto& it : reads_) {
    CheckRead(it, violations);
  }
  return violations;
}

void HistoryChecker::CheckWrites(const std::vector<std::string>& final_parts,
                                 std::vector<std::string>& violations) const {
  std::map<std::string, int> occurrences;
  for (const auto& it : final_parts) {
    ++occurrences[it];
  }
  for (const auto& [part, n] : occurrences) {
    if (n > 1) {
      violations.push_back(fmt::format("{} ran {} times", part, n));
    }
  }
  for (const auto& it : writes_) {
    const auto ran = occurrences.contains(it.part);
    if (it.outcome == WriteOutcome::kAcknowledged && !ran) {
      violations.push_back(it.part + " was acknowledged but is lost");
    }
    if (it.outcome == WriteOutcome::kNotRun && ran) {
      violations.push_back(it.part + " was answered not_run but ran");
    }
  }
}

void HistoryChecker::CheckRead(const ReadRecord& read,
                               std::vector<std::string>& violations) const {
  const std::set<std::string> returned_parts(read.parts.begin(),
                                             read.parts.end());
  for (const auto& it : read.seen_before) {
    if (!returned_parts.contains(it)) {
      violations.push_back(
          fmt::format("session {} no longer sees {}", read.session, it));
    }
  }
  for (const auto& it : writes_) {
    const auto must_be_visible =
        it.outcome == WriteOutcome::kAcknowledged &&
        it.acknowledged_at < read.answered_at - read.max_age;
    if (read.max_age > Duration::zero() && must_be_visible &&
        !returned_parts.contains(it.part)) {
      violations.push_back(fmt::format(
          "a read is older than its maximum age: {} is missing", it.part));
    }
  }
}

}  // namespace kingcuplock
