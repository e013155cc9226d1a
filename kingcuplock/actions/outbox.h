#pragma once

/// What the decision library asks of the shell around it, and what the shell
/// reports back. The library itself does no input or output.
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

/// What an outbound connection leads to.
enum class ConnectionKind { kPeer, kMember, kStore };

/// Open a connection; ends in ConnectionOpened or ConnectionClosed.
struct OpenConnection {
  ConnectionId connection = 0;
  ConnectionKind kind = ConnectionKind::kPeer;
  std::string host;
  std::int64_t port = 0;
  int timeout_ms = 0;
};

/// Close a connection at once; ConnectionClosed follows.
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
                                     MemberRequest,
                                     StoreCall>;

/// Send one message.
struct SendMessage {
  ConnectionId connection = 0;
  OutboundMessage message;
};

/// Write a log event.
struct LogAction {
  Event event = Event::kProxyStarted;
  std::vector<std::pair<std::string, std::string>> fields;
  /// Wall-clock time at which it was queued; set by the log's writer.
  std::chrono::system_clock::time_point time = {};
};

/// The planned stop is complete; the process may end.
struct StopComplete {};

/// Anything that the decisions ask of the shell.
using Action = std::variant<OpenConnection,
                            CloseConnection,
                            SendMessage,
                            LogAction,
                            StopComplete>;

/// An outbound connection is usable.
struct ConnectionOpened {
  ConnectionId connection = 0;
};

/// A connection ended or could not be opened; last event on it.
struct ConnectionClosed {
  ConnectionId connection = 0;
};

/// A decoded message arrived on a connection.
struct MessageArrived {
  ConnectionId connection = 0;
  std::variant<InboundMessage, PeerMessage, MemberAnswer, StoreReply> message;
};

/// A planned stop was asked for.
struct StopRequested {};

/// Anything that the shell reports to the decisions.
using NodeEvent = std::
    variant<StopRequested, ConnectionOpened, ConnectionClosed, MessageArrived>;

/// Collects actions in order. Not thread safe.
class Outbox {
 public:
  /// Asks for a connection and returns its id.
  auto Open(ConnectionKind kind,
            const std::string& host,
            std::int64_t port,
            int timeout_ms) -> ConnectionId {
    const auto connection = ++last_connection_;
    actions_.emplace_back(
        OpenConnection{connection, kind, host, port, timeout_ms});
    return connection;
  }

  /// Asks for a connection to be closed.
  void Close(ConnectionId connection) {
    actions_.emplace_back(CloseConnection{connection});
  }

  /// Asks for a message to be sent.
  void Send(ConnectionId connection, OutboundMessage message) {
    actions_.emplace_back(SendMessage{connection, std::move(message)});
  }

  /// Asks for a log event.
  void Log(Event event,
           std::vector<std::pair<std::string, std::string>> fields) {
    actions_.emplace_back(LogAction{event, std::move(fields)});
  }

  /// Reports that the planned stop is complete.
  void CompleteStop() { actions_.emplace_back(StopComplete{}); }

  /// Returns and clears what was collected.
  auto Take() -> std::vector<Action> { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
  ConnectionId last_connection_ = 0;
};

}  // namespace kingcuplock
