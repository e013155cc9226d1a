#pragma once

/// Routes the statements of an instance to the members of one group. Holds the
/// connections to the members, tracks which member is the primary, derives the
/// floor of each read (the lowest log position that a replica must have reached
/// to serve it), and queues the tasks that can't be sent yet.
///
/// Example:
///   Group group(config, {.data_centre = "dc-a"}, timers, out, log,
///               callbacks);
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
#include "kingcuplock/base/callback_guard.h"
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

/// Load and connections of this instance at one member, for metrics.
struct MemberGauge {
  std::string group;
  std::string member;
  /// Statements of this instance that the member has not answered yet.
  std::int64_t in_flight = 0;
  /// Upper limit on `in_flight`.
  double limit = 0;
  /// Statements that the member runs at once, for all instances.
  std::int64_t slots = 0;
  /// Connections that are open or being opened.
  std::size_t connections = 0;
};

/// Callbacks of a group.
struct GroupCallbacks {
  /// The primary known here, or whether it can be reached, has changed; peers
  /// should be told.
  std::function<void()> primary_changed;
  /// Requests a grant from the holder of the promotion duty; `ask` numbers the
  /// request. Returns false if the holder can't be asked. The answer is passed
  /// to OnGrantGiven().
  std::function<bool(std::int64_t ask)> request_grant;
  /// Reads what the store holds about orders to promote a member, at the time
  /// of the call or later. Calls back with nullopt if that can't be read.
  std::function<void(
      std::function<void(const std::optional<OrderRecord>&)> callback)>
      read_order_record;
  /// A task was served. It waited in this instance for `waited`, and the member
  /// answered `at_member` after it was sent.
  std::function<void(Duration waited, Duration at_member)> task_served;
};

/// Settings of the instance and its platform that apply to a group.
struct GroupOptions {
  /// Data centre of this instance.
  std::string data_centre;
  /// Time after which a leaving member gets no new work, even if no other
  /// member can take it.
  Duration max_leaving_time{std::chrono::seconds(7)};
  /// Whether a promotion makes the previous primary refuse statements by
  /// itself. If not, a statement that needs the primary is sent only while a
  /// grant covers it.
  bool promotions_fenced = true;
};

/// Not thread safe.
class Group {
 public:
  Group(GroupConfig config,
        GroupOptions options,
        TimerService& timers,
        GatewayOutbox& out,
        Outbox& log,
        GroupCallbacks callbacks);
  ~Group();
  Group(const Group&) = delete;
  auto operator=(const Group&) -> Group& = delete;

  /// Replaces the configuration. `connections_by_tenant` says whether clients
  /// have tenants; each connection to a member is then opened for one tenant.
  auto SetConfig(const GroupConfig& config, bool connections_by_tenant) -> void;

  /// Sets the number of instances that share the members' connections.
  auto SetInstanceCount(std::int64_t instances) -> void;

  /// Sets whether a connection to each member stays open even if there are
  /// fewer connections than instances. The holder of the promotion duty needs
  /// this.
  auto SetKeepConnected(bool keep_connected) -> void;

  /// Sets the registered members. A member that is missing from `entries` gets
  /// no new work.
  auto SetMembers(std::span<const EndpointEntry> entries) -> void;

  /// Runs a task, at once or when a connection is free. Its `on_finished` is
  /// called exactly once, possibly before this returns.
  auto Submit(const StatementTaskPtr& task) -> void;

  /// Drops a task whose client has disconnected; its callback isn't called.
  auto Cancel(const StatementTaskPtr& task) -> void;

  /// Ends a task now, as at its deadline. `why` becomes part of its answer.
  auto EndTask(const StatementTaskPtr& task, std::string_view why) -> void;

  /// Handles a peer's report about this group's primary. If the peer can't
  /// reach the primary, this instance probes it as well.
  auto NotePeerReport(const GroupReport& report) -> void;

  /// Notes that a member proved, by its answer on a transaction's connection,
  /// that it was the primary at some time after `sent`, with its log ending at
  /// `place`.
  auto NoteLeadProof(const std::string& member, Time sent, LogPosition place)
      -> void;

