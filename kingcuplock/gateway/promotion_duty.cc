#include "kingcuplock/gateway/promotion_duty.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Interval in ms at which the holder checks its group.
constexpr Milliseconds kCheckInterval{50};
/// Time in ms that peers have to report after they were asked: a few round
/// trips.
constexpr Milliseconds kPeerReportWait{40};
/// Time in ms without a usable primary, even if all members are reached, after
/// which a successor is chosen. Applies if a primary was known before.
constexpr Milliseconds kLostPrimaryLimit{700};
/// Time in ms for which a holder that never knew a primary waits for the
/// primary's entry. Entries return within 2 s of the end of a store outage and
/// are read every 3 s.
constexpr Milliseconds kUnknownPrimaryLimit{5500};
/// Pause in ms after an abandoned attempt, such as an order that was not
/// carried out.
constexpr Milliseconds kRetryPause{60};
/// Time in ms within which the same reason for abandoning an attempt is logged
/// only once.
constexpr Milliseconds kSameReasonLogPause{1000};
/// Time in ms for which a member is skipped after an order for it was rejected.
constexpr Milliseconds kRejectedMemberPause{1000};
/// Number of fencing tokens per epoch. A token is the epoch times this, plus
/// the number of the order in its epoch, which starts at 1.
constexpr std::int64_t kOrdersPerEpoch = 4096;
/// Number of rejected orders after which a higher epoch is requested.
constexpr int kRejectionsBeforeRenewal = 2;

}  // namespace

PromotionDuty::PromotionDuty(PromotionDutyOptions options,
                             Group& group,
                             PromotionDutyCallbacks callbacks,
                             TimerService& timers,
                             GatewayOutbox& out,
                             Outbox& log)
    : epoch_(options.epoch),
      options_(std::move(options)),
      permit_(timers.Now(),
              options_.predecessor.empty()
                  ? timers.Now()
                  : timers.Now() + options_.predecessor_lease,
              options_.own_orders_pending_until),
      members_asked_since_(timers.Now()),
      group_(group),
      callbacks_(std::move(callbacks)),
      timers_(timers),
      out_(out),
      log_(log) {
  permit_.NoteOrderRecorded(options_.recorded_order, timers_.Now());
  if (options_.checks_fencing_tokens) {
    if (!options_.recorded_order.empty()) {
      open_orders_.NoteInherited(options_.recorded_order, timers_.Now());
    }
    return;
  }
  const auto may_be_open =
      !options_.recorded_order.empty() || options_.orders_unknown;
  order_sent_ = may_be_open;
  if (may_be_open && !options_.orders_resolved) {
    // The former holder may have sent this order until its lease ended.
    permit_.NoteUnresolvedOrder(options_.recorded_order,
                                permit_.ExclusiveFrom());
    paused_ = true;
  } else if (options_.term > 0) {
    predecessor_term_ = options_.term;
  }
}

PromotionDuty::~PromotionDuty() {
  timers_.Cancel(check_timer_);
}

auto PromotionDuty::Start() -> void {
  CheckGroup();
}

auto PromotionDuty::SetEpoch(std::int64_t epoch) -> void {
  if (epoch > epoch_) {
    epoch_ = epoch;
    tokens_used_ = 0;
  }
}

auto PromotionDuty::CheckGroup() -> void {
  check_timer_ =
      timers_.After(kCheckInterval, guard_.Bind([this] { CheckGroup(); }));
  max_members_ = std::max(max_members_, group_.MemberNames().size());
  if (options_.checks_fencing_tokens && !stopped_) {
    SettleOpenOrders();
  }
  if (!options_.checks_fencing_tokens && !stopped_) {
    AwaitExclusivity();
    if (!exclusive_) {
      return;
    }
    CheckMembers();
    CheckPendingPrimary();
    DemoteReplacedPrimaries();
    ResumeAfterUnresolvedOrders();
    CompleteUnresolvedOrder();
    ClearRecordedOrder();
  }
  if (stopped_ || phase_ != Phase::kMonitoring || timers_.Now() < not_before_) {
    return;
  }
  const auto reason = ReasonToPromote();
  if (!reason) {
    suspected_since_.reset();
    return;
  }
  if (!suspected_since_) {
    suspected_since_ = timers_.Now();
    callbacks_.request_peer_reports(group_.config().name);
    return;
  }
  if (timers_.Now() - *suspected_since_ >= kPeerReportWait &&
      ConfirmSuspicion(*reason)) {
    CollectReports(*reason);
  }
}

