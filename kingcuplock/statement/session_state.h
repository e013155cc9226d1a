#pragma once

/// Session values and prepared statements of a client's session and of a
/// connection to a member, and the statements that bring the connection to the
/// session's state.
///
/// Example:
///   std::vector<SessionStatement> statements;
///   auto name = connection_state.PlanReplay(session, &prepared, statements);
///   for (auto& it : statements) { Send(it); }
///   // With each positive answer:
///   connection_state.NoteApplied(statement);

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Content of a prepared statement, without its name.
struct PreparedStatement {
  /// Whether it writes.
  bool writes = false;
  /// Text that the client passed to kPrepare.
  std::string definition;

  auto operator<=>(const PreparedStatement&) const = default;
};

/// Values and prepared statements of a client's session. Value type.
struct SessionState {
  /// Session values by name.
  std::map<std::string, std::string> values;
  /// Prepared statements by the name that the client gave them.
  std::map<std::string, PreparedStatement> prepared;
};

/// Session values and prepared statements that a member has confirmed on one
/// connection. Prepared statements are identified by their content, so that
/// sessions share them even under different names. A name is used only once.
class MemberConnectionState {
 public:
  /// Limit of prepared statements on one connection; one more causes a reset.
  static constexpr std::size_t kMaxPreparedStatements = 256;

  /// Returns how many statements must be sent before the connection can run a
  /// statement of `session` that executes `prepared`, which is nullptr if it
  /// executes none. O(values).
  auto CountReplayStatements(const SessionState& session,
                             const PreparedStatement* prepared) const -> int;

  /// Appends those statements to `out`. Returns the name that `prepared` has on
  /// this connection once they are confirmed, empty for nullptr.
  auto PlanReplay(const SessionState& session,
                  const PreparedStatement* prepared,
                  std::vector<SessionStatement>& out) -> std::string;

  /// Records that the member has run a statement from PlanReplay().
  auto NoteApplied(const SessionStatement& statement) -> void;

 private:
  auto NeedsReset(const SessionState& session,
                  const PreparedStatement* prepared) const -> bool;

  std::map<std::string, std::string> values_;
  std::map<PreparedStatement, std::string> prepared_;
  std::int64_t last_prepared_number_ = 0;
};

}  // namespace kingcuplock
