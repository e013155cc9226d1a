#pragma once

/// Calls to the platform's key-value service over one connection, with
/// timeouts, reconnection and a watch that is set up again after a loss.
///
/// Example:
///   StoreClient store(address, timing, timers, outbox);
///   store.Call(call, [](const StoreAnswer* answer) {
///     if (answer == nullptr) { /* nobody knows whether it took effect */ }
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

/// Not thread safe. A call is O(log n) in open calls.
class StoreClient {
 public:
  /// Gets the answer, or nullptr when it was lost: the call may or may not
  /// have taken effect.
  using Callback = std::function<void(const StoreAnswer*)>;
  /// Gets each item under a watched prefix: once after every (re)connection
  /// and at every change. `deleted` items carry no value.
  using WatchCallback = std::function<void(const StoreItem&, bool deleted)>;

  StoreClient(Address address,
              TimingSettings timing,
              TimerService& timers,
              Outbox& outbox);

  /// Opens the connection.
  void Start();

  /// Sends a call; its id is set here.
  void Call(StoreCall call, Callback callback);

  /// Watches every key that starts with `prefix`.
  void Watch(std::string prefix, WatchCallback callback);

  /// Returns whether the service answered lately.
  auto IsReachable() const -> bool { return reachable_; }

  /// Handles an event; returns false if the connection is not the store's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnReply(ConnectionId connection, const StoreReply& reply) -> bool;

 private:
  struct OpenCall {
    Callback callback;
    TimerId timer = 0;
    /// The call itself until the connection is open to send it.
    std::optional<StoreCall> unsent;
  };
  struct WatchEntry {
    std::string prefix;
    WatchCallback callback;
    std::map<std::string, std::int64_t> versions;
  };

  void Connect();
  void SendWatch(std::size_t index);
  void OnWatchAnswer(std::size_t index, const StoreAnswer* answer);
  void Notify(WatchEntry& watch, const StoreItem& item, bool deleted);
  void OnAnswer(const StoreAnswer& answer);
  void OnTurnedAway(std::int64_t id);
  void Fail(std::int64_t id);
  void ReplaceIfSilent();
  void SetReachable(bool reachable);

  Address address_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  bool reachable_ = false;
  Time last_heard_{};
  std::int64_t last_id_ = 0;
  std::map<std::int64_t, OpenCall> calls_;
  std::vector<WatchEntry> watches_;
};

}  // namespace kingcuplock
