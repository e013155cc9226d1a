#include "kingcuplock/gateway/session.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Time in ms after which a statement of a transaction counts as lost; above
/// the slowest ordinary statement that a full queue of a member delays.
constexpr Milliseconds kLeastStatementPatience{250};
/// Time in ms that a commit waits for word that its member still leads: the
/// holder's answer and that of the members, twice.
constexpr Milliseconds kCommitPatience{150};

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
                 const SessionPorts& ports,
                 TimerService& timers,
                 GatewayOutbox& out,
                 Outbox& log)
    : client_(client),
      hello_(std::move(hello)),
      ports_(ports),
      timers_(timers),
      out_(out),
      log_(log) {}

Session::~Session() {
  // Answers that end below are nobody's any more.
  guard_.Release();
  timers_.Cancel(idle_timer_);
  timers_.Cancel(pinned_deadline_);
  if (task_) {
    if (auto* group = ports_.group(route_.group)) {
      group->Cancel(task_);
    }
    task_->done = true;
  }
  if (pinned_) {
    EndPinned(!busy_);
  }
}

auto Session::Handle(SessionStatement statement) -> void {
  if (waiting_.size() >= kMaxWaiting) {
    log_.Log(Event::kClientRejected,
             {{"client", std::to_string(client_)},
              {"reason", "too many statements ahead of their answers"}});
    out_.Add(CloseStream{client_});
    return;
  }
  waiting_.push_back(std::move(statement));
  Next();
}

auto Session::Next() -> void {
  if (std::exchange(advancing_, true)) {
    return;
  }
  while (!busy_ && !waiting_.empty()) {
    auto statement = std::move(waiting_.front());
    waiting_.pop_front();
    RunStatement(std::move(statement));
  }
  advancing_ = false;
}

auto Session::RunStatement(SessionStatement statement) -> void {
  busy_ = true;
  timers_.Cancel(std::exchange(idle_timer_, 0));
  current_ = statement;
  current_since_ = timers_.Now();
  const auto ends = statement.kind == StatementKind::kRollback ||
                    statement.kind == StatementKind::kCommit;
  if (state_ == TransactionState::kFailed) {
    if (!ends) {
      Fail(StatementError::kMalformed, "the transaction failed; roll it back");
    } else {
      state_ = TransactionState::kIdle;
      StatementAnswer answer;
      if (statement.kind == StatementKind::kCommit) {
        answer.error = StatementError::kAborted;
        answer.text = "the transaction had failed and was rolled back";
      }
      Answer(std::move(answer));
    }
    return;
  }
  if (rolled_back_ && state_ == TransactionState::kOpen && !ends) {
    rolled_back_ = false;
    Fail(StatementError::kAborted,
         "the transaction was rolled back after its idle time");
    return;
  }
  if (IsLocal(statement.kind)) {
    RunLocally(statement);
  } else {
    RunAtMember(std::move(statement));
  }
}

auto Session::RunLocally(const SessionStatement& statement) -> void {
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      Begin(statement);
      return;
    case StatementKind::kRollback:
      RollBack(statement);
      return;
    case StatementKind::kSetValue:
      set_up_->values[statement.name] = statement.arguments;
      Answer({});
      return;
    case StatementKind::kPrepare:
      Prepare(statement);
      return;
    case StatementKind::kDeallocate:
      Deallocate(statement);
      return;
    default:
      Fail(StatementError::kMalformed,
           "unknown statement; send BEGIN, COMMIT, ROLLBACK, READ, WRITE, SET, "
           "PREPARE, EXECUTE or DEALLOCATE");
      return;
  }
}

