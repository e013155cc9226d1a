// The part of the promotion duty for platforms that check fencing tokens:
// orders that may still be carried out, and the members that stay paused until
// then.

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "kingcuplock/gateway/promotion_duty.h"

namespace kingcuplock {
namespace {

/// Pause in ms between attempts to settle an open order.
constexpr Milliseconds kSettlementPause{250};
/// Interval in ms of the checks that members are paused as they should be while
/// an order is open.
constexpr Milliseconds kOpenOrderPauseCheckInterval{50};
/// The same interval while no order is open. A pause that a former holder sent,
/// or a resume that got lost, leaves a member without new entries for this
/// long.
constexpr Milliseconds kPauseCheckInterval{1000};

}  // namespace

// Settles an open order while the primary leads on. With synchronous replicas
// it is completed if its member can still lead: orders for two members could
// both be carried out, and no log would have what was acknowledged in between.
// Otherwise it is superseded.
auto PromotionDuty::SettleOpenOrders() -> void {
  const auto now = timers_.Now();
  open_orders_.ForgetExpired(now);
  NoteNewLeader();
  if (phase_ != Phase::kMonitoring) {
    return;
  }
  const auto& primary = group_.primary();
  const auto open = open_orders_.MayReplace(Leader());
  if (std::exchange(replacement_open_, open) && !open && pauses_left_) {
    ResumeMembers();
  }
  MonitorPauses();
  RecordOpenOrder();
  const auto leads =
      primary.IsUsable() && !primary.IsPending() && primary.successor().empty();
  if (!leads || now < not_before_ || now < next_settlement_ || superseding_ ||
      !open_orders_.NeedsSuperseding(primary.member()) || ReasonToPromote()) {
    return;
  }
  next_settlement_ = now + kSettlementPause;
  const auto successor = open_orders_.OnlySuccessor(primary.member());
  if (HasSynchronousReplicas() && successor && MayStillLead(*successor)) {
    CollectReports(kOpenOrderReason);
  } else {
    SupersedeOrders();
  }
}

// Returns whether an order for the member can be completed, now or soon.
auto PromotionDuty::MayStillLead(const std::string& member) const -> bool {
  const auto* entry = group_.FindEntry(member);
  const auto reach = group_.ReachOf(member);
  return entry != nullptr && !entry->leaving && reach != Reach::kRefused &&
         reach != Reach::kSilent;
}

auto PromotionDuty::NoteNewLeader() -> void {
  const auto& primary = group_.primary();
  const auto leads = primary.IsUsable() && !primary.IsPending();
  if (!leads || (!leader_.empty() && primary.term() <= leader_term_)) {
    return;
  }
  if (!leader_.empty() && leader_ != primary.member()) {
    open_orders_.NoteTookLead(primary.member());
  }
  leader_ = primary.member();
  leader_term_ = primary.term();
}

// Orders the present primary, which changes nothing, so that the platform
// refuses earlier orders. The member has to confirm that it leads: an order for
// a replaced primary would bring it back.
auto PromotionDuty::SupersedeOrders() -> void {
  superseding_ = true;
  const auto member = group_.primary().member();
  group_.RequestMemberStatus(
      member, 0, guard_.Bind([this, member](const MemberReport* report) {
        superseding_ = false;
        const auto leads = report != nullptr && report->is_primary &&
                           member == group_.primary().member() &&
                           report->term >= group_.primary().term();
        if (leads && phase_ == Phase::kMonitoring && !stopped_) {
          SendSupersedingOrder(member);
        }
      }));
}

auto PromotionDuty::SendSupersedingOrder(const std::string& primary) -> void {
  const auto token = NextToken();
  if (!token) {
    callbacks_.renew_epoch(group_.config().name);
    return;
  }
  superseding_ = true;
  superseding_token_ = *token;
  superseding_id_ = callbacks_.next_order_id();
  open_orders_.NoteSent(primary, *token, timers_.Now());
  log_.Log(Event::kPromotionOrdered,
           {{"group", group_.config().name},
            {"member", primary},
            {"reason", "supersedes an open order"},
            {"fence", std::to_string(*token)},
            {"order", std::to_string(superseding_id_)}});
  out_.Add(OrderPromotion{superseding_id_, group_.config().name, primary,
                          callbacks_.holder, *token, ActionValidUntil()});
}

auto PromotionDuty::OnSupersedingOrderAnswered(PromotionOutcome outcome)
    -> void {
  superseding_ = false;
  log_.Log(Event::kPromotionAnswered,
           {{"group", group_.config().name},
            {"member", group_.primary().member()},
            {"order", std::to_string(superseding_id_)},
            {"outcome", std::string(ToString(outcome))}});
  switch (outcome) {
    case PromotionOutcome::kAccepted:
      open_orders_.NoteAccepted(superseding_token_, timers_.Now());
      break;
    case PromotionOutcome::kRejected:
    case PromotionOutcome::kUnavailable:
      open_orders_.NoteNotDone(superseding_token_);
      break;
    case PromotionOutcome::kLost:
      break;
  }
}

// Resumes the members after an attempt. While an order is open, only its member
// may receive.
auto PromotionDuty::ReleasePauses() -> void {
  if (!open_orders_.MayReplace(Leader())) {
    ResumeMembers();
  } else if (const auto successor = open_orders_.OnlySuccessor(Leader())) {
    ResumeMember(*successor, ActionValidUntil());
  }
}

// Checks that the members are paused as they should be: a restart ends a pause,
// a resume may get lost, and a pause of a former holder may arrive late.
auto PromotionDuty::MonitorPauses() -> void {
  const auto now = timers_.Now();
  if (now < next_pause_check_ || (!HasSynchronousReplicas() && !pauses_left_)) {
    return;
  }
  next_pause_check_ = now + (replacement_open_ ? kOpenOrderPauseCheckInterval
                                               : kPauseCheckInterval);
  struct Round {
    std::size_t missing = 0;
    std::map<std::string, MemberReport> reports;
  };
  const auto names = group_.MemberNames();
  auto round = std::make_shared<Round>();
  round->missing = names.size();
  for (const auto& member : names) {
    group_.RequestMemberStatus(
        member, 0,
        guard_.Bind([this, member, round,
                     attempt = attempt_](const MemberReport* report) {
          if (report != nullptr) {
            round->reports[member] = *report;
          }
          if (--round->missing == 0 && attempt == attempt_ && !stopped_ &&
              phase_ == Phase::kMonitoring) {
            OnPausesChecked(round->reports);
          }
        }));
  }
}

auto PromotionDuty::OnPausesChecked(
    const std::map<std::string, MemberReport>& reports) -> void {
  auto replicas = reports;
  for (const auto& [member, report] : reports) {
    if (report.is_primary) {
      group_.NoteMemberReport(member, report);
    }
    if (report.is_primary || member == Leader()) {
      replicas.erase(member);
    }
  }
  if (!open_orders_.MayReplace(Leader())) {
    NotePausesOfOthers(replicas);
    return;
  }
  const auto successor = open_orders_.OnlySuccessor(Leader());
  if (!successor) {
    return;
  }
  for (const auto& [member, report] : replicas) {
    if (member == *successor && report.IsPaused()) {
      ResumeMember(member, ActionValidUntil());
    } else if (member != *successor && !report.IsPaused()) {
      const auto term = std::max(report.term, leader_term_) + 1;
      group_.RequestMemberStatus(member, term,
                                 guard_.Bind([this, member = member, term](
                                                 const MemberReport* answer) {
                                   LogPauseAnswered(member, term, answer);
                                 }),
                                 ActionValidUntil());
    }
  }
}

// Handles replicas that are paused though no order is known to be open: they
// haven't confirmed that they resumed, or a former holder paused them and may
// have ordered a promotion. The member of its order is the one that receives.
auto PromotionDuty::NotePausesOfOthers(
    const std::map<std::string, MemberReport>& replicas) -> void {
  std::vector<std::string> receiving;
  auto paused_by_others = false;
  for (const auto& [member, report] : replicas) {
    if (!report.IsPaused()) {
      receiving.push_back(member);
    } else if (unconfirmed_resumes_.contains(member)) {
      ResumeMember(member, callbacks_.lease_valid_until());
    } else {
      paused_by_others = true;
    }
  }
  if (paused_by_others) {
    pauses_left_ = true;
    open_orders_.NoteInherited(receiving.size() == 1
                                   ? receiving.front()
                                   : std::string(OpenOrders::kUnknownMember),
                               timers_.Now());
  }
}

// Keeps the record of the open order up to date, for a later holder. The order
// doesn't wait for it: without fencing tokens it would have to.
auto PromotionDuty::RecordOpenOrder() -> void {
  const auto open = open_orders_.MayReplace(Leader());
  const auto member =
      open ? open_orders_.OnlySuccessor(Leader()).value_or("") : "";
  const auto unchanged = member == permit_.recorded_member();
  if (unanswered_records_ > 0 || unchanged || (open && member.empty())) {
    return;
  }
  ++unanswered_records_;
  callbacks_.record_order(group_.config().name, member, 0,
                          guard_.Bind([this, member](bool recorded) {
                            --unanswered_records_;
                            if (recorded) {
                              permit_.NoteOrderRecorded(member, timers_.Now());
                            }
                          }));
}

}  // namespace kingcuplock
