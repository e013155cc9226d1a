#pragma once

/// Replaces the primary of one group while this instance holds the group's
/// promotion duty. When the primary is suspected, it checks whether peers still
/// reach it, asks the members how far their logs reach, and orders the platform
/// to promote the member with the longest log. Every order carries its own
/// fencing token, because an order without an answer may be carried out later.
/// Where the platform does not check tokens, the duty also grants instances the
/// use of the primary, and it orders nothing while a grant, a predecessor or an
/// earlier order could still take effect.
///
/// Example:
///   PromotionDuty duty(options, group, callbacks, timers, out, log);
///   duty.Start();
///   // With the platform's answer to an order:
///   duty.OnOrderAnswered(id, PromotionOutcome::kAccepted);

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/failover/candidate.h"
#include "kingcuplock/failover/open_orders.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/gateway/group.h"
#include "kingcuplock/grants/promotion_permit.h"

namespace kingcuplock {

/// Functions and values that the gateway provides to a duty.
struct PromotionDutyCallbacks {
  /// Returns how long ago a peer last heard from the group's primary, according
  /// to the peers' latest reports; nullopt if none did.
  std::function<std::optional<Duration>(const std::string& group)>
      time_since_peer_heard;
  /// Asks the peers for fresh reports on the group.
  std::function<void(const std::string& group)> request_peer_reports;
  /// Returns whether this instance reaches neither its peers nor the store.
  std::function<bool()> is_isolated;
  /// Requests a higher epoch of the duty. Either SetEpoch() follows, or the
  /// duty is lost.
  std::function<void(const std::string& group)> renew_epoch;
  /// Returns a new id for an order.
  std::function<std::int64_t()> next_order_id;
  /// Returns the time before which the own lease cannot lapse.
  std::function<Time()> lease_valid_until;
  /// Records in the store that `member` may be ordered to become the primary,
  /// or, if it is empty, that no order is open and `term` is the newest term, 0
  /// if that is not known.
  /// Calls back with whether it was recorded, unless the duty is lost first.
  std::function<void(const std::string& group,
                     const std::string& member,
                     std::int64_t term,
                     std::function<void(bool)> callback)>
      record_order;
  /// Tells the former holder that it was replaced, if it can be reached.
  std::function<void(const std::string& holder, std::int64_t epoch)>
      send_step_down;
  /// Own instance name.
  std::string holder;
};

/// State of a duty at its start, and how the platform treats its orders.
struct PromotionDutyOptions {
  /// Epoch of the ownership record.
  std::int64_t epoch = 0;
  /// Newest term in the ownership record, 0 for none.
  std::int64_t term = 0;
  /// Member of the open order in the ownership record, empty for none.
  std::string recorded_order = {};
  /// Whether orders that the record does not show may be open.
  bool orders_unknown = false;
  /// Whether this instance knows that no order is open, whatever the record
  /// says.
  bool orders_resolved = false;
  /// Former holder that did not release the duty, empty for none.
  std::string predecessor = {};
  /// Longest time for which its lease may remain valid.
  Duration predecessor_lease{};
  /// Until when an order of an earlier duty of this instance may take effect.
  Time own_orders_pending_until{};
  /// Whether the platform checks fencing tokens.
  bool checks_fencing_tokens = true;
};

/// Not thread safe.
class PromotionDuty {
 public:
  /// Time in ms for which a contact of a peer with the primary keeps this
  /// instance from replacing it. Longer than the time after which a member
  /// counts as silent.
  static constexpr Milliseconds kPeerHeardLimit{300};
  /// Reason of an attempt that completes an order that may be open.
  static constexpr std::string_view kOpenOrderReason = "an order is open";

  PromotionDuty(PromotionDutyOptions options,
                Group& group,
                PromotionDutyCallbacks callbacks,
                TimerService& timers,
                GatewayOutbox& out,
                Outbox& log);
  ~PromotionDuty();
  PromotionDuty(const PromotionDuty&) = delete;
  auto operator=(const PromotionDuty&) -> PromotionDuty& = delete;

  /// Starts to monitor the group.
  auto Start() -> void;

  /// Switches to a higher epoch of the same holder; ignores one that is not
  /// higher.
  auto SetEpoch(std::int64_t epoch) -> void;

  /// Records that the former holder gave up the duty; `term` is the newest term
  /// that it knew, 0 if none. It counts only if no order is recorded.
  auto NoteSteppedDown(std::int64_t term) -> void;

  /// Stops all grants and orders, because the duty is about to be released.
  auto StopGrantsAndOrders() -> void;

  /// Returns whether an order may still be carried out, so that the record of
  /// it must outlast the duty. Only for platforms that check fencing tokens.
  auto HasOpenOrder() const -> bool {
    return open_orders_.MayReplace(Leader());
  }

