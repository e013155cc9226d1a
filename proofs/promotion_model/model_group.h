#pragma once

/// Three members with replicated logs, for the promotion model.
///
/// Example:
///   ModelGroup group;
///   group.AppendEntry(0, 1);
///   group.ReplicateNextEntry(0, 1);

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// A log entry.
struct ModelEntry {
  /// Term in which it was written.
  std::int64_t term = 0;
  /// Unique in the walk.
  std::int64_t serial = 0;

  auto operator<=>(const ModelEntry&) const = default;
};

/// A member and its log.
struct ModelMember {
  /// Term of the primary that it follows; its own term if it is the primary.
  std::int64_t followed_term = 1;
  std::vector<ModelEntry> log;
};

/// A group of three members, named by index. Not thread safe.
class ModelGroup {
 public:
  static constexpr std::size_t kMembers = 3;

  /// Returns a member by index.
  auto member(std::size_t n) -> ModelMember& { return members_.at(n); }
  auto member(std::size_t n) const -> const ModelMember& {
    return members_.at(n);
  }

  /// Appends an entry of `term` to a member's log. Returns its position,
  /// from 1.
  auto AppendEntry(std::size_t n, std::int64_t term) -> std::int64_t {
    members_.at(n).log.push_back({term, ++last_serial_});
    return static_cast<std::int64_t>(members_.at(n).log.size());
  }

  /// Removes the entries of `target` from the first one that differs from
  /// `source`, then copies one entry. Does nothing unless both follow the same
  /// term. Returns whether the log of `target` changed.
  auto ReplicateNextEntry(std::size_t source, std::size_t target) -> bool {
    auto& to = members_.at(target);
    const auto& from = members_.at(source);
    if (source == target || from.followed_term != to.followed_term) {
      return false;
    }
    const auto ends = std::mismatch(from.log.begin(), from.log.end(),
                                    to.log.begin(), to.log.end());
    const auto common = static_cast<std::size_t>(ends.first - from.log.begin());
    if (common == from.log.size() && common == to.log.size()) {
      return false;
    }
    to.log.resize(common);
    if (common < from.log.size()) {
      to.log.push_back(from.log[common]);
    }
    return true;
  }

  /// Returns the term and position of a member's last entry, 0 and 0 if its log
  /// is empty.
  auto LastPosition(std::size_t n) const -> LogPosition {
    const auto& log = members_.at(n).log;
    const auto term = log.empty() ? 0 : log.back().term;
    return {term, static_cast<std::int64_t>(log.size())};
  }

  /// Returns whether a member's log contains `entry`.
  auto HasEntry(std::size_t n, const ModelEntry& entry) const -> bool {
    const auto& log = members_.at(n).log;
    return std::find(log.begin(), log.end(), entry) != log.end();
  }

 private:
  std::array<ModelMember, kMembers> members_;
  std::int64_t last_serial_ = 0;
};

}  // namespace kingcuplock
