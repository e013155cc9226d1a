#pragma once

/// One statement, or the first statement of a transaction, on its way to a
/// member of a group.
///
/// Example:
///   auto task = std::make_shared<StatementTask>();
///   task->statement = statement;
///   task->on_finished = [](auto result) { Answer(result.answer); };
///   group.Submit(task);

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/member_connection_pool.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/log_position.h"
#include "kingcuplock/statement/session_state.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Which member may run a statement.
enum class StatementAccess {
  /// The primary, as the statement may change data.
  kWrite,
  /// A member that is proved to be the primary while it runs the read.
  kPrimaryRead,
  /// Any member whose log has reached the read's floor.
  kReplicaRead
};

/// Kind of transaction that a task begins.
enum class TransactionOpening {
  /// None: the task is a single statement.
  kNone,
  kReadWrite,
  kReadOnly
};

/// A connection to a member that is lent to a transaction until it ends.
struct PinnedConnection {
  std::shared_ptr<MemberConnectionPool> pool;
  ConnectionId link = 0;

  explicit operator bool() const { return pool != nullptr; }
};

/// Result of a task.
struct StatementTaskResult {
  StatementAnswer answer;
  /// Connection of the transaction; empty unless the task began one and the
  /// statement succeeded.
  PinnedConnection pinned;
  /// Member that answered, empty if none did.
  std::string member;
  /// Whether a promotion discarded the session's last position.
  bool position_lost = false;
};

/// Load of a member when a task was sent to it, as known to this instance.
struct MemberLoadAtSend {
  /// Statements of this instance that the member has not answered yet,
  /// including this one.
  std::int64_t in_flight = 0;
  /// Upper limit on `in_flight`.
  double limit = 0;
  /// Statements that the member runs at once, for all instances.
  std::int64_t slots = 0;
};

/// A statement with its requirements and the progress of its attempts. Shared
/// between the session and the queues of the group.
struct StatementTask {
  ConnectionId client = 0;
  /// Tenant of the client, empty for none.
  std::string tenant;
  SessionStatement statement;
  /// For an execution: the prepared statement to run.
  std::optional<PreparedStatement> prepared;
  RouteConfig route;
  StatementAccess access = StatementAccess::kWrite;
  TransactionOpening opening = TransactionOpening::kNone;
  /// The client's id of its BEGIN; empty if the BEGIN sent to the member
  /// differs from the client's.
  std::string begin_id;
  std::shared_ptr<const SessionState> session;
  /// Log position that the session's own writes have reached; a read must not
  /// see less.
  std::optional<LogPosition> session_position;
  /// When the statement arrived, or the BEGIN of its transaction. The age limit
  /// of a read counts from here.
  Time arrived{};
  /// When the task ends without an answer, by the timeout of its route.
  Time deadline{};
  /// When it should be answered, by the latency target of its route.
  Time wanted_by{};
  /// When it is refused if it was not sent to a member by then.
  Time send_by{};
  /// Called once with the result, unless the task is cancelled.
  std::function<void(StatementTaskResult)> on_finished;
  /// Called when the statement is offered to a member again though one may have
  /// run it. May be empty.
  std::function<void()> on_repeat;

  // Progress.
  /// Members that refused this task or failed to run it.
  std::vector<std::string> tried_members;
  /// Number of attempts so far. A refusal by a member that is not the primary
  /// or lags is not counted.
  int attempts = 0;
  /// Number of attempts that wait for an answer.
  int running_attempts = 0;
  /// Whether the statement itself was sent to a member, not just a BEGIN.
  bool statement_sent = false;
  /// Whether the task was answered or cancelled.
  bool done = false;
  /// Whether a promotion discarded the session's last position.
  bool position_lost = false;
  /// Lowest log position at which a replica may run the newest attempt.
  std::optional<LogPosition> floor;
  /// When the task was submitted to the group, and when its newest attempt was
  /// sent.
  Time submitted{};
  Time sent{};
  MemberLoadAtSend load_at_send;
  /// Time until which a grant guarantees that the member is the primary. With
  /// it, a read at the primary needs no proof by a BEGIN.
  std::optional<Time> granted_until;
  TimerId deadline_timer = 0;
  TimerId hedge_timer = 0;

  auto connection_use() const -> ConnectionUse {
    return opening == TransactionOpening::kNone ? ConnectionUse::kStatement
                                                : ConnectionUse::kTransaction;
  }
  auto prepared_ptr() const -> const PreparedStatement* {
    return prepared ? &*prepared : nullptr;
  }
};

using StatementTaskPtr = std::shared_ptr<StatementTask>;

}  // namespace kingcuplock
