#pragma once

/// Runs a task on a lent connection: gives it the session's state, sends a
/// BEGIN if one is needed, and the statement itself. The statement is sent only
/// after the member has confirmed what it depends on; the BEGIN goes out behind
/// the state, since the statement waits for its answer anyway. A read at the
/// primary needs a read-write BEGIN, which a member that is no longer the
/// primary refuses. A grant makes this BEGIN unnecessary.
///
/// Example:
///   StatementTaskRunner runner(timers, std::move(callbacks));
///   runner.Start(task, pool, link);

#include <functional>
#include <memory>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/statement_task.h"

namespace kingcuplock {

/// Why an attempt ended without effect, so that the task can be retried.
enum class RetryReason {
  /// The member is overloaded.
  kBusy,
  /// The member refused the session's state, so the statement was not sent.
  kStateRefused,
  /// The member is not the primary.
  kReadOnly,
  /// The member's log has not reached the floor.
  kLagging,
  /// The statement failed, and no change can have been committed.
  kFailed,
  /// The connection ended, and no change can have been committed.
  kLinkLost,
  /// The member does not know the prepared statement.
  kStatementForgotten
};

/// Returns the name of `retry_reason` as it appears in logs.
auto ToString(RetryReason retry_reason) -> std::string_view;

/// Callbacks of a task runner.
struct StatementTaskRunnerCallbacks {
  /// The task has an answer. Not called for a task that is already done.
  std::function<void(const StatementTaskPtr&, StatementTaskResult)> finished;
  /// An attempt at `member` ended without effect. Called for a task that is
  /// already done as well.
  std::function<
      void(const StatementTaskPtr&, const std::string& member, RetryReason)>
      retry_needed;
  /// The member proved that it was the primary at some time after `sent`, with
  /// its log ending at `place`.
  std::function<void(const std::string& member, Time sent, LogPosition place)>
      primary_proved;
  /// The member answered a statement after `latency`.
  std::function<void(const std::string& member, Duration latency)> answered;
};

/// Not thread safe.
class StatementTaskRunner {
 public:
  StatementTaskRunner(TimerService& timers,
                      StatementTaskRunnerCallbacks callbacks);

  /// Runs one attempt at a task. `link` is a connection lent by `pool`. It is
  /// returned to the pool unless the task's result keeps it for a transaction.
  auto Start(const StatementTaskPtr& task,
             std::shared_ptr<MemberConnectionPool> pool,
             ConnectionId link) -> void;

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  auto OnStateApplied(const AttemptPtr& attempt) -> void;
  auto SendBegin(const AttemptPtr& attempt, bool state_confirmed) -> void;
  auto OnBeginAnswer(const AttemptPtr& attempt, const StatementAnswer* answer)
      -> void;
  auto SendTaskStatement(const AttemptPtr& attempt) -> void;
  auto OnStatementAnswer(const AttemptPtr& attempt,
                         const StatementAnswer* answer) -> void;
  auto OnStatementError(const AttemptPtr& attempt,
                        const StatementAnswer& answer) -> void;
  auto FinishAttempt(const AttemptPtr& attempt,
                     StatementAnswer answer,
                     bool keep_connection) -> void;
  auto EndWithoutEffect(const AttemptPtr& attempt, RetryReason retry_reason)
      -> void;

  TimerService& timers_;
  StatementTaskRunnerCallbacks callbacks_;
};

/// Rolls back the transaction on a lent connection and returns the connection
/// to its pool. `id` is the client's id of the ROLLBACK, empty for none. The
/// connection is closed if the member still reports an open transaction.
auto RollBackAndRelease(const std::shared_ptr<MemberConnectionPool>& pool,
                        ConnectionId link,
                        std::string id) -> void;

/// Returns whether the statement, run outside a transaction, may change data.
/// `prepared` is the statement that an execution runs, or nullptr.
auto IsWrite(const SessionStatement& statement,
             const PreparedStatement* prepared) -> bool;

}  // namespace kingcuplock
