#pragma once

/// Client of the platform's key-value service over one connection. Calls have a
/// timeout; a lost connection is opened again, and watches are set up again on
/// the new one. When the service was restored from an older copy of its data,
/// everything read before loses its meaning: versions and leases are given out
/// again. Pending calls then end without an answer, watches begin anew, and
/// subscribers are told.
///
/// Example:
///   StoreClient store(address, timing, timers, outbox);
///   store.Start();
///   store.Call(call, [](const StoreAnswer* answer) {
///     if (answer == nullptr) { /* lost; may or may not have taken effect */ }
///   });

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// Not thread safe. A call takes O(log n) time in the number of pending calls.
class StoreClient {
 public:
  /// Receives the answer, or nullptr if it was lost or the service is
  /// unavailable: the call may or may not have taken effect.
  using Callback = std::function<void(const StoreAnswer*)>;
  /// Receives the items under a watched prefix: first all that exist, then each
  /// item that is new, changed or deleted. Changes that were missed while the
  /// connection was lost are reported after the reconnection. An item with
  /// `deleted` set has no value.
  using WatchCallback = std::function<void(const StoreItem&, bool deleted)>;

  StoreClient(Address address,
              TimingSettings timing,
              TimerService& timers,
              Outbox& outbox);

  /// Opens the connection.
  void Start();

  /// Calls `callback` each time the service turns out to be restored or
  /// replaced, before any item of its present data is delivered. Callbacks are
  /// called in the order of their subscription.
  void SubscribeToNewEra(std::function<void()> callback);

  /// Treats the service as replaced by another one, whose data need not
  /// continue the former's, as after a change of its address.
  void BeginNewEra();

  /// Returns the era that the service's answers tell; 0 if unknown.
  auto era() const -> std::int64_t { return era_; }

  /// Returns the number of times that the data were restored or replaced, as
  /// far as this client has seen. A version read under another count must not
  /// be used.
  auto era_change_count() const -> std::int64_t { return era_change_count_; }

  /// Returns when the first answer of the present era arrived; nullopt before.
  auto era_known_since() const -> std::optional<Time> {
    return era_known_since_;
  }

  /// Sends a call and sets its id. A call made while no connection is open
  /// is sent once there is one. Calls back exactly once, with nullptr if no
  /// answer arrives within the timing's `store_timeout_ms`.
  void Call(StoreCall call, Callback callback);

  /// Watches every key that starts with `prefix`.
  void Watch(std::string prefix, WatchCallback callback);

  /// Returns whether the service is known to answer: false before its first
  /// answer, and after a timeout, a lost connection or the status
  /// `unavailable`, until it answers again.
  auto IsReachable() const -> bool { return reachable_; }

  /// Returns when the service was last known to answer: now if it is reachable,
  /// else the time of its last message.
  auto LastContact() const -> Time {
    return reachable_ ? timers_.Now() : last_heard_;
  }

  /// Event handlers. They return false, and do nothing, if the connection is
  /// not this client's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnReply(ConnectionId connection, const StoreReply& reply) -> bool;

 private:
  struct PendingCall {
    Callback callback;
    TimerId timer = 0;
    /// The call, until the connection is open and it has been sent.
    std::optional<StoreCall> unsent;
  };
  struct WatchedPrefix {
    std::string prefix;
    WatchCallback callback;
    /// Whether the call that sets up the watch is pending.
    bool pending = false;
    /// Newest reported version of each existing key; 0 for a key known from
    /// an earlier era.
    std::map<std::string, std::int64_t> versions;
  };

  void Connect();
  /// Sets up a watch, unless that is pending.
  void SendWatch(std::size_t index);
  void OnWatchAnswer(std::size_t index, const StoreAnswer* answer);
  void NotifyWatcher(WatchedPrefix& watch, const StoreItem& item, bool deleted);
  auto NoteEra(const StoreReply& reply) -> bool;
  void DiscardVersions();
  void OnAnswer(const StoreAnswer& answer);
  void OnCallRejected(std::int64_t id);
  void OnCallTimeout(std::int64_t id);
  void CloseIfSilent();
  void SetReachable(bool reachable);

  Address address_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  bool reachable_ = false;
  Time last_heard_{};
  std::int64_t last_call_id_ = 0;
  std::map<std::int64_t, PendingCall> calls_;
  std::vector<WatchedPrefix> watches_;
  std::int64_t era_ = 0;
  std::int64_t era_change_count_ = 0;
  std::optional<Time> era_known_since_;
  std::vector<std::function<void()>> era_subscribers_;
};

}  // namespace kingcuplock
