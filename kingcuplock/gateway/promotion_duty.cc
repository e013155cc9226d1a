#include "kingcuplock/gateway/promotion_duty.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Interval in ms at which the holder looks at its group.
constexpr Milliseconds kTick{50};
/// Time in ms for peers to report after they were asked: a few round trips.
constexpr Milliseconds kPeerReports{40};
/// Time in ms without a known primary, all members being reached, after which
/// one is chosen.
constexpr Milliseconds kLostLimit{700};
/// Time in ms for which a holder that never knew a primary waits for its entry:
/// entries come back within two seconds of an outage of the store, and are read
/// each three.
constexpr Milliseconds kUnknownLimit{5500};
/// Pause in ms after an order that was not carried out.
constexpr Milliseconds kRetryPause{60};
/// Time in ms within which the same reason for not promoting is logged once.
constexpr Milliseconds kSameReasonPause{1000};
/// Time in ms for which a member that did not take an order is passed over.
constexpr Milliseconds kPassOver{1000};
/// Orders of one epoch; the fencing token is the epoch times this, plus the
/// order's number.
constexpr std::int64_t kOrdersPerEpoch = 4096;
/// Rejected orders after which the epoch is renewed.
constexpr int kRejectionsBeforeRenewal = 2;

}  // namespace

PromotionDuty::PromotionDuty(PromotionDutyOptions origin,
                             Group& group,
                             PromotionDutyCallbacks ports,
                             TimerService& timers,
                             GatewayOutbox& out,
                             Outbox& log)
    : epoch_(origin.epoch),
      origin_(std::move(origin)),
      permit_(timers.Now(),
              origin_.predecessor.empty() ? timers.Now()
                                          : timers.Now() + origin_.lease,
              origin_.unsettled),
      acquired_(timers.Now()),
      group_(group),
      ports_(std::move(ports)),
      timers_(timers),
      out_(out),
      log_(log) {
  if (origin_.predecessor.empty() && origin_.term > 0) {
    told_term_ = origin_.term;
  }
}

PromotionDuty::~PromotionDuty() {
  timers_.Cancel(tick_timer_);
}

auto PromotionDuty::Start() -> void {
  Tick();
}

auto PromotionDuty::SetEpoch(std::int64_t epoch) -> void {
  if (epoch > epoch_) {
    epoch_ = epoch;
    fences_used_ = 0;
  }
}

auto PromotionDuty::Tick() -> void {
  tick_timer_ = timers_.After(kTick, guard_.Bind([this] { Tick(); }));
  most_members_ = std::max(most_members_, group_.MemberNames().size());
  if (!origin_.fenced && !retired_) {
    AskForTenure();
    if (!tenured_) {
      return;
    }
    LookAround();
    WatchSuccessor();
    DemoteReplaced();
    EndLateOrder();
  }
  if (retired_ || phase_ != Phase::kWatching || timers_.Now() < not_before_) {
    return;
  }
  const auto reason = Reason();
  if (!reason) {
    suspected_since_.reset();
    return;
  }
  if (!suspected_since_) {
    suspected_since_ = timers_.Now();
    ports_.request_peer_reports(group_.config().name);
    return;
  }
  if (timers_.Now() - *suspected_since_ >= kPeerReports && MayGoOn(*reason)) {
    BeginHearing(*reason);
  }
}

