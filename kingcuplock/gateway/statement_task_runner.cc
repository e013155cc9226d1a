#include "kingcuplock/gateway/statement_task_runner.h"

#include <utility>

namespace kingcuplock {

auto ToString(RetryReason retry_reason) -> std::string_view {
  switch (retry_reason) {
    case RetryReason::kBusy:
      return "busy";
    case RetryReason::kStateRefused:
      return "state_refused";
    case RetryReason::kReadOnly:
      return "read_only";
    case RetryReason::kLagging:
      return "lagging";
    case RetryReason::kFailed:
      return "failed";
    case RetryReason::kLinkLost:
      return "link_lost";
    case RetryReason::kStatementForgotten:
      return "statement_forgotten";
  }
  return "failed";
}

auto RollBackAndRelease(const std::shared_ptr<MemberConnectionPool>& pool,
                        ConnectionId link,
                        std::string id) -> void {
  pool->RunStatement(
      link, {.id = std::move(id), .kind = StatementKind::kRollback},
      [pool = pool.get(), link](const StatementAnswer* answer) {
        if (answer != nullptr && answer->state != TransactionState::kIdle) {
          pool->Discard(link);
        }
      });
  pool->Release(link);
}

auto IsWrite(const SessionStatement& statement,
             const PreparedStatement* prepared) -> bool {
  return statement.kind == StatementKind::kWrite ||
         (statement.kind == StatementKind::kExecute && prepared != nullptr &&
          prepared->writes);
}

/// One try to run a task on one connection.
struct StatementTaskRunner::Attempt {
  StatementTaskPtr task;
  std::shared_ptr<MemberConnectionPool> pool;
  ConnectionId link = 0;
  /// What became of the session's state on this connection.
  SessionStateResult state;
  /// Lowest log position at which a replica may run the statement.
  std::optional<LogPosition> floor;
  /// When the newest statement of the attempt was sent.
  Time sent{};
  /// Whether a transaction is open on the connection.
  bool transaction_open = false;

  auto member() const -> const std::string& { return pool->entry().member; }
  /// Returns whether a BEGIN goes ahead of the statement.
  auto needs_begin() const -> bool {
    return task->opening != TransactionOpening::kNone ||
           (task->access == StatementAccess::kPrimaryRead &&
            !task->granted_until);
  }
};

StatementTaskRunner::StatementTaskRunner(TimerService& timers,
                                         StatementTaskRunnerCallbacks callbacks)
    : timers_(timers), callbacks_(std::move(callbacks)) {}

auto StatementTaskRunner::Start(const StatementTaskPtr& task,
                                std::shared_ptr<MemberConnectionPool> pool,
                                ConnectionId link) -> void {
  auto attempt = std::make_shared<Attempt>();
  attempt->task = task;
  attempt->pool = std::move(pool);
  attempt->link = link;
  attempt->floor = task->floor;
  ++task->attempts;
  ++task->running_attempts;
  const auto asked = attempt->pool->ApplySessionState(
      link, *task->session, task->prepared_ptr(),
      [this, attempt](const SessionStateResult& it) {
        attempt->state = it;
        if (!attempt->needs_begin()) {
          OnStateApplied(attempt);
        }
      });
  if (attempt->needs_begin()) {
    SendBegin(attempt, !asked);
  }
}

auto StatementTaskRunner::OnStateApplied(const AttemptPtr& attempt) -> void {
  switch (attempt->state.outcome) {
    case SessionStateOutcome::kConnectionLost:
      EndWithoutEffect(attempt, RetryReason::kLinkLost);
      return;
    case SessionStateOutcome::kRefused:
      attempt->pool->Release(attempt->link);
      EndWithoutEffect(attempt, RetryReason::kStateRefused);
      return;
    case SessionStateOutcome::kApplied:
      break;
  }
  if (attempt->task->done) {
    --attempt->task->running_attempts;
    attempt->pool->Release(attempt->link);
    return;
  }
  SendTaskStatement(attempt);
}

auto StatementTaskRunner::SendBegin(const AttemptPtr& attempt,
                                    bool state_confirmed) -> void {
  const auto& task = *attempt->task;
  const auto read_only = task.access == StatementAccess::kReplicaRead;
  SessionStatement begin;
  begin.kind =
      read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  // The client's id is used only if the client sent the same text, and if the
  // member is known to run it with the session's values.
  const auto same_text =
      (task.opening == TransactionOpening::kReadOnly && read_only) ||
      (task.opening == TransactionOpening::kReadWrite && !read_only);
  begin.id = same_text && state_confirmed ? task.begin_id : "";
  begin.after = read_only ? attempt->floor : std::nullopt;
  attempt->sent = timers_.Now();
  attempt->pool->RunStatement(
      attempt->link, std::move(begin),
      [this, attempt](const StatementAnswer* answer) {
        OnBeginAnswer(attempt, answer);
      },
      Milliseconds(task.route.timeout_ms));
}

auto StatementTaskRunner::OnBeginAnswer(const AttemptPtr& attempt,
                                        const StatementAnswer* answer) -> void {
  if (answer == nullptr) {
    EndWithoutEffect(attempt, RetryReason::kLinkLost);
    return;
  }
  if (!answer->IsOk()) {
    attempt->pool->Release(attempt->link);
    const auto error = answer->error;
    EndWithoutEffect(attempt,
                     error == StatementError::kReadOnly ? RetryReason::kReadOnly
                     : error == StatementError::kLagging ? RetryReason::kLagging
                                                         : RetryReason::kBusy);
    return;
  }
  if (attempt->state.outcome != SessionStateOutcome::kApplied) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
    EndWithoutEffect(attempt, RetryReason::kStateRefused);
    return;
  }
  attempt->transaction_open = true;
  if (attempt->task->access != StatementAccess::kReplicaRead && answer->place) {
    callbacks_.primary_proved(attempt->member(), attempt->sent, *answer->place);
  }
  if (attempt->task->done) {
    --attempt->task->running_attempts;
    RollBackAndRelease(attempt->pool, attempt->link, "");
    return;
  }
  SendTaskStatement(attempt);
}

