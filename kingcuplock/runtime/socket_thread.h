#pragma once

/// Thread that owns sockets. It decodes the messages that arrive, encodes those
/// that are sent, and exchanges events and commands with the decision thread
/// through two bounded rings.
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

/// Command of the decision thread to a socket thread.
using SocketCommand =
    std::variant<std::monostate, OpenConnection, CloseConnection, SendMessage>;

/// Listen() and ReportTerminationSignals() must be called before Start().
/// TryTakeEvent(), TryQueueCommand() and WakeForCommands() are called by the
/// decision thread.
class SocketThread {
 public:
  /// `wake_decisions` is called on the socket thread when events were queued or
  /// commands were taken from the ring.
  explicit SocketThread(std::function<void()> wake_decisions);
  ~SocketThread();
  SocketThread(const SocketThread&) = delete;
  auto operator=(const SocketThread&) -> SocketThread& = delete;

  /// Accepts callers and peers on the address. Throws std::runtime_error if it
  /// can't be bound.
  void Listen(const std::string& host, std::uint16_t port);

  /// Reports the first SIGTERM or SIGINT as a StopRequested event.
  void ReportTerminationSignals();

  /// Starts the thread.
  void Start();

  /// Closes the listening socket; open connections stay. Thread safe.
  void StopAccepting();

  /// Answers every request that arrives from now on with the error kLeaving,
  /// without passing it to the decision thread. Thread safe.
  void RefuseCallerRequests() { leaving_ = true; }

  /// Carries out the queued commands, closes the connections of callers and
  /// peers with a closing handshake, and joins the thread.
  void Stop();

  /// Takes the next event. Returns false when there is none.
  auto TryTakeEvent(NodeEvent& out) -> bool { return events_.TryPop(out); }

  /// Queues a command. Returns false and leaves `command` unchanged when the
  /// ring is full.
  auto TryQueueCommand(SocketCommand& command) -> bool;

  /// Makes the socket thread carry out the queued commands.
  void WakeForCommands();

  /// Returns the number of requests that were answered here, because the ring
  /// was full or the instance is leaving.
  auto CountRefusedRequests() const -> std::uint64_t {
    return refused_requests_.load();
  }

 private:
  void ReportEvent(NodeEvent event);
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
  void PerformQueuedCommands();
  void PerformCommand(const SocketCommand& command);

  std::function<void()> wake_decisions_;
  SpscRing<NodeEvent> events_;
  SpscRing<SocketCommand> commands_;
  std::atomic<bool> flush_pending_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<std::uint64_t> refused_requests_{0};
  std::deque<NodeEvent> overflow_;
  std::unordered_map<ConnectionId, ConnectionKind> outbound_kinds_;
  std::unordered_map<ConnectionId, bool> uses_text_frames_;
  std::uint16_t port_ = 0;
  WebSocketHub hub_;
  std::thread thread_;
};

}  // namespace kingcuplock
