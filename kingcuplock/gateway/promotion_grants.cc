// The duty to promote where the platform checks no fencing tokens: grants, what
// an order waits for, and what is told to a primary that was replaced.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/promotion_duty.h"

namespace kingcuplock {
namespace {

/// Pause in ms between requests to a former holder to step down.
constexpr Milliseconds kStepDownPause{100};
/// Time in ms for which a peer's word for the primary counts: the pause between
/// two doubts, and the peers' answers.
constexpr Milliseconds kVouchedFor{2 * PromotionDuty::kPeerHeardLimit};
/// Pause in ms between looks at the members after a change of holder.
constexpr Milliseconds kLookPause{100};
/// Time in ms after which a member that can't be asked is taken for a replica
/// if its entry says so: members report a change of role at once.
constexpr Milliseconds kEntryTrusted{2000};
/// Pause in ms between demotions of a replaced primary.
constexpr Milliseconds kDemotionPause{300};
/// Time in ms that a leaving primary's successor is given to catch up: some
/// times the lag of a replica.
constexpr Milliseconds kCatchUp{400};
/// Pause in ms between looks at how far it has come.
constexpr Milliseconds kCatchUpPause{10};

}  // namespace

auto PromotionDuty::IssueGrant(std::int64_t ask) -> GrantGiven {
  GrantGiven out;
  out.group = group_.config().name;
  out.ask = ask;
  const auto now = timers_.Now();
  const auto& primary = group_.primary();
  // A promotion waits for what is granted, so a doubt alone is no reason to
  // refuse while others hear the primary.
  const auto vouched = vouched_at_ && now - *vouched_at_ < kVouchedFor;
  const auto well = phase_ == Phase::kWatching &&
                    (vouched || (!suspected_since_ && !Reason())) &&
                    !retired_ && KnowsPrimary() && primary.IsUsable() &&
                    !primary.IsPending() && primary.successor().empty() &&
                    primary.term() > 0;
  if (origin_.fenced || !well ||
      !permit_.MayGrant(primary.member(), now, ports_.lease_valid_until())) {
    return out;
  }
  out.member = primary.member();
  out.term = primary.term();
  out.lasts_ms = kGrantDuration.count();
  return out;
}

auto PromotionDuty::NoteSteppedDown(std::int64_t term) -> void {
  told_term_ = term;
  permit_.NoteSteppedDown(timers_.Now());
}

// Nothing is granted or ordered before the former holder can't do so.
auto PromotionDuty::AskForTenure() -> void {
  const auto now = timers_.Now();
  if (tenured_) {
    return;
  }
  if (now >= permit_.ExclusiveFrom()) {
    tenured_ = true;
    log_.Log(Event::kTenureBegan, {{"group", group_.config().name},
                                   {"epoch", std::to_string(epoch_)},
                                   {"predecessor", origin_.predecessor}});
    return;
  }
  if (now >= next_step_down_) {
    next_step_down_ = now + kStepDownPause;
    ports_.send_step_down(origin_.predecessor, epoch_);
  }
}

// A former holder may have had a member promoted that this instance has not
// heard of, unless it told how far it went.
auto PromotionDuty::KnowsPrimary() const -> bool {
  const auto& primary = group_.primary();
  if (told_term_ && primary.term() >= *told_term_) {
    return true;
  }
  const auto names = group_.MemberNames();
  return !names.empty() &&
         std::all_of(names.begin(), names.end(),
                     [this](const auto& it) { return cleared_.contains(it); });
}

auto PromotionDuty::LookAround() -> void {
  const auto now = timers_.Now();
  const auto seen = group_.LastPromotionSeen();
  if (looked_at_.empty() && !told_term_ && seen && !recalled_ &&
      now - *seen < kMaxOrderDelay) {
    // The former holder may have ordered it more than once.
    recalled_ = true;
    permit_.NoteUnresolvedOrder(group_.primary().member(), *seen);
  }
  if (now < next_look_) {
    return;
  }
  next_look_ = now + kLookPause;
  for (const auto& it : group_.MemberNames()) {
    const auto* entry = group_.FindEntry(it);
    if (now - acquired_ >= kEntryTrusted && !entry->leads) {
      cleared_.insert(it);
    }
    if (!looked_at_.contains(it)) {
      LookAt(it);
    }
  }
}

auto PromotionDuty::LookAt(const std::string& member) -> void {
  group_.RequestMemberStatus(
      member, 0, guard_.Bind([this, member](const MemberReport* report) {
        if (report == nullptr) {
          return;
        }
        looked_at_.insert(member);
        cleared_.insert(member);
        group_.NoteMemberReport(member, *report);
        const auto left = report->paused_term > group_.primary().term() &&
                          phase_ == Phase::kWatching;
        if (left && told_term_) {
          group_.ResumeReplication(member);
        } else if (left) {
          NoteLeftPaused(member, report->received);
        }
      }));
}

// The former holder may have ordered a member that it paused. Of several, it
// took the one that has received most.
auto PromotionDuty::NoteLeftPaused(const std::string& member, LogPlace place)
    -> void {
  paused_ = true;
  if (left_place_ && place <= *left_place_) {
    return;
  }
  left_place_ = place;
  permit_.NoteUnresolvedOrder(member, permit_.ExclusiveFrom());
}

// Statements wait for a grant, so that none of them finds out.
auto PromotionDuty::WatchSuccessor() -> void {
  const auto& primary = group_.primary();
  if (phase_ != Phase::kWatching || !primary.IsPending()) {
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

auto PromotionDuty::DemoteReplaced() -> void {
  const auto now = timers_.Now();
  const auto& primary = group_.primary();
  if (replaced_.empty() || now < next_demotion_ || !primary.IsUsable() ||
      primary.IsPending()) {
    return;
  }
  next_demotion_ = now + kDemotionPause;
  std::erase_if(replaced_, [this](const auto& it) {
    return group_.FindEntry(it.first) == nullptr ||
           it.first == group_.primary().member();
  });
  for (const auto& [member, term] : replaced_) {
    group_.Demote(
        member, std::max(term, primary.term()),
        guard_.Bind([this, member = member](const MemberReport* report) {
          if (report == nullptr || report->is_primary) {
            return;
          }
          replaced_.erase(member);
          log_.Log(Event::kReplacedDemoted, {{"group", group_.config().name},
                                             {"member", member},
                                             {"answered", "yes"}});
        }));
  }
}

auto PromotionDuty::EndLateOrder() -> void {
  const auto now = timers_.Now();
  if (permit_.ForgetExpiredOrders(now) && !permit_.HasUnresolvedOrder(now) &&
      paused_ && phase_ == Phase::kWatching) {
    ResumeMembers();
  }
}

// A leaving primary first stops taking writes; its successor then receives what
// it lacks, so that no write is lost.
auto PromotionDuty::HandOver(const std::string& member) -> void {
  phase_ = Phase::kHandingOver;
  const auto primary = group_.primary().member();
  catch_up_until_ = timers_.Now() + kCatchUp;
  group_.Demote(primary, ordered_term_,
                guard_.Bind([this, member, primary,
                             attempt = attempt_](const MemberReport* report) {
                  if (attempt != attempt_ || phase_ != Phase::kHandingOver) {
                    return;
                  }
                  log_.Log(Event::kReplacedDemoted,
                           {{"group", group_.config().name},
                            {"member", primary},
                            {"answered", report != nullptr ? "yes" : "no"}});
                  if (report == nullptr) {
                    Abandon("the leaving primary did not answer");
                    return;
                  }
                  group_.NoteNotPrimary(primary);
                  AwaitCatchUp(member, report->received);
                }));
}

auto PromotionDuty::AwaitCatchUp(const std::string& member, LogPlace place)
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
          PauseAndHold(member);
          return;
        }
        timers_.After(
            kCatchUpPause, guard_.Bind([this, member, place, attempt] {
              if (attempt == attempt_ && phase_ == Phase::kHandingOver) {
                AwaitCatchUp(member, place);
              }
            }));
      }));
}

