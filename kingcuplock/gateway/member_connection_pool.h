#pragma once

/// Connections to one member. Each is lent to one statement or transaction at a
/// time; a connection whose session set-up fits best goes first. The pool tells
/// a dead member from a dead connection by a fresh one. As long as it keeps
/// connections while idle, these also tell whether the member can be reached.
///
/// Example:
///   MemberConnectionPool pool(entry, timers, out, {.freed = ...,
///   .reach_changed = ...}); pool.SetLimits({.kept = 2, .most = 4}); if (auto
///   link = pool.Acquire(session, nullptr, false)) {
///     pool.RunStatement(link, statement, callback);
///   }

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "kingcuplock/admission/concurrency_limit.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/statement/session_state.h"

namespace kingcuplock {

/// Gets a member's answer, or nullptr when the connection ended first.
using MemberAnswerCallback = std::function<void(const StatementAnswer*)>;

/// What a pool reports.
struct MemberConnectionPoolCallbacks {
  /// A connection became free.
  std::function<void()> freed;
  /// The outcome of opening connections changed.
  std::function<void(Reach)> reach_changed;
};

/// How many connections an instance may hold to one member.
struct ConnectionLimits {
  /// Connections that stay open while idle.
  std::int64_t max_idle = 1;
  /// Connections in all, while the member takes them.
  std::int64_t max_connections = 1;
  /// Age at which others are given back after a statement, where instances take
  /// turns as there is not a connection for each.
  std::optional<Duration> turn_duration = std::nullopt;
};

/// How a connection is lent.
enum class ConnectionUse {
  /// For one statement.
  kStatement,
  /// For a whole transaction.
  kTransaction,
  /// For the gateway's own statements; may go beyond the limit.
  kControl
};

/// Not thread safe.
class MemberConnectionPool {
 public:
  MemberConnectionPool(EndpointEntry entry,
                       TimerService& timers,
                       GatewayOutbox& out,
                       MemberConnectionPoolCallbacks ports);
  ~MemberConnectionPool();
  MemberConnectionPool(const MemberConnectionPool&) = delete;
  auto operator=(const MemberConnectionPool&) -> MemberConnectionPool& = delete;

  /// Sets how many connections this instance may hold.
  auto SetLimits(const ConnectionLimits& limits) -> void;

  /// Sets what the limit on statements in flight is derived from.
  auto SetInFlightLimit(const ConcurrencyLimitOptions& options) -> void;

  /// Returns whether the limit on statements in flight lets another one start.
  /// An urgent one does not wait for a pause to end.
  auto MayStart(bool urgent) const -> bool {
    return flights_.MayStart(timers_.Now(), urgent);
  }

  /// Notes that a statement waits as MayStart() refused it; `freed` is called
  /// once it may start.
  auto NoteWaiting() -> void;

  auto in_flight_limit() const -> const ConcurrencyLimit& { return flights_; }

  /// Opens the first connection.
  auto Start() -> void;

  /// Lends a free connection, the one that needs the least set-up; 0 if none is
  /// free, and then opens another if the limit allows. O(connections).
  auto Acquire(const SessionState& session,
               const PreparedStatement* prepared,
               ConnectionUse connection_use) -> ConnectionId;

  /// Opens another connection if the limits allow; returns whether one is on
  /// its way.
  auto EnsureOpening(ConnectionUse connection_use) -> bool;

  /// Sends the set-up that `session` needs ahead of its next statement; returns
  /// the name of `prepared` on the connection.
  auto ApplySessionState(ConnectionId link,
                         const SessionState& session,
                         const PreparedStatement* prepared) -> std::string;

  /// Time in ms for the answers to the gateway's own statements.
  static constexpr Milliseconds kOwnPatience{1000};

