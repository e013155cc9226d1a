#pragma once

/// Connects real nodes to stand-ins of the store and of database groups, on
/// virtual time and with seeded random delays, for focused tests of failures.
///
/// Example:
///   NodeFixture fixture({.seed = 7, .nodes = 2});
///   fixture.RunUntilServing();
///   auto request = fixture.MakeReadRequest("r1", "fresh", "a");
///   auto answer = fixture.SendAndWait(0, request);
///   fixture.KillMember("db0-1");

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/node/node.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "standin/database/database_group.h"
#include "standin/database/transaction_session.h"
#include "standin/store/key_value_store.h"
#include "standin/store/store_copies.h"

namespace kingcuplock {

/// Size, delays and manifest of a fixture.
struct NodeFixtureOptions {
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  /// Number of instances.
  std::size_t nodes = 1;
  /// Number of databases, called db0, db1 and so on, of three members each,
  /// called db0-1, db0-2, db0-3.
  std::size_t databases = 1;
  /// Number of statement slots and of connections of each member.
  std::int64_t slots = 2;
  std::int64_t connections = 16;
  /// Shortest and longest one-way delay of a message in microseconds.
  std::int64_t min_delay_us = 100;
  std::int64_t max_delay_us = 800;
  /// Time in microseconds that a member takes to accept a connection.
  std::int64_t open_us = 0;
  /// Time in microseconds that a member takes for a request in a slot.
  std::int64_t service_us = 500;
  /// Largest age in ms of the data that reads of kind "stale" accept.
  std::int64_t stale_age_ms = 5000;
  /// Acknowledgement mode of every database.
  AcknowledgementMode acknowledgement = AcknowledgementMode::kReplicated;
  /// Time in ms for which every database keeps request ids.
  std::int64_t marker_retention_ms = 86'400'000;
  /// Whether members store request ids. If false, repeated writes aren't
  /// recognized; this shows that a test depends on them.
  bool markers = true;
  /// Rules by which every instance accepts a new manifest.
  ManifestRules manifest_rules = {};
};

/// A request of a caller, its answer and the times of both.
struct ReceivedAnswer {
  /// Number that Send() returned.
  std::uint64_t number = 0;
  CallerRequest request;
  CallerAnswer answer;
  Time asked{};
  Time answered{};
};

/// Not thread safe. The same seed and calls give the same run.
class NodeFixture {
 public:
  explicit NodeFixture(const NodeFixtureOptions& options);
  ~NodeFixture();
  NodeFixture(const NodeFixture&) = delete;
  auto operator=(const NodeFixture&) -> NodeFixture& = delete;

  /// Runs until every database has an owner that serves it and every instance
  /// has a manifest. Throws std::runtime_error if that takes more than 10 s.
  void RunUntilServing();

  /// Runs all events of the next `duration`.
  void RunFor(Duration duration);

  /// Runs until `done` returns true, for `max_duration` at most. Returns
  /// whether it did.
  auto RunUntil(const std::function<bool()>& done, Duration max_duration)
      -> bool;

  /// Sends a request to instance number `node` and returns the number that its
  /// answer gets in answers().
  auto Send(std::size_t node, const CallerRequest& request) -> std::uint64_t;

  /// Sends a request to instance number `node`, runs until its answer arrives
  /// and returns it. Throws std::runtime_error if none arrives within the
  /// request's patience and one second.
  auto SendAndWait(std::size_t node, const CallerRequest& request)
      -> CallerAnswer;

  /// Returns all answers so far, in order of arrival.
  auto answers() const -> const std::vector<ReceivedAnswer>& {
    return answers_;
  }

  /// Returns a request of kind "write" that appends `value` to row `key` of
  /// database db0.
  auto MakeAppendRequest(const std::string& id,
                         const std::string& key,
                         const std::string& value) const -> CallerRequest;

  /// Returns a request of `kind` ("fresh" or "stale") that reads row `key` of
  /// database db0.
  auto MakeReadRequest(const std::string& id,
                       const std::string& kind,
                       const std::string& key) const -> CallerRequest;

  // Faults of members, which are named as in NodeFixtureOptions.

