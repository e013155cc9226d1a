#pragma once

/// WebSocket connections, inbound and outbound, on one thread. This header
/// compiles as C++17 and does not include websocketpp, which does not compile
/// as C++20.
///
/// Example:
///   WebSocketHub hub({.opened = ..., .frame = ..., .closed = ...});
///   hub.Listen("127.0.0.1", 7400);
///   hub.Run();

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kingcuplock/base/connection_id.h"

namespace kingcuplock {

/// Callbacks of a hub, called on the thread that runs it.
struct WebSocketHubCallbacks {
  /// A connection is open. `port` is the local port of an inbound connection
  /// and 0 for an outbound one.
  std::function<void(ConnectionId, std::uint16_t port)> opened;
  /// A complete message arrived, in text frames or in binary ones.
  std::function<void(ConnectionId, std::string payload, bool is_text)> frame;
  /// A connection ended or could not be opened. It is the last callback for
  /// that connection.
  std::function<void(ConnectionId)> closed;
};

/// Owns the sockets. All functions except Post() and Stop() must be called on
/// the thread that calls Run(), or before Run().
class WebSocketHub {
 public:
  explicit WebSocketHub(WebSocketHubCallbacks callbacks);
  ~WebSocketHub();
  WebSocketHub(const WebSocketHub&) = delete;
  auto operator=(const WebSocketHub&) -> WebSocketHub& = delete;

  /// Accepts connections on the address, whose host is an IP number. Throws
  /// std::runtime_error if it can't be bound.
  void Listen(const std::string& host, std::uint16_t port);

  /// Closes the listening socket on `port` and the connections it accepted.
  void StopListening(std::uint16_t port);

  /// Closes the listening socket on `port`. Connections that it accepted stay
  /// open.
  void StopAccepting(std::uint16_t port);

  /// Opens a connection under an id that was never used before and has no
  /// kInboundBit. Either `opened` is called, or `closed`, after `timeout_ms` at
  /// the latest.
  void Connect(ConnectionId connection,
               const std::string& host,
               std::uint16_t port,
               int timeout_ms);

  /// Sends a message as a text or a binary frame. Does nothing if the
  /// connection has ended.
  void Send(ConnectionId connection, std::string_view payload, bool is_text);

  /// Closes a connection at once, without a closing handshake. `closed` is
  /// called afterwards.
  void Close(ConnectionId connection);

  /// Begins the closing handshake, with status 1001 (going away), on every
  /// inbound connection. Messages sent before still arrive.
  void SendGoingAway();

  /// Resumes (`on`) or pauses reading from a connection.
  void SetReading(ConnectionId connection, bool on);

  /// Runs `work` on the hub's thread. Thread safe.
  void Post(std::function<void()> work);

  /// Runs `work` on the hub's thread after `delay_ms`.
  void RunAfter(int delay_ms, std::function<void()> work);

  /// Calls `handler` once, on the hub's thread, at the first SIGTERM or SIGINT.
  void SetTerminationHandler(std::function<void()> handler);

  /// Serves connections on the calling thread until Stop().
  void Run();

  /// Makes Run() return. Thread safe.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcuplock
