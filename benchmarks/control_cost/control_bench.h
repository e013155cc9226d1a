#pragma once

/// One node between fakes of the store, the members and its peers, to measure
/// what control costs without any caller.
///
/// Example:
///   ControlBench bench({.owned = 10, .peers = 4, .manifest = 200});
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

/// Sizes of one measurement. The node owns `owned` databases; the other
/// `manifest` - `owned` are held by a peer.
struct ControlSizes {
  std::size_t owned = 1;
  std::size_t peers = 4;
  std::size_t manifest = 3;
};

/// Cost per second of control, codecs included.
struct ControlCost {
  std::size_t databases_owned = 0;
  double cpu_us = 0;
  double messages = 0;
  double bytes = 0;
  double store_calls = 0;
  /// Heap that the node holds at the end, in bytes.
  std::int64_t heap = 0;
  /// Growth of that heap in bytes per second.
  double heap_growth = 0;
};

/// Not thread safe.
class ControlBench {
 public:
  explicit ControlBench(const ControlSizes& sizes);

  /// Lets the node settle and measures ten seconds of virtual time.
  auto Measure() -> ControlCost;

 private:
  struct Event {
    Time due{};
    std::uint64_t order = 0;
    std::function<void()> work;
    auto operator>(const Event& other) const -> bool {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };
  struct Link {
    ConnectionKind kind = ConnectionKind::kPeer;
    std::string target;
  };

  void Publish();
  void RunUntil(Time until);
  void At(std::function<void()> work);
  void Charged(const std::function<void()>& work);
  void Deliver(ConnectionId connection, const std::string& frame);
  void Drain();
  void Perform(const Action& action);
  void Send(const SendMessage& send, const std::string& frame);
  void PushStoreEvents();
  void AnswerWaiting();
  void HeartbeatsIn();

  struct Waiting {
    ConnectionId connection = 0;
    std::string member;
    MemberRequest request;
    std::int64_t until_us = 0;
  };

  ControlSizes sizes_;
  std::vector<Waiting> waiting_;
  Manifest manifest_;
  KeyValueStore store_;
  std::map<std::string, DatabaseGroup> groups_;
  std::map<std::int64_t, std::string> members_by_port_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_order_ = 0;
  Time now_{Milliseconds(1000)};
  TimerService timers_{now_};
  Outbox outbox_;
  std::unique_ptr<Node> node_;
  std::map<ConnectionId, Link> links_;
  std::vector<std::string> watches_;
  ConnectionId store_link_ = 0;
  double cpu_us_ = 0;
  double messages_ = 0;
  double bytes_ = 0;
  double store_calls_ = 0;
  std::int64_t heap_ = 0;
};

}  // namespace kingcuplock