auto StatementTaskRunner::SendTaskStatement(const AttemptPtr& attempt) -> void {
  auto& task = *attempt->task;
  auto statement = task.statement;
  if (statement.kind == StatementKind::kExecute) {
    statement.name = attempt->state.prepared_name;
  }
  if (!attempt->transaction_open &&
      task.access == StatementAccess::kReplicaRead) {
    statement.after = attempt->floor;
  }
  task.statement_sent = true;
  attempt->sent = timers_.Now();
  const auto is_single = task.opening == TransactionOpening::kNone;
  attempt->pool->RunStatement(
      attempt->link, std::move(statement),
      [this, attempt](const StatementAnswer* answer) {
        OnStatementAnswer(attempt, answer);
      },
      Milliseconds(task.route.timeout_ms),
      is_single && IsWrite(task.statement, task.prepared_ptr())
          ? task.granted_until
          : std::nullopt);
  if (is_single && attempt->transaction_open) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
  } else if (is_single) {
    attempt->pool->Release(attempt->link);
  }
}

auto StatementTaskRunner::OnStatementAnswer(const AttemptPtr& attempt,
                                            const StatementAnswer* answer)
    -> void {
  const auto& task = *attempt->task;
  const auto is_single = task.opening == TransactionOpening::kNone;
  const auto writes = IsWrite(task.statement, task.prepared_ptr());
  if (answer != nullptr && answer->IsOk() && !answer->IsSigned()) {
    attempt->pool->Discard(attempt->link);
    answer = nullptr;
  }
  if (answer == nullptr) {
    if (is_single && writes) {
      StatementAnswer unknown;
      unknown.error = StatementError::kUnknownOutcome;
      unknown.text =
          "the connection to the member ended before its answer; "
          "read the row before writing again";
      FinishAttempt(attempt, std::move(unknown), false);
    } else {
      EndWithoutEffect(attempt, RetryReason::kLinkLost);
    }
    return;
  }
  callbacks_.answered(attempt->member(), timers_.Now() - attempt->sent);
  if (!answer->IsOk()) {
    OnStatementError(attempt, *answer);
    return;
  }
  if (is_single && writes && answer->place) {
    callbacks_.primary_proved(attempt->member(), attempt->sent, *answer->place);
  }
  FinishAttempt(attempt, *answer, !is_single);
}

auto StatementTaskRunner::OnStatementError(const AttemptPtr& attempt,
                                           const StatementAnswer& answer)
    -> void {
  const auto& task = *attempt->task;
  const auto is_single = task.opening == TransactionOpening::kNone;
  const auto writes = IsWrite(task.statement, task.prepared_ptr());
  if (!is_single) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
  }
  switch (answer.error) {
    case StatementError::kBusy:
      EndWithoutEffect(attempt, RetryReason::kBusy);
      return;
    case StatementError::kReadOnly:
      EndWithoutEffect(attempt, RetryReason::kReadOnly);
      return;
    case StatementError::kLagging:
      EndWithoutEffect(attempt, RetryReason::kLagging);
      return;
    case StatementError::kUnknownStatement:
      attempt->pool->Discard(attempt->link);
      EndWithoutEffect(attempt, RetryReason::kStatementForgotten);
      return;
    case StatementError::kFailed:
    case StatementError::kTimeout:
      if (!writes || !is_single) {
        EndWithoutEffect(attempt, RetryReason::kFailed);
        return;
      }
      break;
    default:
      break;
  }
  FinishAttempt(attempt, answer, false);
}

auto StatementTaskRunner::FinishAttempt(const AttemptPtr& attempt,
                                        StatementAnswer answer,
                                        bool keep_connection) -> void {
  auto& task = *attempt->task;
  --task.running_attempts;
  if (task.done) {
    if (keep_connection) {
      RollBackAndRelease(attempt->pool, attempt->link, "");
    }
    return;
  }
  StatementTaskResult result;
  result.answer = std::move(answer);
  result.member = attempt->member();
  if (keep_connection) {
    result.pinned = {attempt->pool, attempt->link};
  }
  callbacks_.finished(attempt->task, std::move(result));
}

auto StatementTaskRunner::EndWithoutEffect(const AttemptPtr& attempt,
                                           RetryReason retry_reason) -> void {
  auto& task = *attempt->task;
  --task.running_attempts;
  const auto may_have_run = retry_reason == RetryReason::kFailed ||
                            retry_reason == RetryReason::kLinkLost;
  if (!may_have_run && task.running_attempts == 0) {
    task.statement_sent = false;
  }
  // Copied, since the attempt may be the last owner of the pool and may be
  // destroyed by the callback.
  const auto member = attempt->member();
  callbacks_.retry_needed(attempt->task, member, retry_reason);
}

}  // namespace kingcuplock
