#pragma once

/// Three members with logs, as far as the promotion model needs them.
///
/// Example:
///   ModelGroup group;
///   group.Append(0, 1);
///   group.Replicate(0, 1);

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// One log entry.
struct ModelEntry {
  /// Term in which it was written.
  std::int64_t term = 0;
  /// Unique in the walk.
  std::int64_t serial = 0;

  auto operator<=>(const ModelEntry&) const = default;
};

/// One member.
struct ModelMember {
  /// Term that it follows, or leads.
  std::int64_t follows = 1;
  /// Its log.
  std::vector<ModelEntry> log;
};

/// Not thread safe.
class ModelGroup {
 public:
  static constexpr std::size_t kMembers = 3;

  /// Returns a member by index.
  auto member(std::size_t n) -> ModelMember& { return members_.at(n); }
  auto member(std::size_t n) const -> const ModelMember& {
    return members_.at(n);
  }

  /// Writes an entry of `term` at a member. Returns its position.
  auto Append(std::size_t n, std::int64_t term) -> std::int64_t {
    members_.at(n).log.push_back({term, ++last_serial_});
    return static_cast<std::int64_t>(members_.at(n).log.size());
  }

  /// Copies one entry, after dropping what the source lacks. Does nothing
  /// unless both follow the same term. Returns whether the log changed.
  auto Replicate(std::size_t source, std::size_t target) -> bool {
    auto& to = members_.at(target);
    const auto& from = members_.at(source);
    if (source == target || from.follows != to.follows) {
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

  /// Returns the place of a member's last entry.
  auto LastPlace(std::size_t n) const -> LogPosition {
    const auto& log = members_.at(n).log;
    const auto term = log.empty() ? 0 : log.back().term;
    return {term, static_cast<std::int64_t>(log.size())};
  }

  /// Returns whether a member's log has the entry.
  auto Holds(std::size_t n, const ModelEntry& entry) const -> bool {
    const auto& log = members_.at(n).log;
    return std::find(log.begin(), log.end(), entry) != log.end();
  }

 private:
  std::array<ModelMember, kMembers> members_;
  std::int64_t last_serial_ = 0;
};

}  // namespace kingcuplock
