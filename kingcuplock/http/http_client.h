#pragma once

/// HTTP client of one server. Keeps connections alive and sends one request at
/// a time on each. A connection whose answer is overdue is closed and never
/// reused.
///
/// Example:
///   HttpClient client(address, hub, timers);
///   client.Request({"GET", "/key?key=a", {}, ""}, Milliseconds(500),
///                  [](const HttpMessage* answer, bool sent) { ... });

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/http/http_codec.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/stream/stream_hub.h"

namespace kingcuplock {

/// HTTP request. The client adds the headers Host, Content-Type and
/// Content-Length.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Not thread safe.
class HttpClient {
 public:
  /// Receives the answer, or nullptr if it was lost. In that case the request
  /// may have been carried out, unless `sent` is false: then it was never sent.
  using Callback = std::function<void(const HttpMessage* answer, bool sent)>;

  HttpClient(Address address, StreamHub& hub, TimerService& timers);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Sends a request, on an idle connection or on a new one. Calls back once,
  /// after `timeout` at the latest.
  auto Request(HttpRequest request, Duration timeout, Callback callback)
      -> void;

  /// Event handlers. They return false, and do nothing, if the connection is
  /// not this client's.
  auto OnOpened(ConnectionId id) -> bool;
  auto OnReceived(ConnectionId id, std::string_view bytes) -> bool;
  auto OnClosed(ConnectionId id) -> bool;

 private:
  struct Connection {
    HttpReader reader{HttpRole::kClient};
    Callback callback;
    TimerId timer = 0;
    bool open = false;
    /// Bytes to send once the connection is open.
    std::string unsent;
    Time idle_since{};
  };

  auto FindIdleConnection() -> ConnectionId;
  auto CompleteRequest(ConnectionId id, const HttpMessage* answer) -> void;
  auto CloseConnectionAndReport(ConnectionId id) -> void;
  auto CloseLongIdleConnections() -> void;

  Address address_;
  std::string host_;
  StreamHub& hub_;
  TimerService& timers_;
  std::unordered_map<ConnectionId, Connection> connections_;
};

}  // namespace kingcuplock
