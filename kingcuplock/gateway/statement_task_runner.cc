#include "kingcuplock/gateway/statement_task_runner.h"

#include <utility>

namespace kingcuplock {

auto ToString(RetryReason setback) -> std::string_view {
  switch (setback) {
    case RetryReason::kBusy:
      return "busy";
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

struct StatementTaskRunner::Attempt {
  StatementTaskPtr task;
  std::shared_ptr<MemberConnectionPool> pool;
  ConnectionId link = 0;
  /// Name of the task's prepared statement on the connection.
  std::string prepared_name;
  std::optional<LogPlace> floor;
  Time sent{};
  /// Whether a transaction is open on the connection.
  bool begun = false;

  auto member() const -> const std::string& { return pool->entry().member; }
  auto begins() const -> bool {
    return task->opening != TransactionOpening::kNone ||
           (task->access == StatementAccess::kPrimaryRead &&
            !task->granted_until);
  }
};

StatementTaskRunner::StatementTaskRunner(TimerService& timers,
                                         StatementTaskRunnerCallbacks ports)
    : timers_(timers), ports_(std::move(ports)) {}

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
  attempt->prepared_name = attempt->pool->ApplySessionState(
      link, *task->session, task->prepared_ptr());
  if (attempt->begins()) {
    Begin(attempt);
  } else {
    SendMain(attempt);
  }
}

auto StatementTaskRunner::Begin(const AttemptPtr& attempt) -> void {
  const auto& task = *attempt->task;
  const auto read_only = task.access == StatementAccess::kReplicaRead;
  SessionStatement begin;
  begin.kind =
      read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  // The client's id goes only with the text that the client sent.
  const auto same_text =
      (task.opening == TransactionOpening::kReadOnly && read_only) ||
      (task.opening == TransactionOpening::kReadWrite && !read_only);
  begin.id = same_text ? task.begin_id : "";
  begin.after = read_only ? attempt->floor : std::nullopt;
  attempt->sent = timers_.Now();
  attempt->pool->RunStatement(
      attempt->link, std::move(begin),
      [this, attempt](const StatementAnswer* answer) {
        OnBegun(attempt, answer);
      },
      Milliseconds(task.route.timeout_ms));
}

auto StatementTaskRunner::OnBegun(const AttemptPtr& attempt,
                                  const StatementAnswer* answer) -> void {
  if (answer == nullptr) {
    EndWith(attempt, RetryReason::kLinkLost);
    return;
  }
  if (!answer->IsOk()) {
    attempt->pool->Release(attempt->link);
    const auto error = answer->error;
    EndWith(attempt, error == StatementError::kReadOnly ? RetryReason::kReadOnly
                     : error == StatementError::kLagging ? RetryReason::kLagging
                                                         : RetryReason::kBusy);
    return;
  }
  attempt->begun = true;
  if (attempt->task->access != StatementAccess::kReplicaRead && answer->place) {
    ports_.primary_proved(attempt->member(), attempt->sent, *answer->place);
  }
  if (attempt->task->done) {
    --attempt->task->running_attempts;
    RollBackAndRelease(attempt->pool, attempt->link, "");
    return;
  }
  SendMain(attempt);
}

auto StatementTaskRunner::SendMain(const AttemptPtr& attempt) -> void {
  auto& task = *attempt->task;
  auto statement = task.statement;
  if (statement.kind == StatementKind::kExecute) {
    statement.name = attempt->prepared_name;
  }
  if (!attempt->begun && task.access == StatementAccess::kReplicaRead) {
    statement.after = attempt->floor;
  }
  task.statement_sent = true;
  attempt->sent = timers_.Now();
  const auto alone = task.opening == TransactionOpening::kNone;
  attempt->pool->RunStatement(
      attempt->link, std::move(statement),
      [this, attempt](const StatementAnswer* answer) {
        OnMain(attempt, answer);
      },
      Milliseconds(task.route.timeout_ms),
      alone && IsWrite(task.statement, task.prepared_ptr()) ? task.granted_until
                                                            : std::nullopt);
  if (alone && attempt->begun) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
  } else if (alone) {
    attempt->pool->Release(attempt->link);
  }
}

auto StatementTaskRunner::OnMain(const AttemptPtr& attempt,
                                 const StatementAnswer* answer) -> void {
  const auto& task = *attempt->task;
  const auto alone = task.opening == TransactionOpening::kNone;
  const auto writes = IsWrite(task.statement, task.prepared_ptr());
  if (answer != nullptr && answer->IsOk() && !answer->IsSigned()) {
    attempt->pool->Discard(attempt->link);
    answer = nullptr;
  }
  if (answer == nullptr) {
    if (alone && writes) {
      StatementAnswer unknown;
      unknown.error = StatementError::kUnknownOutcome;
      unknown.text =
          "the connection to the member ended before its answer; "
          "read the row before writing again";
      Finish(attempt, std::move(unknown), false);
    } else {
      EndWith(attempt, RetryReason::kLinkLost);
    }
    return;
  }
  ports_.answered(attempt->member(), timers_.Now() - attempt->sent);
  if (!answer->IsOk()) {
    OnMainError(attempt, *answer);
    return;
  }
  if (alone && writes && answer->place) {
    ports_.primary_proved(attempt->member(), attempt->sent, *answer->place);
  }
  Finish(attempt, *answer, !alone);
}

auto StatementTaskRunner::OnMainError(const AttemptPtr& attempt,
                                      const StatementAnswer& answer) -> void {
  const auto& task = *attempt->task;
  const auto alone = task.opening == TransactionOpening::kNone;
  const auto writes = IsWrite(task.statement, task.prepared_ptr());
  if (!alone) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
  }
  switch (answer.error) {
    case StatementError::kBusy:
      EndWith(attempt, RetryReason::kBusy);
      return;
    case StatementError::kReadOnly:
      EndWith(attempt, RetryReason::kReadOnly);
      return;
    case StatementError::kLagging:
      EndWith(attempt, RetryReason::kLagging);
      return;
    case StatementError::kUnknownStatement:
      attempt->pool->Discard(attempt->link);
      EndWith(attempt, RetryReason::kStatementForgotten);
      return;
    case StatementError::kFailed:
    case StatementError::kTimeout:
      if (!writes || !alone) {
        EndWith(attempt, RetryReason::kFailed);
        return;
      }
      break;
    default:
      break;
  }
  Finish(attempt, answer, false);
}

auto StatementTaskRunner::Finish(const AttemptPtr& attempt,
                                 StatementAnswer answer,
                                 bool pin) -> void {
  auto& task = *attempt->task;
  --task.running_attempts;
  if (task.done) {
    if (pin) {
      RollBackAndRelease(attempt->pool, attempt->link, "");
    }
    return;
  }
  StatementTaskResult result;
  result.answer = std::move(answer);
  result.member = attempt->member();
  if (pin) {
    result.pinned = {attempt->pool, attempt->link};
  }
  ports_.finished(attempt->task, std::move(result));
}

auto StatementTaskRunner::EndWith(const AttemptPtr& attempt,
                                  RetryReason setback) -> void {
  --attempt->task->running_attempts;
  // Bound first: the attempt may be the last owner of the pool.
  const auto member = attempt->member();
  ports_.setback(attempt->task, member, setback);
}

}  // namespace kingcuplock
