#pragma once

/// Says when the holder of a promotion duty may grant and when it may order, on
/// a platform that checks no fencing tokens: after its predecessor has come to
/// its end, while its lease is valid, with one order under way at a time, and
/// once nobody relies on the primary before any more.
///
/// Example:
///   PromotionPermit<> permit(now, now + ttl, now);
///   if (permit.MayGrant("m-1", now, lease_valid_until)) {
///   Send(kGrantDuration); } permit.NoteMemberPaused("m-2", now); if
///   (permit.MayOrder("m-2", now, lease_valid_until)) { Order("m-2"); }

#include <algorithm>
#include <map>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"
#include "kingcuplock/grants/primary_grant.h"

namespace kingcuplock {

/// Longest time in ms after which an order without an answer may still be
/// carried out; the platform speaks of seconds.
constexpr Milliseconds kMaxOrderDelay{6000};

/// Not thread safe. O(log n) in members.
template <GrantRules Rules = AllGrantRules>
class PromotionPermit {
 public:
  /// `predecessor_ends` is when a former holder that did not give the duty up
  /// can't act any more, at the latest; `now` if there is none. `own_ends` is
  /// when nothing of an earlier tenure of this holder can take effect.
  PromotionPermit(Time now, Time predecessor_ends, Time own_ends)
      : own_ends_(Rules::kWaitForPredecessor ? own_ends : now),
        tenured_from_(Rules::kWaitForPredecessor
                          ? std::max(predecessor_ends, own_ends)
                          : now) {}

  /// The former holder told at `now` that it orders and grants no more.
  auto NoteSteppedDown(Time now) -> void {
    tenured_from_ = std::min(tenured_from_, std::max(now, own_ends_));
  }

  /// Returns until when something that this holder, or the one before it, did
  /// may take effect; `now` if nothing may. `ordering` says whether an order is
  /// under way or accepted, and its member does not lead yet.
  auto EffectsPendingUntil(Time now, bool ordering) const -> Time {
    auto until = std::max(now, tenured_from_);
    if (ordering) {
      until = std::max<Time>(until, now + kMaxOrderDelay);
    }
    return std::max(until, LateUntil());
  }

  /// Returns from when this holder is the only one that acts.
  auto ExclusiveFrom() const -> Time { return tenured_from_; }

  /// Returns whether the use of `primary`, which is known to lead, may be
  /// granted. `lease_valid_until` is when the own lease may lapse. A late order
  /// does no harm while its own member leads.
  auto MayGrant(const std::string& primary,
                Time now,
                Time lease_valid_until) const -> bool {
    return now >= tenured_from_ && now < lease_valid_until &&
           HasNoOtherUnresolvedOrder(primary, now);
  }

  /// A member answered at `now` that it is paused for the next promotion. The
  /// holder has granted nothing since it asked.
  auto NoteMemberPaused(const std::string& member, Time now) -> void {
    paused_[member] = now;
  }

  /// The members receive again, or are about to be asked anew.
  auto NoteMembersResumed() -> void { paused_.clear(); }

  /// Returns the earliest time at which a paused member may be ordered to lead;
  /// it takes effect no earlier than kMinPromotionTime after it.
  auto EarliestOrderTime(const std::string& member) const -> Time {
    const auto paused = paused_.find(member);
    if (paused == paused_.end()) {
      return Time::max();
    }
    const auto reports_end =
        paused->second + kGrantDuration - kMinPromotionTime;
    return Rules::kWaitForGrantExpiry
               ? std::max<Time>(tenured_from_, reports_end)
               : tenured_from_;
  }

  /// Returns whether an order may be sent at `now`.
  auto MayOrder(const std::string& member,
                Time now,
                Time lease_valid_until) const -> bool {
    return now >= EarliestOrderTime(member) &&
           HasNoOtherUnresolvedOrder(member, now) &&
           (!Rules::kRequireValidLease || now < lease_valid_until);
  }

  /// An order sent at `now` or before got no answer, or may be carried out
  /// again.
  auto NoteUnresolvedOrder(const std::string& member, Time now) -> void {
    auto& until = late_[member];
    until = std::max<Time>(until, now + kMaxOrderDelay);
  }

  /// Returns whether an order may still be carried out.
  auto HasUnresolvedOrder(Time now) const -> bool {
    return Rules::kSingleUnresolvedOrder && LateUntil() > now;
  }

  /// Returns whether no order may still be carried out but for `member`.
  auto HasNoOtherUnresolvedOrder(const std::string& member, Time now) const
      -> bool {
    return !Rules::kSingleUnresolvedOrder ||
           std::all_of(late_.begin(), late_.end(), [&](const auto& it) {
             return it.first == member || it.second <= now;
           });
  }

  /// Forgets orders whose time is over; returns whether any was.
  auto ForgetExpiredOrders(Time now) -> bool {
    return std::erase_if(
               late_, [now](const auto& it) { return it.second <= now; }) > 0;
  }

 private:
  auto LateUntil() const -> Time {
    Time until{};
    for (const auto& [member, it] : late_) {
      until = std::max(until, it);
    }
    return until;
  }

  Time own_ends_;
  Time tenured_from_;
  std::map<std::string, Time> paused_;
  /// Until when an order for a member may be carried out.
  std::map<std::string, Time> late_;
};

}  // namespace kingcuplock