auto PromotionDuty::TimeWithoutPrimary() -> Duration {
  const auto& primary = group_.primary();
  if (primary.IsUsable()) {
    lost_since_.reset();
    return Duration::zero();
  }
  if (!lost_since_) {
    lost_since_ = timers_.Now();
  }
  return timers_.Now() - *lost_since_;
}

auto PromotionDuty::ReasonToPromote() -> std::optional<std::string_view> {
  const auto& primary = group_.primary();
  const auto lost_for = TimeWithoutPrimary();
  if (!primary.IsUsable()) {
    const auto any = !group_.MemberNames().empty();
    const auto limit =
        primary.member().empty() ? kUnknownPrimaryLimit : kLostPrimaryLimit;
    return any && lost_for >= limit
               ? std::optional<std::string_view>("no usable primary")
               : std::nullopt;
  }
  switch (group_.ReachOf(primary.member())) {
    case Reach::kRefused:
      return "refused";
    case Reach::kSilent:
      return "silent";
    default:
      break;
  }
  const auto* entry = group_.FindEntry(primary.member());
  if (entry != nullptr && entry->leaving && !primary.IsPending() &&
      primary.successor().empty()) {
    return "leaving";
  }
  return std::nullopt;
}

// A primary that a peer reaches is only cut off from this instance and is not
// replaced. An instance that reaches neither peers nor the store replaces
// nothing either.
auto PromotionDuty::ConfirmSuspicion(std::string_view reason) -> bool {
  if (reason == "leaving") {
    return true;
  }
  const auto heard = callbacks_.time_since_peer_heard(group_.config().name);
  const auto peer_heard = heard && *heard <= kPeerHeardLimit;
  const auto is_isolated = callbacks_.is_isolated();
  if (!peer_heard && !is_isolated) {
    return true;
  }
  if (peer_heard) {
    peer_heard_at_ = timers_.Now();
  }
  log_.Log(
      Event::kPromotionEvaluated,
      {{"group", group_.config().name},
       {"primary", group_.primary().member()},
       {"reason", std::string(reason)},
       {"outcome",
        peer_heard ? "a peer reaches it" : "this instance is cut off"},
       {"peer_heard_ms",
        heard ? std::to_string(
                    std::chrono::duration_cast<Milliseconds>(*heard).count())
              : "none"}});
  suspected_since_.reset();
  not_before_ = timers_.Now() + kPeerHeardLimit;
  return false;
}

auto PromotionDuty::IsCandidate(const std::string& member) const -> bool {
  const auto* entry = group_.FindEntry(member);
  const auto reach = group_.ReachOf(member);
  const auto passed = skipped_members_.find(member);
  const auto is_primary =
      group_.primary().IsUsable() && member == group_.primary().member();
  // While an order may still be carried out, no other member is ordered to
  // become primary.
  if (!options_.checks_fencing_tokens && !HasSynchronousReplicas() &&
      !permit_.HasNoOtherUnresolvedOrder(member, timers_.Now())) {
    return false;
  }
  return entry != nullptr && (!entry->leaving || last_resort_) && !is_primary &&
         reach != Reach::kRefused && reach != Reach::kSilent &&
         (passed == skipped_members_.end() || passed->second <= timers_.Now());
}

auto PromotionDuty::FindCandidates() const -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& it : group_.MemberNames()) {
    if (IsCandidate(it)) {
      out.push_back(it);
    }
  }
  return out;
}

