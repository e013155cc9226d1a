#pragma once

/// What a session has set up: values and prepared statements, on a client's
/// session and on a member's connection, and the difference between the two.
///
/// Example:
///   for (auto& it : PlanReplay(session, link, statement)) { Send(it); }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// What a prepared statement runs.
struct PreparedStatement {
  bool writes = false;
  std::string definition;

  auto operator<=>(const PreparedStatement&) const = default;
};

/// What a client's session has set up. Value type.
struct SessionState {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
};

/// What a connection to a member has been sent. Prepared statements are kept by
/// what they run, so sessions share them whatever their own names are.
class MemberConnectionState {
 public:
  /// Prepared statements kept on one connection; more cause a reset.
  static constexpr std::size_t kMaxPreparedStatements = 256;

  /// Returns the number of statements needed before one of `session` that runs
  /// `prepared` (or nullptr) can be sent. O(values).
  auto CountReplayStatements(const SessionState& session,
                             const PreparedStatement* prepared) const -> int;

  /// Appends those statements to `out` and takes them as done. Returns the
  /// name of `prepared` on this connection; empty for nullptr.
  auto PlanReplay(const SessionState& session,
                  const PreparedStatement* prepared,
                  std::vector<SessionStatement>& out) -> std::string;

 private:
  auto NeedsReset(const SessionState& session,
                  const PreparedStatement* prepared) const -> bool;

  std::map<std::string, std::string> values_;
  std::map<PreparedStatement, std::string> prepared_;
  std::int64_t last_name_ = 0;
};

}  // namespace kingcuplock
