#include "kingcuplock/endpoint/connection_pool.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Longest time in ms to open a connection.
constexpr int kOpenTimeoutMs = 1000;
/// Pause in ms after a connection could not be opened or was lost.
constexpr int kReopenPauseMs = 50;
/// Connections kept open beyond one per slot.
constexpr std::int64_t kSpares = 1;

}  // namespace

ConnectionPool::ConnectionPool(MemberConfig member,
                               ConnectionPoolLimits limits,
                               TimerService& timers,
                               Outbox& outbox,
                               ConnectionPoolOptions guards)
    : member_(std::move(member)),
      limits_(limits),
      timers_(timers),
      outbox_(outbox),
      guards_(guards) {}

ConnectionPool::~ConnectionPool() {
  timers_.Cancel(retry_timer_);
  for (const auto& [id, connection] : connections_) {
    timers_.Cancel(connection.timer);
    outbox_.Close(id);
  }
}

void ConnectionPool::OpenMissingConnections() {
  const auto wanted = std::min(limits_.max_connections,
                               limits_.max_running_statements + kSpares);
  const auto open = static_cast<std::int64_t>(connections_.size());
  const auto usable = open - CountPinned();
  const auto room = limits_.max_connections - open;
  for (auto n = std::min(wanted - usable, room); n > 0; --n) {
    OpenOne();
  }
}

auto ConnectionPool::HasFreeConnection() const -> bool {
  return running_ < limits_.max_running_statements && FindIdle() != 0;
}

auto ConnectionPool::CanPinConnection() const -> bool {
  const auto for_transactions =
      limits_.max_connections - limits_.max_running_statements - kSpares;
  return FindIdle() != 0 && CountPinned() < for_transactions;
}

auto ConnectionPool::CountPinned() const -> std::int64_t {
  return std::count_if(connections_.begin(), connections_.end(),
                       [](const auto& it) {
                         return it.second.state == State::kPinned ||
                                it.second.state == State::kPinnedBusy;
                       });
}

void ConnectionPool::Run(MemberRequest request,
                         Duration timeout,
                         MemberCallback callback) {
  Start(FindIdle(), State::kBusy, std::move(request), timeout,
        std::move(callback));
}

auto ConnectionPool::PinConnection() -> ConnectionId {
  const auto id = FindIdle();
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
  Start(connection, State::kPinnedBusy, std::move(request), timeout,
        std::move(callback));
  return true;
}

void ConnectionPool::UnpinConnection(ConnectionId connection, bool clean) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return;
  }
  if (!clean || it->second.state != State::kPinned) {
    Drop(connection);
    return;
  }
  it->second.state = State::kIdle;
  NotifyFree();
}

void ConnectionPool::CloseAll() {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : connections_) {
    ids.push_back(id);
  }
  for (const auto it : ids) {
    Drop(it);
  }
}

auto ConnectionPool::OnOpened(ConnectionId connection) -> bool {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return false;
  }
  it->second.state = State::kIdle;
  it->second.last_heard = timers_.Now();
  NotifyFree();
  return true;
}

auto ConnectionPool::OnClosed(ConnectionId connection) -> bool {
  if (!connections_.contains(connection)) {
    return false;
  }
  Drop(connection);
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
  if (!expected && guards_.close_desynchronized) {
    Drop(connection);
    return true;
  }
  if (!busy) {
    return true;
  }
  Finish(connection, &answer);
  return true;
}

auto ConnectionPool::FindIdle() const -> ConnectionId {
  const auto it = std::find_if(
      connections_.begin(), connections_.end(),
      [](const auto& entry) { return entry.second.state == State::kIdle; });
  return it == connections_.end() ? 0 : it->first;
}

void ConnectionPool::OpenOne() {
  connections_[outbox_.Open(ConnectionKind::kMember, member_.host, member_.port,
                            kOpenTimeoutMs)] = {};
}

void ConnectionPool::Start(ConnectionId id,
                           State state,
                           MemberRequest request,
                           Duration timeout,
                           MemberCallback callback) {
  auto& connection = connections_.at(id);
  request.id = ++last_request_;
  connection.state = state;
  connection.request_id = request.id;
  connection.callback = std::move(callback);
  connection.sent = timers_.Now();
  connection.timer = timers_.After(timeout, [this, id] { GiveUp(id); });
  ++running_;
  outbox_.Send(id, std::move(request));
}

void ConnectionPool::Finish(ConnectionId id, const MemberAnswer* answer) {
  auto& connection = connections_.at(id);
  timers_.Cancel(connection.timer);
  connection.timer = 0;
  connection.last_heard = timers_.Now();
  --running_;
  connection.state =
      connection.state == State::kBusy ? State::kIdle : State::kPinned;
  const auto callback = std::exchange(connection.callback, {});
  callback(answer);
  NotifyFree();
}

void ConnectionPool::GiveUp(ConnectionId id) {
  if (!guards_.close_desynchronized) {
    Finish(id, nullptr);
    return;
  }
  DropIdleNotHeardSince(connections_.at(id).sent);
  Drop(id);
}

// What made one connection silent may have done so to others: fresh ones are
// opened in their place, so that the next request does not wait as long.
void ConnectionPool::DropIdleNotHeardSince(Time time) {
  std::vector<ConnectionId> silent;
  for (const auto& [id, connection] : connections_) {
    if (connection.state == State::kIdle && connection.last_heard < time) {
      silent.push_back(id);
    }
  }
  for (const auto it : silent) {
    Drop(it);
  }
}

void ConnectionPool::Drop(ConnectionId id) {
  auto node = connections_.extract(id);
  if (node.empty()) {
    return;
  }
  outbox_.Close(id);
  auto& connection = node.mapped();
  timers_.Cancel(connection.timer);
  if (!std::exchange(retry_pending_, true)) {
    retry_timer_ = timers_.After(Milliseconds(kReopenPauseMs), [this] {
      retry_pending_ = false;
      OpenMissingConnections();
    });
  }
  if (connection.callback) {
    --running_;
    connection.callback(nullptr);
  }
}

void ConnectionPool::NotifyFree() {
  if (on_free_) {
    on_free_();
  }
}

}  // namespace kingcuplock
