#include "kingcuplock/gateway/task_runner.h"

#include <utility>

namespace kingcuplock {

auto ToString(Setback setback) -> std::string_view {
  switch (setback) {
    case Setback::kBusy:
      return "busy";
    case Setback::kReadOnly:
      return "read_only";
    case Setback::kLagging:
      return "lagging";
    case Setback::kFailed:
      return "failed";
    case Setback::kLinkLost:
      return "link_lost";
    case Setback::kStatementForgotten:
      return "statement_forgotten";
  }
  return "failed";
}

auto RollBackAndRelease(const std::shared_ptr<LinkPool>& pool,
                        ConnectionId link,
                        std::string id) -> void {
  pool->Run(
      link, {.id = std::move(id), .kind = StatementKind::kRollback},
      [pool = pool.get(), link](const StatementAnswer* answer) {
        if (answer != nullptr && answer->state != TransactionState::kIdle) {
          pool->Discard(link);
        }
      });
  pool->Release(link);
}

auto Writes(const SessionStatement& statement,
            const PreparedStatement* prepared) -> bool {
  return statement.kind == StatementKind::kWrite ||
         (statement.kind == StatementKind::kExecute && prepared != nullptr &&
          prepared->writes);
}

struct TaskRunner::Attempt {
  TaskPtr task;
  std::shared_ptr<LinkPool> pool;
  ConnectionId link = 0;
  /// Name of the task's prepared statement on the connection.
  std::string prepared_name;
  std::optional<LogPlace> floor;
  Time sent{};
  /// Whether a transaction is open on the connection.
  bool begun = false;

  auto member() const -> const std::string& { return pool->entry().member; }
  auto begins() const -> bool {
    return task->opening != Opening::kNone ||
           (task->access == Access::kPrimaryRead && !task->granted_until);
  }
};

TaskRunner::TaskRunner(TimerService& timers, TaskRunnerPorts ports)
    : timers_(timers), ports_(std::move(ports)) {}

auto TaskRunner::Start(const TaskPtr& task,
                       std::shared_ptr<LinkPool> pool,
                       ConnectionId link) -> void {
  auto attempt = std::make_shared<Attempt>();
  attempt->task = task;
  attempt->pool = std::move(pool);
  attempt->link = link;
  attempt->floor = task->floor;
  ++task->attempts;
  ++task->running;
  attempt->prepared_name =
      attempt->pool->SetUp(link, *task->session, task->prepared_ptr());
  if (attempt->begins()) {
    Begin(attempt);
  } else {
    SendMain(attempt);
  }
}

auto TaskRunner::Begin(const AttemptPtr& attempt) -> void {
  const auto& task = *attempt->task;
  const auto read_only = task.access == Access::kReplicaRead;
  SessionStatement begin;
  begin.kind =
      read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  // The client's id goes only with the text that the client sent.
  const auto same_text = (task.opening == Opening::kReadOnly && read_only) ||
                         (task.opening == Opening::kReadWrite && !read_only);
  begin.id = same_text ? task.begin_id : "";
  begin.after = read_only ? attempt->floor : std::nullopt;
  attempt->sent = timers_.Now();
  attempt->pool->Run(
      attempt->link, std::move(begin),
      [this, attempt](const StatementAnswer* answer) {
        OnBegun(attempt, answer);
      },
      Milliseconds(task.route.timeout_ms));
}

auto TaskRunner::OnBegun(const AttemptPtr& attempt,
                         const StatementAnswer* answer) -> void {
  if (answer == nullptr) {
    EndWith(attempt, Setback::kLinkLost);
    return;
  }
  if (!answer->IsOk()) {
    attempt->pool->Release(attempt->link);
    const auto error = answer->error;
    EndWith(attempt, error == StatementError::kReadOnly  ? Setback::kReadOnly
                     : error == StatementError::kLagging ? Setback::kLagging
                                                         : Setback::kBusy);
    return;
  }
  attempt->begun = true;
  if (attempt->task->access != Access::kReplicaRead && answer->place) {
    ports_.led(attempt->member(), attempt->sent, *answer->place);
  }
  if (attempt->task->done) {
    --attempt->task->running;
    RollBackAndRelease(attempt->pool, attempt->link, "");
    return;
  }
  SendMain(attempt);
}

auto TaskRunner::SendMain(const AttemptPtr& attempt) -> void {
  auto& task = *attempt->task;
  auto statement = task.statement;
  if (statement.kind == StatementKind::kExecute) {
    statement.name = attempt->prepared_name;
  }
  if (!attempt->begun && task.access == Access::kReplicaRead) {
    statement.after = attempt->floor;
  }
  task.offered = true;
  attempt->sent = timers_.Now();
  const auto alone = task.opening == Opening::kNone;
  attempt->pool->Run(
      attempt->link, std::move(statement),
      [this, attempt](const StatementAnswer* answer) {
        OnMain(attempt, answer);
      },
      Milliseconds(task.route.timeout_ms),
      alone && Writes(task.statement, task.prepared_ptr()) ? task.granted_until
                                                           : std::nullopt);
  if (alone && attempt->begun) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
  } else if (alone) {
    attempt->pool->Release(attempt->link);
  }
}

