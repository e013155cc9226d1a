#include "kingcuplock/endpoint/connection_pool.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Time in ms after which an attempt to open a connection is given up.
constexpr int kOpenTimeoutMs = 1000;
/// Delay in ms before connections are opened in place of those that were closed
/// or could not be opened.
constexpr int kReopenDelayMs = 50;
/// Connections kept open beyond one per running statement allowed.
constexpr std::int64_t kSpareConnections = 1;

}  // namespace

ConnectionPool::ConnectionPool(MemberConfig member,
                               ConnectionPoolLimits limits,
                               TimerService& timers,
                               Outbox& outbox,
                               ConnectionPoolOptions options)
    : member_(std::move(member)),
      limits_(limits),
      timers_(timers),
      outbox_(outbox),
      options_(options) {}

ConnectionPool::~ConnectionPool() {
  timers_.Cancel(reopen_timer_);
  for (const auto& [id, connection] : connections_) {
    timers_.Cancel(connection.timer);
    outbox_.Close(id);
  }
}

void ConnectionPool::OpenMissingConnections() {
  const auto wanted =
      std::min(limits_.max_connections,
               limits_.max_running_statements + kSpareConnections);
  const auto open = static_cast<std::int64_t>(connections_.size());
  const auto usable = open - CountPinnedConnections();
  const auto room = limits_.max_connections - open;
  for (auto n = std::min(wanted - usable, room); n > 0; --n) {
    OpenNewConnection();
  }
}

auto ConnectionPool::HasFreeConnection() const -> bool {
  return running_statements_ < limits_.max_running_statements &&
         FindIdleConnection() != 0;
}

auto ConnectionPool::CanPinConnection() const -> bool {
  const auto for_transactions = limits_.max_connections -
                                limits_.max_running_statements -
                                kSpareConnections;
  return FindIdleConnection() != 0 &&
         CountPinnedConnections() < for_transactions;
}

auto ConnectionPool::CountPinnedConnections() const -> std::int64_t {
  return std::count_if(connections_.begin(), connections_.end(),
                       [](const auto& it) {
                         return it.second.state == State::kPinned ||
                                it.second.state == State::kPinnedBusy;
                       });
}

void ConnectionPool::Run(MemberRequest request,
                         Duration timeout,
                         MemberCallback callback) {
  SendRequest(FindIdleConnection(), State::kBusy, std::move(request), timeout,
              std::move(callback));
}

auto ConnectionPool::PinConnection() -> ConnectionId {
  const auto id = FindIdleConnection();
  connections_.at(id).state = State::kPinned;
  OpenMissingConnections();
  return id;
}

auto ConnectionPool::RunPinned(ConnectionId connection,
                               MemberRequest request,
                               Duration timeout,
                               MemberCallback callback) -> bool {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kPinned) {
    return false;
  }
  SendRequest(connection, State::kPinnedBusy, std::move(request), timeout,
              std::move(callback));
  return true;
}

void ConnectionPool::UnpinConnection(ConnectionId connection, bool clean) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return;
  }
  if (!clean || it->second.state != State::kPinned) {
    CloseConnectionAndReport(connection);
    return;
  }
  it->second.state = State::kIdle;
  NotifyIdle();
}

void ConnectionPool::CloseAll() {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : connections_) {
    ids.push_back(id);
  }
  for (const auto it : ids) {
    CloseConnectionAndReport(it);
  }
}

auto ConnectionPool::OnOpened(ConnectionId connection) -> bool {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return false;
  }
  it->second.state = State::kIdle;
  it->second.last_heard = timers_.Now();
  NotifyIdle();
  return true;
}

auto ConnectionPool::OnClosed(ConnectionId connection) -> bool {
  if (!connections_.contains(connection)) {
    return false;
  }
  CloseConnectionAndReport(connection);
  return true;
}

auto ConnectionPool::OnAnswer(ConnectionId connection,
                              const MemberAnswer& answer) -> bool {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return false;
  }
  const auto busy = it->second.state == State::kBusy ||
                    it->second.state == State::kPinnedBusy;
  const auto expected = busy && it->second.request_id == answer.id;
  if (!expected && options_.close_desynchronized) {
    CloseConnectionAndReport(connection);
    return true;
  }
  if (!busy) {
    return true;
  }
  CompleteRequest(connection, &answer);
  return true;
}

auto ConnectionPool::FindIdleConnection() const -> ConnectionId {
  const auto it = std::find_if(
      connections_.begin(), connections_.end(),
      [](const auto& entry) { return entry.second.state == State::kIdle; });
  return it == connections_.end() ? 0 : it->first;
}

void ConnectionPool::OpenNewConnection() {
  connections_[outbox_.Open(ConnectionKind::kMember, member_.host, member_.port,
                            kOpenTimeoutMs)] = {};
}

void ConnectionPool::SendRequest(ConnectionId id,
                                 State state,
                                 MemberRequest request,
                                 Duration timeout,
                                 MemberCallback callback) {
  auto& connection = connections_.at(id);
  request.id = ++last_request_id_;
  connection.state = state;
  connection.request_id = request.id;
  connection.callback = std::move(callback);
  connection.sent = timers_.Now();
  connection.timer = timers_.After(timeout, [this, id] { OnTimeout(id); });
  ++running_statements_;
  outbox_.Send(id, std::move(request));
}

void ConnectionPool::CompleteRequest(ConnectionId id,
                                     const MemberAnswer* answer) {
  auto& connection = connections_.at(id);
  timers_.Cancel(connection.timer);
  connection.timer = 0;
  connection.last_heard = timers_.Now();
  --running_statements_;
  connection.state =
      connection.state == State::kBusy ? State::kIdle : State::kPinned;
  const auto callback = std::exchange(connection.callback, {});
  callback(answer);
  NotifyIdle();
}

void ConnectionPool::OnTimeout(ConnectionId id) {
  if (!options_.close_desynchronized) {
    CompleteRequest(id, nullptr);
    return;
  }
  CloseIdleSilentSince(connections_.at(id).sent);
  CloseConnectionAndReport(id);
}

// A fault that made one connection silent may affect others. They are replaced,
// so that the next request does not have to wait for a timeout as well.
void ConnectionPool::CloseIdleSilentSince(Time time) {
  std::vector<ConnectionId> silent;
  for (const auto& [id, connection] : connections_) {
    if (connection.state == State::kIdle && connection.last_heard < time) {
      silent.push_back(id);
    }
  }
  for (const auto it : silent) {
    CloseConnectionAndReport(it);
  }
}

void ConnectionPool::CloseConnectionAndReport(ConnectionId id) {
  auto node = connections_.extract(id);
  if (node.empty()) {
    return;
  }
  outbox_.Close(id);
  auto& connection = node.mapped();
  timers_.Cancel(connection.timer);
  if (!std::exchange(reopen_pending_, true)) {
    reopen_timer_ = timers_.After(Milliseconds(kReopenDelayMs), [this] {
      reopen_pending_ = false;
      OpenMissingConnections();
    });
  }
  if (connection.callback) {
    --running_statements_;
    connection.callback(nullptr);
  }
}

void ConnectionPool::NotifyIdle() {
  if (on_idle_) {
    on_idle_();
  }
}

}  // namespace kingcuplock
