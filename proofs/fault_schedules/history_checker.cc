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

auto HistoryChecker::Check(const std::vector<std::string>& final_parts) const
    -> std::vector<std::string> {
  std::vector<std::string> violations;
  CheckWrites(final_parts, violations);
  for (const auto& it : reads_) {
    CheckRead(it, violations);
  }
  return violations;
}

void HistoryChecker::CheckWrites(const std::vector<std::string>& final_parts,
                                 std::vector<std::string>& violations) const {
  std::map<std::string, int> times;
  for (const auto& it : final_parts) {
    ++times[it];
  }
  for (const auto& [part, n] : times) {
    if (n > 1) {
      violations.push_back(fmt::format("{} ran {} times", part, n));
    }
  }
  for (const auto& it : writes_) {
    const auto ran = times.contains(it.part);
    if (it.outcome == WriteOutcome::kAcknowledged && !ran) {
      violations.push_back(it.part + " was acknowledged and is lost");
    }
    if (it.outcome == WriteOutcome::kNotRun && ran) {
      violations.push_back(it.part + " was answered not_run and ran");
    }
  }
}

void HistoryChecker::CheckRead(const ReadRecord& read,
                               std::vector<std::string>& violations) const {
  const std::set<std::string> got(read.parts.begin(), read.parts.end());
  for (const auto& it : read.seen_before) {
    if (!got.contains(it)) {
      violations.push_back(
          fmt::format("session {} lost sight of {}", read.session, it));
    }
  }
  for (const auto& it : writes_) {
    const auto old_enough = it.outcome == WriteOutcome::kAcknowledged &&
                            it.acknowledged < read.answered - read.max_age;
    if (read.max_age > Duration::zero() && old_enough &&
        !got.contains(it.part)) {
      violations.push_back(
          fmt::format("a read is older than stated: {} is missing", it.part));
    }
  }
}

}  // namespace kingcuplock