auto PromotionDuty::LostFor() -> Duration {
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

auto PromotionDuty::Reason() -> std::optional<std::string_view> {
  const auto& primary = group_.primary();
  const auto lost_for = LostFor();
  if (!primary.IsUsable()) {
    const auto any = !group_.MemberNames().empty();
    const auto limit = primary.member().empty() ? kUnknownLimit : kLostLimit;
    return any && lost_for >= limit
               ? std::optional<std::string_view>("no member leads")
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

// A primary that others hear is cut off from this instance only.
auto PromotionDuty::MayGoOn(std::string_view reason) -> bool {
  if (reason == "leaving") {
    return true;
  }
  const auto heard = ports_.time_since_peer_heard(group_.config().name);
  const auto vouched = heard && *heard <= kPeerHeardLimit;
  const auto isolated = ports_.isolated();
  if (!vouched && !isolated) {
    return true;
  }
  if (vouched) {
    vouched_at_ = timers_.Now();
  }
  log_.Log(
      Event::kPromotionWeighed,
      {{"group", group_.config().name},
       {"primary", group_.primary().member()},
       {"reason", std::string(reason)},
       {"outcome", vouched ? "a peer hears it" : "cut off"},
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
  const auto passed = passed_over_.find(member);
  const auto is_primary =
      group_.primary().IsUsable() && member == group_.primary().member();
  // While an order may still be carried out, nobody else is ordered to lead.
  if (!origin_.fenced &&
      !permit_.HasNoOtherUnresolvedOrder(member, timers_.Now())) {
    return false;
  }
  return entry != nullptr && (!entry->leaving || last_resort_) && !is_primary &&
         reach != Reach::kRefused && reach != Reach::kSilent &&
         (passed == passed_over_.end() || passed->second <= timers_.Now());
}

auto PromotionDuty::Candidates() const -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& it : group_.MemberNames()) {
    if (IsCandidate(it)) {
      out.push_back(it);
    }
  }
  return out;
}

auto PromotionDuty::BeginHearing(std::string_view reason) -> void {
  phase_ = Phase::kHearing;
  reason_ = std::string(reason);
  ++attempt_;
  permit_.NoteMembersResumed();
  hearings_.BeginAttempt(attempt_);
  answered_ = 0;
  // Replicas that stop receiving can't fall behind what is acknowledged
  // between their answer and the promotion.
  const auto leaving = reason == "leaving";
  paused_ =
      group_.config().synchronous_replicas > 0 || (!origin_.fenced && !leaving);
  const auto pause_term = paused_ ? group_.primary().term() + 1 : 0;
  last_resort_ = false;
  auto asked = Candidates();
  if (asked.empty() && !group_.primary().IsUsable()) {
    // Better one that is about to leave than none.
    last_resort_ = true;
    asked = Candidates();
  }
  expected_ = asked.size();
  if (asked.empty()) {
    Abandon("no member can be asked");
    return;
  }
  for (const auto& it : asked) {
    group_.RequestMemberStatus(
        it, pause_term,
        guard_.Bind([this, it, attempt = attempt_](const MemberReport* status) {
          OnHeard(attempt, it, status);
        }));
  }
}

auto PromotionDuty::OnHeard(std::int64_t attempt,
                            const std::string& member,
                            const MemberReport* status) -> void {
  if (attempt != attempt_ || phase_ != Phase::kHearing) {
    return;
  }
  ++answered_;
  const auto stale = !origin_.fenced && status != nullptr &&
                     status->is_primary &&
                     status->term < group_.primary().term();
  if (stale) {
    replaced_[member] = group_.primary().term();
  } else if (status != nullptr) {
    if (paused_) {
      permit_.NoteMemberPaused(member, timers_.Now());
    }
    hearings_.Note(attempt, {member, status->term, status->received});
    if (status->is_primary) {
      // It was promoted already, by another holder or a late order.
      group_.NotePromotionOrdered(member, status->term);
      Abandon("a member leads already");
      return;
    }
  }
  if (answered_ == expected_) {
    Choose();
  }
}

auto PromotionDuty::Choose() -> void {
  CandidateQuestion question;
  question.members = most_members_;
  question.new_term =
      std::max(group_.primary().term(), hearings_.HighestTerm()) + 1;
  question.loss_allowed = group_.config().synchronous_replicas == 0;
  const auto choice = hearings_.Choose(question);
  if (choice.verdict != CandidateVerdict::kChosen) {
    Abandon("too few members answered");
    return;
  }
  ordered_term_ = question.new_term;
  log_.Log(Event::kPromotionWeighed,
           {{"group", group_.config().name},
            {"primary", group_.primary().member()},
            {"reason", reason_},
            {"outcome", "candidate chosen"},
            {"suspected_ms", std::to_string(SuspectedMs())},
            {"member", choice.candidate.member},
            {"heard", std::to_string(hearings_.size())},
            {"position", std::to_string(choice.candidate.last_entry.position)},
            {"term", std::to_string(question.new_term)}});
  if (origin_.fenced) {
    Order(choice.candidate.member);
  } else if (reason_ == "leaving") {
    HandOver(choice.candidate.member);
  } else {
    HoldOrder(choice.candidate.member);
  }
}

auto PromotionDuty::SuspectedMs() const -> std::int64_t {
  const auto since = suspected_since_.value_or(timers_.Now());
  return std::chrono::duration_cast<Milliseconds>(timers_.Now() - since)
      .count();
}

auto PromotionDuty::Order(const std::string& member) -> void {
  phase_ = Phase::kOrdering;
  ordered_member_ = member;
  if (++fences_used_ >= kOrdersPerEpoch) {
    ports_.renew_epoch(group_.config().name);
    Abandon("the epoch's fencing tokens are spent");
    return;
  }
  order_id_ = ports_.next_order_id();
  const auto fence = epoch_ * kOrdersPerEpoch + fences_used_;
  log_.Log(Event::kPromotionOrdered, {{"group", group_.config().name},
                                      {"member", member},
                                      {"reason", reason_},
                                      {"fence", std::to_string(fence)},
                                      {"order", std::to_string(order_id_)}});
  OrderPromotion order{order_id_, group_.config().name, member, ports_.holder,
                       fence};
  if (!origin_.fenced) {
    order.not_after = ports_.lease_valid_until();
  }
  out_.Add(std::move(order));
}

auto PromotionDuty::OnOrderAnswered(std::int64_t id, PromotionOutcome outcome)
    -> bool {
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
    phase_ = Phase::kWatching;
    suspected_since_.reset();
    if (!origin_.fenced) {
      permit_.NoteMembersResumed();
      replaced_[group_.primary().member()] = ordered_term_;
      replaced_.erase(ordered_member_);
      // Whatever still serves there is of no use.
      group_.NoteNotPrimary(group_.primary().member());
    }
    group_.NotePromotionOrdered(ordered_member_, ordered_term_);
    return true;
  }
  if (outcome == PromotionOutcome::kRejected) {
    passed_over_[ordered_member_] = timers_.Now() + kPassOver;
    if (++rejections_ >= kRejectionsBeforeRenewal) {
      rejections_ = 0;
      ports_.renew_epoch(group_.config().name);
    }
  }
  if (outcome == PromotionOutcome::kLost && !origin_.fenced) {
    permit_.NoteUnresolvedOrder(ordered_member_, timers_.Now());
  }
  Abandon(ToString(outcome));
  return true;
}

auto PromotionDuty::Abandon(std::string_view why) -> void {
  const auto repeated =
      why == abandoned_why_ && timers_.Now() - abandoned_ < kSameReasonPause;
  if (!repeated) {
    abandoned_ = timers_.Now();
    abandoned_why_ = std::string(why);
    LogAbandoned(why);
  }
  phase_ = Phase::kWatching;
  not_before_ = timers_.Now() + kRetryPause;
  // What may still be carried out keeps the members paused: they vouch for no
  // primary meanwhile.
  if (paused_ &&
      (origin_.fenced || !permit_.HasUnresolvedOrder(timers_.Now()))) {
    ResumeMembers();
  }
}

auto PromotionDuty::ResumeMembers() -> void {
  paused_ = false;
  permit_.NoteMembersResumed();
  for (const auto& it : group_.MemberNames()) {
    group_.ResumeReplication(it);
  }
}

auto PromotionDuty::LogAbandoned(std::string_view why) -> void {
  log_.Log(Event::kPromotionWeighed, {{"group", group_.config().name},
                                      {"primary", group_.primary().member()},
                                      {"reason", reason_},
                                      {"outcome", std::string(why)}});
}

}  // namespace kingcuplock
