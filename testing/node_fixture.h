#pragma once

/// Joins real nodes to fakes of the store and of database groups, on virtual
/// time and with seeded delays, for focused tests of failures.
///
/// Example:
///   NodeFixture fixture({.seed = 7, .nodes = 2});
///   fixture.RunFor(Milliseconds(1000));
///   auto answer = fixture.SendAndWait(0, request);
///   fixture.KillMember("db-1");

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

namespace kingcuplock {

/// What a fixture is like.
struct NodeFixtureOptions {
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  /// Number of instances.
  std::size_t nodes = 1;
  /// Number of databases, called db0, db1 and so on, of three members each,
  /// called db0-1, db0-2, db0-3.
  std::size_t databases = 1;
  /// Statement slots and connections of each member.
  std::int64_t slots = 2;
  std::int64_t connections = 16;
  /// Shortest and longest one-way delay of a message in microseconds.
  std::int64_t min_delay_us = 100;
  std::int64_t max_delay_us = 800;
  /// Time that a member takes to accept a connection in microseconds.
  std::int64_t open_us = 0;
  /// Time that a member takes for a request in microseconds.
  std::int64_t service_us = 500;
  /// Age in ms that reads of kind "stale" accept.
  std::int64_t stale_age_ms = 5000;
  /// Acknowledgement of every database.
  AcknowledgementMode acknowledgement = AcknowledgementMode::kReplicated;
  /// Time in ms for which every database keeps request ids.
  std::int64_t marker_retention_ms = 86'400'000;
  /// Whether members keep markers; false shows what they are for.
  bool markers = true;
  /// Rules of every instance for a new manifest.
  ManifestRules manifest_rules = {};
};

/// An answer that a caller got, and when.
struct ReceivedAnswer {
  /// Number that Send() returned for the request.
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

  /// Runs until every database is served and every instance has a manifest.
  /// Throws std::runtime_error if that takes over 10 s.
  void RunUntilServing();

  /// Runs everything that happens within `duration`.
  void RunFor(Duration duration);

  /// Runs until `done` holds, `longest` at most. Returns whether it held.
  auto RunUntil(const std::function<bool()>& done, Duration longest) -> bool;

  /// Sends a request to an instance; the answer appears in answers() under
  /// the number returned here.
  auto Send(std::size_t node, const CallerRequest& request) -> std::uint64_t;

  /// Sends a request and runs until its answer. Throws std::runtime_error if
  /// none comes within the patience and a second.
  auto SendAndWait(std::size_t node, const CallerRequest& request)
      -> CallerAnswer;

  /// Returns all answers so far, in order of arrival.
  auto answers() const -> const std::vector<ReceivedAnswer>& {
    return answers_;
  }

  /// Returns a request of the manifest's write kind that appends to a row.
  auto MakeAppendRequest(const std::string& id,
                         const std::string& key,
                         const std::string& value) const -> CallerRequest;

  /// Returns a request that reads a row, of kind "fresh" or "stale".
  auto MakeReadRequest(const std::string& id,
                       const std::string& kind,
                       const std::string& key) const -> CallerRequest;

  // Faults of members. A member's name tells its database.
  void KillMember(const std::string& name);
  void ReviveMember(const std::string& name);
  void PauseMember(const std::string& name, bool paused);
  void IsolateMember(const std::string& name, bool isolated);
  void SetLag(const std::string& name, Duration lag);
  /// Present connections to the member go silent for good; new ones work.
  void SilenceOpenConnections(const std::string& name);
  /// Cuts an instance from a member: silence both ways, old and new.
  void PartitionFromMember(std::size_t node, const std::string& name, bool cut);

  // Faults of the store.
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetStoreDelay(Duration delay) { store_delay_ = delay; }
  /// The next `count` answers are lost after their effect.
  void LoseStoreAnswers(int count) { lose_store_answers_ = count; }
  void ExpireLeases() { store_.ExpireAllLeases(); }
  /// Cuts one instance from the store.
  void PartitionFromStore(std::size_t node, bool cut);
  /// Loses the events of every watch of an instance; calls are answered.
  void LoseWatchEvents(std::size_t node, bool lose);
  /// Puts a value into the store, as the platform or an operator may.
  void PutInStore(const std::string& key, const std::string& value);

  // Faults of instances.
  void KillNode(std::size_t node);
  void StartNode(std::size_t node);
  void PauseNode(std::size_t node, bool paused);
  void StartPlannedStop(std::size_t node);
  /// Kills an instance and starts it under the same name at another address.
  void RestartNodeAtNewAddress(std::size_t node);
  void PartitionPeers(std::size_t a, std::size_t b, bool cut);