  /// Returns whether no action of this duty or the former holder can take
  /// effect any more, and none has done so unnoticed.
  auto IsSettled() const -> bool {
    return EffectsPendingUntil() <= timers_.Now() &&
           (!order_sent_ || KnownTerm().has_value());
  }

  /// Returns until when an order of this duty or an action of the former holder
  /// may still take effect; no later than now if none may.
  auto EffectsPendingUntil() const -> Time {
    const auto ordering =
        phase_ == Phase::kOrdering || group_.primary().IsPending();
    return permit_.EffectsPendingUntil(timers_.Now(), ordering);
  }

  /// Returns the newest term of the group if this duty knows that no promotion
  /// to a later one can have been ordered; nullopt otherwise.
  auto KnownTerm() const -> std::optional<std::int64_t>;

  /// Returns whether the primary is suspected, or a promotion is being prepared
  /// or carried out.
  auto IsPromoting() const -> bool {
    return phase_ != Phase::kMonitoring || suspected_since_ ||
           group_.primary().IsPending();
  }

  /// Returns the answer to request `ask` of an instance: a grant to use the
  /// primary, or one with `lasts_ms` 0 if none can be given.
  auto IssueGrant(std::int64_t ask) -> GrantGiven;

  /// Handles the answer to order `id`; returns false if the order is not
  /// outstanding at this duty.
  auto OnOrderAnswered(std::int64_t id, PromotionOutcome outcome) -> bool;

 private:
  enum class Phase {
    kMonitoring,
    kCollectingReports,
    kHandingOver,
    kAwaitingPermit,
    kOrdering
  };

  auto CheckGroup() -> void;
  auto ReasonToPromote() -> std::optional<std::string_view>;
  auto TimeWithoutPrimary() -> Duration;
  auto ConfirmSuspicion(std::string_view reason) -> bool;
  auto FindCandidates() const -> std::vector<std::string>;
  auto CollectReports(std::string_view reason) -> void;
  auto AskMembers() -> void;
  auto OnMemberReport(const std::string& member, const MemberReport* status)
      -> void;
  auto LogPauseAnswered(const std::string& member,
                        std::int64_t wanted_term,
                        const MemberReport* report) -> void;
  auto ChooseCandidate() -> void;
  // Returns the time in ms since the primary was first suspected.
  auto SuspectedMs() const -> std::int64_t;
  auto SendOrder(const std::string& member) -> void;
  // Returns the next fencing token, nullopt if the epoch has no more.
  auto NextToken() -> std::optional<std::int64_t>;
  // Returns whether a commit is acknowledged only after a replica has it, so
  // that a promoted member must not lack it.
  auto HasSynchronousReplicas() const -> bool {
    return group_.config().synchronous_replicas > 0;
  }

  // For platforms that check fencing tokens: orders that may still be carried
  // out.
  auto SettleOpenOrders() -> void;
  auto NoteNewLeader() -> void;
  // Returns the member that led last, as far as is known; empty for none. A
  // member that was ordered to lead doesn't count before it has taken over.
  auto Leader() const -> const std::string& {
    return group_.primary().IsPending() ? leader_ : group_.primary().member();
  }
  auto MayStillLead(const std::string& member) const -> bool;
  auto SupersedeOrders() -> void;
  auto SendSupersedingOrder(const std::string& primary) -> void;
  auto OnSupersedingOrderAnswered(PromotionOutcome outcome) -> void;
  // Returns until when an action may be sent that was decided now. A holder
  // that stood still may have a successor by then.
  auto ActionValidUntil() const -> Time { return timers_.Now() + kMaxPauseAge; }
  auto ReleasePauses() -> void;
  auto MonitorPauses() -> void;
  auto OnPausesChecked(const std::map<std::string, MemberReport>& reports)
      -> void;
  auto NotePausesOfOthers(const std::map<std::string, MemberReport>& replicas)
      -> void;
  auto RecordOpenOrder() -> void;

  // For platforms that do not check fencing tokens.
  auto AwaitExclusivity() -> void;
  auto CheckMembers() -> void;
  auto RequestReport(const std::string& member) -> void;
  auto NoteNewTerm(const std::string& member, const MemberReport& report)
      -> void;
  auto KnowsPrimary() const -> bool;
  auto CheckPendingPrimary() -> void;
  auto DemoteReplacedPrimaries() -> void;
  auto ResumeAfterUnresolvedOrders() -> void;
  auto CompleteUnresolvedOrder() -> void;
  auto ClearRecordedOrder() -> void;
  auto HandOverTo(const std::string& member) -> void;
  auto RetryHandOver(const std::string& member, std::int64_t reported_term)
      -> void;
  auto AwaitCatchUp(const std::string& member, LogPosition place) -> void;
  auto PauseAndOrder(const std::string& member) -> void;
  auto RecordAndOrder(const std::string& member) -> void;
  auto OrderWhenPermitted(const std::string& member) -> void;
  auto ResumeMembers() -> void;
  auto ResumeMember(const std::string& member, Time not_after) -> void;
  auto AbandonAttempt(std::string_view outcome) -> void;
  auto LogAbandoned(std::string_view outcome) -> void;
  auto IsCandidate(const std::string& member) const -> bool;

