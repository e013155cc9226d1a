#pragma once

/// One group of members as an instance serves it: connections to the members,
/// belief about the primary, floors of reads, and the tasks that wait.
///
/// Example:
///   Group group(config, {"dc-a"}, timers, out, log, ports);
///   group.SetMembers(entries);
///   group.Submit(task);

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/admission/admission_queue.h"
#include "kingcuplock/admission/retry_after.h"
#include "kingcuplock/admission/retry_budget.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/gateway/member_connection_pool.h"
#include "kingcuplock/gateway/primary_view.h"
#include "kingcuplock/gateway/read_choice.h"
#include "kingcuplock/gateway/statement_task.h"
#include "kingcuplock/gateway/statement_task_runner.h"
#include "kingcuplock/grants/grant_tracker.h"
#include "kingcuplock/grants/primary_evidence.h"
#include "kingcuplock/routing/age_tracker.h"
#include "kingcuplock/routing/replica_lag_tracker.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// What this instance has at one member, for metrics.
struct MemberGauge {
  std::string group;
  std::string member;
  std::int64_t in_flight = 0;
  double limit = 0;
  std::int64_t slots = 0;
  std::size_t connections = 0;
};

/// What a group reports.
struct GroupCallbacks {
  /// The belief about the primary, or its reach, changed: peers should know.
  std::function<void()> primary_changed;
  /// Asks the holder of the promotion duty for a grant; returns false if it
  /// can't be asked. OnGrantGiven() takes the answer.
  std::function<bool(std::int64_t ask)> request_grant;
  /// A task was served after it waited here for `waited` and was at a member
  /// for `at_member`.
  std::function<void(Duration waited, Duration at_member)> task_served;
};

/// Where an instance stands, and how the platform treats its members.
struct GroupOptions {
  /// Own data centre.
  std::string data_centre;
  /// Time after which a leaving member gets no new work, whatever it costs.
  Duration leaving{std::chrono::seconds(7)};
  /// Whether a promotion ends the lead of the primary before it. Where it does
  /// not, a statement that needs the primary goes out under a grant only.
  bool promotions_fenced = true;
};

/// Not thread safe.
class Group {
 public:
  Group(GroupConfig config,
        GroupOptions site,
        TimerService& timers,
        GatewayOutbox& out,
        Outbox& log,
        GroupCallbacks ports);
  ~Group();
  Group(const Group&) = delete;
  auto operator=(const Group&) -> Group& = delete;

  /// Takes a new configuration.
  auto SetConfig(const GroupConfig& config) -> void;

  /// Sets how many instances share the members' connections.
  auto SetInstanceCount(std::int64_t instances) -> void;

  /// Keeps a connection to each member open whatever the share, as for the
  /// holder of the promotion duty.
  auto SetKeepConnected(bool watching) -> void;

  /// Sets the members registered now. One that is missing gets no new work.
  auto SetMembers(std::span<const EndpointEntry> entries) -> void;

  /// Runs a task, now or once a connection is free; `finish` is called once,
  /// maybe before this returns.
  auto Submit(const StatementTaskPtr& task) -> void;

  /// Forgets a task whose client has left.
  auto Cancel(const StatementTaskPtr& task) -> void;

  /// Takes a peer's report about this group's primary. A peer that does not
  /// reach it makes this instance look for itself.
  auto NotePeerReport(const GroupReport& report) -> void;

  /// A member proved on a transaction's connection that it led after `sent`.
  auto NoteLeadProof(const std::string& member, Time sent, LogPlace place)
      -> void;

  /// A transaction's member refused as it does not lead.
  auto NoteNotPrimary(const std::string& member) -> void;

  /// A promotion of `member` to `term` was accepted.
  auto NotePromotionOrdered(const std::string& member, std::int64_t term)
      -> void;

  /// Asks one member for its status, or with `pause_term` to stop receiving.
  /// Calls back with nullptr if it can't be asked or does not answer in time.
  auto RequestMemberStatus(const std::string& member,
                           std::int64_t pause_term,
                           std::function<void(const MemberReport*)> callback)
      -> void;

  /// Makes a primary of a term below `term` a replica; calls back as
  /// RequestMemberStatus() does.
  auto Demote(const std::string& member,
              std::int64_t term,
              std::function<void(const MemberReport*)> callback) -> void;

  /// Takes a member's report that it leads.
  auto NoteMemberReport(const std::string& member, const MemberReport& report)
      -> void {
    OnLocated(member, report);
  }

