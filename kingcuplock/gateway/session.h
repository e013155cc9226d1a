#pragma once

/// One client's session: runs its statements in order, keeps its values and
/// prepared statements, and its transaction with the member connection lent to
/// it.
///
/// Example:
///   Session session(client, hello, ports, timers, out, log);
///   session.Handle(statement);

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/gateway/group.h"
#include "kingcuplock/gateway/statement_task.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/statement/session_state.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// What a session asks of the gateway.
struct SessionPorts {
  /// Returns the route of a database, or nullptr.
  std::function<const RouteConfig*(const std::string& database)> route;
  /// Returns the group, or nullptr.
  std::function<Group*(const std::string& group)> group;
  /// Returns the idle time after which a transaction may be rolled back.
  std::function<Milliseconds()> transaction_idle;
  /// A statement was answered after `latency`.
  std::function<void(StatementError, Duration latency)> answered;
};

/// Not thread safe.
class Session {
 public:
  /// Statements that a client may send ahead of their answers.
  static constexpr std::size_t kMaxWaiting = 64;

  Session(ConnectionId client,
          ClientHello hello,
          const SessionPorts& ports,
          TimerService& timers,
          GatewayOutbox& out,
          Outbox& log);
  ~Session();
  Session(const Session&) = delete;
  auto operator=(const Session&) -> Session& = delete;

  /// Takes the client's next statement.
  auto Handle(SessionStatement statement) -> void;

  /// Returns whether nothing is open: no transaction, no statement.
  auto IsAtRest() const -> bool {
    return state_ == TransactionState::kIdle && !busy_ && waiting_.empty();
  }
  /// Returns whether a statement waits for its answer.
  auto IsBusy() const -> bool { return busy_ || !waiting_.empty(); }

 private:
  auto Next() -> void;
  auto RunStatement(SessionStatement statement) -> void;
  auto RunLocally(const SessionStatement& statement) -> void;
  auto Begin(const SessionStatement& statement) -> void;
  auto RollBack(const SessionStatement& statement) -> void;
  auto Prepare(const SessionStatement& statement) -> void;
  auto Deallocate(const SessionStatement& statement) -> void;
  auto RunAtMember(SessionStatement statement) -> void;
  auto Submit(SessionStatement statement,
              std::optional<PreparedStatement> prepared) -> void;
  auto OnTaskDone(StatementTaskResult result) -> void;
  auto RunPinned(SessionStatement statement,
                 std::optional<PreparedStatement> prepared) -> void;
  auto SendPinned(SessionStatement statement, std::optional<Time> not_after)
      -> void;
  auto OnCommitUngranted() -> void;
  auto LogPinned(const StatementAnswer* answer) -> void;
  auto OnPinnedAnswer(const StatementAnswer* answer) -> void;
  auto OnPinnedDeadline() -> void;
  auto EndPinned(bool clean) -> void;
  auto Fail(StatementError error, std::string text) -> void;
  auto Answer(StatementAnswer answer) -> void;
  auto WatchIdle() -> void;
  auto NotePlace(const StatementAnswer& answer) -> void;

  ConnectionId client_;
  ClientHello hello_;
  const SessionPorts& ports_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& log_;
  LifeGuard guard_;
  std::shared_ptr<SessionState> set_up_ = std::make_shared<SessionState>();
  std::deque<SessionStatement> waiting_;
  bool busy_ = false;
  bool advancing_ = false;
  TransactionState state_ = TransactionState::kIdle;
  /// The statement that runs, and since when.
  SessionStatement current_;
  Time current_since_{};
  RouteConfig route_;
  StatementTaskPtr task_;
  PinnedConnection pinned_;
  TimerId pinned_deadline_ = 0;
  Time pinned_sent_{};
  TimerId idle_timer_ = 0;
  /// Of the open transaction.
  bool read_only_ = false;
  std::string begin_id_;
  Time began_{};
  bool wrote_ = false;
  bool rolled_back_ = false;
  std::optional<LogPlace> seen_;
};

}  // namespace kingcuplock
