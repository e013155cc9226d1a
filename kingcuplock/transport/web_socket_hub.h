#pragma once

/// WebSocket connections, inbound and outbound, on one thread. The header
/// needs C++17 only; websocketpp stays behind it.
///
/// Example:
///   WebSocketHub hub(callbacks);
///   hub.Listen("127.0.0.1", 7400);
///   hub.Run();

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kingcuplock/base/connection_id.h"

namespace kingcuplock {

/// What a hub reports, on the thread that runs it.
struct WebSocketHubCallbacks {
  /// A connection is open; `port` is the local port for inbound ones, else 0.
  std::function<void(ConnectionId, std::uint16_t port)> opened;
  /// A whole frame arrived.
  std::function<void(ConnectionId, std::string payload, bool is_text)> frame;
  /// A connection ended, or could not be opened. Last report on it.
  std::function<void(ConnectionId)> closed;
};

/// Owns the sockets. All members but Post() and Stop() are to be called on the
/// thread that runs it, or before Run().
class WebSocketHub {
 public:
  explicit WebSocketHub(WebSocketHubCallbacks callbacks);
  ~WebSocketHub();
  WebSocketHub(const WebSocketHub&) = delete;
  auto operator=(const WebSocketHub&) -> WebSocketHub& = delete;

  /// Accepts connections. Throws std::runtime_error if the port is taken.
  void Listen(const std::string& host, std::uint16_t port);

  /// Closes the listening socket on `port` and the connections it accepted.
  void StopListening(std::uint16_t port);

  /// Closes the listening socket on `port` and keeps its connections.
  void StopAccepting(std::uint16_t port);

  /// Opens a connection under an id without kInboundBit, unused before. Ends
  /// in `opened` or, after `timeout_ms` at the latest, in `closed`.
  void Connect(ConnectionId connection,
               const std::string& host,
               std::uint16_t port,
               int timeout_ms);

  /// Sends a frame. Does nothing if the connection has ended.
  void Send(ConnectionId connection, std::string_view payload, bool is_text);

  /// Closes a connection at once; `closed` follows.
  void Close(ConnectionId connection);

  /// Begins the closing handshake on every accepted connection, with status
  /// 1001 (going away), after what was sent before.
  void SendGoingAway();

  /// Stops or resumes reading from a connection.
  void SetReading(ConnectionId connection, bool on);

  /// Runs `work` on the hub's thread. Thread safe.
  void Post(std::function<void()> work);

  /// Runs `work` on the hub's thread after `delay_ms`.
  void RunAfter(int delay_ms, std::function<void()> work);

  /// Calls `handler` on the hub's thread at SIGTERM or SIGINT.
  void SetTerminationHandler(std::function<void()> handler);

  /// Serves until Stop().
  void Run();

  /// Makes Run() return. Thread safe.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcuplock
