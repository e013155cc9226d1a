#include "programs/load/history_check.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

using RowKey = std::pair<std::string, std::string>;
using WritesByRow = std::map<RowKey, std::vector<const Operation*>>;

constexpr std::array<std::string_view, 4> kOutcomeNames{"ok", "failed",
                                                        "not_run", "unknown"};
constexpr std::array<std::string_view, 7> kViolationNames{
    "lost_write",       "doubled_write", "ran_after_refusal", "foreign_part",
    "own_write_unseen", "too_old",       "row_missing"};

auto SplitParts(const std::string& value) -> std::vector<std::string> {
  std::vector<std::string> out;
  std::istringstream in(value);
  for (std::string part; std::getline(in, part, ',');) {
    out.push_back(part);
  }
  return out;
}

auto DescribeOperation(const Operation& it) -> std::string {
  return fmt::format("session {} {}/{} row {} part \"{}\" sent at {} us",
                     it.session, it.database, it.kind, it.key, it.part,
                     it.sent_us);
}

/// Checks that the final rows contain every acknowledged write exactly once,
/// and nothing that was rejected or never written.
class FinalRowChecker {
 public:
  FinalRowChecker(const History& history, std::vector<Violation>& out)
      : history_(history), out_(out) {}

  void CheckRow(const RowKey& key,
                const std::vector<const Operation*>& writes) {
    const auto row = history_.rows.find(key);
    if (row == history_.rows.end()) {
      const auto has_acknowledged_write =
          std::any_of(writes.begin(), writes.end(), [](const Operation* it) {
            return it->outcome == OperationOutcome::kOk;
          });
      if (has_acknowledged_write) {
        out_.push_back(
            {ViolationKind::kRowMissing, key.first + " row " + key.second});
      }
      return;
    }
    std::map<std::string, int> counts;
    for (const auto& it : SplitParts(row->second)) {
      ++counts[it];
    }
    for (const auto* it : writes) {
      CheckWrite(*it, counts[it->part]);
      counts.erase(it->part);
    }
    for (const auto& [part, count] : counts) {
      out_.push_back({ViolationKind::kForeignPart,
                      key.first + " row " + key.second + " part " + part});
    }
  }

 private:
  void CheckWrite(const Operation& write, int count) {
    const auto rejected = write.outcome == OperationOutcome::kNotRun ||
                          write.outcome == OperationOutcome::kFailed;
    if (write.outcome == OperationOutcome::kOk && count == 0) {
      out_.push_back({ViolationKind::kLostWrite, DescribeOperation(write)});
    }
    if (count > 1) {
      out_.push_back({ViolationKind::kDoubledWrite, DescribeOperation(write)});
    }
    if (rejected && count > 0) {
      out_.push_back(
          {ViolationKind::kRanAfterRefusal, DescribeOperation(write)});
    }
  }

  const History& history_;
  std::vector<Violation>& out_;
};

/// Checks that a read returned the writes to its row that were acknowledged
/// before it was sent: those of its own session, and those of others that are
/// older than `max_age_ms`.
void CheckRead(const Operation& read,
               const std::vector<const Operation*>& writes,
               std::int64_t max_age_ms,
               std::vector<Violation>& out) {
  const auto parts = SplitParts(read.value);
  const std::set<std::string> parts_read(parts.begin(), parts.end());
  for (const auto* it : writes) {
    if (it->outcome != OperationOutcome::kOk || parts_read.contains(it->part)) {
      continue;
    }
    const auto same_session = it->session == read.session;
    if (same_session && it->answered_us <= read.sent_us) {
      out.push_back({ViolationKind::kOwnWriteUnseen,
                     DescribeOperation(read) + " misses " + it->part});
    } else if (it->answered_us + max_age_ms * 1000 < read.sent_us) {
      out.push_back({ViolationKind::kTooOld,
                     DescribeOperation(read) + " misses " + it->part});
    }
  }
}

}  // namespace

auto ToString(OperationOutcome value) -> std::string_view {
  return kOutcomeNames.at(static_cast<std::size_t>(value));
}

auto ToString(ViolationKind value) -> std::string_view {
  return kViolationNames.at(static_cast<std::size_t>(value));
}

auto CheckHistory(const History& history) -> std::vector<Violation> {
  std::vector<Violation> out;
  WritesByRow writes;
  for (const auto& it : history.operations) {
    if (it.is_write()) {
      writes[{it.database, it.key}].push_back(&it);
    }
  }
  FinalRowChecker final_row_checker(history, out);
  for (const auto& [key, row_writes] : writes) {
    final_row_checker.CheckRow(key, row_writes);
  }
  for (const auto& it : history.operations) {
    const auto row = writes.find({it.database, it.key});
    if (it.is_write() || it.outcome != OperationOutcome::kOk ||
        row == writes.end()) {
      continue;
    }
    const auto age = history.max_age_ms.find({it.database, it.kind});
    const auto max_age = age == history.max_age_ms.end() ? 0 : age->second;
    CheckRead(it, row->second, max_age, out);
  }
  return out;
}

}  // namespace kingcuplock
