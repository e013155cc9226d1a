#include "kingcuplock/http/http_client.h"

#include <utility>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

/// Time after which an idle connection is closed rather than reused. If the
/// network path broke in the meantime, the next request on it would take until
/// its timeout to fail.
constexpr Milliseconds kMaxIdleTime{10'000};

}  // namespace

HttpClient::HttpClient(Address address, StreamHub& hub, TimerService& timers)
    : address_(std::move(address)),
      host_(fmt::format("{}:{}", address_.host, address_.port)),
      hub_(hub),
      timers_(timers) {}

HttpClient::~HttpClient() {
  for (const auto& [id, connection] : connections_) {
    timers_.Cancel(connection.timer);
    hub_.Close(id);
  }
}

auto HttpClient::FindIdleConnection() -> ConnectionId {
  for (const auto& [id, connection] : connections_) {
    if (connection.open && !connection.callback) {
      return id;
    }
  }
  return 0;
}

auto HttpClient::CloseLongIdleConnections() -> void {
  std::vector<ConnectionId> expired;
  for (const auto& [id, it] : connections_) {
    if (it.open && !it.callback &&
        timers_.Now() - it.idle_since > kMaxIdleTime) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    CloseConnectionAndReport(id);
  }
}

auto HttpClient::Request(HttpRequest request,
                         Duration timeout,
                         Callback callback) -> void {
  auto bytes = FormatHttpRequest(request.method, request.target, host_,
                                 request.headers, request.body);
  CloseLongIdleConnections();
  auto id = FindIdleConnection();
  if (id == 0) {
    id = hub_.NextId();
    hub_.Connect(id, address_.host, static_cast<std::uint16_t>(address_.port),
                 timeout);
    connections_[id].unsent = std::move(bytes);
  } else {
    hub_.Send(id, bytes);
  }
  auto& connection = connections_[id];
  connection.callback = std::move(callback);
  connection.timer =
      timers_.After(timeout, [this, id] { CloseConnectionAndReport(id); });
}

auto HttpClient::OnOpened(ConnectionId id) -> bool {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  it->second.open = true;
  hub_.Send(id, std::exchange(it->second.unsent, {}));
  return true;
}

auto HttpClient::OnReceived(ConnectionId id, std::string_view bytes) -> bool {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  if (!it->second.reader.Feed(bytes)) {
    CloseConnectionAndReport(id);
    return true;
  }
  if (const auto message = it->second.reader.Take()) {
    CompleteRequest(id, &*message);
  }
  return true;
}

auto HttpClient::OnClosed(ConnectionId id) -> bool {
  if (!connections_.contains(id)) {
    return false;
  }
  CloseConnectionAndReport(id);
  return true;
}

auto HttpClient::CompleteRequest(ConnectionId id, const HttpMessage* answer)
    -> void {
  auto& connection = connections_.at(id);
  timers_.Cancel(connection.timer);
  connection.idle_since = timers_.Now();
  const auto callback = std::exchange(connection.callback, nullptr);
  if (!answer->keep_alive || !callback) {
    // An answer without a request leaves the connection in an unknown state.
    CloseConnectionAndReport(id);
  }
  if (callback) {
    callback(answer, true);
  }
}

auto HttpClient::CloseConnectionAndReport(ConnectionId id) -> void {
  auto node = connections_.extract(id);
  if (node.empty()) {
    return;
  }
  hub_.Close(id);
  timers_.Cancel(node.mapped().timer);
  if (node.mapped().callback) {
    node.mapped().callback(nullptr, node.mapped().open);
  }
}

}  // namespace kingcuplock