  /// Notes that a member refused a statement because it is not the primary.
  auto NoteNotPrimary(const std::string& member) -> void;

  /// Notes that the platform accepted an order to promote `member` in `term`.
  auto NotePromotionOrdered(const std::string& member, std::int64_t term)
      -> void;

  /// Requests the status of a member. A `pause_term` other than 0 also makes it
  /// stop receiving the primary's log ahead of a promotion to that term. From
  /// `not_after` on nothing is sent. Calls back with nullptr if the member
  /// can't be asked or does not answer in time.
  auto RequestMemberStatus(const std::string& member,
                           std::int64_t pause_term,
                           std::function<void(const MemberReport*)> callback,
                           std::optional<Time> not_after = std::nullopt)
      -> void;

  /// Turns a primary of a term below `term` into a replica. Calls back as
  /// RequestMemberStatus() does.
  auto Demote(const std::string& member,
              std::int64_t term,
              std::function<void(const MemberReport*)> callback) -> void;

  /// Handles a member's status. A primary of a newer term replaces the one
  /// known here.
  auto NoteMemberReport(const std::string& member, const MemberReport& report)
      -> void {
    OnMemberStatus(member, report);
  }

  /// Handles the answer to `request_grant`, from the holder of the promotion
  /// duty or from a peer that shares its own grant.
  auto OnGrantGiven(const GrantGiven& given) -> void;

  /// Returns the time until which a statement that needs the primary may be
  /// sent to `member`: Time::max() if promotions are fenced. Returns nullopt
  /// and requests a grant if no statement may be sent to it now.
  auto LeadsUntil(const std::string& member) -> std::optional<Time>;

  /// Calls back with the grant in force as soon as there is one, or with an
  /// empty grant if none arrives while the peer that asked for it waits.
  auto AwaitGrant(std::function<void(const PrimaryGrant&)> callback) -> void;

  /// Adds the newest known position of the primary's log, and its age, to an
  /// answer for a peer.
  auto AddReadFloor(GrantGiven& given) -> void;

  /// Returns whether the holder of the promotion duty did not answer the last
  /// request for a grant, or gave none.
  auto HolderGaveNoGrant() const -> bool { return holder_gave_no_grant_; }

  /// Calls back with the value of LeadsUntil() as soon as there is one, or with
  /// nullopt after `patience`.
  auto AwaitLead(const std::string& member,
                 Duration patience,
                 std::function<void(std::optional<Time>)> callback) -> void;

  /// Lets a paused member receive the primary's log again. From `not_after` on,
  /// when another holder may have paused it, nothing is sent. Calls back as
  /// RequestMemberStatus() does; without an answer, the member may resume
  /// later.
  auto ResumeReplication(const std::string& member,
                         Time not_after,
                         std::function<void(const MemberReport*)> callback)
      -> void;

  /// Returns what this instance knows of the primary, as a report for peers.
  auto MakeReport() const -> GroupReport;

  auto config() const -> const GroupConfig& { return config_; }
  auto primary() const -> const PrimaryView& { return primary_; }
  /// Returns the entry of a registered member, or nullptr.
  auto FindEntry(std::string_view member) const -> const EndpointEntry*;
  /// Returns the names of the registered members.
  auto MemberNames() const -> std::vector<std::string>;
  auto ReachOf(std::string_view member) const -> Reach;
  /// Returns whether no primary is known, or the known one refuses connections
  /// or is silent.
  auto LacksReachablePrimary() const -> bool;
  /// Returns the number of tasks that wait for a connection, a floor or a
  /// primary.
  auto CountWaitingTasks() const -> std::size_t;
  /// Appends one entry for each member to `out`.
  auto AddMemberGauges(std::vector<MemberGauge>& out) const -> void;
  /// Returns the number of connections to all members.
  auto CountConnections() const -> std::size_t;

  /// Handle an event of a connection; return false if it is not one of this
  /// group's.
  auto OnOpened(ConnectionId link) -> bool;
  auto OnAnswer(ConnectionId link, const StatementAnswer& answer) -> bool;
  auto OnClosed(ConnectionId link, Reach reason) -> bool;
  auto OnNotSent(ConnectionId link) -> bool;

