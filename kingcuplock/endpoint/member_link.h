#pragma once

/// One control connection to a member, shared by many outstanding requests. A
/// link that closes or stays silent is replaced by a fresh one.
///
/// Example:
///   MemberClient link(config, timing, timers, outbox);
///   link.Call(request, Milliseconds(150), [](const MemberAnswer* answer) {
///     if (answer == nullptr) { /* lost; may have been carried out */ }
///   });

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Gets a member's answer, or nullptr when it was lost.
using MemberCallback = std::function<void(const MemberAnswer*)>;

/// Not thread safe. A call is O(log n) in outstanding calls.
class MemberClient {
 public:
  MemberClient(MemberConfig member, TimerService& timers, Outbox& outbox);
  ~MemberClient();
  MemberClient(const MemberClient&) = delete;
  auto operator=(const MemberClient&) -> MemberClient& = delete;

  /// Opens the connection, or replaces the one there is. Outstanding calls
  /// are reported as lost.
  void Reconnect(Duration timeout);

  /// Sends a request; its id is set here. Calls back with nullptr after
  /// `timeout` or when the link closes. A call on a link that is still
  /// opening is sent when it opens.
  void Call(MemberRequest request, Duration timeout, MemberCallback callback);

  /// Returns whether the connection is open.
  auto IsOpen() const -> bool { return open_; }

  /// Returns whether the connection is open or being opened.
  auto IsConnecting() const -> bool { return connection_ != 0; }

  /// Returns when the member last answered on this link.
  auto LastHeard() const -> Time { return last_heard_; }

  /// Returns the member's configuration.
  auto member() const -> const MemberConfig& { return member_; }

  /// Handle an event; return false if the connection is not this link's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  struct OpenCall {
    MemberCallback callback;
    TimerId timer = 0;
  };

  void Fail(std::int64_t id);
  void FailAll();

  MemberConfig member_;
  TimerService& timers_;
  Outbox& outbox_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  Time last_heard_{};
  std::int64_t last_id_ = 0;
  std::map<std::int64_t, OpenCall> calls_;
  std::vector<MemberRequest> unsent_;
};

}  // namespace kingcuplock