auto PromotionDuty::CollectReports(std::string_view reason) -> void {
  phase_ = Phase::kCollectingReports;
  reason_ = std::string(reason);
  // Paused replicas receive nothing more, so no write that they lack can be
  // acknowledged between their answer and the promotion.
  const auto leaving = reason == "leaving";
  paused_ =
      HasSynchronousReplicas() || (!options_.checks_fencing_tokens && !leaving);
  pauses_left_ = pauses_left_ || paused_;
  pause_term_ = paused_ ? group_.primary().term() + 1 : 0;
  last_resort_ = false;
  asked_members_ = FindCandidates();
  if (asked_members_.empty() && !group_.primary().IsUsable()) {
    // A member that is about to leave is better than no primary.
    last_resort_ = true;
    asked_members_ = FindCandidates();
  }
  if (asked_members_.empty()) {
    ++attempt_;
    AbandonAttempt("no reachable candidate");
    return;
  }
  AskMembers();
}

auto PromotionDuty::AskMembers() -> void {
  ++attempt_;
  permit_.NoteMembersResumed();
  log_reports_.BeginAttempt(attempt_);
  highest_reported_term_ = 0;
  answered_count_ = 0;
  members_asked_at_ = timers_.Now();
  const auto not_after = pause_term_ != 0 && options_.checks_fencing_tokens
                             ? std::optional(ActionValidUntil())
                             : std::nullopt;
  // A copy, since an answer that comes at once may begin another attempt.
  for (const auto& it : std::vector(asked_members_)) {
    auto on_report =
        guard_.Bind([this, it, attempt = attempt_](const MemberReport* status) {
          if (attempt == attempt_ && phase_ == Phase::kCollectingReports) {
            LogPauseAnswered(it, pause_term_, status);
            OnMemberReport(it, status);
          }
        });
    const auto unanswered = unanswered_resumes_.find(it);
    if (pause_term_ != 0 && unanswered != unanswered_resumes_.end() &&
        unanswered->second > 0) {
      // A resume on another connection may overtake the pause.
      on_report(nullptr);
      continue;
    }
    group_.RequestMemberStatus(it, pause_term_, std::move(on_report),
                               not_after);
  }
}

auto PromotionDuty::LogPauseAnswered(const std::string& member,
                                     std::int64_t wanted_term,
                                     const MemberReport* report) -> void {
  if (wanted_term == 0) {
    return;
  }
  log_.Log(
      Event::kMemberPauseAnswered,
      {{"group", group_.config().name},
       {"member", member},
       {"wanted_term", std::to_string(wanted_term)},
       {"term", report != nullptr ? std::to_string(report->term) : "none"},
       {"paused_term",
        report != nullptr ? std::to_string(report->paused_term) : "none"}});
}

auto PromotionDuty::OnMemberReport(const std::string& member,
                                   const MemberReport* status) -> void {
  ++answered_count_;
  const auto stale = !options_.checks_fencing_tokens && status != nullptr &&
                     status->is_primary &&
                     status->term < group_.primary().term();
  if (stale) {
    replaced_primaries_[member] = group_.primary().term();
  } else if (status != nullptr) {
    highest_reported_term_ = std::max(highest_reported_term_, status->term);
    if (status->is_primary) {
      // Another holder or a delayed order has promoted it already.
      group_.NotePromotionOrdered(member, status->term);
      AbandonAttempt("a member is already primary");
      return;
    }
    permit_.NoteMemberPaused(member, *status, timers_.Now());
    if (!paused_ || status->IsPaused()) {
      log_reports_.Note(attempt_, {member, status->term, status->received});
    }
  }
  if (answered_count_ < asked_members_.size()) {
    return;
  }
  if (paused_ && highest_reported_term_ >= pause_term_) {
    // The members know a later term than this instance, as after a restart, and
    // a pause for an earlier one has no effect.
    pause_term_ = highest_reported_term_ + 1;
    AskMembers();
    return;
  }
  ChooseCandidate();
}