  std::int64_t epoch_;
  PromotionDutyOptions options_;
  PromotionPermit<> permit_;
  /// Whether no former holder can act any more.
  bool exclusive_ = false;
  /// Whether grants and orders have stopped for good.
  bool stopped_ = false;
  /// When a peer last reported contact with a primary that this instance
  /// suspected.
  std::optional<Time> peer_heard_at_;
  /// Newest term that an order of a former holder can have begun; nullopt if
  /// that is not known.
  std::optional<std::int64_t> predecessor_term_;
  /// Members that the former holder cannot have promoted without this instance
  /// knowing it.
  std::set<std::string> cleared_members_;
  /// Members that have reported their status to this duty.
  std::set<std::string> reported_members_;
  /// Since when the members' entries and reports count.
  Time members_asked_since_;
  /// Whether an order may have been sent since the record last held that none
  /// is open.
  bool order_sent_ = false;
  /// The same, before the order that is in flight.
  bool earlier_order_sent_ = false;
  /// Number of unanswered writes of the recorded order.
  int unanswered_records_ = 0;
  Time next_step_down_{};
  Time next_status_request_{};
  Time next_report_renewal_{};
  Time next_demotion_{};
  /// Replaced primaries that may not know it, with the term of their successor.
  std::map<std::string, std::int64_t> replaced_primaries_;
  /// Until when the successor of a leaving primary may catch up.
  Time catch_up_until_{};
  Group& group_;
  PromotionDutyCallbacks callbacks_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& log_;
  CallbackGuard guard_;
  Phase phase_ = Phase::kMonitoring;
  TimerId check_timer_ = 0;
  std::optional<Time> suspected_since_;
  /// Since when no usable primary is known.
  std::optional<Time> lost_since_;
  /// No promotion begins before this time.
  Time not_before_{};
  std::string reason_;
  MemberLogReports<> log_reports_;
  std::int64_t attempt_ = 0;
  /// When the members were asked in this attempt.
  Time members_asked_at_{};
  /// Fencing tokens used in the current epoch.
  std::int64_t tokens_used_ = 0;
  /// Members asked in this attempt, and how many of them answered or failed to.
  std::vector<std::string> asked_members_;
  std::size_t answered_count_ = 0;
  /// Term for which they are asked to pause, 0 for none.
  std::int64_t pause_term_ = 0;
  /// Highest term in their answers.
  std::int64_t highest_reported_term_ = 0;
  /// Whether members were told to stop receiving.
  bool paused_ = false;
  /// Whether members that are about to leave may be promoted.
  bool last_resort_ = false;
  /// Largest number of members seen.
  std::size_t max_members_ = 0;
  std::int64_t order_id_ = 0;
  std::int64_t ordered_token_ = 0;
  std::string ordered_member_;
  std::int64_t ordered_term_ = 0;
  /// Rejected orders since the last accepted one or the last new epoch.
  int rejections_ = 0;
  /// Last logged reason for abandoning an attempt, and when it was logged.
  std::string last_abandon_reason_;
  Time last_abandon_logged_{};
  /// Members for which an order was rejected, and until when they are skipped.
  std::map<std::string, Time> skipped_members_;
  OpenOrders open_orders_;
  /// Whether members may be paused that are to be resumed once no order is
  /// open.
  bool pauses_left_ = false;
  /// Whether an open order could replace the primary at the last check.
  bool replacement_open_ = false;
  /// Last primary that was not pending, and its term.
  std::string leader_;
  std::int64_t leader_term_ = 0;
  /// Whether a superseding order is being prepared or waits for its answer, and
  /// its id and token.
  bool superseding_ = false;
  std::int64_t superseding_id_ = 0;
  std::int64_t superseding_token_ = 0;
  /// When an open order may be completed or superseded next.
  Time next_settlement_{};
  Time next_pause_check_{};
  /// Members that were told to resume and have not confirmed it.
  std::set<std::string> unconfirmed_resumes_;
  /// Number of unanswered requests to resume, by member.
  std::map<std::string, int> unanswered_resumes_;
};

}  // namespace kingcuplock