  /// Sends a statement on a lent connection. Answers come in order. One that
  /// has not come after `patience` is lost, and the connection is closed. It is
  /// not sent later than `not_after`.
  auto RunStatement(ConnectionId link,
                    SessionStatement statement,
                    MemberAnswerCallback callback,
                    Duration patience = kOwnPatience,
                    std::optional<Time> not_after = std::nullopt) -> void;

  /// Takes a connection back once its answers are in.
  auto Release(ConnectionId link) -> void;

  /// Closes a lent connection; callbacks that wait get nullptr.
  auto Discard(ConnectionId link) -> void;

  /// Closes idle connections and opens no more.
  auto Retire() -> void;

  auto entry() const -> const EndpointEntry& { return entry_; }
  auto SetEntry(const EndpointEntry& entry) -> void { entry_ = entry; }
  auto reach() const -> Reach { return reach_; }
  /// Returns when the member last sent anything; nullopt for never.
  auto LastHeard() const -> std::optional<Time> { return last_heard_; }
  /// Returns how many connections are lent.
  auto LentCount() const -> std::int64_t { return lent_; }
  /// Returns how many connections are open or being opened.
  auto Size() const -> std::size_t { return links_.size(); }
  /// Returns whether Acquire() would lend a connection now.
  auto HasFreeConnection(ConnectionUse connection_use) const -> bool;

  /// Handle an event; return false if the connection is not this pool's.
  auto OnOpened(ConnectionId link) -> bool;
  auto OnAnswer(ConnectionId link, const StatementAnswer& answer) -> bool;
  auto OnClosed(ConnectionId link, Reach reason) -> bool;

 private:
  enum class State { kOpening, kGreeting, kIdle, kLent, kReturning };
  struct Pending {
    MemberAnswerCallback callback;
    Time sent{};
    Time lost_at{};
    /// Whether it counts as in flight.
    bool flies = false;
  };
  struct Link {
    State state = State::kOpening;
    ConnectionUse connection_use = ConnectionUse::kStatement;
    /// Whether the statement that it was lent for counts as in flight though it
    /// is not sent yet.
    bool reserved = false;
    LinkState set_up;
    std::deque<Pending> pending;
    Time idle_since{};
    /// When the member's greeting came.
    Time greeted{};
  };

  auto OpenOne() -> void;
  auto MayOpen(ConnectionUse connection_use) const -> bool;
  auto MayPin() const -> bool;
  auto EndFlight(const Pending& ended, const StatementAnswer& answer) -> void;
  auto DropReservation(Link& link) -> void;
  auto OnGreeted(ConnectionId id, const StatementAnswer& answer) -> void;
  auto Remove(ConnectionId id) -> void;
  auto MarkReach(Reach reach) -> void;
  auto ReopenLater() -> void;
  auto CloseSurplus() -> void;
  auto CloseIdleLater() -> void;
  auto IsSurplus(const Link& link, std::int64_t left) const -> bool;
  auto WatchSilence() -> void;
  auto CheckSilence() -> void;
  auto DiscardOverdue() -> void;
  auto OldestUnanswered() const -> std::optional<Time>;

  EndpointEntry entry_;
  TimerService& timers_;
  GatewayOutbox& out_;
  MemberConnectionPoolCallbacks ports_;
  LifeGuard guard_;
  std::map<ConnectionId, Link> links_;
  ConnectionLimits limits_;
  ConcurrencyLimit flights_{{}};
  TimerId resume_timer_ = 0;
  std::int64_t lent_ = 0;
  std::int64_t pinned_ = 0;
  std::int64_t opening_ = 0;
  Reach reach_ = Reach::kUntried;
  std::optional<Time> last_heard_;
  Time no_opening_before_{};
  /// Pause after the member's next refusal for its limit.
  Duration limit_pause_{};
  Duration reopen_pause_{};
  TimerId reopen_timer_ = 0;
  bool reopening_ = false;
  TimerId idle_timer_ = 0;
  TimerId silence_timer_ = 0;
  bool retired_ = false;
};

}  // namespace kingcuplock
