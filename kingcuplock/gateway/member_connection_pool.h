#pragma once

/// Pool of connections to one member. A connection is opened in the name of one
/// tenant, or of none, and lent to its tenant's statements and transactions,
/// one at a time; the one whose session state needs the fewest changes is
/// preferred. A tenant that has none may take the place of another one's idle
/// connection. When the member is silent, the pool opens a new connection to
/// tell a dead member from a dead connection. While it keeps idle connections,
/// their state also shows whether the member can be reached.
///
/// Example:
///   MemberConnectionPool pool(entry, timers, out, std::move(callbacks));
///   pool.SetLimits({.max_idle = 2, .max_connections = 4});
///   pool.Start();
///   const auto use = ConnectionUse::kStatement;
///   if (auto connection = pool.Acquire(session, nullptr, use)) {
///     pool.RunStatement(connection, statement, callback);
///     pool.Release(connection);
///   }

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kingcuplock/admission/concurrency_limit.h"
#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/statement/session_state.h"

namespace kingcuplock {

/// Called once with the member's answer, or with nullptr if the connection
/// ended first.
using MemberAnswerCallback = std::function<void(const StatementAnswer*)>;

/// What has become of a connection that was to get a session's state.
enum class SessionStateOutcome {
  /// The member has confirmed it, or had it before.
  kApplied,
  /// The member refused a part of it. A connection whose state is no longer
  /// known is closed.
  kRefused,
  /// The connection ended first.
  kConnectionLost
};

/// Answer to MemberConnectionPool::ApplySessionState().
struct SessionStateResult {
  SessionStateOutcome outcome = SessionStateOutcome::kApplied;
  /// Name of the prepared statement on the connection, empty for none.
  std::string prepared_name = {};
};

/// Called once with the result.
using SessionStateCallback = std::function<void(const SessionStateResult&)>;

/// Callbacks of a pool.
struct MemberConnectionPoolCallbacks {
  /// A connection became free, or a statement that had to wait may now start.
  std::function<void()> on_connection_free;
  /// The member's reachability changed, as seen when connections are opened.
  std::function<void(Reach)> on_reach_changed;
};

/// Limits on an instance's connections to one member.
struct ConnectionLimits {
  /// Number of connections that stay open while idle.
  std::int64_t max_idle = 1;
  /// Maximum number of connections, idle or lent. The member may accept fewer.
  std::int64_t max_connections = 1;
  /// Age at which connections beyond `max_idle` are closed after a statement.
  /// Set where the member has fewer connections than there are instances, so
  /// that instances take turns.
  std::optional<Duration> turn_duration = std::nullopt;
  /// Whether connections belong to tenants. A tenant without one then takes the
  /// place of another's idle connection rather than one beyond `max_idle`,
  /// which other instances may need for their tenants.
  bool by_tenant = false;
};

/// Purpose that a connection is lent for.
enum class ConnectionUse {
  /// One statement.
  kStatement,
  /// A whole transaction.
  kTransaction,
  /// The gateway's own statements, which may exceed the connection limit.
  kControl
};

/// Connections of this instance to one member. Not thread safe. After Retire(),
/// only the statements that still run may hold the pool; it outlives the report
/// of the last one's end.
class MemberConnectionPool
    : public std::enable_shared_from_this<MemberConnectionPool> {
 public:
  /// `entry` names the member and its address. `timers` and `out` have to
  /// outlive the pool.
  MemberConnectionPool(EndpointEntry entry,
                       TimerService& timers,
                       GatewayOutbox& out,
                       MemberConnectionPoolCallbacks callbacks);
  /// Closes all connections without calling any callback.
  ~MemberConnectionPool();
  MemberConnectionPool(const MemberConnectionPool&) = delete;
  auto operator=(const MemberConnectionPool&) -> MemberConnectionPool& = delete;

  /// Sets the limits on connections and closes idle ones that exceed them. If
  /// the pool is empty and `max_idle` grows, it opens one after a pause.
  auto SetLimits(const ConnectionLimits& limits) -> void;

  /// Sets the options that the limit on statements in flight is derived from.
  auto SetInFlightLimit(const ConcurrencyLimitOptions& options) -> void;

  /// Returns whether the limit on statements in flight allows another one. An
  /// urgent statement need not wait for the end of a pause.
  auto MayStart(bool urgent) const -> bool {
    return flights_.MayStart(timers_.Now(), urgent);
  }

  /// Notes that a statement waits because MayStart() returned false. If a pause
  /// is the reason, the callback for free connections is called at its end.
  auto NoteWaiting() -> void;

  /// Returns the limit on statements in flight.
  auto in_flight_limit() const -> const ConcurrencyLimit& { return flights_; }

  /// Opens a connection if the pool has none.
  auto Start() -> void;

  /// Lends the free connection that needs the fewest statements to get the
  /// state of `session` and `prepared` (or nullptr). Returns its id. If none is
  /// free, returns 0 and opens another one if the limits allow. Transactions
  /// leave one connection for single statements. For the gateway's own
  /// statements, lends the free connection that was accepted first, of whatever
  /// tenant. O(connections).
  auto Acquire(const SessionState& session,
               const PreparedStatement* prepared,
               ConnectionUse connection_use,
               std::string_view tenant = {}) -> ConnectionId;

  /// Returns when the member accepted an open connection. Throws
  /// std::out_of_range if there is no such connection.
  auto AcceptedSince(ConnectionId connection) const -> Time;

  /// Opens another connection of `tenant` if the limits allow and no more of
  /// its connections are being opened than are lent. Returns whether a
  /// connection of the tenant is being opened.
  auto EnsureOpening(ConnectionUse connection_use, std::string_view tenant = {})
      -> bool;

  /// Gives a lent connection the state of `session`, with `prepared` unless it
  /// is nullptr. Calls back at once if it has that state, otherwise with the
  /// member's last answer and before the answer to any later statement. A
  /// statement that depends on the state must not be sent earlier: a member may
  /// refuse a part of the state and run what follows. Returns whether the
  /// member was asked.
  auto ApplySessionState(ConnectionId connection,
                         const SessionState& session,
                         const PreparedStatement* prepared,
                         SessionStateCallback callback) -> bool;

  /// Default time in ms for an answer, as for the gateway's own statements.
  static constexpr Milliseconds kDefaultAnswerTimeout{1000};

  /// Sends a statement on a lent connection and calls `callback` with its
  /// answer. Answers arrive in the order of their statements. If there is no
  /// answer after `timeout`, the connection is closed. From `not_after` on the
  /// statement is no longer sent; it is then answered with kAborted, and the
  /// connection ends.
  auto RunStatement(ConnectionId connection,
                    SessionStatement statement,
                    MemberAnswerCallback callback,
                    Duration timeout = kDefaultAnswerTimeout,
                    std::optional<Time> not_after = std::nullopt) -> void;

  /// Takes a lent connection back, once all its answers have arrived.
  auto Release(ConnectionId connection) -> void;

  /// Closes a connection. Callbacks that wait for an answer get nullptr.
  auto Discard(ConnectionId connection) -> void;

  /// Closes all connections that are not lent and opens no more. Connections
  /// that are lent are closed when they are released.
  auto Retire() -> void;

  /// Returns the entry that the member registered.
  auto entry() const -> const EndpointEntry& { return entry_; }
  auto SetEntry(const EndpointEntry& entry) -> void { entry_ = entry; }
  /// Returns whether the member could be reached in the last attempt to open a
  /// connection.
  auto reach() const -> Reach { return reach_; }
  /// Returns when the member last answered; nullopt for never.
  auto LastHeard() const -> std::optional<Time> { return last_heard_; }
  /// Returns the number of lent connections.
  auto LentCount() const -> std::int64_t { return lent_count_; }
  /// Returns the number of connections that are open or being opened.
  auto Size() const -> std::size_t { return connections_.size(); }
  /// Returns whether Acquire() would lend a connection now.
  auto HasFreeConnection(ConnectionUse connection_use,
                         std::string_view tenant = {}) const -> bool;

  /// These handle an event of a connection. They return false, and do nothing,
  /// if it is not one of this pool.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const StatementAnswer& answer) -> bool;
  auto OnClosed(ConnectionId connection, Reach reason) -> bool;
  /// The newest statement was not sent, because its time was over.
  auto OnNotSent(ConnectionId connection) -> bool;

 private:
  /// kReleasePending: released while answers are outstanding.
  enum class State { kOpening, kHelloSent, kIdle, kLent, kReleasePending };
  struct PendingAnswer {
    MemberAnswerCallback callback;
    Time sent{};
    /// Deadline of the answer.
    Time deadline{};
    /// Whether the statement counts as in flight.
    bool counts_in_flight = false;
  };
  struct Connection {
    State state = State::kOpening;
    std::string tenant;
    ConnectionUse connection_use = ConnectionUse::kStatement;
    /// Whether it counts as in flight for a statement that is not sent yet.
    bool reserved_in_flight = false;
    /// Session state that it was given.
    MemberConnectionState session_state;
    /// Statements without an answer, oldest first.
    std::deque<PendingAnswer> pending;
    Time idle_since{};
    /// When the member accepted the hello.
    Time accepted_since{};
  };

  /// Statements that give a connection a session's state.
  struct Replay {
    SessionStateResult result;
    SessionStateCallback callback;
    /// Number of statements without an answer.
    std::size_t missing = 0;
    /// Whether the member may have run a statement that it answered with an
    /// error.
    bool unclear = false;
  };

  auto OnReplayAnswered(ConnectionId id,
                        const SessionStatement& statement,
                        const StatementAnswer* answer,
                        const std::shared_ptr<Replay>& replay) -> void;
  auto OpenOne(std::string_view tenant = {}) -> void;
  auto CloseIdleOfOtherTenant(std::string_view tenant) -> void;
  auto MayOpen(ConnectionUse connection_use) const -> bool;
  auto MayLendToTransaction() const -> bool;
  auto EndInFlight(const PendingAnswer& ended, const StatementAnswer& answer)
      -> void;
  auto DropReservation(Connection& connection) -> void;
  auto OnHelloAnswered(ConnectionId id, const StatementAnswer& answer) -> void;
  auto Remove(ConnectionId id) -> void;
  auto SetReach(Reach reach) -> void;
  auto ScheduleReopen() -> void;
  auto CloseSurplus() -> void;
  auto ScheduleIdleClose() -> void;
  auto IsSurplus(const Connection& connection, std::int64_t left) const -> bool;
  auto ScheduleSilenceCheck() -> void;
  auto CheckForSilence() -> void;
  auto DiscardOverdue() -> void;
  auto OldestUnanswered() const -> std::optional<Time>;

  EndpointEntry entry_;
  TimerService& timers_;
  GatewayOutbox& out_;
  MemberConnectionPoolCallbacks callbacks_;
  CallbackGuard guard_;
  std::map<ConnectionId, Connection> connections_;
  ConnectionLimits limits_;
  ConcurrencyLimit flights_{{}};
  /// Runs until the limit's pause ends.
  TimerId resume_timer_ = 0;
  /// Number of lent connections.
  std::int64_t lent_count_ = 0;
  /// Number of connections lent to transactions.
  std::int64_t transaction_count_ = 0;
  /// Number of connections that the member has not accepted yet.
  std::int64_t opening_count_ = 0;
  Reach reach_ = Reach::kUntried;
  std::optional<Time> last_heard_;
  /// Time before which no connection is opened for a waiting task.
  Time no_opening_before_{};
  /// Last pause after the member refused a connection because of its limit.
  Duration limit_pause_{};
  /// Pause before the next attempt to open a connection.
  Duration reopen_pause_{};
  TimerId reopen_timer_ = 0;
  /// Whether that pause runs.
  bool reopening_ = false;
  TimerId idle_timer_ = 0;
  TimerId silence_timer_ = 0;
  bool retired_ = false;
};

}  // namespace kingcuplock
