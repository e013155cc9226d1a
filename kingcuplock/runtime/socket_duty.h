#pragma once

/// A thread that owns sockets: decodes what arrives, encodes what leaves, and
/// is joined to the decision thread by two bounded rings.
///
/// Example:
///   SocketThread sockets([&] { waker.Wake(); });
///   sockets.Listen(host, port);
///   sockets.Start();
///   while (sockets.TryTakeEvent(event)) { node.Handle(event); }

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/ring.h"
#include "kingcuplock/transport/web_socket_hub.h"

namespace kingcuplock {

/// What the decision thread asks of a socket thread.
using SocketCommand =
    std::variant<std::monostate, OpenConnection, CloseConnection, SendMessage>;

/// Listen(), SetTerminationHandler() and Start() before the rest.
/// TryTakeEvent() and TryQueueCommand() are for the decision thread.
class SocketThread {
 public:
  /// `wake_decisions` is called, on the socket thread, when events arrived or
  /// commands were taken.
  explicit SocketThread(std::function<void()> wake_decisions);
  ~SocketThread();
  SocketThread(const SocketThread&) = delete;
  auto operator=(const SocketThread&) -> SocketThread& = delete;

  /// Accepts callers and peers. Throws std::runtime_error if it can't.
  void Listen(const std::string& host, std::uint16_t port);

  /// Reports SIGTERM and SIGINT as StopRequested.
  void ReportTerminationSignals();

  /// Starts the thread.
  void Start();

  /// Closes the listening socket; open connections stay. Thread safe.
  void StopAccepting();

  /// Answers every request that arrives from now on as kLeaving: it does not
  /// reach the decision thread. Thread safe.
  void RefuseCallerRequests() { leaving_ = true; }

  /// Sends what was given, closes callers' and peers' connections with a
  /// closing handshake, stops the thread and joins it.
  void Stop();

  /// Takes the next event. Returns false when there is none.
  auto TryTakeEvent(NodeEvent& out) -> bool { return events_.TryPop(out); }

  /// Gives a command. Returns false, leaving it as it is, when the ring is
  /// full.
  auto TryQueueCommand(SocketCommand& command) -> bool;

  /// Wakes the socket thread after commands were given.
  void WakeForCommands();

  /// Returns the number of requests refused because the ring was full.
  auto CountRefusedRequests() const -> std::uint64_t { return refused_.load(); }

 private:
  void Report(NodeEvent event);
  void RetryOverflow();
  void OnFrame(ConnectionId source, const std::string& payload, bool is_text);
  void OnInbound(ConnectionId source, const std::string& payload, bool is_text);
  void RefuseRequest(ConnectionId source,
                     const CallerRequest& request,
                     bool is_text);
  void RejectFrame(ConnectionId source,
                   const std::string& payload,
                   bool is_text,
                   const std::string& reason);
  void RunCommands();
  void Perform(const SocketCommand& command);

  std::function<void()> wake_decisions_;
  SpscRing<NodeEvent> events_;
  SpscRing<SocketCommand> commands_;
  std::atomic<bool> flush_pending_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<std::uint64_t> refused_{0};
  std::deque<NodeEvent> overflow_;
  std::unordered_map<ConnectionId, ConnectionKind> kinds_;
  std::unordered_map<ConnectionId, bool> text_;
  std::uint16_t port_ = 0;
  WebSocketHub hub_;
  std::thread thread_;
};

}  // namespace kingcuplock
