#include "kingcuplock/gateway/session.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

// Returns whether the gateway answers the statement itself, without a member.
auto IsLocal(StatementKind kind) -> bool {
  switch (kind) {
    case StatementKind::kCommit:
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      return false;
    default:
      return true;
  }
}

}  // namespace

Session::Session(ConnectionId client,
                 ClientHello hello,
                 std::string tenant,
                 const SessionCallbacks& callbacks,
                 TimerService& timers,
                 GatewayOutbox& out,
                 Outbox& log)
    : client_(client),
      hello_(std::move(hello)),
      tenant_(std::move(tenant)),
      callbacks_(callbacks),
      timers_(timers),
      out_(out),
      log_(log) {}

Session::~Session() {
  // Callbacks that are called below must not reach this session any more.
  guard_.Release();
  timers_.Cancel(idle_timer_);
  timers_.Cancel(pinned_deadline_);
  if (task_) {
    if (auto* group = callbacks_.group(route_.group)) {
      group->Cancel(task_);
    }
    task_->done = true;
  }
  if (pinned_) {
    ReleasePinned(!busy_);
  }
}

auto Session::HandleStatement(SessionStatement statement) -> void {
  if (waiting_.size() >= kMaxWaitingStatements) {
    log_.Log(Event::kClientRejected,
             {{"client", std::to_string(client_)},
              {"reason", "too many statements wait for their answers"}});
    out_.Add(CloseStream{client_});
    return;
  }
  waiting_.push_back(std::move(statement));
  RunNextStatement();
}

auto Session::RunNextStatement() -> void {
  if (std::exchange(running_next_, true)) {
    return;
  }
  while (!busy_ && !waiting_.empty()) {
    auto statement = std::move(waiting_.front());
    waiting_.pop_front();
    RunStatement(std::move(statement));
  }
  running_next_ = false;
}

auto Session::RunStatement(SessionStatement statement) -> void {
  busy_ = true;
  timers_.Cancel(std::exchange(idle_timer_, 0));
  current_ = statement;
  current_started_ = timers_.Now();
  const auto ends_transaction = statement.kind == StatementKind::kRollback ||
                                statement.kind == StatementKind::kCommit;
  if (transaction_state_ == TransactionState::kFailed) {
    if (!ends_transaction) {
      AnswerError(StatementError::kMalformed,
                  "the transaction failed; roll it back");
    } else {
      transaction_state_ = TransactionState::kIdle;
      StatementAnswer answer;
      if (statement.kind == StatementKind::kCommit) {
        answer.error = StatementError::kAborted;
        answer.text = "the transaction had failed and was rolled back";
      }
      Answer(std::move(answer));
    }
    return;
  }
  if (rolled_back_idle_ && transaction_state_ == TransactionState::kOpen &&
      !ends_transaction) {
    rolled_back_idle_ = false;
    AnswerError(StatementError::kAborted,
                "the transaction was rolled back after its idle time");
    return;
  }
  if (RefuseForStop(statement) || RefuseWithoutKey(statement)) {
    return;
  }
  if (IsLocal(statement.kind)) {
    AnswerLocally(statement);
  } else {
    RunAtMember(std::move(statement));
  }
}

// Returns whether the statement begins a transaction, or is one that needs a
// member and stands outside a transaction.
auto Session::BeginsOperation(const SessionStatement& statement) const -> bool {
  const auto begins = statement.kind == StatementKind::kBegin ||
                      statement.kind == StatementKind::kBeginReadOnly;
  return transaction_state_ != TransactionState::kOpen &&
         (begins || (!IsLocal(statement.kind) &&
                     statement.kind != StatementKind::kCommit));
}

// Refuses a statement that might not be answered before the instance stops. A
// client that sends one operation after the other leaves no moment at which its
// session could be closed without a loss.
auto Session::RefuseForStop(const SessionStatement& statement) -> bool {
  const auto phase = callbacks_.stop_phase();
  const auto open = transaction_state_ == TransactionState::kOpen;
  if (BeginsOperation(statement) && phase >= StopPhase::kRefusingNew) {
    AnswerError(StatementError::kBusy,
                "the instance is about to stop; connect again");
    callbacks_.close_when_idle(client_);
    return true;
  }
  if (!open || statement.kind == StatementKind::kRollback ||
      phase < StopPhase::kEndingTransactions) {
    return false;
  }
  AbortTransaction(statement,
                   "the instance is about to stop and has rolled the "
                   "transaction back; connect again and start it again");
  return true;
}

// Refuses a statement of a session whose key was removed, unless it belongs to
// a transaction that still has time to end.
auto Session::RefuseWithoutKey(const SessionStatement& statement) -> bool {
  if (!key_removed_) {
    return false;
  }
  if (BeginsOperation(statement)) {
    AnswerError(StatementError::kUnauthorized,
                "the key is no longer valid; connect with another one");
    callbacks_.close_when_idle(client_);
    return true;
  }
  const auto time_over = timers_.Now() - *key_removed_ >=
                         callbacks_.transaction_time_without_key();
  if (transaction_state_ != TransactionState::kOpen || !time_over ||
      statement.kind == StatementKind::kRollback) {
    return false;
  }
  AbortTransaction(statement,
                   "the key is no longer valid, and the transaction was rolled "
                   "back; connect with another key and start it again");
  return true;
}

// Rolls the open transaction back and answers `statement` with that.
auto Session::AbortTransaction(const SessionStatement& statement,
                               std::string text) -> void {
  if (pinned_) {
    auto pinned = std::exchange(pinned_, {});
    RollBackAndRelease(pinned.pool, pinned.link, "");
  }
  if (statement.kind == StatementKind::kCommit) {
    transaction_state_ = TransactionState::kIdle;
  }
  AnswerError(StatementError::kAborted, std::move(text));
  callbacks_.close_when_idle(client_);
}

auto Session::NoteKeyRemoved() -> void {
  if (key_removed_) {
    return;
  }
  key_removed_ = timers_.Now();
  log_.Log(Event::kSessionKeyRemoved,
           {{"client", std::to_string(client_)},
            {"tenant", tenant_},
            {"database", hello_.database},
            {"in_transaction",
             transaction_state_ == TransactionState::kIdle ? "no" : "yes"}});
  if (IsIdle()) {
    callbacks_.close_when_idle(client_);
  }
}

auto Session::EndRunningStatements() -> void {
  if (task_) {
    if (auto* group = callbacks_.group(route_.group)) {
      group->EndTask(task_, "the instance stops");
    }
  } else if (pinned_ && busy_ && pinned_deadline_ != 0) {
    // This calls OnPinnedAnswer() with nullptr, for a lost connection.
    pinned_.pool->Discard(pinned_.link);
  } else if (pinned_ && busy_) {
    OnCommitGrantMissing();
  }
}

auto Session::AnswerLocally(const SessionStatement& statement) -> void {
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      BeginTransaction(statement);
      return;
    case StatementKind::kRollback:
      RollBackTransaction(statement);
      return;
    case StatementKind::kSetValue:
      session_state_->values[statement.name] = statement.arguments;
      Answer({});
      return;
    case StatementKind::kPrepare:
      PrepareStatement(statement);
      return;
    case StatementKind::kDeallocate:
      DeallocateStatement(statement);
      return;
    default:
      AnswerError(
          StatementError::kMalformed,
          "unknown statement; send BEGIN, COMMIT, ROLLBACK, READ, WRITE, SET, "
          "PREPARE, EXECUTE or DEALLOCATE");
      return;
  }
}

auto Session::BeginTransaction(const SessionStatement& statement) -> void {
  if (transaction_state_ == TransactionState::kOpen) {
    AnswerError(StatementError::kMalformed, "a transaction is open already");
    return;
  }
  const auto* route = callbacks_.route(hello_.database);
  if (route == nullptr) {
    AnswerError(StatementError::kUnknownDatabase, hello_.database);
    return;
  }
  route_ = *route;
  transaction_state_ = TransactionState::kOpen;
  read_only_ = statement.kind == StatementKind::kBeginReadOnly;
  begin_id_ = statement.id;
  began_ = timers_.Now();
  has_writes_ = false;
  rolled_back_idle_ = false;
  Answer({});
}

auto Session::RollBackTransaction(const SessionStatement& statement) -> void {
  if (pinned_) {
    RollBackAndRelease(pinned_.pool, pinned_.link, statement.id);
    pinned_ = {};
  }
  transaction_state_ = TransactionState::kIdle;
  rolled_back_idle_ = false;
  Answer({});
}

auto Session::PrepareStatement(const SessionStatement& statement) -> void {
  // Member connections identify prepared statements by what they run, not by
  // the client's name, so a connection that has the name's former statement
  // needs no change.
  session_state_->prepared[statement.name] = {statement.prepares_write,
                                              statement.arguments};
  Answer({});
}

auto Session::DeallocateStatement(const SessionStatement& statement) -> void {
  if (session_state_->prepared.erase(statement.name) == 0) {
    AnswerError(StatementError::kUnknownStatement, statement.name);
    return;
  }
  Answer({});
}

auto Session::RunAtMember(SessionStatement statement) -> void {
  std::optional<PreparedStatement> prepared;
  if (statement.kind == StatementKind::kExecute) {
    const auto it = session_state_->prepared.find(statement.name);
    if (it == session_state_->prepared.end()) {
      AnswerError(StatementError::kUnknownStatement, statement.name);
      return;
    }
    prepared = it->second;
  }
  if (transaction_state_ == TransactionState::kOpen && read_only_ &&
      IsWrite(statement, prepared ? &*prepared : nullptr)) {
    AnswerError(StatementError::kReadOnly,
                "the transaction is read-only; begin one that writes");
    return;
  }
  if (transaction_state_ == TransactionState::kIdle) {
    if (statement.kind == StatementKind::kCommit) {
      AnswerError(StatementError::kMalformed, "no transaction is open");
      return;
    }
    const auto* route = callbacks_.route(hello_.database);
    if (route == nullptr) {
      AnswerError(StatementError::kUnknownDatabase, hello_.database);
      return;
    }
    route_ = *route;
  }
  if (pinned_) {
    RunPinned(std::move(statement), std::move(prepared));
  } else if (rolled_back_idle_) {
    transaction_state_ = TransactionState::kIdle;
    rolled_back_idle_ = false;
    AnswerError(StatementError::kAborted,
                "the transaction was rolled back after its idle time");
  } else {
    Submit(std::move(statement), std::move(prepared));
  }
}

auto Session::Submit(SessionStatement statement,
                     std::optional<PreparedStatement> prepared) -> void {
  auto* group = callbacks_.group(route_.group);
  if (group == nullptr) {
    AnswerError(StatementError::kBusy,
                "the group of the route is not known yet");
    return;
  }
  const auto in_transaction = transaction_state_ == TransactionState::kOpen;
  const auto writes = IsWrite(statement, prepared ? &*prepared : nullptr);
  auto task = std::make_shared<StatementTask>();
  task->client = client_;
  task->tenant = tenant_;
  task->statement = std::move(statement);
  task->prepared = std::move(prepared);
  task->route = route_;
  task->session = session_state_;
  task->session_position =
      route_.read_mode == ReadMode::kSession ? written_position_ : std::nullopt;
  task->begin_id = begin_id_;
  // In a transaction, the age of the data that reads may return is measured
  // from BEGIN.
  task->arrived = in_transaction ? began_ : timers_.Now();
  task->deadline = timers_.Now() + Milliseconds(route_.timeout_ms);
  const auto reads_replica = route_.read_mode != ReadMode::kPrimary &&
                             (in_transaction ? read_only_ : !writes);
  if (reads_replica) {
    task->access = StatementAccess::kReplicaRead;
  } else {
    task->access = writes || in_transaction ? StatementAccess::kWrite
                                            : StatementAccess::kPrimaryRead;
  }
  if (in_transaction) {
    task->opening = read_only_ ? TransactionOpening::kReadOnly
                               : TransactionOpening::kReadWrite;
    has_writes_ = has_writes_ || writes;
  }
  task->on_finished = guard_.Bind(
      [this](StatementTaskResult result) { OnTaskDone(std::move(result)); });
  task->on_repeat = guard_.Bind([this] { callbacks_.note_repeat(tenant_); });
  task_ = task;
  callbacks_.admit(tenant_, guard_.Bind([this, task](const QuotaDecision& it) {
    OnQuotaDecided(task, it);
  }));
}

