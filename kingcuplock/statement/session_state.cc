#include "kingcuplock/statement/session_state.h"

#include <algorithm>

namespace kingcuplock {

// A value that the session does not have can be removed only by a reset.
auto MemberConnectionState::NeedsReset(const SessionState& session,
                                       const PreparedStatement* prepared) const
    -> bool {
  const auto has_foreign_value = std::any_of(
      values_.begin(), values_.end(),
      [&](const auto& it) { return !session.values.contains(it.first); });
  const auto is_full = prepared != nullptr && !prepared_.contains(*prepared) &&
                       prepared_.size() >= kMaxPreparedStatements;
  return has_foreign_value || is_full;
}

auto MemberConnectionState::CountReplayStatements(
    const SessionState& session,
    const PreparedStatement* prepared) const -> int {
  const auto reset = NeedsReset(session, prepared);
  auto cost = reset ? 1 : 0;
  for (const auto& [name, value] : session.values) {
    const auto it = values_.find(name);
    cost += reset || it == values_.end() || it->second != value ? 1 : 0;
  }
  if (prepared != nullptr) {
    cost += reset || !prepared_.contains(*prepared) ? 1 : 0;
  }
  return cost;
}

auto MemberConnectionState::PlanReplay(const SessionState& session,
                                       const PreparedStatement* prepared,
                                       std::vector<SessionStatement>& out)
    -> std::string {
  if (NeedsReset(session, prepared)) {
    out.push_back({.kind = StatementKind::kReset});
    values_.clear();
    prepared_.clear();
  }
  for (const auto& [name, value] : session.values) {
    const auto it = values_.find(name);
    if (it == values_.end() || it->second != value) {
      out.push_back(
          {.kind = StatementKind::kSetValue, .name = name, .arguments = value});
      values_[name] = value;
    }
  }
  if (prepared == nullptr) {
    return {};
  }
  auto& name = prepared_[*prepared];
  if (name.empty()) {
    name = "p" + std::to_string(++last_prepared_number_);
    out.push_back({.kind = StatementKind::kPrepare,
                   .name = name,
                   .arguments = prepared->definition,
                   .prepares_write = prepared->writes});
  }
  return name;
}

}  // namespace kingcuplock