  /// Takes the answer of the duty's holder to `request_grant`.
  auto OnGrantGiven(const GrantGiven& given) -> void;

  /// Returns until when a statement that needs `member` to lead may be sent to
  /// it; Time::max() where members refuse by themselves; nullopt if it may not
  /// be sent now, and then asks for a grant.
  auto LeadsUntil(const std::string& member) -> std::optional<Time>;

  /// Calls back with the grant in force, or once there is one; with an empty
  /// one if none comes soon.
  auto AwaitGrant(std::function<void(const PrimaryGrant&)> callback) -> void;

  /// Adds what this instance knows of the primary's log to an answer.
  auto AddReadFloor(GrantGiven& given) -> void;

  /// Returns whether the duty's holder gave no grant when last asked.
  auto HolderGaveNoGrant() const -> bool { return lacks_holder_; }

  /// Calls back once LeadsUntil() has a value, with it, or with nullopt after
  /// `patience`.
  auto AwaitLead(const std::string& member,
                 Duration patience,
                 std::function<void(std::optional<Time>)> callback) -> void;

  /// Lets a paused member receive again.
  auto ResumeReplication(const std::string& member) -> void;

  /// Returns when a promotion was last seen here, nullopt for never.
  auto LastPromotionSeen() const -> std::optional<Time> {
    return promotion_seen_;
  }

  /// Returns what this instance knows of the primary.
  auto MakeReport() const -> GroupReport;

  auto config() const -> const GroupConfig& { return config_; }
  auto primary() const -> const PrimaryView& { return primary_; }
  /// Returns the entry of a registered member, or nullptr.
  auto FindEntry(std::string_view member) const -> const EndpointEntry*;
  /// Returns the names of registered members.
  auto MemberNames() const -> std::vector<std::string>;
  auto ReachOf(std::string_view member) const -> Reach;
  /// Returns whether this instance knows of no primary that it reaches.
  auto LacksReachablePrimary() const -> bool;
  /// Returns how many tasks wait for a connection or a primary.
  auto CountWaitingTasks() const -> std::size_t;
  /// Adds what this instance has at each member.
  auto AddMemberGauges(std::vector<MemberGauge>& out) const -> void;
  /// Returns the connections held to all members.
  auto CountConnections() const -> std::size_t;

  /// Handle an event; return false if the connection is not this group's.
  auto OnOpened(ConnectionId link) -> bool;
  auto OnAnswer(ConnectionId link, const StatementAnswer& answer) -> bool;
  auto OnClosed(ConnectionId link, Reach reason) -> bool;

 private:
  struct Member {
    EndpointEntry entry;
    std::shared_ptr<MemberConnectionPool> pool;
    LatencyAverage latency;
    ReplicaLagTracker places;
    std::optional<Time> leaving_since;
    bool registered = true;
  };
  using Queue = AdmissionQueue<StatementTaskPtr>;

  // Members.
  auto AddMember(const EndpointEntry& entry) -> void;
  auto UpdateMember(Member& member, const EndpointEntry& entry) -> void;
  auto DropUnregistered() -> void;
  auto Limits() const -> ConnectionLimits;
  auto SetLimits() -> void;
  auto SetInFlightLimit(Member& member) -> void;
  auto NoteTarget(Duration target) -> void;
  auto FindMember(std::string_view member) -> Member*;
  auto PrimaryMember() -> Member*;
  template <typename Handler>
  auto AnyPool(Handler handle) -> bool;

  // Dispatch.
  auto Dispatch(const StatementTaskPtr& task) -> void;
  auto DispatchToPrimary(const StatementTaskPtr& task) -> void;
  auto DispatchRead(const StatementTaskPtr& task) -> void;
  auto StartRead(const StatementTaskPtr& task,
                 std::span<const std::string> order) -> bool;
  auto IsForPrimary(std::span<const std::string> order) const -> bool;
  auto RefuseWithoutFloor(const StatementTaskPtr& task) -> void;
  auto PickFloor(const StatementTaskPtr& task) -> bool;
  auto ReadOrder(const StatementTask& task) const -> std::vector<std::string>;
  auto TryStart(const StatementTaskPtr& task, Member& member) -> bool;
  auto MayStart(const StatementTask& task, const Queue& queue, Member& member)
      -> bool;
  auto Enqueue(Queue& queue, const StatementTaskPtr& task) -> void;
  auto QueueOf(const StatementTask& task) -> Queue&;
  auto Pump() -> void;
  auto PumpPrimary() -> void;
  auto PumpReads() -> void;
  auto MayUsePrimary() const -> bool;
  auto ExpectedReturn() const -> std::optional<Time>;
  auto Hedge(const StatementTaskPtr& task) -> void;