 private:
  /// A registered member, its connections and its state as known here.
  struct Member {
    EndpointEntry entry;
    std::shared_ptr<MemberConnectionPool> pool;
    LatencyAverage latency;
    /// Floors that the member's log has recently not reached.
    ReplicaLagTracker lag_tracker;
    /// When its entry first said that it is leaving.
    std::optional<Time> leaving_since;
    /// Scratch flag of SetMembers(): whether the new entries contain it.
    bool registered = true;
  };
  using Queue = AdmissionQueue<StatementTaskPtr>;

  // Members.
  auto AddMember(const EndpointEntry& entry) -> void;
  auto UpdateMember(Member& member, const EndpointEntry& entry) -> void;
  auto DropUnregisteredMembers() -> void;
  auto ComputeConnectionLimits() const -> ConnectionLimits;
  auto SetLimits() -> void;
  auto SetInFlightLimit(Member& member) -> void;
  auto NoteLatencyTarget(Duration target) -> void;
  auto FindMember(std::string_view member) -> Member*;
  auto PrimaryMember() -> Member*;
  template <typename Handler>
  auto HandledByAnyPool(Handler handle) -> bool;

  // Dispatch.
  auto DispatchTask(const StatementTaskPtr& task) -> void;
  auto DispatchToPrimary(const StatementTaskPtr& task) -> void;
  auto DispatchRead(const StatementTaskPtr& task) -> void;
  auto StartRead(const StatementTaskPtr& task,
                 std::span<const std::string> order) -> bool;
  auto StartReadOfTenant(const StatementTaskPtr& task,
                         std::span<const std::string> order) -> bool;
  auto OnlyPrimaryCanServe(std::span<const std::string> order) const -> bool;
  auto RefuseWithoutFloor(const StatementTaskPtr& task) -> void;
  auto SetReadFloor(const StatementTaskPtr& task) -> bool;
  auto RankReadMembers(const StatementTask& task) const
      -> std::vector<std::string>;
  auto TryStartAttempt(const StatementTaskPtr& task, Member& member) -> bool;
  auto MayStart(const StatementTask& task, const Queue& queue, Member& member)
      -> bool;
  auto Enqueue(Queue& queue, const StatementTaskPtr& task) -> void;
  auto QueueOf(const StatementTask& task) -> Queue&;
  auto DispatchWaiting() -> void;
  auto DispatchWaitingForPrimary() -> void;
  auto DispatchWaitingReads() -> void;
  auto DispatchWaitingReadsByTenant() -> void;
  auto MayUsePrimary() const -> bool;
  auto ExpectedPrimaryReturn() const -> std::optional<Time>;
  auto HedgeRead(const StatementTaskPtr& task) -> void;

  // Outcomes.
  auto FinishTask(const StatementTaskPtr& task, StatementTaskResult result)
      -> void;
  auto RefuseTask(const StatementTaskPtr& task, std::string_view why) -> void;
  auto OnSendDeadline(const StatementTaskPtr& task) -> void;
  auto OnDeadline(const StatementTaskPtr& task) -> void;
  auto OnRetryNeeded(const StatementTaskPtr& task,
                     const std::string& member,
                     RetryReason retry_reason) -> void;
  auto OnLagging(const StatementTaskPtr& task, const std::string& member)
      -> void;
  auto RetryLater(const StatementTaskPtr& task, RetryReason retry_reason)
      -> void;
  auto LogTask(Event event,
               const StatementTask& task,
               std::string_view member,
               std::string_view outcome) -> void;

  // Primary.
  auto RequestSample() -> void;
  auto RefuseTasksWithoutPrimary() -> void;
  auto SearchPrimary() -> void;
  auto OnMemberStatus(const std::string& member, const MemberReport& status)
      -> void;
  auto OnPrimaryChanged(std::string_view source) -> void;
  auto NotePromotionTime() -> void;
  /// Returns the time in ms since a member last sent anything, -1 for never.
  auto TimeSinceHeardMs(const std::string& member) const -> std::int64_t;
  auto OnReachChanged(const std::string& member, Reach reach) -> void;
  auto RequestMemberReport(const std::string& member,
                           SessionStatement ask,
                           std::function<void(const MemberReport*)> callback,
                           std::optional<Time> not_after = std::nullopt)
      -> void;