  /// Returns whether the instance is neither killed nor paused.
  auto IsRunning(std::size_t node) const -> bool {
    return nodes_[node].alive && !nodes_[node].paused;
  }

  /// Returns whether a planned stop of the instance is complete.
  auto IsStopped(std::size_t node) const -> bool;

  /// Returns how often an event was logged by all instances together.
  auto CountLoggedEvents(kingcuplock::Event event) const -> int;

  /// Publishes the platform's list of instances and endpoints.
  void PublishInstanceList(const InstanceList& list);

  /// Returns an instance's entry in the platform's list.
  auto MakeInstanceEntry(std::size_t node) const -> InstanceEntry;

  /// Publishes a manifest, as the operators' tool does. Groups of databases
  /// that are new begin empty.
  void PublishManifest(const Manifest& manifest);

  auto manifest() const -> const Manifest& { return manifest_; }
  auto store() -> KeyValueStore& { return store_; }
  auto group(const std::string& database) -> DatabaseGroup&;
  /// Returns the primary of the highest term in the group.
  auto Primary(const std::string& database) -> MemberState&;
  /// Returns the live instance that serves as owner, or nodes() if none.
  auto OwnerOf(const std::string& database) -> std::size_t;
  auto StatusOf(std::size_t node) -> InstanceStatus;
  auto nodes() const -> std::size_t { return nodes_.size(); }
  auto IsAlive(std::size_t node) const -> bool { return nodes_[node].alive; }
  auto Now() const -> Time { return now_; }
  auto random() -> std::mt19937_64& { return random_; }

  /// Returns the most connections that any member had open at once.
  auto PeakOpenConnections() const -> std::int64_t { return most_connections_; }
  /// Returns the most statements that any member had running at once.
  auto PeakRunningStatements() const -> std::int64_t {
    return most_statements_;
  }

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
    std::uint64_t run = 0;
    std::map<ConnectionId, Link> links;
    std::vector<NodeEvent> held;
    std::set<std::string> cut_members;
    std::set<std::size_t> cut_peers;
    bool cut_store = false;
    bool lose_watch_events = false;
    std::int64_t port = 0;
  };
  struct WaitingAnswer {
    std::size_t node = 0;
    ConnectionId connection = 0;
    MemberRequest request;
    Time until{};
  };

  // Time.
  void At(Duration delay, std::function<void()> work);
  auto Delay() -> Duration;
  void Step(Time until);
  void ReplicateLoop();

  // Nodes.
  void Deliver(std::size_t node, const NodeEvent& event);
  void Drain(std::size_t node);
  void Perform(std::size_t node, Action& action);
  void Open(std::size_t node, const OpenConnection& open);
  void Close(std::size_t node, ConnectionId connection);
  void SendFrom(std::size_t node, const SendMessage& send);
  void ToMember(std::size_t node,
                ConnectionId id,
                const MemberRequest& request);
  void ToStore(std::size_t node, ConnectionId id, const StoreCall& call);
  void ToPeer(std::size_t node,
              ConnectionId id,
              const OutboundMessage& message);
  void ToInbound(std::size_t node,
                 ConnectionId id,
                 const OutboundMessage& message);
  void ServeMember(std::size_t node,
                   ConnectionId id,
                   const std::string& name,
                   const MemberRequest& request);
  void ReplyMember(std::size_t node,
                   ConnectionId id,
                   const std::string& member,
                   const MemberAnswer& answer);
  void AnswerWaiting();
  void PushStoreEvents();
  void EndInbound(const Link& link);
  void DropLinksTo(const std::string& member);
  void CountConnections(const std::string& member);
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
  Duration store_delay_{};
  int lose_store_answers_ = 0;
  std::map<std::string, DatabaseGroup> groups_;
  std::map<std::int64_t, std::string> member_ports_;
  std::map<kingcuplock::Event, int> logged_;
  std::map<std::string, std::vector<std::function<void()>>> held_by_member_;
  std::map<std::string, std::int64_t> running_;
  std::vector<WaitingAnswer> waiting_;
  std::vector<Instance> nodes_;
  /// Callers' connections, and peers' inbound ones: where answers go.
  struct Inbound {
    bool is_caller = false;
    std::size_t from = 0;
    ConnectionId from_id = 0;
  };
  std::map<std::pair<std::size_t, ConnectionId>, Inbound> inbound_;
  ConnectionId last_inbound_ = 0;
  std::map<ConnectionId, std::pair<CallerRequest, Time>> asked_;
  std::vector<ReceivedAnswer> answers_;
  std::map<std::size_t, InstanceStatus> statuses_;
  std::int64_t most_connections_ = 0;
  std::int64_t most_statements_ = 0;
};

}  // namespace kingcuplock