auto Session::Begin(const SessionStatement& statement) -> void {
  if (state_ == TransactionState::kOpen) {
    Fail(StatementError::kMalformed, "a transaction is open already");
    return;
  }
  const auto* route = ports_.route(hello_.database);
  if (route == nullptr) {
    Fail(StatementError::kUnknownDatabase, hello_.database);
    return;
  }
  route_ = *route;
  state_ = TransactionState::kOpen;
  read_only_ = statement.kind == StatementKind::kBeginReadOnly;
  begin_id_ = statement.id;
  began_ = timers_.Now();
  wrote_ = false;
  rolled_back_ = false;
  Answer({});
}

auto Session::RollBack(const SessionStatement& statement) -> void {
  if (pinned_) {
    RollBackAndRelease(pinned_.pool, pinned_.link, statement.id);
    pinned_ = {};
  }
  state_ = TransactionState::kIdle;
  rolled_back_ = false;
  Answer({});
}

auto Session::Prepare(const SessionStatement& statement) -> void {
  // Connections may hold the earlier shape under the same name; they know
  // statements by what they run, so nothing there has to change.
  set_up_->prepared[statement.name] = {statement.prepares_write,
                                       statement.arguments};
  Answer({});
}

auto Session::Deallocate(const SessionStatement& statement) -> void {
  if (set_up_->prepared.erase(statement.name) == 0) {
    Fail(StatementError::kUnknownStatement, statement.name);
    return;
  }
  Answer({});
}

auto Session::RunAtMember(SessionStatement statement) -> void {
  std::optional<PreparedStatement> prepared;
  if (statement.kind == StatementKind::kExecute) {
    const auto it = set_up_->prepared.find(statement.name);
    if (it == set_up_->prepared.end()) {
      Fail(StatementError::kUnknownStatement, statement.name);
      return;
    }
    prepared = it->second;
  }
  if (state_ == TransactionState::kOpen && read_only_ &&
      IsWrite(statement, prepared ? &*prepared : nullptr)) {
    Fail(StatementError::kReadOnly,
         "the transaction is read-only; begin one that writes");
    return;
  }
  if (state_ == TransactionState::kIdle) {
    if (statement.kind == StatementKind::kCommit) {
      Fail(StatementError::kMalformed, "no transaction is open");
      return;
    }
    const auto* route = ports_.route(hello_.database);
    if (route == nullptr) {
      Fail(StatementError::kUnknownDatabase, hello_.database);
      return;
    }
    route_ = *route;
  }
  if (pinned_) {
    RunPinned(std::move(statement), std::move(prepared));
  } else if (rolled_back_) {
    state_ = TransactionState::kIdle;
    rolled_back_ = false;
    Fail(StatementError::kAborted,
         "the transaction was rolled back after its idle time");
  } else {
    Submit(std::move(statement), std::move(prepared));
  }
}

auto Session::Submit(SessionStatement statement,
                     std::optional<PreparedStatement> prepared) -> void {
  auto* group = ports_.group(route_.group);
  if (group == nullptr) {
    Fail(StatementError::kBusy, "the group of the route is not known yet");
    return;
  }
  const auto in_transaction = state_ == TransactionState::kOpen;
  const auto writes = IsWrite(statement, prepared ? &*prepared : nullptr);
  auto task = std::make_shared<StatementTask>();
  task->client = client_;
  task->statement = std::move(statement);
  task->prepared = std::move(prepared);
  task->route = route_;
  task->session = set_up_;
  task->session_position =
      route_.read_mode == ReadMode::kSession ? seen_ : std::nullopt;
  task->begin_id = begin_id_;
  // Freshness counts from the transaction's first byte.
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
    wrote_ = wrote_ || writes;
  }
  task->on_finished = guard_.Bind(
      [this](StatementTaskResult result) { OnTaskDone(std::move(result)); });
  task_ = task;
  group->Submit(task);
}

