#pragma once

/// Interface between the decision code and the I/O code around it. The decision
/// code does no input or output: it queues actions in an Outbox, the I/O code
/// performs them and reports events back.
///
/// Example:
///   Outbox outbox;
///   auto connection = outbox.Open(ConnectionKind::kMember, host, port, 100);
///   outbox.Send(connection, request);
///   for (auto& action : outbox.Take()) { Perform(action); }

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/log.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Type of the remote end of an outbound connection.
enum class ConnectionKind { kPeer, kMember, kStore };

/// Action: open a connection. ConnectionOpened follows, or ConnectionClosed if
/// it can't be opened within `timeout_ms`.
struct OpenConnection {
  ConnectionId connection = 0;
  ConnectionKind kind = ConnectionKind::kPeer;
  std::string host;
  std::int64_t port = 0;
  int timeout_ms = 0;
};

/// Action: close a connection at once. ConnectionClosed follows.
struct CloseConnection {
  ConnectionId connection = 0;
};

/// Any message that an instance sends.
using OutboundMessage = std::variant<CallerAnswer,
                                     InstanceStatus,
                                     Forward,
                                     ForwardAnswer,
                                     Heartbeat,
                                     ManifestWanted,
                                     ManifestOffer,
                                     HandOver,
                                     RoutesWanted,
                                     RoutesOffer,
                                     GrantWanted,
                                     GrantGiven,
                                     StepDown,
                                     SteppedDown,
                                     QuotaWanted,
                                     QuotaGiven,
                                     MemberRequest,
                                     StoreCall>;

/// Action: send one message.
struct SendMessage {
  ConnectionId connection = 0;
  OutboundMessage message;
};

/// Action: write a log event.
struct LogAction {
  Event event = Event::kProxyStarted;
  std::vector<std::pair<std::string, std::string>> fields;
  /// Wall-clock time at which the event was queued for writing; set by
  /// LogWriter.
  std::chrono::system_clock::time_point time = {};
};

/// Action: the planned stop is complete and the process may end.
struct StopComplete {};

/// Any action that the decision code asks for.
using Action = std::variant<OpenConnection,
                            CloseConnection,
                            SendMessage,
                            LogAction,
                            StopComplete>;

/// Event: an outbound connection is open.
struct ConnectionOpened {
  ConnectionId connection = 0;
};

/// Event: a connection ended or could not be opened. It is the last event of
/// that connection.
struct ConnectionClosed {
  ConnectionId connection = 0;
};

/// Event: a message arrived on a connection and was decoded.
struct MessageArrived {
  ConnectionId connection = 0;
  std::variant<InboundMessage, PeerMessage, MemberAnswer, StoreReply> message;
};

/// Event: a planned stop was requested.
struct StopRequested {};

/// Any event that the I/O code reports to the decision code.
using NodeEvent = std::
    variant<StopRequested, ConnectionOpened, ConnectionClosed, MessageArrived>;

/// Queue of actions, in order. Not thread safe.
class Outbox {
 public:
  /// Queues the opening of a connection and returns the connection's id.
  /// `timeout_ms` limits the time to open it.
  auto Open(ConnectionKind kind,
            const std::string& host,
            std::int64_t port,
            int timeout_ms) -> ConnectionId {
    const auto connection = ++last_connection_id_;
    actions_.emplace_back(
        OpenConnection{connection, kind, host, port, timeout_ms});
    return connection;
  }

  /// Queues the closing of a connection.
  void Close(ConnectionId connection) {
    actions_.emplace_back(CloseConnection{connection});
  }

  /// Queues a message to be sent.
  void Send(ConnectionId connection, OutboundMessage message) {
    actions_.emplace_back(SendMessage{connection, std::move(message)});
  }

  /// Queues a log event.
  void Log(Event event,
           std::vector<std::pair<std::string, std::string>> fields) {
    actions_.emplace_back(LogAction{event, std::move(fields)});
  }

  /// Queues the report that the planned stop is complete.
  void CompleteStop() { actions_.emplace_back(StopComplete{}); }

  /// Returns the queued actions and empties the queue.
  auto Take() -> std::vector<Action> { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
  ConnectionId last_connection_id_ = 0;
};

}  // namespace kingcuplock