auto PromotionDuty::ChooseCandidate() -> void {
  if (options_.checks_fencing_tokens && paused_ &&
      timers_.Now() - members_asked_at_ > kMaxPauseAge) {
    AbandonAttempt("the members' reports are too old");
    return;
  }
  CandidateCriteria criteria;
  criteria.members = max_members_;
  criteria.new_term =
      std::max(group_.primary().term(), highest_reported_term_) + 1;
  criteria.loss_allowed = !HasSynchronousReplicas();
  const auto open = (options_.checks_fencing_tokens
                         ? open_orders_.OnlySuccessor(Leader())
                         : permit_.OnlyUnresolvedMember(timers_.Now()))
                        .value_or("");
  if (HasSynchronousReplicas()) {
    // Its log has all that was acknowledged since it was ordered.
    criteria.only = open;
  }
  const auto choice = log_reports_.Choose(criteria);
  if (choice.verdict != CandidateVerdict::kChosen) {
    AbandonAttempt("too few candidates answered");
    return;
  }
  ordered_term_ = criteria.new_term;
  log_.Log(Event::kPromotionEvaluated,
           {{"group", group_.config().name},
            {"primary", group_.primary().member()},
            {"reason", reason_},
            {"outcome", "candidate chosen"},
            {"suspected_ms", std::to_string(SuspectedMs())},
            {"member", choice.candidate.member},
            {"heard", std::to_string(log_reports_.size())},
            {"position", std::to_string(choice.candidate.last_entry.position)},
            {"term", std::to_string(criteria.new_term)}});
  if (options_.checks_fencing_tokens) {
    SendOrder(choice.candidate.member);
  } else if (reason_ == "leaving") {
    HandOverTo(choice.candidate.member);
  } else {
    RecordAndOrder(choice.candidate.member);
  }
}

auto PromotionDuty::SuspectedMs() const -> std::int64_t {
  const auto since = suspected_since_.value_or(timers_.Now());
  return std::chrono::duration_cast<Milliseconds>(timers_.Now() - since)
      .count();
}

auto PromotionDuty::SendOrder(const std::string& member) -> void {
  phase_ = Phase::kOrdering;
  ordered_member_ = member;
  const auto token = NextToken();
  if (!token) {
    callbacks_.renew_epoch(group_.config().name);
    AbandonAttempt("all fencing tokens of the epoch are used");
    return;
  }
  ordered_token_ = *token;
  earlier_order_sent_ = std::exchange(order_sent_, true);
  order_id_ = callbacks_.next_order_id();
  log_.Log(Event::kPromotionOrdered, {{"group", group_.config().name},
                                      {"member", member},
                                      {"reason", reason_},
                                      {"fence", std::to_string(*token)},
                                      {"order", std::to_string(order_id_)}});
  OrderPromotion order{order_id_, group_.config().name, member,
                       callbacks_.holder, *token};
  if (!options_.checks_fencing_tokens) {
    order.not_after =
        std::min(callbacks_.lease_valid_until(), permit_.PauseExpires(member));
  } else {
    open_orders_.NoteSent(member, *token, timers_.Now());
    RecordOpenOrder();
  }
  if (options_.checks_fencing_tokens && paused_) {
    order.not_after = ActionValidUntil();
    // From now on only this member receives, so it has whatever is acknowledged
    // before the order is carried out.
    ResumeMember(member, ActionValidUntil());
  }
  out_.Add(std::move(order));
}

auto PromotionDuty::NextToken() -> std::optional<std::int64_t> {
  if (++tokens_used_ >= kOrdersPerEpoch) {
    return std::nullopt;
  }
  return epoch_ * kOrdersPerEpoch + tokens_used_;
}

