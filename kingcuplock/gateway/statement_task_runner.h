#pragma once

/// Runs a task on a lent connection: set-up, a BEGIN where one is needed, the
/// statement itself. A statement that needs the primary's lead goes out only
/// after the member accepted a plain BEGIN, so one that lost the lead refuses,
/// unless a grant says that it leads.
///
/// Example:
///   StatementTaskRunner runner(timers, {.finished = ..., .setback = ...});
///   runner.Start(task, pool, link);

#include <functional>
#include <memory>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/statement_task.h"

namespace kingcuplock {

/// Why an attempt ended with nothing kept, so that the task may go on.
enum class RetryReason {
  kBusy,
  /// The member does not lead.
  kReadOnly,
  /// Its log has not reached the floor.
  kLagging,
  /// It ran a read and failed.
  kFailed,
  /// The connection ended; nothing was asked to be committed.
  kLinkLost,
  /// It does not know the prepared statement.
  kStatementForgotten
};

/// Returns the name of `setback`, for logs.
auto ToString(RetryReason setback) -> std::string_view;

/// What a runner reports.
struct StatementTaskRunnerCallbacks {
  /// The task has an answer; not called for a task that is done already.
  std::function<void(const StatementTaskPtr&, StatementTaskResult)> finished;
  std::function<
      void(const StatementTaskPtr&, const std::string& member, RetryReason)>
      setback;
  /// The member proved that it led, at a moment after `sent`, with its log
  /// ending at `place`.
  std::function<void(const std::string& member, Time sent, LogPlace place)>
      primary_proved;
  /// The member answered a statement after `latency`.
  std::function<void(const std::string& member, Duration latency)> answered;
};

/// Not thread safe.
class StatementTaskRunner {
 public:
  StatementTaskRunner(TimerService& timers, StatementTaskRunnerCallbacks ports);

  /// Runs one attempt. `link` is lent by `pool` and is given back, unless the
  /// task's result keeps it for a transaction.
  auto Start(const StatementTaskPtr& task,
             std::shared_ptr<MemberConnectionPool> pool,
             ConnectionId link) -> void;

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  auto Begin(const AttemptPtr& attempt) -> void;
  auto OnBegun(const AttemptPtr& attempt, const StatementAnswer* answer)
      -> void;
  auto SendMain(const AttemptPtr& attempt) -> void;
  auto OnMain(const AttemptPtr& attempt, const StatementAnswer* answer) -> void;
  auto OnMainError(const AttemptPtr& attempt, const StatementAnswer& answer)
      -> void;
  auto Finish(const AttemptPtr& attempt, StatementAnswer answer, bool pin)
      -> void;
  auto EndWith(const AttemptPtr& attempt, RetryReason setback) -> void;

  TimerService& timers_;
  StatementTaskRunnerCallbacks ports_;
};

/// Ends the transaction on a lent connection and gives it back.
auto RollBackAndRelease(const std::shared_ptr<MemberConnectionPool>& pool,
                        ConnectionId link,
                        std::string id) -> void;

/// Returns whether the statement, run alone, changes data.
auto IsWrite(const SessionStatement& statement,
             const PreparedStatement* prepared) -> bool;

}  // namespace kingcuplock
