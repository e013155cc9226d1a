#pragma once

/// One control connection to a member, on which many requests may be
/// outstanding at once. The user calls Reconnect() to open it, and again when
/// it has closed or the member stays silent.
///
/// Example:
///   MemberClient client(member_config, timers, outbox);
///   client.Reconnect(Milliseconds(1000));
///   client.Call(request, Milliseconds(150), [](const MemberAnswer* answer) {
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

/// Receives a member's answer, or nullptr if the answer was lost. In that case
/// the request may or may not have been carried out.
using MemberCallback = std::function<void(const MemberAnswer*)>;

/// Not thread safe. A call takes O(log n) time in the number of outstanding
/// calls.
class MemberClient {
 public:
  MemberClient(MemberConfig member, TimerService& timers, Outbox& outbox);
  ~MemberClient();
  MemberClient(const MemberClient&) = delete;
  auto operator=(const MemberClient&) -> MemberClient& = delete;

  /// Opens a connection, which may take up to `timeout`, and closes the
  /// previous one, if any. Outstanding calls are called back with nullptr.
  void Reconnect(Duration timeout);

  /// Sends a request and sets its id. If no answer arrives within `timeout`, or
  /// the connection closes, calls back with nullptr. While the connection is
  /// being opened, the request waits; if none is open or being opened, the call
  /// fails when the timers next advance.
  void Call(MemberRequest request, Duration timeout, MemberCallback callback);

  /// Returns whether the connection is open.
  auto IsOpen() const -> bool { return open_; }

  /// Returns whether the connection is open or being opened.
  auto IsConnecting() const -> bool { return connection_ != 0; }

  /// Returns the time of the member's last answer.
  auto LastHeard() const -> Time { return last_heard_; }

  /// Returns the member's configuration.
  auto member() const -> const MemberConfig& { return member_; }

  /// Event handlers. They return false, and do nothing, if the connection is
  /// not this client's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  struct PendingCall {
    MemberCallback callback;
    TimerId timer = 0;
  };

  void FailCall(std::int64_t id);
  void FailAllCalls();

  MemberConfig member_;
  TimerService& timers_;
  Outbox& outbox_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  Time last_heard_{};
  std::int64_t last_request_id_ = 0;
  std::map<std::int64_t, PendingCall> calls_;
  std::vector<MemberRequest> unsent_requests_;
};

}  // namespace kingcuplock