auto Session::OnQuotaDecided(const StatementTaskPtr& task,
                             const QuotaDecision& decision) -> void {
  if (task->done) {
    return;
  }
  auto* group = callbacks_.group(route_.group);
  if (decision.admitted && group != nullptr) {
    group->Submit(task);
    return;
  }
  task_ = nullptr;
  task->done = true;
  AnswerError(StatementError::kBusy,
              decision.admitted
                  ? "the group of the route is not known yet"
                  : fmt::format("{}; retry after {} ms", decision.reason,
                                decision.retry_after_ms));
}

auto Session::OnTaskDone(StatementTaskResult result) -> void {
  const auto task = std::exchange(task_, nullptr);
  if (result.position_lost) {
    log_.Log(Event::kSessionWritesLost, {{"request", current_.id},
                                         {"client", std::to_string(client_)},
                                         {"group", route_.group}});
    written_position_.reset();
  }
  auto answer = std::move(result.answer);
  const auto in_transaction = transaction_state_ == TransactionState::kOpen;
  if (!in_transaction) {
    if (answer.IsOk() && task->access == StatementAccess::kWrite) {
      NoteWritten(answer);
    }
    answer.state = TransactionState::kIdle;
    Answer(std::move(answer));
    return;
  }
  if (!answer.IsOk()) {
    transaction_state_ = current_.kind == StatementKind::kCommit
                             ? TransactionState::kIdle
                             : TransactionState::kFailed;
    Answer(std::move(answer));
    return;
  }
  pinned_ = std::move(result.pinned);
  if (current_.kind == StatementKind::kCommit) {
    pinned_.pool->Release(pinned_.link);
    pinned_ = {};
    transaction_state_ = TransactionState::kIdle;
  }
  Answer(std::move(answer));
}

auto Session::NoteWritten(const StatementAnswer& answer) -> void {
  if (answer.place) {
    written_position_ =
        std::max(written_position_.value_or(LogPosition{}), *answer.place);
  }
}

auto Session::AnswerError(StatementError error, std::string text) -> void {
  const auto open = transaction_state_ == TransactionState::kOpen;
  if (open && current_.kind != StatementKind::kBegin &&
      current_.kind != StatementKind::kBeginReadOnly) {
    if (pinned_) {
      ReleasePinned(true);
    }
    transaction_state_ = TransactionState::kFailed;
  }
  StatementAnswer answer;
  answer.error = error;
  answer.text = std::move(text);
  log_.Log(Event::kStatementFailed, {{"request", current_.id},
                                     {"client", std::to_string(client_)},
                                     {"outcome", std::string(ToString(error))},
                                     {"reason", answer.text}});
  Answer(std::move(answer));
}

auto Session::Answer(StatementAnswer answer) -> void {
  busy_ = false;
  answer.state = transaction_state_;
  callbacks_.answered(answer.error, timers_.Now() - current_started_);
  out_.Add(AnswerClient{client_, std::move(answer)});
  StartIdleTimer();
  if (key_removed_ && IsIdle()) {
    callbacks_.close_when_idle(client_);
  }
  RunNextStatement();
}

auto Session::StartIdleTimer() -> void {
  if (!pinned_) {
    return;
  }
  timers_.Cancel(idle_timer_);
  idle_timer_ =
      timers_.After(callbacks_.transaction_idle(), guard_.Bind([this] {
        if (!pinned_ || busy_) {
          return;
        }
        log_.Log(Event::kTransactionIdle,
                 {{"client", std::to_string(client_)},
                  {"request", begin_id_},
                  {"member", pinned_.pool->entry().member}});
        current_.kind = StatementKind::kRollback;
        ReleasePinned(true);
        rolled_back_idle_ = true;
      }));
}

}  // namespace kingcuplock
