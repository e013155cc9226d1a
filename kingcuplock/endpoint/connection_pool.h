#pragma once

/// Connections to one member, one statement at a time on each, within the
/// budget of connections and statement slots. OpenMissingConnections spares
/// hide the opening time. A connection in doubt is closed, never used again.
///
/// Example:
///   ConnectionPool pool(member, {.connections = 12, .slots = 2}, ...);
///   if (pool.HasFreeConnection()) { pool.Run(request, timeout, callback); }

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/member_link.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Limits of one pool.
struct ConnectionPoolLimits {
  /// Connections held at most.
  std::int64_t max_connections = 1;
  /// Statements running at once at most.
  std::int64_t max_running_statements = 1;
};

/// Guards of a pool, switched off only to show in a test what they are for.
struct ConnectionPoolOptions {
  /// A connection with an answer outstanding or unexpected is closed.
  bool close_desynchronized = true;
};

/// Not thread safe.
class ConnectionPool {
 public:
  ConnectionPool(MemberConfig member,
                 ConnectionPoolLimits limits,
                 TimerService& timers,
                 Outbox& outbox,
                 ConnectionPoolOptions guards = {});
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  auto operator=(const ConnectionPool&) -> ConnectionPool& = delete;

  /// Opens connections up to one per slot and one spare.
  void OpenMissingConnections();

  /// Returns whether Run() may be called now.
  auto HasFreeConnection() const -> bool;

  /// Returns whether a statement may be sent on a pinned connection now.
  auto HasFreeSlot() const -> bool {
    return running_ < limits_.max_running_statements;
  }

  /// Returns whether a connection could be pinned now; one per slot and a
  /// spare are always left for single requests.
  auto CanPinConnection() const -> bool;

  /// Runs one request on a free connection. Calls back with nullptr, and
  /// closes the connection, when the answer is lost or late.
  /// Precondition: HasFreeConnection().
  void Run(MemberRequest request, Duration timeout, MemberCallback callback);

  /// Takes a free connection out of the pool for one transaction.
  /// Precondition: CanPinConnection().
  auto PinConnection() -> ConnectionId;

  /// Runs one request on a pinned connection; as Run(). Returns false, with
  /// nothing sent, if the connection has ended meanwhile.
  auto RunPinned(ConnectionId connection,
                 MemberRequest request,
                 Duration timeout,
                 MemberCallback callback) -> bool;

  /// Gives a pinned connection back. `clean` says that no transaction is open
  /// on it and no answer is due; otherwise it is closed.
  void UnpinConnection(ConnectionId connection, bool clean);

  /// Closes all connections; outstanding requests are reported as lost.
  void CloseAll();

  /// Calls `callback` whenever a connection has become free.
  void OnFree(std::function<void()> callback) {
    on_free_ = std::move(callback);
  }

  /// Returns the number of statements that run.
  auto CountRunningStatements() const -> std::int64_t { return running_; }

  /// Returns the number of connections, open or being opened.
  auto CountConnections() const -> std::size_t { return connections_.size(); }

  /// Returns the member's configuration.
  auto member() const -> const MemberConfig& { return member_; }

  /// Handle an event; return false if the connection is not this pool's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  enum class State { kOpening, kIdle, kBusy, kPinned, kPinnedBusy };
  struct Connection {
    State state = State::kOpening;
    std::int64_t request_id = 0;
    MemberCallback callback;
    TimerId timer = 0;
    Time sent{};
    Time last_heard{};
  };

  auto CountPinned() const -> std::int64_t;
  auto FindIdle() const -> ConnectionId;
  void OpenOne();
  void Start(ConnectionId id,
             State state,
             MemberRequest request,
             Duration timeout,
             MemberCallback callback);
  void Finish(ConnectionId id, const MemberAnswer* answer);
  void GiveUp(ConnectionId id);
  void DropIdleNotHeardSince(Time time);
  void Drop(ConnectionId id);
  void NotifyFree();

  MemberConfig member_;
  ConnectionPoolLimits limits_;
  TimerService& timers_;
  Outbox& outbox_;
  ConnectionPoolOptions guards_;
  std::map<ConnectionId, Connection> connections_;
  std::int64_t running_ = 0;
  std::int64_t last_request_ = 0;
  bool retry_pending_ = false;
  TimerId retry_timer_ = 0;
  std::function<void()> on_free_;
};

}  // namespace kingcuplock