  // Grants.
  /// A callback that waits for a grant.
  struct LeadWaiter {
    /// Member that the grant must name, empty for any.
    std::string member;
    std::function<void(std::optional<Time>)> callback;
  };
  /// One round of status requests to all members, from which this instance
  /// derives a grant if the holder of the promotion duty gave none.
  struct ReportRound {
    /// Number of the grant request that the round serves.
    std::int64_t ask = 0;
    /// When the first member was asked.
    Time asked{};
    /// Number of members that have neither answered nor timed out.
    std::size_t missing = 0;
    /// By member; nullopt for one that did not answer in time.
    std::map<std::string, std::optional<MemberReport>> reports;
  };
  auto RequestGrant() -> void;
  auto RequestFloorFromPeers() -> void;
  auto RequestSampleFromPeersIfLate(Time sent) -> void;
  auto AddSampleFromPeer(const GrantGiven& given) -> void;
  auto AddLeadWaiter(const std::string& member,
                     Duration patience,
                     std::function<void(std::optional<Time>)> callback) -> void;
  auto CollectMemberReports(std::int64_t ask) -> void;
  auto OnMemberReportsCollected(const ReportRound& round) -> void;
  auto OnEvidenceCollected(std::int64_t ask, const PrimaryEvidence<>& evidence)
      -> void;
  auto ApplyGrant(const PrimaryGrant& grant, std::string_view source) -> void;
  auto OnGrantMissing(std::int64_t ask) -> void;
  auto AddOrKeepSample(const std::string& member, Time sent, LogPosition place)
      -> void;

  GroupConfig config_;
  GroupOptions options_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& log_;
  GroupCallbacks callbacks_;
  CallbackGuard guard_;
  /// Since when no member has been removed.
  Time members_known_since_;
  StatementTaskRunner runner_;
  std::map<std::string, Member, std::less<>> members_;
  bool connections_by_tenant_ = false;
  std::int64_t instance_count_ = 1;
  bool keep_connected_ = false;
  PrimaryView primary_;
  AgeTracker age_tracker_;
  /// Tasks for the primary, including reads that no replica can serve.
  Queue primary_queue_;
  /// Reads that any member that has reached their floor may serve.
  Queue read_queue_;
  /// Shortest latency target among recent tasks, and when it was last seen.
  Duration shortest_target_{};
  Time shortest_target_seen_at_{};
  RetryBudget retry_budget_;
  RetryAfter retry_after_;
  /// While a promotion is pending: when the next task may be sent to the
  /// member, and the number of those that wait for its answer.
  Time next_pending_attempt_{};
  int pending_attempts_ = 0;
  /// When the newest promotion order became known here.
  Time promotion_ordered_at_{};
  /// When what is known of the primary last changed.
  Time primary_changed_at_{};
  /// When the primary was last lost.
  Time primary_lost_at_{};
  /// Moving average of the time from a promotion order until the member is the
  /// primary.
  Duration promotion_time_;
  GrantTracker grant_tracker_;
  /// By number, in order of arrival.
  std::map<std::uint64_t, LeadWaiter> lead_waiters_;
  std::uint64_t last_waiter_id_ = 0;
  /// Earliest time of the next request for a floor.
  Time next_floor_ask_{};
  /// Grant request for which the members were last asked, 0 for none.
  std::int64_t collecting_for_request_ = 0;
  /// Whether the holder of the promotion duty did not answer the last request
  /// for a grant, or gave none.
  bool holder_gave_no_grant_ = false;
  /// Whether the lack of a grant was logged; limits the log to one line.
  bool missing_grant_logged_ = false;
  /// Whether a search for the primary is under way.
  bool searching_primary_ = false;
  /// Whether a request for a sample of the primary's position is under way.
  bool sample_requested_ = false;
  /// Guards DispatchWaiting() against re-entry.
  bool dispatching_waiting_ = false;
};

}  // namespace kingcuplock
