#pragma once

/// One statement, or the first of a transaction, on its way to a member.
///
/// Example:
///   auto task = std::make_shared<StatementTask>();
///   task->statement = statement;
///   task->finish = [](StatementTaskResult result) { Answer(result.answer); };
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
#include "kingcuplock/session/log_place.h"
#include "kingcuplock/statement/session_state.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// What a statement needs of the member that runs it.
enum class StatementAccess {
  /// The primary, for data that may change.
  kWrite,
  /// The primary, proved to lead while it reads.
  kPrimaryRead,
  /// Any member that has reached a floor.
  kReplicaRead
};

/// How a task begins a transaction.
enum class TransactionOpening {
  /// It does not: a single statement.
  kNone,
  kReadWrite,
  kReadOnly
};

/// A connection lent to a transaction.
struct PinnedConnection {
  std::shared_ptr<MemberConnectionPool> pool;
  ConnectionId link = 0;

  explicit operator bool() const { return pool != nullptr; }
};

/// How a task ended.
struct StatementTaskResult {
  StatementAnswer answer;
  /// The transaction's connection; empty unless the task began one and the
  /// statement had success.
  PinnedConnection pinned;
  /// Member that gave the answer, empty if none did.
  std::string member;
  /// Whether the session's last position was cut off by a promotion.
  bool position_lost = false;
};

/// A member's load at the send of a task, as this instance knew it.
struct MemberLoadAtSend {
  /// Statements of this instance in flight there, this one included.
  std::int64_t in_flight = 0;
  /// Limit on them.
  double limit = 0;
  /// Statements that the member runs at once.
  std::int64_t slots = 0;
};

/// Shared between the session and the group's queues.
struct StatementTask {
  ConnectionId client = 0;
  SessionStatement statement;
  /// For executions: what the prepared statement runs.
  std::optional<PreparedStatement> prepared;
  RouteConfig route;
  StatementAccess access = StatementAccess::kWrite;
  TransactionOpening opening = TransactionOpening::kNone;
  /// The client's id of its BEGIN; empty if the text sent differs from it.
  std::string begin_id;
  std::shared_ptr<const SessionState> session;
  /// Position that the session has written up to.
  std::optional<LogPlace> session_position;
  Time arrived{};
  Time deadline{};
  /// When it should be answered.
  Time wanted_by{};
  /// When it is refused if no member was asked to run it.
  Time send_by{};
  std::function<void(StatementTaskResult)> on_finished;

  // Progress.
  /// Members that refused this task or failed it.
  std::vector<std::string> tried_members;
  int attempts = 0;
  /// Number of attempts that wait for an answer.
  int running_attempts = 0;
  /// Whether a member was asked to run the statement itself.
  bool statement_sent = false;
  bool done = false;
  bool position_lost = false;
  /// Floor of the newest attempt, and the age of the sample it came from.
  std::optional<LogPlace> floor;
  /// When it came to the group, and when its newest attempt was sent.
  Time submitted{};
  Time sent{};
  MemberLoadAtSend load_at_send;
  /// Until when the member is known to lead, if a grant says so; the statement
  /// then needs no proof of its own.
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
