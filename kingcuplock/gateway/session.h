#pragma once

/// One client's session. It runs the client's statements in order, and keeps
/// the session's values, its prepared statements, and the open transaction with
/// the member connection that is pinned to it.
///
/// Example:
///   Session session(client, hello, callbacks, timers, out, log);
///   session.HandleStatement(statement);

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/admission/planned_stop.h"
#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/gateway/group.h"
#include "kingcuplock/gateway/statement_task.h"
#include "kingcuplock/quota/quota_borrower.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/statement/session_state.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Callbacks through which a session uses the gateway.
struct SessionCallbacks {
  /// Returns the route of a database, or nullptr if it has none.
  std::function<const RouteConfig*(const std::string& database)> route;
  /// Returns the group of that name, or nullptr if it is unknown.
  std::function<Group*(const std::string& group)> group;
  /// Returns the idle time after which an open transaction is rolled back.
  std::function<Milliseconds()> transaction_idle;
  /// Returns the phase of the instance's planned stop.
  std::function<StopPhase()> stop_phase;
  /// Asks for the session to be closed if it is idle, because of the stop or
  /// because its key is no longer valid. It is closed from the event loop.
  std::function<void(ConnectionId client)> close_when_idle;
  /// Decides whether an operation of a tenant may begin, and calls back at once
  /// or within a fraction of a second.
  std::function<void(const std::string& tenant, QuotaCallback)> admit;
  /// Notes that a statement of a tenant's operation runs once more.
  std::function<void(const std::string& tenant)> note_repeat;
  /// Returns the time that a transaction has to end after the session's key was
  /// removed.
  std::function<Duration()> transaction_time_without_key;
  /// Reports that a statement was answered, `latency` after it began to run.
  std::function<void(StatementError, Duration latency)> answered;
};

/// The session of one client. Not thread safe.
class Session {
 public:
  /// Maximum number of statements that wait behind the running one. A client
  /// that sends more is disconnected.
  static constexpr std::size_t kMaxWaitingStatements = 64;

  /// `client` is the connection that answers go to, `hello` the message that
  /// opened the session, `tenant` the client's tenant or empty. The references
  /// have to outlive the session.
  Session(ConnectionId client,
          ClientHello hello,
          std::string tenant,
          const SessionCallbacks& callbacks,
          TimerService& timers,
          GatewayOutbox& out,
          Outbox& log);
  /// Cancels the running statement, and rolls back the open transaction or
  /// closes its connection.
  ~Session();
  Session(const Session&) = delete;
  auto operator=(const Session&) -> Session& = delete;

  /// Runs the client's next statement, after those that it sent before.
  auto HandleStatement(SessionStatement statement) -> void;

  /// Ends what runs or waits with an answer that says what is known of its
  /// outcome.
  auto EndRunningStatements() -> void;

  /// Notes that the session's key is no longer valid. Statements that begin an
  /// operation are refused from now on, and an open transaction is rolled back
  /// unless it ends soon. The session is closed once it is idle.
  auto NoteKeyRemoved() -> void;

  auto hello() const -> const ClientHello& { return hello_; }
  auto tenant() const -> const std::string& { return tenant_; }

  /// Returns whether the session has no open transaction and no statement that
  /// runs or waits.
  auto IsIdle() const -> bool {
    return transaction_state_ == TransactionState::kIdle && !busy_ &&
           waiting_.empty();
  }
  /// Returns whether a statement runs or waits.
  auto IsBusy() const -> bool { return busy_ || !waiting_.empty(); }

 private:
  auto RunNextStatement() -> void;
  auto RunStatement(SessionStatement statement) -> void;
  auto BeginsOperation(const SessionStatement& statement) const -> bool;
  auto RefuseForStop(const SessionStatement& statement) -> bool;
  auto RefuseWithoutKey(const SessionStatement& statement) -> bool;
  auto AbortTransaction(const SessionStatement& statement, std::string text)
      -> void;
  auto AnswerLocally(const SessionStatement& statement) -> void;
  auto BeginTransaction(const SessionStatement& statement) -> void;
  auto RollBackTransaction(const SessionStatement& statement) -> void;
  auto PrepareStatement(const SessionStatement& statement) -> void;
  auto DeallocateStatement(const SessionStatement& statement) -> void;
  auto RunAtMember(SessionStatement statement) -> void;
  auto Submit(SessionStatement statement,
              std::optional<PreparedStatement> prepared) -> void;
  auto OnQuotaDecided(const StatementTaskPtr& task,
                      const QuotaDecision& decision) -> void;
  auto OnTaskDone(StatementTaskResult result) -> void;
  auto RunPinned(SessionStatement statement,
                 std::optional<PreparedStatement> prepared) -> void;
  auto OnPinnedStateApplied(SessionStatement statement,
                            const SessionStateResult& state) -> void;
  auto SendPinned(SessionStatement statement, std::optional<Time> not_after)
      -> void;
  auto StartPinnedDeadline() -> void;
  auto OnCommitGrantMissing() -> void;
  auto AbortUnsent(const PinnedConnection& pinned,
                   std::string_view why,
                   std::string text) -> void;
  auto LogPinned(const StatementAnswer* answer) -> void;
  auto OnPinnedAnswer(const StatementAnswer* answer) -> void;
  auto OnPinnedDeadline() -> void;
  auto ReleasePinned(bool clean) -> void;
  auto AnswerError(StatementError error, std::string text) -> void;
  auto Answer(StatementAnswer answer) -> void;
  auto StartIdleTimer() -> void;
  auto NoteWritten(const StatementAnswer& answer) -> void;

  ConnectionId client_;
  ClientHello hello_;
  std::string tenant_;
  /// When the session's key was removed.
  std::optional<Time> key_removed_;
  const SessionCallbacks& callbacks_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& log_;
  CallbackGuard guard_;
  /// Values and prepared statements of the session.
  std::shared_ptr<SessionState> session_state_ =
      std::make_shared<SessionState>();
  std::deque<SessionStatement> waiting_;
  /// Whether a statement runs.
  bool busy_ = false;
  /// Whether RunNextStatement() is on the call stack.
  bool running_next_ = false;
  TransactionState transaction_state_ = TransactionState::kIdle;
  /// The running statement, and when it began to run.
  SessionStatement current_;
  Time current_started_{};
  RouteConfig route_;
  /// The running statement, while its tenant's room is asked for or a group
  /// looks for a member to run it.
  StatementTaskPtr task_;
  /// The open transaction's connection, once a member has begun it.
  PinnedConnection pinned_;
  /// Deadline for the answer to a statement on that connection.
  TimerId pinned_deadline_ = 0;
  Time pinned_sent_{};
  TimerId idle_timer_ = 0;
  // State of the open transaction.
  bool read_only_ = false;
  std::string begin_id_;
  Time began_{};
  /// Whether a statement of it changes data.
  bool has_writes_ = false;
  /// Whether it was rolled back for its idle time and the client does not know
  /// yet.
  bool rolled_back_idle_ = false;
  /// Furthest log position of the session's committed writes.
  std::optional<LogPosition> written_position_;
};

}  // namespace kingcuplock