auto Session::OnTaskDone(StatementTaskResult result) -> void {
  const auto task = std::exchange(task_, nullptr);
  if (result.position_lost) {
    log_.Log(Event::kSessionPlaceLost, {{"request", current_.id},
                                        {"client", std::to_string(client_)},
                                        {"group", route_.group}});
    seen_.reset();
  }
  auto answer = std::move(result.answer);
  const auto in_transaction = state_ == TransactionState::kOpen;
  if (!in_transaction) {
    if (answer.IsOk() && task->access == StatementAccess::kWrite) {
      NotePlace(answer);
    }
    answer.state = TransactionState::kIdle;
    Answer(std::move(answer));
    return;
  }
  if (!answer.IsOk()) {
    state_ = current_.kind == StatementKind::kCommit
                 ? TransactionState::kIdle
                 : TransactionState::kFailed;
    Answer(std::move(answer));
    return;
  }
  pinned_ = std::move(result.pinned);
  if (current_.kind == StatementKind::kCommit) {
    pinned_.pool->Release(pinned_.link);
    pinned_ = {};
    state_ = TransactionState::kIdle;
  }
  Answer(std::move(answer));
}

auto Session::RunPinned(SessionStatement statement,
                        std::optional<PreparedStatement> prepared) -> void {
  const auto* runs = prepared ? &*prepared : nullptr;
  wrote_ = wrote_ || IsWrite(statement, runs);
  const auto name =
      pinned_.pool->ApplySessionState(pinned_.link, *set_up_, runs);
  if (statement.kind == StatementKind::kExecute) {
    statement.name = name;
  }
  auto* group = ports_.group(route_.group);
  const auto needs_lead =
      statement.kind == StatementKind::kCommit && wrote_ && group != nullptr;
  if (!needs_lead) {
    SendPinned(std::move(statement), std::nullopt);
    return;
  }
  group->AwaitLead(pinned_.pool->entry().member, kCommitPatience,
                   guard_.Bind([this, statement = std::move(statement)](
                                   std::optional<Time> until) {
                     if (!pinned_) {
                       return;
                     }
                     if (until) {
                       SendPinned(statement, until);
                     } else {
                       OnCommitUngranted();
                     }
                   }));
}

// Nobody vouches that the member still leads: the commit is not sent.
auto Session::OnCommitUngranted() -> void {
  log_.Log(Event::kStatementRefused, {{"request", current_.id},
                                      {"client", std::to_string(client_)},
                                      {"group", route_.group},
                                      {"member", pinned_.pool->entry().member},
                                      {"transaction", begin_id_},
                                      {"outcome", "no grant for the primary"}});
  EndPinned(false);
  state_ = TransactionState::kIdle;
  StatementAnswer answer;
  answer.error = StatementError::kAborted;
  answer.text =
      "the primary may have been replaced; the transaction is rolled back, "
      "start it again";
  Answer(std::move(answer));
}

auto Session::SendPinned(SessionStatement statement,
                         std::optional<Time> not_after) -> void {
  pinned_sent_ = timers_.Now();
  // A transaction whose statement got lost can start again if it is rolled
  // back soon; a commit can only be waited for.
  const auto patience =
      statement.kind == StatementKind::kCommit
          ? Duration(Milliseconds(route_.timeout_ms))
          : std::min<Duration>(
                Milliseconds(route_.timeout_ms),
                std::max<Duration>(Milliseconds(route_.target_ms),
                                   kLeastStatementPatience));
  pinned_deadline_ =
      timers_.After(patience, guard_.Bind([this] { OnPinnedDeadline(); }));
  pinned_.pool->RunStatement(
      pinned_.link, std::move(statement),
      guard_.Bind([this](const StatementAnswer* it) { OnPinnedAnswer(it); }),
      2 * Duration(Milliseconds(route_.timeout_ms)), not_after);
}

auto Session::OnPinnedDeadline() -> void {
  if (pinned_) {
    // The answer callback then reports the connection as lost.
    pinned_.pool->Discard(pinned_.link);
  }
}

