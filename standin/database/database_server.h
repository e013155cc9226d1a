#pragma once

/// Serves a stand-in database group: a port for each member, an opening time
/// and a limit for connections, statement slots, and faults caused by control
/// commands.
///
/// Example:
///   DatabaseServer server(options);
///   server.Run();

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/transport/web_socket_hub.h"
#include "standin/database/database_group.h"
#include "standin/database/transaction_session.h"

namespace kingcuplock {

/// Names, ports, capacity and delays of a stand-in database group.
struct DatabaseServerOptions {
  /// Name of the group; members are called NAME-1, NAME-2 and so on.
  std::string name = "db";
  /// IP address to listen on.
  std::string host = "127.0.0.1";
  /// Port for control commands; members listen on the ports after it.
  std::uint16_t port = 7500;
  /// Number of members.
  int members = 3;
  /// Statements that a member runs at once.
  int slots = 2;
  /// Connections that a member accepts at once.
  int connections = 16;
  /// Time in ms from the opening of a connection until its first request runs.
  int opening_ms = 12;
  /// Time in ms that a statement occupies its slot; 0 runs it at once.
  int service_ms = 1;
  /// Seed of the delays of reordered answers.
  std::uint32_t seed = 1;
};

/// Not thread safe; runs on the thread that calls Run().
class DatabaseServer {
 public:
  explicit DatabaseServer(const DatabaseServerOptions& options);

  /// Serves until SIGTERM or SIGINT.
  void Run();

 private:
  struct Connection {
    std::string member;
    /// Time until which requests wait for the end of the opening.
    std::int64_t ready_us = 0;
    /// Whether its messages are lost.
    bool silent = false;
    TransactionSession transaction;
  };
  /// A request that waits until its member has reached a position in the log.
  struct PositionWaiter {
    ConnectionId connection = 0;
    MemberRequest request;
    std::int64_t deadline_us = 0;
  };
  /// Connections, statement slots and faults of one member.
  struct MemberFrontend {
    std::uint16_t port = 0;
    int open_connections = 0;
    int refused_connections = 0;
    int peak_open_connections = 0;
    int peak_running = 0;
    int running = 0;
    /// Requests that wait for a slot.
    std::deque<std::function<void()>> slot_queue;
    /// Requests that wait until the member is resumed.
    std::vector<std::function<void()>> deferred;
    std::deque<PositionWaiter> position_waiters;
    /// Delay of answers; its maximum if answers are reordered.
    int delay_ms = 0;
    bool reorder = false;
  };

  void OnOpened(ConnectionId source, std::uint16_t port);
  void OnFrame(ConnectionId source, const std::string& payload, bool is_text);
  void OnClosed(ConnectionId source);
  void DispatchWhenOpened(ConnectionId source, const MemberRequest& request);
  void DispatchRequest(ConnectionId source, const MemberRequest& request);
  void RunInSlot(const std::string& member, std::function<void()> work);
  void FinishSlot(const std::string& member);
  void RunRequest(ConnectionId source, const MemberRequest& request);
  void SendAnswer(ConnectionId source, const MemberAnswer& answer);
  void SendAnswerNow(ConnectionId source, const MemberAnswer& answer);
  void AnswerPositionWaiters();
  void ReplicateLoop();
  void OnControl(ConnectionId source,
                 const ControlCommand& command,
                 FrameFormat format);
  auto ApplyCommand(const std::string& name,
                    const ControlCommand& command,
                    ControlAnswer& answer) -> std::string;
  auto ApplyMemberCommand(const std::string& name,
                          const ControlCommand& command)
      -> std::optional<std::string>;
  void AddStats(const std::string& name, ControlAnswer& answer);
  void AddRows(const std::string& name, ControlAnswer& answer);

  DatabaseServerOptions options_;
  DatabaseGroup group_;
  std::map<std::string, MemberFrontend> frontends_;
  std::map<std::uint16_t, std::string> members_by_port_;
  std::map<ConnectionId, Connection> connections_;
  std::mt19937 random_;
  WebSocketHub hub_;
};

}  // namespace kingcuplock
