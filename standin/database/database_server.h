#pragma once

/// Serves one stand-in database group: a port per member, connections with an
/// opening time and a limit, statement slots, and faults by command.
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

/// What a stand-in database group is like.
struct DatabaseServerOptions {
  /// Name; members are called NAME-1, NAME-2 and so on.
  std::string name = "db";
  /// IP number to listen on.
  std::string host = "127.0.0.1";
  /// Port for control; members listen on the ports after it.
  std::uint16_t port = 7500;
  /// Number of members.
  int members = 3;
  /// Statements that a member runs at once.
  int slots = 2;
  /// Connections that a member accepts.
  int connections = 16;
  /// Time in ms to open a connection.
  int opening_ms = 12;
  /// Time in ms that a statement runs; 0 for at once.
  int service_ms = 1;
  /// Seed for the order of reordered answers.
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
    std::int64_t ready_us = 0;
    bool silent = false;
    TransactionSession transaction;
  };
  struct Waiting {
    ConnectionId connection = 0;
    MemberRequest request;
    std::int64_t deadline_us = 0;
  };
  /// Load and faults of one member.
  struct Front {
    std::uint16_t port = 0;
    int open = 0;
    int refused = 0;
    int most_open = 0;
    int most_running = 0;
    int running = 0;
    std::deque<std::function<void()>> queue;
    std::vector<std::function<void()>> held;
    std::deque<Waiting> waiting;
    int delay_ms = 0;
    bool reorder = false;
  };

  void OnOpened(ConnectionId source, std::uint16_t port);
  void OnFrame(ConnectionId source, const std::string& payload, bool is_text);
  void OnClosed(ConnectionId source);
  void Accept(ConnectionId source, const MemberRequest& request);
  void Dispatch(ConnectionId source, const MemberRequest& request);
  void RunInSlot(const std::string& member, std::function<void()> work);
  void FinishSlot(const std::string& member);
  void Serve(ConnectionId source, const MemberRequest& request);
  void Reply(ConnectionId source, const MemberAnswer& answer);
  void SendNow(ConnectionId source, const MemberAnswer& answer);
  void AnswerWaiting();
  void ReplicateLoop();
  void OnControl(ConnectionId source,
                 const ControlCommand& command,
                 FrameFormat format);
  auto Apply(const std::string& name,
             const ControlCommand& command,
             ControlAnswer& answer) -> std::string;
  auto ApplyToMember(const std::string& name, const ControlCommand& command)
      -> std::optional<std::string>;
  void AddStats(const std::string& name, ControlAnswer& answer);
  void Dump(const std::string& name, ControlAnswer& answer);

  DatabaseServerOptions options_;
  DatabaseGroup group_;
  std::map<std::string, Front> fronts_;
  std::map<std::uint16_t, std::string> members_by_port_;
  std::map<ConnectionId, Connection> connections_;
  std::mt19937 random_;
  WebSocketHub hub_;
};

}  // namespace kingcuplock
