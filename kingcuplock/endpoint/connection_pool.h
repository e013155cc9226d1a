#pragma once

/// Pool of connections to one member. Each connection carries one request at a
/// time, and the pool limits both its connections and the statements that run
/// at once. A spare connection is kept open, so that a request rarely waits for
/// a connection to open. A connection on which a request and its answer may no
/// longer match is closed and never used again.
///
/// Example:
///   const ConnectionPoolLimits limits{.max_connections = 12,
///                                     .max_running_statements = 2};
///   ConnectionPool pool(member, limits, timers, outbox);
///   pool.OpenMissingConnections();
///   if (pool.HasFreeConnection()) { pool.Run(request, timeout, callback); }

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/member_client.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Limits of one pool.
struct ConnectionPoolLimits {
  /// Largest number of connections, open or being opened.
  std::int64_t max_connections = 1;
  /// Largest number of statements that run at once.
  std::int64_t max_running_statements = 1;
};

/// Options of a pool. Production code uses the defaults; a test turns a
/// safeguard off to show which failure it prevents.
struct ConnectionPoolOptions {
  /// Whether a connection is closed when its answer is overdue or is not the
  /// expected one. If it stayed in use, a late answer could be taken for the
  /// answer to the next request.
  bool close_desynchronized = true;
};

/// Not thread safe.
class ConnectionPool {
 public:
  ConnectionPool(MemberConfig member,
                 ConnectionPoolLimits limits,
                 TimerService& timers,
                 Outbox& outbox,
                 ConnectionPoolOptions options = {});
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  auto operator=(const ConnectionPool&) -> ConnectionPool& = delete;

  /// Opens connections until there is one per running statement allowed and
  /// one spare, as far as the connection limit permits.
  void OpenMissingConnections();

  /// Returns whether Run() may be called now: a connection is idle and fewer
  /// statements run than allowed.
  auto HasFreeConnection() const -> bool;

  /// Returns whether fewer statements run than allowed, so that one may be sent
  /// on a pinned connection now.
  auto HasFreeSlot() const -> bool {
    return running_statements_ < limits_.max_running_statements;
  }

  /// Returns whether PinConnection() may be called now. One connection per
  /// running statement allowed, and one spare, are never pinned: they are left
  /// for single requests.
  auto CanPinConnection() const -> bool;

  /// Sends one request on a free connection and sets its id. If the connection
  /// ends or no answer arrives within `timeout`, closes the connection and
  /// calls back with nullptr; the request may have been carried out.
  /// Precondition: HasFreeConnection().
  void Run(MemberRequest request, Duration timeout, MemberCallback callback);

  /// Reserves a free connection for one transaction and returns its id.
  /// Precondition: CanPinConnection().
  auto PinConnection() -> ConnectionId;

  /// Like Run(), but on a pinned connection. Returns false without sending the
  /// request, and without calling back, if the connection has ended or still
  /// waits for an answer.
  auto RunPinned(ConnectionId connection,
                 MemberRequest request,
                 Duration timeout,
                 MemberCallback callback) -> bool;

  /// Returns a pinned connection to the pool. It is closed unless `clean` is
  /// set, which states that no transaction is open on it, and no answer is due.
  void UnpinConnection(ConnectionId connection, bool clean);

  /// Closes all connections; outstanding requests are called back with nullptr.
  void CloseAll();

  /// Sets the function to call whenever a connection has become idle.
  void OnFree(std::function<void()> callback) {
    on_idle_ = std::move(callback);
  }

  /// Returns the number of requests that wait for their answer.
  auto CountRunningStatements() const -> std::int64_t {
    return running_statements_;
  }

  /// Returns the number of connections, open or being opened.
  auto CountConnections() const -> std::size_t { return connections_.size(); }

  /// Returns the member's configuration.
  auto member() const -> const MemberConfig& { return member_; }

  /// Event handlers. They return false, and do nothing, if the connection is
  /// not this pool's.
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

  auto CountPinnedConnections() const -> std::int64_t;
  auto FindIdleConnection() const -> ConnectionId;
  void OpenNewConnection();
  void SendRequest(ConnectionId id,
                   State state,
                   MemberRequest request,
                   Duration timeout,
                   MemberCallback callback);
  void CompleteRequest(ConnectionId id, const MemberAnswer* answer);
  void OnTimeout(ConnectionId id);
  void CloseIdleSilentSince(Time time);
  void CloseConnectionAndReport(ConnectionId id);
  void NotifyIdle();

  MemberConfig member_;
  ConnectionPoolLimits limits_;
  TimerService& timers_;
  Outbox& outbox_;
  ConnectionPoolOptions options_;
  std::map<ConnectionId, Connection> connections_;
  std::int64_t running_statements_ = 0;
  std::int64_t last_request_id_ = 0;
  bool reopen_pending_ = false;
  TimerId reopen_timer_ = 0;
  std::function<void()> on_idle_;
};

}  // namespace kingcuplock