auto Session::LogPinned(const StatementAnswer* answer) -> void {
  const auto ok = answer != nullptr && answer->IsOk();
  log_.Log(
      ok ? Event::kStatementServed : Event::kStatementFailed,
      {{"request", current_.id},
       {"client", std::to_string(client_)},
       {"group", route_.group},
       {"member", pinned_.pool->entry().member},
       {"kind", std::string(ToString(current_.kind))},
       {"outcome",
        answer == nullptr ? "link_lost" : std::string(ToString(answer->error))},
       {"transaction", begin_id_},
       {"age_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                     timers_.Now() - pinned_sent_)
                                     .count())}});
}

auto Session::OnPinnedAnswer(const StatementAnswer* answer) -> void {
  timers_.Cancel(std::exchange(pinned_deadline_, 0));
  if (answer != nullptr && answer->IsOk() && !answer->IsSigned()) {
    pinned_.pool->Discard(pinned_.link);
    answer = nullptr;
  }
  LogPinned(answer);
  const auto commits = current_.kind == StatementKind::kCommit;
  if (answer == nullptr) {
    pinned_ = {};
    state_ = commits ? TransactionState::kIdle : TransactionState::kFailed;
    StatementAnswer lost;
    lost.error = commits && wrote_ ? StatementError::kUnknownOutcome
                                   : StatementError::kAborted;
    lost.text = commits && wrote_
                    ? "the member's answer to the commit was lost; read the "
                      "rows before writing again"
                    : "the connection to the member ended; the transaction is "
                      "rolled back, start it again";
    Answer(std::move(lost));
    return;
  }
  auto copy = *answer;
  const auto member = pinned_.pool->entry().member;
  auto* group = ports_.group(route_.group);
  if (copy.error == StatementError::kReadOnly && group != nullptr &&
      !read_only_) {
    group->NoteNotPrimary(member);
  }
  if (commits) {
    if (copy.IsOk() && wrote_ && copy.place && group != nullptr) {
      group->NoteLeadProof(member, pinned_sent_, *copy.place);
      NotePlace(copy);
    }
    EndPinned(copy.IsOk());
    state_ = TransactionState::kIdle;
  } else if (!copy.IsOk()) {
    EndPinned(true);
    state_ = TransactionState::kFailed;
  }
  Answer(std::move(copy));
}

// `clean` says that no answer is due on the connection.
auto Session::EndPinned(bool clean) -> void {
  auto pinned = std::exchange(pinned_, {});
  if (!clean) {
    pinned.pool->Discard(pinned.link);
    return;
  }
  const auto committed = current_.kind == StatementKind::kCommit && busy_;
  if (committed) {
    pinned.pool->Release(pinned.link);
  } else {
    RollBackAndRelease(pinned.pool, pinned.link, "");
  }
}

auto Session::NotePlace(const StatementAnswer& answer) -> void {
  if (answer.place) {
    seen_ = std::max(seen_.value_or(LogPlace{}), *answer.place);
  }
}

auto Session::Fail(StatementError error, std::string text) -> void {
  const auto open = state_ == TransactionState::kOpen;
  if (open && current_.kind != StatementKind::kBegin &&
      current_.kind != StatementKind::kBeginReadOnly) {
    if (pinned_) {
      EndPinned(true);
    }
    state_ = TransactionState::kFailed;
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
  answer.state = state_;
  ports_.answered(answer.error, timers_.Now() - current_since_);
  out_.Add(AnswerClient{client_, std::move(answer)});
  WatchIdle();
  Next();
}

auto Session::WatchIdle() -> void {
  if (!pinned_) {
    return;
  }
  timers_.Cancel(idle_timer_);
  idle_timer_ = timers_.After(ports_.transaction_idle(), guard_.Bind([this] {
    if (!pinned_ || busy_) {
      return;
    }
    log_.Log(Event::kTransactionIdle,
             {{"client", std::to_string(client_)},
              {"request", begin_id_},
              {"member", pinned_.pool->entry().member}});
    current_.kind = StatementKind::kRollback;
    EndPinned(true);
    rolled_back_ = true;
  }));
}

}  // namespace kingcuplock
