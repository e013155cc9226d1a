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
  const auto reset = NeedsReset(session, prepared);
  if (reset) {
    out.push_back({.kind = StatementKind::kReset});
  }
  for (const auto& [name, value] : session.values) {
    const auto it = values_.find(name);
    if (reset || it == values_.end() || it->second != value) {
      out.push_back(
          {.kind = StatementKind::kSetValue, .name = name, .arguments = value});
    }
  }
  if (prepared == nullptr) {
    return {};
  }
  const auto known = prepared_.find(*prepared);
  if (!reset && known != prepared_.end()) {
    return known->second;
  }
  auto name = "p" + std::to_string(++last_prepared_number_);
  out.push_back({.kind = StatementKind::kPrepare,
                 .name = name,
                 .arguments = prepared->definition,
                 .prepares_write = prepared->writes});
  return name;
}

auto MemberConnectionState::NoteApplied(const SessionStatement& statement)
    -> void {
  switch (statement.kind) {
    case StatementKind::kReset:
      values_.clear();
      prepared_.clear();
      break;
    case StatementKind::kSetValue:
      values_[statement.name] = statement.arguments;
      break;
    case StatementKind::kPrepare:
      prepared_[{statement.prepares_write, statement.arguments}] =
          statement.name;
      break;
    default:
      break;
  }
}

}  // namespace kingcuplock