  /// Kills a member and closes its connections. Its data stays.
  void KillMember(const std::string& name);
  /// Starts a killed member.
  void ReviveMember(const std::string& name);
  /// A paused member handles nothing until it is resumed.
  void PauseMember(const std::string& name, bool paused);
  /// Stops replication to and from a member.
  void IsolateMember(const std::string& name, bool isolated);
  /// Sets the time from a commit until the member receives it.
  void SetLag(const std::string& name, Duration lag);
  /// Messages on the present connections to the member are lost from now on;
  /// new connections work.
  void SilenceOpenConnections(const std::string& name);
  /// Starts or ends the loss of all messages between an instance and a member,
  /// on open and on new connections.
  void PartitionFromMember(std::size_t node,
                           const std::string& name,
                           bool partitioned);

  // Faults of the store.

  /// While the store is down, it handles no calls, and watch events are lost.
  void SetStoreDown(bool down) { store_down_ = down; }
  /// Adds a delay to every call.
  void SetStoreDelay(Duration delay) { store_delay_ = delay; }
  /// Loses the next `count` answers; the calls take effect.
  void LoseStoreAnswers(int count) { store_answers_to_lose_ = count; }
  /// Ends all leases at once, before they expire.
  void ExpireLeases() { store_.ExpireAllLeases(); }
  /// Restores the store from its copy of about `age` ago. Watches end without a
  /// word. What PutInStore() wrote since is written again after
  /// `rewritten_after`.
  void RestoreStore(Duration age, Duration rewritten_after);
  /// Starts or ends the loss of all messages between an instance and the store.
  void PartitionFromStore(std::size_t node, bool partitioned);
  /// Starts or ends the loss of all watch events to an instance; its calls are
  /// still answered.
  void LoseWatchEvents(std::size_t node, bool lose);
  /// Writes a value to the store, as the platform or an operator does.
  void PutInStore(const std::string& key, const std::string& value);

  // Faults of instances.

  /// Kills an instance; its connections close.
  void KillNode(std::size_t node);
  /// Starts an instance without any state.
  void StartNode(std::size_t node);
  /// A paused instance handles nothing until it is resumed; messages to it
  /// wait.
  void PauseNode(std::size_t node, bool paused);
  /// Asks an instance for a planned stop.
  void StartPlannedStop(std::size_t node);
  /// Kills an instance and starts it under the same name with another port.
  void RestartNodeAtNewAddress(std::size_t node);
  /// Starts or ends the loss of all messages between two instances.
  void PartitionPeers(std::size_t a, std::size_t b, bool partitioned);

  /// Returns whether the instance is neither killed nor paused.
  auto IsRunning(std::size_t node) const -> bool {
    return nodes_[node].alive && !nodes_[node].paused;
  }

  /// Returns whether a planned stop of the instance is complete.
  auto IsStopped(std::size_t node) const -> bool;

  /// Returns how often all instances together have logged an event.
  auto CountLoggedEvents(kingcuplock::Event event) const -> int;

  /// Publishes the platform's list of instances and endpoints in the store.
  void PublishInstanceList(const InstanceList& list);

  /// Returns an instance's entry for the platform's list.
  auto MakeInstanceEntry(std::size_t node) const -> InstanceEntry;

  /// Publishes a manifest in the store, as the operators' tool does. Groups of
  /// databases that are new start empty.
  void PublishManifest(const Manifest& manifest);

  auto manifest() const -> const Manifest& { return manifest_; }
  auto store() -> KeyValueStore& { return store_; }
  auto group(const std::string& database) -> DatabaseGroup&;
  /// Returns the primary of the highest term in the group.
  auto Primary(const std::string& database) -> MemberState&;
  /// Returns the instance that serves the database as its owner, of those
  /// neither killed nor paused; nodes() if there is none.
  auto OwnerOf(const std::string& database) -> std::size_t;
  /// Returns the answer of an instance to a status query.
  auto StatusOf(std::size_t node) -> InstanceStatus;
  /// Returns the number of instances.
  auto nodes() const -> std::size_t { return nodes_.size(); }
  auto IsAlive(std::size_t node) const -> bool { return nodes_[node].alive; }
  auto Now() const -> Time { return now_; }
  auto random() -> std::mt19937_64& { return random_; }

  /// Returns the largest number of connections that a member had open at once.
  auto PeakOpenConnections() const -> std::int64_t {
    return peak_open_connections_;
  }
  /// Returns the largest number of statements that a member ran at once.
  auto PeakRunningStatements() const -> std::int64_t {
    return peak_running_statements_;
  }