auto PromotionDuty::PauseAndHold(const std::string& member) -> void {
  paused_ = true;
  group_.RequestMemberStatus(
      member, ordered_term_,
      guard_.Bind(
          [this, member, attempt = attempt_](const MemberReport* report) {
            if (attempt != attempt_ || phase_ != Phase::kHandingOver) {
              return;
            }
            if (report == nullptr) {
              Abandon("the successor did not answer");
              return;
            }
            permit_.NoteMemberPaused(member, timers_.Now());
            HoldOrder(member);
          }));
}

// Waits until nobody relies on the primary before, then orders.
auto PromotionDuty::HoldOrder(const std::string& member) -> void {
  phase_ = Phase::kHolding;
  const auto now = timers_.Now();
  const auto from = permit_.EarliestOrderTime(member);
  if (from > now) {
    const auto wait = std::chrono::duration_cast<Milliseconds>(from - now);
    log_.Log(Event::kPromotionHeld,
             {{"group", group_.config().name},
              {"member", member},
              {"reason", "grants and reports"},
              {"wait_ms", std::to_string(wait.count())}});
    timers_.After(from - now, guard_.Bind([this, member, attempt = attempt_] {
      if (attempt == attempt_ && phase_ == Phase::kHolding) {
        HoldOrder(member);
      }
    }));
    return;
  }
  if (!permit_.MayOrder(member, now, ports_.lease_valid_until())) {
    Abandon(now < ports_.lease_valid_until()
                ? "an earlier order may be carried out"
                : "the lease may have lapsed");
    return;
  }
  Order(member);
}

}  // namespace kingcuplock
