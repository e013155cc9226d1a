#pragma once

/// Decides when the holder of a group's promotion duty may grant the use of the
/// primary and when it may order a promotion, on a platform that does not check
/// fencing tokens. It may act once its predecessor can no longer act and while
/// its lease is valid, with at most one order outstanding. An order also waits
/// until it is recorded in the store, so that no later holder, nor this one
/// after a restart, can fail to know of it, and until no instance relies on the
/// former primary.
///
/// Example:
///   PromotionPermit<> permit(now, now + ttl, now);
///   if (permit.MayGrant("m-1", now, lease_valid_until)) { SendGrant("m-1"); }
///   permit.NoteMemberPaused("m-2", report, now);
///   permit.NoteOrderRecorded("m-2", now);
///   if (permit.MayOrder("m-2", now, lease_valid_until)) { SendOrder("m-2"); }

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Not thread safe. O(log n) in members.
template <GrantRules Rules = AllGrantRules>
class PromotionPermit {
 public:
  /// `predecessor_ends` is when a former holder that did not release the duty
  /// can no longer act, at the latest; `now` if there is none. `own_ends` is
  /// when no order from an earlier time that this instance held the duty can
  /// take effect any more.
  PromotionPermit(Time now, Time predecessor_ends, Time own_ends)
      : own_orders_end_(Rules::kWaitForPredecessor ? own_ends : now),
        exclusive_from_(Rules::kWaitForPredecessor
                            ? std::max(predecessor_ends, own_ends)
                            : now) {}

  /// Records that the former holder confirmed at `now` that it no longer orders
  /// or grants.
  auto NoteSteppedDown(Time now) -> void {
    exclusive_from_ = std::min(exclusive_from_, std::max(now, own_orders_end_));
  }

  /// Returns until when an action of this holder or its predecessor may still
  /// take effect; `now` if none may. `ordering` tells whether an order is in
  /// flight, or was accepted and its member is not the primary yet.
  auto EffectsPendingUntil(Time now, bool ordering) const -> Time {
    auto until = std::max(now, exclusive_from_);
    if (ordering) {
      until = std::max<Time>(until, now + kMaxOrderDelay);
    }
    return std::max(until, UnresolvedUntil());
  }

  /// Returns the time from which no other holder can act.
  auto ExclusiveFrom() const -> Time { return exclusive_from_; }

  /// Returns whether the use of `primary`, the known primary, may be granted.
  /// `lease_valid_until` is when the own lease may lapse. An unresolved order
  /// to promote `primary` itself does no harm.
  auto MayGrant(const std::string& primary,
                Time now,
                Time lease_valid_until) const -> bool {
    return now >= exclusive_from_ && now < lease_valid_until &&
           HasNoOtherUnresolvedOrder(primary, now);
  }

  /// Records `report`, the answer of `member` at `now` to a request to pause
  /// for the next promotion. Ignores it if the pause has no effect. The holder
  /// must not have granted since it sent that request.
  auto NoteMemberPaused(const std::string& member,
                        const MemberReport& report,
                        Time now) -> void {
    if (report.IsPaused() || !Rules::kRequireEffectivePause) {
      paused_since_[member] = now;
    }
  }

  /// Records that the members receive again, or are about to be asked anew.
  auto NoteMembersResumed() -> void { paused_since_.clear(); }

  /// Records that the store holds at `now` that `member` may be ordered to
  /// become primary; empty if it holds that no order is open.
  auto NoteOrderRecorded(const std::string& member, Time now) -> void {
    recorded_member_ = member;
    recorded_since_ = now;
  }

  /// Returns the member of the open order that the store holds, empty for none.
  auto recorded_member() const -> const std::string& {
    return recorded_member_;
  }

  /// Returns the earliest time at which `member` may be ordered to become
  /// primary, Time::max() if it is not paused or the order is not recorded. The
  /// order takes effect no earlier than kMinPromotionTime after it is sent.
  auto EarliestOrderTime(const std::string& member) const -> Time {
    const auto paused = paused_since_.find(member);
    const auto is_recorded =
        recorded_member_ == member || !Rules::kRecordOrders;
    if (paused == paused_since_.end() || !is_recorded) {
      return Time::max();
    }
    // Instances may rely on a report from before the pause, or on a record
    // from before it held the order.
    const auto since = Rules::kRecordOrders
                           ? std::max(paused->second, recorded_since_)
                           : paused->second;
    const auto evidence_end = since + kGrantDuration - kMinPromotionTime;
    return Rules::kWaitForGrantExpiry
               ? std::max<Time>(exclusive_from_, evidence_end)
               : exclusive_from_;
  }

  /// Returns the time from which `member` may no longer be ordered to become
  /// primary without another pause.
  auto PauseExpires(const std::string& member) const -> Time {
    const auto paused = paused_since_.find(member);
    return paused == paused_since_.end() ? Time{}
                                         : paused->second + kMaxPauseAge;
  }

  /// Returns whether an order to promote `member` may be sent at `now`.
  auto MayOrder(const std::string& member,
                Time now,
                Time lease_valid_until) const -> bool {
    return now >= EarliestOrderTime(member) && now < PauseExpires(member) &&
           HasNoOtherUnresolvedOrder(member, now) &&
           (!Rules::kRequireValidLease || now < lease_valid_until);
  }

  /// Records that an order to promote `member`, sent at `now` or earlier, got
  /// no answer or may be carried out again. An empty `member` stands for an
  /// unknown one.
  auto NoteUnresolvedOrder(const std::string& member, Time now) -> void {
    auto& until = unresolved_until_[member];
    until = std::max<Time>(until, now + kMaxOrderDelay);
  }

  /// Returns whether an unresolved order may still be carried out.
  auto HasUnresolvedOrder(Time now) const -> bool {
    return Rules::kSingleUnresolvedOrder && UnresolvedUntil() > now;
  }

  /// Returns whether no unresolved order for a member other than `member` may
  /// still be carried out.
  auto HasNoOtherUnresolvedOrder(const std::string& member, Time now) const
      -> bool {
    return !Rules::kSingleUnresolvedOrder ||
           std::all_of(unresolved_until_.begin(), unresolved_until_.end(),
                       [&](const auto& it) {
                         return it.first == member || it.second <= now;
                       });
  }

  /// Returns the member of the only unresolved orders that may still be carried
  /// out; nullopt if there is none or more than one, or if it is not known.
  auto OnlyUnresolvedMember(Time now) const -> std::optional<std::string> {
    std::optional<std::string> out;
    for (const auto& [member, until] : unresolved_until_) {
      if (until <= now) {
        continue;
      }
      if (out || member.empty()) {
        return std::nullopt;
      }
      out = member;
    }
    return out;
  }

  /// Removes the unresolved orders that can no longer be carried out; returns
  /// whether there was one.
  auto ForgetExpiredOrders(Time now) -> bool {
    return std::erase_if(unresolved_until_, [now](const auto& it) {
             return it.second <= now;
           }) > 0;
  }

 private:
  auto UnresolvedUntil() const -> Time {
    Time until{};
    for (const auto& [member, it] : unresolved_until_) {
      until = std::max(until, it);
    }
    return until;
  }

  Time own_orders_end_;
  Time exclusive_from_;
  /// Member of the open order in the store, empty for none, and since when.
  std::string recorded_member_;
  Time recorded_since_{};
  /// When each paused member confirmed its pause.
  std::map<std::string, Time> paused_since_;
  /// Until when an unresolved order may be carried out, by member.
  std::map<std::string, Time> unresolved_until_;
};

}  // namespace kingcuplock
