#pragma once

/// Requests to one HTTP server over kept-alive connections, one request at a
/// time on each. A connection whose answer is late is closed, never reused.
///
/// Example:
///   HttpClient client(address, hub, timers);
///   client.Request({"GET", "/key?key=a", {}, ""}, Milliseconds(500),
///                  [](const HttpMessage* answer) { ... });

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

/// A request to send.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Not thread safe.
class HttpClient {
 public:
  /// Gets the answer, or nullptr when it was lost: the request may have been
  /// carried out. `sent` is false when the request never left.
  using Callback = std::function<void(const HttpMessage* answer, bool sent)>;

  HttpClient(Address address, StreamHub& hub, TimerService& timers);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Sends a request; calls back once, after `timeout` at the latest.
  auto Request(HttpRequest request, Duration timeout, Callback callback)
      -> void;

  /// Handle an event; return false if the connection is not this client's.
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

  auto FindIdle() -> ConnectionId;
  auto Finish(ConnectionId id, const HttpMessage* answer) -> void;
  auto Drop(ConnectionId id) -> void;
  auto DropLongIdle() -> void;

  Address address_;
  std::string host_;
  StreamHub& hub_;
  TimerService& timers_;
  std::unordered_map<ConnectionId, Connection> connections_;
};

}  // namespace kingcuplock