  // Outcomes.
  auto Finish(const StatementTaskPtr& task, StatementTaskResult result) -> void;
  auto Refuse(const StatementTaskPtr& task, std::string_view why) -> void;
  auto OnOfferBy(const StatementTaskPtr& task) -> void;
  auto OnDeadline(const StatementTaskPtr& task) -> void;
  auto OnSetback(const StatementTaskPtr& task,
                 const std::string& member,
                 RetryReason setback) -> void;
  auto OnLagging(const StatementTaskPtr& task, const std::string& member)
      -> void;
  auto RetryLater(const StatementTaskPtr& task, RetryReason setback) -> void;
  auto LogTask(Event event,
               const StatementTask& task,
               std::string_view member,
               std::string_view outcome) -> void;

  // Primary.
  auto AskForSample() -> void;
  auto RefuseHopeless() -> void;
  auto Locate() -> void;
  auto OnLocated(const std::string& member, const MemberReport& status) -> void;
  auto PrimaryChanged(std::string_view source) -> void;
  auto NotePromotionTime() -> void;
  // Returns the time in ms since a member last answered, -1 for never.
  auto HeardMs(const std::string& member) const -> std::int64_t;
  auto OnReachChanged(const std::string& member, Reach reach) -> void;
  auto AskMember(const std::string& member,
                 SessionStatement ask,
                 std::function<void(const MemberReport*)> callback) -> void;

  // Grants.
  struct LeadWaiter {
    /// Empty for any.
    std::string member;
    std::function<void(std::optional<Time>)> callback;
  };
  struct EvidenceRound {
    std::int64_t ask = 0;
    Time asked{};
    std::size_t missing = 0;
    std::map<std::string, std::optional<MemberReport>> reports;
  };
  auto WantGrant() -> void;
  auto WantFloor() -> void;
  auto HedgeSample(Time sent) -> void;
  auto TakeFloor(const GrantGiven& given) -> void;
  auto AddWaiter(const std::string& member,
                 Duration patience,
                 std::function<void(std::optional<Time>)> callback) -> void;
  auto GatherEvidence(std::int64_t ask) -> void;
  auto OnEvidence(const EvidenceRound& round) -> void;
  auto TakeGrant(const PrimaryGrant& grant, std::string_view source) -> void;
  auto OnNoGrant(std::int64_t ask) -> void;
  auto NoteSample(const std::string& member, Time sent, LogPlace place) -> void;

  GroupConfig config_;
  GroupOptions site_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& log_;
  GroupCallbacks ports_;
  LifeGuard guard_;
  StatementTaskRunner runner_;
  std::map<std::string, Member, std::less<>> members_;
  std::int64_t instances_ = 1;
  bool watching_ = false;
  PrimaryView primary_;
  AgeTracker ages_;
  /// Tasks for the primary, also reads that no replica can serve.
  Queue primary_queue_;
  Queue read_queue_;
  /// Shortest latency target among the tasks of late.
  Duration shortest_target_{};
  Time shortest_seen_{};
  RetryBudget retries_;
  RetryAfter retry_after_;
  /// While a primary is pending: when the next task may try it, and whether
  /// one does.
  Time next_trial_{};
  int trials_ = 0;
  Time ordered_at_{};
  /// When the primary was last known to be lost.
  Time lost_at_{};
  /// Time in which an ordered member began to lead, as measured.
  Duration promotion_time_;
  std::int64_t newest_term_ = 0;
  std::optional<Time> promotion_seen_;
  GrantTracker grants_;
  std::map<std::uint64_t, LeadWaiter> waiters_;
  std::uint64_t last_waiter_ = 0;
  /// When the peers may be asked for a floor again.
  Time next_floor_ask_{};
  /// Request for which members are being asked, 0 for none.
  std::int64_t gathering_ = 0;
  /// Whether the holder did not answer when last asked, or granted nothing.
  bool lacks_holder_ = false;
  /// Whether the lack of a grant was logged.
  bool lacks_grant_ = false;
  bool locating_ = false;
  bool sampling_ = false;
  bool pumping_ = false;
};

}  // namespace kingcuplock