 private:
  // Something that happens at time `due`; events of the same time happen in the
  // order in which they were scheduled.
  struct Event {
    Time due{};
    std::uint64_t order = 0;
    std::function<void()> work;
    auto operator>(const Event& other) const -> bool {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };
  // A connection that an instance has opened.
  struct Link {
    ConnectionKind kind = ConnectionKind::kPeer;
    std::string member;
    std::size_t peer = 0;
    ConnectionId remote_id = 0;
    bool open = false;
    bool silent = false;
    TransactionSession transaction;
  };
  struct Instance {
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<Outbox> outbox;
    std::unique_ptr<Node> node;
    bool alive = false;
    bool paused = false;
    bool stopped = false;
    std::uint64_t incarnation = 0;
    std::map<ConnectionId, Link> links;
    std::vector<NodeEvent> deferred_events;
    std::set<std::string> partitioned_members;
    std::set<std::size_t> partitioned_peers;
    bool partitioned_from_store = false;
    bool lose_watch_events = false;
    std::int64_t port = 0;
  };
  // A request that waits until its member has reached a position in the log.
  struct PositionWaiter {
    std::size_t node = 0;
    ConnectionId connection = 0;
    MemberRequest request;
    Time until{};
  };

  // Time.
  void Schedule(Duration delay, std::function<void()> work);
  auto RandomDelay() -> Duration;
  void AdvanceToNextEvent(Time until);
  void ReplicateLoop();

  // Messages and actions of instances.
  void Deliver(std::size_t node, const NodeEvent& event);
  void PerformActions(std::size_t node);
  void Perform(std::size_t node, Action& action);
  void OpenLink(std::size_t node, const OpenConnection& open);
  void CloseLink(std::size_t node, ConnectionId connection);
  void DispatchMessage(std::size_t node, const SendMessage& send);
  void SendToMember(std::size_t node,
                    ConnectionId id,
                    const MemberRequest& request);
  void SendToStore(std::size_t node, ConnectionId id, const StoreCall& call);
  void SendToPeer(std::size_t node,
                  ConnectionId id,
                  const OutboundMessage& message);
  void SendToInbound(std::size_t node,
                     ConnectionId id,
                     const OutboundMessage& message);
  void RunAtMember(std::size_t node,
                   ConnectionId id,
                   const std::string& name,
                   const MemberRequest& request);
  void SendMemberAnswer(std::size_t node,
                        ConnectionId id,
                        const std::string& member,
                        const MemberAnswer& answer);
  void AnswerPositionWaiters();
  void PushStoreEvents();
  void CloseRemoteEnd(const Link& link);
  void CloseLinksTo(const std::string& member);
  void UpdatePeakConnections(const std::string& member);
  auto FindNode(std::int64_t port) const -> std::size_t;
  auto FindLink(std::size_t node, ConnectionId id) -> Link*;
  auto Reaches(std::size_t node, const std::string& member) -> bool;

  NodeFixtureOptions options_;
  std::mt19937_64 random_;
  Time now_{Milliseconds(1000)};
  std::uint64_t last_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Manifest manifest_;
  KeyValueStore store_;
  std::map<std::pair<std::size_t, ConnectionId>, std::set<std::string>>
      watches_;
  bool store_down_ = false;
  StoreCopies store_copies_;
  /// Newest value that PutInStore() wrote under each key.
  std::map<std::string, std::string> external_items_;
  Duration store_delay_{};
  int store_answers_to_lose_ = 0;
  std::map<std::string, DatabaseGroup> groups_;
  std::map<std::int64_t, std::string> member_ports_;
  std::map<kingcuplock::Event, int> logged_event_counts_;
  std::map<std::string, std::vector<std::function<void()>>> deferred_by_member_;
  std::map<std::string, std::int64_t> running_statements_;
  std::vector<PositionWaiter> position_waiters_;
  std::vector<Instance> nodes_;
  // An inbound connection of an instance, from a caller or from an instance,
  // then `peer`, that has opened it as `peer_connection`.
  struct Inbound {
    bool is_caller = false;
    std::size_t peer = 0;
    ConnectionId peer_connection = 0;
  };
  std::map<std::pair<std::size_t, ConnectionId>, Inbound> inbound_;
  ConnectionId last_inbound_ = 0;
  std::map<ConnectionId, std::pair<CallerRequest, Time>> open_requests_;
  std::vector<ReceivedAnswer> answers_;
  std::map<std::size_t, InstanceStatus> statuses_;
  std::int64_t peak_open_connections_ = 0;
  std::int64_t peak_running_statements_ = 0;
};

}  // namespace kingcuplock
