#pragma once

/// Runs one node against fakes of the store, the members and its peers on
/// virtual time, to measure the cost of control traffic without any caller.
///
/// Example:
///   ControlBench bench({.owned_databases = 10, .manifest_databases = 200});
///   auto cost = bench.Measure();

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/node/node.h"
#include "standin/database/database_group.h"
#include "standin/store/key_value_store.h"

namespace kingcuplock {

/// Sizes of one measurement. The node owns `owned_databases` of the
/// `manifest_databases` in the manifest; a peer owns the others.
struct ControlBenchOptions {
  std::size_t owned_databases = 1;
  std::size_t peers = 4;
  std::size_t manifest_databases = 3;
};

/// Cost of control traffic per second of virtual time, encoding and decoding
/// included.
struct ControlCost {
  /// Databases that the node owned in the end, to check the options.
  std::size_t databases_owned = 0;
  double cpu_us_per_s = 0;
  /// Messages and bytes in both directions.
  double messages_per_s = 0;
  double bytes_per_s = 0;
  double store_calls_per_s = 0;
  /// Heap that the node holds at the end, in bytes.
  std::int64_t heap_bytes = 0;
  /// Growth of that heap while it was measured.
  double heap_growth_bytes_per_s = 0;
};

/// A node and its surroundings. Not thread safe.
class ControlBench {
 public:
  /// Starts the node.
  explicit ControlBench(const ControlBenchOptions& options);

  /// Lets the node settle for 90 s of virtual time, then measures 10 s.
  auto Measure() -> ControlCost;

 private:
  /// Work that is due at a time; `order` keeps the order of equal times.
  struct Event {
    Time due{};
    std::uint64_t order = 0;
    std::function<void()> work;
    auto operator>(const Event& other) const -> bool {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };
  /// Connection that the node opened; `target` is a member or an instance.
  struct OutboundConnection {
    ConnectionKind kind = ConnectionKind::kPeer;
    std::string target;
  };

  void PublishManifestAndOwners();
  void RunUntil(Time until);
  /// Schedules work one message delay from now.
  void RunAfterDelay(std::function<void()> work);
  /// Runs work of the node and adds its processor time and heap to the cost.
  void RunMeasured(const std::function<void()>& work);
  void DeliverFrame(ConnectionId connection, const std::string& frame);
  /// Performs the actions that the node asks for until there are no more.
  void PerformActions();
  void PerformAction(const Action& action);
  void SendToStandin(const SendMessage& send, const std::string& frame);
  void SendStoreEvents();
  /// Answers members' requests whose position is reached or whose wait is over.
  void AnswerPositionWaits();
  void DeliverPeerHeartbeats();

  /// A request that waits until its member has reached a position.
  struct PositionWait {
    ConnectionId connection = 0;
    std::string member;
    MemberRequest request;
    std::int64_t until_us = 0;
  };

  ControlBenchOptions options_;
  std::vector<PositionWait> position_waits_;
  Manifest manifest_;
  KeyValueStore store_;
  std::map<std::string, DatabaseGroup> groups_;
  std::map<std::int64_t, std::string> members_by_port_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_event_order_ = 0;
  Time now_{Milliseconds(1000)};
  TimerService timers_{now_};
  Outbox outbox_;
  std::unique_ptr<Node> node_;
  std::map<ConnectionId, OutboundConnection> outbound_;
  std::vector<std::string> watches_;
  ConnectionId store_connection_ = 0;
  double cpu_us_ = 0;
  double messages_ = 0;
  double bytes_ = 0;
  double store_calls_ = 0;
  std::int64_t heap_ = 0;
};

}  // namespace kingcuplock
