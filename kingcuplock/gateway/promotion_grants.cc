// The part of the promotion duty for platforms that do not check fencing
// tokens: grants, the waits before an order, and the demotion of replaced
// primaries.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/promotion_duty.h"

namespace kingcuplock {
namespace {

/// Pause in ms between requests to a former holder to step down.
constexpr Milliseconds kStepDownPause{100};
/// Time in ms for which a peer's report of contact with the primary allows
/// grants: the pause between two suspicions, and the time for the peers'
/// answers.
constexpr Milliseconds kPeerHeardValidity{2 * PromotionDuty::kPeerHeardLimit};
/// Pause in ms between status requests to the members after a change of holder.
constexpr Milliseconds kStatusRequestPause{100};
/// Interval in ms at which the members are asked anew, as a pause of a former
/// holder may arrive late and leave one without new entries.
constexpr Milliseconds kReportRenewalInterval{3000};
/// Time in ms after which a member that does not answer is considered a replica
/// if its entry says so. Members register a change of role at once.
constexpr Milliseconds kEntryTrustDelay{2000};
/// Longest time in ms to wait until an order is recorded, before the attempt is
/// abandoned.
constexpr Milliseconds kRecordTimeout{1000};
/// Pause in ms between attempts to demote a replaced primary.
constexpr Milliseconds kDemotionRetryPause{300};
/// Time in ms that a leaving primary's successor has to catch up: several times
/// the lag of a replica.
constexpr Milliseconds kCatchUpLimit{400};
/// Pause in ms between attempts to complete an unresolved order.
constexpr Milliseconds kCompletionPause{250};
/// Pause in ms between checks of whether the successor has caught up.
constexpr Milliseconds kCatchUpCheckPause{10};

}  // namespace

auto PromotionDuty::IssueGrant(std::int64_t ask) -> GrantGiven {
  GrantGiven out;
  out.group = group_.config().name;
  out.ask = ask;
  const auto now = timers_.Now();
  const auto& primary = group_.primary();
  // A promotion waits until grants have expired, so suspicion alone is no
  // reason to refuse one while peers reach the primary.
  const auto peer_heard =
      peer_heard_at_ && now - *peer_heard_at_ < kPeerHeardValidity;
  const auto may_grant =
      phase_ == Phase::kMonitoring &&
      (peer_heard || (!suspected_since_ && !ReasonToPromote())) && !stopped_ &&
      KnowsPrimary() && primary.IsUsable() && !primary.IsPending() &&
      primary.successor().empty() && primary.term() > 0;
  if (options_.checks_fencing_tokens || !may_grant ||
      !permit_.MayGrant(primary.member(), now,
                        callbacks_.lease_valid_until())) {
    return out;
  }
  out.member = primary.member();
  out.term = primary.term();
  out.lasts_ms = kGrantDuration.count();
  return out;
}

auto PromotionDuty::NoteSteppedDown(std::int64_t term) -> void {
  const auto order_recorded =
      !options_.recorded_order.empty() || options_.orders_unknown;
  if (term > 0 && !order_recorded) {
    predecessor_term_ = std::max(term, options_.term);
  }
  // An order in the record may be of a later run than the one that confirms.
  permit_.NoteSteppedDown(timers_.Now());
}

// Asks the former holder to step down. Nothing is granted or ordered until it
// can no longer do so.
auto PromotionDuty::AwaitExclusivity() -> void {
  const auto now = timers_.Now();
  if (exclusive_) {
    return;
  }
  if (now >= permit_.ExclusiveFrom()) {
    exclusive_ = true;
    log_.Log(Event::kPromotionDutyExclusive,
             {{"group", group_.config().name},
              {"epoch", std::to_string(epoch_)},
              {"predecessor", options_.predecessor}});
    return;
  }
  if (now >= next_step_down_) {
    next_step_down_ = now + kStepDownPause;
    callbacks_.send_step_down(options_.predecessor, epoch_);
  }
}

// A former holder may have ordered a promotion that this instance does not know
// of. This is ruled out if the newest term is known, or if every member is
// cleared.
auto PromotionDuty::KnowsPrimary() const -> bool {
  const auto& primary = group_.primary();
  if (primary.term() < options_.term) {
    return false;
  }
  if (predecessor_term_ && primary.term() >= *predecessor_term_) {
    return true;
  }
  const auto names = group_.MemberNames();
  return !names.empty() &&
         std::all_of(names.begin(), names.end(), [this](const auto& it) {
           return cleared_members_.contains(it);
         });
}

auto PromotionDuty::KnownTerm() const -> std::optional<std::int64_t> {
  const auto settled =
      exclusive_ && KnowsPrimary() && EffectsPendingUntil() <= timers_.Now();
  return settled ? std::optional(group_.primary().term()) : std::nullopt;
}

auto PromotionDuty::CheckMembers() -> void {
  const auto now = timers_.Now();
  if (now < next_status_request_) {
    return;
  }
  next_status_request_ = now + kStatusRequestPause;
  if (now >= next_report_renewal_) {
    next_report_renewal_ = now + kReportRenewalInterval;
    reported_members_.clear();
  }
  for (const auto& it : group_.MemberNames()) {
    const auto* entry = group_.FindEntry(it);
    if (now - members_asked_since_ >= kEntryTrustDelay && !entry->leads) {
      cleared_members_.insert(it);
    }
    if (!reported_members_.contains(it)) {
      RequestReport(it);
    }
  }
}

auto PromotionDuty::RequestReport(const std::string& member) -> void {
  group_.RequestMemberStatus(
      member, 0,
      guard_.Bind([this, member,
                   since = members_asked_since_](const MemberReport* report) {
        if (report == nullptr || since != members_asked_since_) {
          return;
        }
        reported_members_.insert(member);
        cleared_members_.insert(member);
        group_.NoteMemberReport(member, *report);
        NoteNewTerm(member, *report);
        const auto left_paused =
            report->IsPaused() && phase_ == Phase::kMonitoring;
        const auto may_be_ordered = !permit_.recorded_member().empty();
        if (left_paused && permit_.HasUnresolvedOrder(timers_.Now())) {
          paused_ = true;
        } else if (left_paused && !may_be_ordered) {
          ResumeMember(member, callbacks_.lease_valid_until());
        }
      }));
}

// The member of the only open order is primary, so no other term can follow
// from it.
auto PromotionDuty::NoteNewTerm(const std::string& member,
                                const MemberReport& report) -> void {
  if (!options_.orders_unknown && member == options_.recorded_order &&
      report.is_primary && report.term > options_.term) {
    predecessor_term_ = std::max(predecessor_term_.value_or(0), report.term);
  }
}

// Asks the pending primary for its status. Statements wait for a grant
// meanwhile, so none of them reveals that the member has become primary.
auto PromotionDuty::CheckPendingPrimary() -> void {
  const auto& primary = group_.primary();
  if (phase_ != Phase::kMonitoring || !primary.IsPending()) {
    return;
  }
  const auto member = primary.member();
  group_.RequestMemberStatus(
      member, 0, guard_.Bind([this, member](const MemberReport* report) {
        if (report != nullptr) {
          group_.NoteMemberReport(member, *report);
        }
      }));
}

auto PromotionDuty::DemoteReplacedPrimaries() -> void {
  const auto now = timers_.Now();
  const auto& primary = group_.primary();
  if (replaced_primaries_.empty() || now < next_demotion_ ||
      !primary.IsUsable() || primary.IsPending()) {
    return;
  }
  next_demotion_ = now + kDemotionRetryPause;
  std::erase_if(replaced_primaries_, [this](const auto& it) {
    return group_.FindEntry(it.first) == nullptr ||
           it.first == group_.primary().member();
  });
  for (const auto& [member, term] : replaced_primaries_) {
    group_.Demote(
        member, std::max(term, primary.term()),
        guard_.Bind([this, member = member](const MemberReport* report) {
          if (report == nullptr || report->is_primary) {
            return;
          }
          replaced_primaries_.erase(member);
          log_.Log(Event::kReplacedPrimaryDemoted,
                   {{"group", group_.config().name},
                    {"member", member},
                    {"answered", "yes"}});
        }));
  }
}

auto PromotionDuty::ResumeAfterUnresolvedOrders() -> void {
  const auto now = timers_.Now();
  const auto expired = permit_.ForgetExpiredOrders(now);
  if (permit_.HasUnresolvedOrder(now)) {
    return;
  }
  if (expired) {
    // An order may have been carried out since the members were asked.
    reported_members_.clear();
    cleared_members_.clear();
    predecessor_term_.reset();
    members_asked_since_ = now;
  }
  if (paused_ && phase_ == Phase::kMonitoring) {
    ResumeMembers();
  }
}

// Orders the member of an unresolved order once more, although the primary may
// be back. Nothing is granted before that order is carried out or can't be any
// more, and no token keeps the platform from carrying it out later.
auto PromotionDuty::CompleteUnresolvedOrder() -> void {
  const auto now = timers_.Now();
  const auto member = permit_.OnlyUnresolvedMember(now);
  const auto& primary = group_.primary();
  if (phase_ != Phase::kMonitoring || now < not_before_ ||
      now < next_settlement_ || !member || *member == primary.member() ||
      !primary.IsUsable() || primary.IsPending() || !MayStillLead(*member) ||
      ReasonToPromote()) {
    return;
  }
  next_settlement_ = now + kCompletionPause;
  CollectReports(kOpenOrderReason);
}

// Records that no order is open, once that is certain.
auto PromotionDuty::ClearRecordedOrder() -> void {
  if (unanswered_records_ > 0 || phase_ != Phase::kMonitoring ||
      (permit_.recorded_member().empty() && !options_.orders_unknown) ||
      !IsSettled()) {
    return;
  }
  const auto term = KnownTerm().value_or(0);
  ++unanswered_records_;
  callbacks_.record_order(group_.config().name, "", term,
                          guard_.Bind([this, term](bool recorded) {
                            --unanswered_records_;
                            if (recorded) {
                              permit_.NoteOrderRecorded("", timers_.Now());
                              order_sent_ = false;
                              options_.orders_unknown = false;
                              options_.term = std::max(options_.term, term);
                            }
                          }));
}

// A leaving primary is demoted first and takes no more writes; its successor
// then receives what it lacks, so that no write is lost.
auto PromotionDuty::HandOverTo(const std::string& member) -> void {
  phase_ = Phase::kHandingOver;
  const auto primary = group_.primary().member();
  catch_up_until_ = timers_.Now() + kCatchUpLimit;
  group_.Demote(primary, ordered_term_,
                guard_.Bind([this, member, primary,
                             attempt = attempt_](const MemberReport* report) {
                  if (attempt != attempt_ || phase_ != Phase::kHandingOver) {
                    return;
                  }
                  log_.Log(Event::kReplacedPrimaryDemoted,
                           {{"group", group_.config().name},
                            {"member", primary},
                            {"answered", report != nullptr ? "yes" : "no"}});
                  if (report == nullptr) {
                    AbandonAttempt("the leaving primary did not answer");
                    return;
                  }
                  if (report->is_primary) {
                    RetryHandOver(member, report->term);
                    return;
                  }
                  group_.NoteNotPrimary(primary);
                  AwaitCatchUp(member, report->received);
                }));
}

// A primary ignores a demotion, and a replica a pause, for a term that it has
// reached.
auto PromotionDuty::RetryHandOver(const std::string& member,
                                  std::int64_t reported_term) -> void {
  if (reported_term < ordered_term_) {
    AbandonAttempt("a member did not follow the hand-over");
    return;
  }
  ordered_term_ = reported_term + 1;
  HandOverTo(member);
}

auto PromotionDuty::AwaitCatchUp(const std::string& member, LogPosition place)
    -> void {
  group_.RequestMemberStatus(
      member, 0,
      guard_.Bind([this, member, place,
                   attempt = attempt_](const MemberReport* report) {
        if (attempt != attempt_ || phase_ != Phase::kHandingOver) {
          return;
        }
        const auto caught_up = report != nullptr && report->received >= place;
        if (caught_up || timers_.Now() >= catch_up_until_) {
          PauseAndOrder(member);
          return;
        }
        timers_.After(
            kCatchUpCheckPause, guard_.Bind([this, member, place, attempt] {
              if (attempt == attempt_ && phase_ == Phase::kHandingOver) {
                AwaitCatchUp(member, place);
              }
            }));
      }));
}

auto PromotionDuty::PauseAndOrder(const std::string& member) -> void {
  paused_ = true;
  group_.RequestMemberStatus(
      member, ordered_term_,
      guard_.Bind(
          [this, member, attempt = attempt_](const MemberReport* report) {
            if (attempt != attempt_ || phase_ != Phase::kHandingOver) {
              return;
            }
            LogPauseAnswered(member, ordered_term_, report);
            if (report == nullptr) {
              AbandonAttempt("the successor did not answer");
              return;
            }
            if (!report->IsPaused()) {
              RetryHandOver(member, report->term);
              return;
            }
            permit_.NoteMemberPaused(member, *report, timers_.Now());
            RecordAndOrder(member);
          }));
}

// Records the order in the store before it is sent. A holder that takes over,
// or this one after a restart, can't learn of it from the members: they lose
// their pause by a restart of their own.
auto PromotionDuty::RecordAndOrder(const std::string& member) -> void {
  phase_ = Phase::kAwaitingPermit;
  if (!permit_.HasNoOtherUnresolvedOrder(member, timers_.Now())) {
    // The record holds one order only.
    AbandonAttempt("an earlier order may still be carried out");
    return;
  }
  if (permit_.recorded_member() == member && unanswered_records_ == 0) {
    OrderWhenPermitted(member);
    return;
  }
  timers_.After(kRecordTimeout, guard_.Bind([this, attempt = attempt_] {
    if (attempt == attempt_ && phase_ == Phase::kAwaitingPermit &&
        unanswered_records_ > 0) {
      AbandonAttempt("the order could not be recorded in time");
    }
  }));
  ++unanswered_records_;
  callbacks_.record_order(
      group_.config().name, member, 0,
      guard_.Bind([this, member, attempt = attempt_](bool recorded) {
        --unanswered_records_;
        if (recorded) {
          permit_.NoteOrderRecorded(member, timers_.Now());
        }
        if (attempt != attempt_ || phase_ != Phase::kAwaitingPermit) {
          return;
        }
        if (recorded) {
          OrderWhenPermitted(member);
        } else {
          AbandonAttempt("the order could not be recorded");
        }
      }));
}

// Waits until no instance relies on the former primary, then sends the order.
auto PromotionDuty::OrderWhenPermitted(const std::string& member) -> void {
  if (stopped_) {
    AbandonAttempt("the duty is being released");
    return;
  }
  phase_ = Phase::kAwaitingPermit;
  const auto now = timers_.Now();
  const auto from = permit_.EarliestOrderTime(member);
  if (from > now) {
    const auto wait = std::chrono::duration_cast<Milliseconds>(from - now);
    log_.Log(Event::kPromotionDelayed,
             {{"group", group_.config().name},
              {"member", member},
              {"reason", "earlier grants and reports are still valid"},
              {"wait_ms", std::to_string(wait.count())}});
    timers_.After(from - now, guard_.Bind([this, member, attempt = attempt_] {
      if (attempt == attempt_ && phase_ == Phase::kAwaitingPermit) {
        OrderWhenPermitted(member);
      }
    }));
    return;
  }
  if (!permit_.MayOrder(member, now, callbacks_.lease_valid_until())) {
    AbandonAttempt(now >= callbacks_.lease_valid_until()
                       ? "the lease may have lapsed"
                   : now >= permit_.PauseExpires(member)
                       ? "the pause may have been lost"
                       : "an earlier order may still be carried out");
    return;
  }
  SendOrder(member);
}

}  // namespace kingcuplock