auto TaskRunner::OnMain(const AttemptPtr& attempt,
                        const StatementAnswer* answer) -> void {
  const auto& task = *attempt->task;
  const auto alone = task.opening == Opening::kNone;
  const auto writes = Writes(task.statement, task.prepared_ptr());
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
      EndWith(attempt, Setback::kLinkLost);
    }
    return;
  }
  ports_.answered(attempt->member(), timers_.Now() - attempt->sent);
  if (!answer->IsOk()) {
    OnMainError(attempt, *answer);
    return;
  }
  if (alone && writes && answer->place) {
    ports_.led(attempt->member(), attempt->sent, *answer->place);
  }
  Finish(attempt, *answer, !alone);
}

auto TaskRunner::OnMainError(const AttemptPtr& attempt,
                             const StatementAnswer& answer) -> void {
  const auto& task = *attempt->task;
  const auto alone = task.opening == Opening::kNone;
  const auto writes = Writes(task.statement, task.prepared_ptr());
  if (!alone) {
    RollBackAndRelease(attempt->pool, attempt->link, "");
  }
  switch (answer.error) {
    case StatementError::kBusy:
      EndWith(attempt, Setback::kBusy);
      return;
    case StatementError::kReadOnly:
      EndWith(attempt, Setback::kReadOnly);
      return;
    case StatementError::kLagging:
      EndWith(attempt, Setback::kLagging);
      return;
    case StatementError::kUnknownStatement:
      attempt->pool->Discard(attempt->link);
      EndWith(attempt, Setback::kStatementForgotten);
      return;
    case StatementError::kFailed:
    case StatementError::kTimeout:
      if (!writes || !alone) {
        EndWith(attempt, Setback::kFailed);
        return;
      }
      break;
    default:
      break;
  }
  Finish(attempt, answer, false);
}

auto TaskRunner::Finish(const AttemptPtr& attempt,
                        StatementAnswer answer,
                        bool pin) -> void {
  auto& task = *attempt->task;
  --task.running;
  if (task.done) {
    if (pin) {
      RollBackAndRelease(attempt->pool, attempt->link, "");
    }
    return;
  }
  TaskResult result;
  result.answer = std::move(answer);
  result.member = attempt->member();
  if (pin) {
    result.pinned = {attempt->pool, attempt->link};
  }
  ports_.finished(attempt->task, std::move(result));
}

auto TaskRunner::EndWith(const AttemptPtr& attempt, Setback setback) -> void {
  --attempt->task->running;
  // Bound first: the attempt may be the last owner of the pool.
  const auto member = attempt->member();
  ports_.setback(attempt->task, member, setback);
}

}  // namespace kingcuplock