auto PromotionDuty::OnOrderAnswered(std::int64_t id, PromotionOutcome outcome)
    -> bool {
  if (superseding_ && id == superseding_id_) {
    OnSupersedingOrderAnswered(outcome);
    return true;
  }
  if (id != order_id_ || phase_ != Phase::kOrdering) {
    return false;
  }
  log_.Log(Event::kPromotionAnswered,
           {{"group", group_.config().name},
            {"member", ordered_member_},
            {"order", std::to_string(id)},
            {"outcome", std::string(ToString(outcome))}});
  if (outcome == PromotionOutcome::kAccepted) {
    rejections_ = 0;
    paused_ = false;
    open_orders_.NoteAccepted(ordered_token_, timers_.Now());
    phase_ = Phase::kMonitoring;
    suspected_since_.reset();
    if (!options_.checks_fencing_tokens) {
      permit_.NoteMembersResumed();
      replaced_primaries_[group_.primary().member()] = ordered_term_;
      replaced_primaries_.erase(ordered_member_);
      // The former primary must not be used even if it still serves.
      group_.NoteNotPrimary(group_.primary().member());
    }
    group_.NotePromotionOrdered(ordered_member_, ordered_term_);
    return true;
  }
  if (outcome == PromotionOutcome::kRejected) {
    skipped_members_[ordered_member_] = timers_.Now() + kRejectedMemberPause;
    if (++rejections_ >= kRejectionsBeforeRenewal) {
      rejections_ = 0;
      callbacks_.renew_epoch(group_.config().name);
    }
  }
  const auto not_done = outcome == PromotionOutcome::kRejected ||
                        outcome == PromotionOutcome::kUnavailable;
  if (not_done) {
    order_sent_ = earlier_order_sent_;
    open_orders_.NoteNotDone(ordered_token_);
  }
  if (outcome == PromotionOutcome::kLost && !options_.checks_fencing_tokens) {
    permit_.NoteUnresolvedOrder(ordered_member_, timers_.Now());
  }
  AbandonAttempt(ToString(outcome));
  return true;
}

auto PromotionDuty::AbandonAttempt(std::string_view outcome) -> void {
  const auto repeated =
      outcome == last_abandon_reason_ &&
      timers_.Now() - last_abandon_logged_ < kSameReasonLogPause;
  if (!repeated) {
    last_abandon_logged_ = timers_.Now();
    last_abandon_reason_ = std::string(outcome);
    LogAbandoned(outcome);
  }
  phase_ = Phase::kMonitoring;
  not_before_ = timers_.Now() + kRetryPause;
  if (paused_ && options_.checks_fencing_tokens) {
    ReleasePauses();
  } else if (paused_ && !permit_.HasUnresolvedOrder(timers_.Now())) {
    // While an order may still be carried out, the members stay paused, so that
    // their reports are no evidence for a primary.
    ResumeMembers();
  }
}

auto PromotionDuty::StopGrantsAndOrders() -> void {
  stopped_ = true;
  if (options_.checks_fencing_tokens && phase_ == Phase::kCollectingReports) {
    AbandonAttempt("the duty is being released");
  }
}

auto PromotionDuty::ResumeMembers() -> void {
  paused_ = false;
  pauses_left_ = false;
  permit_.NoteMembersResumed();
  for (const auto& it : group_.MemberNames()) {
    ResumeMember(it, callbacks_.lease_valid_until());
  }
}

auto PromotionDuty::ResumeMember(const std::string& member, Time not_after)
    -> void {
  unconfirmed_resumes_.insert(member);
  ++unanswered_resumes_[member];
  group_.ResumeReplication(
      member, not_after,
      guard_.Bind([this, member](const MemberReport* report) {
        --unanswered_resumes_[member];
        if (report != nullptr && !report->IsPaused()) {
          unconfirmed_resumes_.erase(member);
        }
        log_.Log(Event::kMemberResumeAnswered,
                 {{"group", group_.config().name},
                  {"member", member},
                  {"paused_term", report != nullptr
                                      ? std::to_string(report->paused_term)
                                      : "none"}});
      }));
}

auto PromotionDuty::LogAbandoned(std::string_view outcome) -> void {
  log_.Log(Event::kPromotionEvaluated, {{"group", group_.config().name},
                                        {"primary", group_.primary().member()},
                                        {"reason", reason_},
                                        {"outcome", std::string(outcome)}});
}

}  // namespace kingcuplock
