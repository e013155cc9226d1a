#pragma once

/// Says when the holder of a promotion duty may grant and when it may order, on
/// a platform that checks no fencing tokens: after its predecessor has come to
/// its end, while its lease is valid, with one order under way at a time, and
/// once nobody relies on the primary before any more.
///
/// Example:
///   PromotionPermit<> permit(now, now + ttl);
///   if (permit.MayGrant(now, lease_until)) { Send(permit.Give(now)); }
///   permit.NotePaused("m-2", now);
///   if (permit.MayOrder("m-2", now, lease_until)) { Order("m-2"); }

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"
#include "kingcuplock/grants/lead_grant.h"

namespace kingcuplock {

/// Longest time in ms after which an order without an answer may still be
/// carried out; the platform speaks of seconds.
constexpr Milliseconds kLateOrder{6000};

/// Not thread safe. O(log n) in members.
template <GrantRules Rules = AllGrantRules>
class PromotionPermit {
 public:
  /// `predecessor_ends` is when a former holder that did not give the duty up
  /// can't act any more, at the latest; `now` if there is none. What it granted
  /// may go on for a grant's validity in any case.
  PromotionPermit(Time now, Time predecessor_ends)
      : tenured_from_(Rules::kTenure ? predecessor_ends : now),
        grants_end_(Rules::kTenure ? predecessor_ends + kGrantLife : now) {}

  /// The former holder told at `now` that it orders and grants no more.
  auto NoteSteppedDown(Time now) -> void {
    if (now < tenured_from_) {
      tenured_from_ = now;
      grants_end_ = now + kGrantLife;
    }
  }

  /// Returns from when this holder is the only one that acts.
  auto TenuredFrom() const -> Time { return tenured_from_; }

  /// Returns whether a grant may be given, the primary being known and well.
  /// `lease_until` is when the own lease may lapse.
  auto MayGrant(Time now, Time lease_until) const -> bool {
    return now >= tenured_from_ && now < lease_until && !HasLateOrder(now);
  }

  /// Notes a grant, and returns its validity from now on.
  auto Give(Time now) -> Milliseconds {
    grants_end_ = now + kGrantLife;
    return kGrantLife;
  }

  /// A member answered at `now` that it is paused for the next promotion.
  auto NotePaused(const std::string& member, Time now) -> void {
    paused_[member] = now;
  }

  /// The members receive again.
  auto NoteResumed() -> void { paused_.clear(); }

  /// Returns the earliest time at which a paused member may be ordered to lead;
  /// it takes effect no earlier than kLeastPromotionTime after it.
  auto OrderableFrom(const std::string& member) const -> Time {
    const auto paused = paused_.find(member);
    if (paused == paused_.end()) {
      return Time::max();
    }
    auto from = tenured_from_;
    if (Rules::kWaitForGrants) {
      from = std::max<Time>(from, grants_end_ - kLeastPromotionTime);
    }
    if (Rules::kWaitForReports) {
      from = std::max<Time>(
          from, paused->second + kEvidenceLife - kLeastPromotionTime);
    }
    return from;
  }

  /// Returns whether an order may be sent at `now`.
  auto MayOrder(const std::string& member, Time now, Time lease_until) const
      -> bool {
    const auto only =
        !Rules::kOneOrder || !HasLateOrder(now) || late_member_ == member;
    return now >= OrderableFrom(member) && only &&
           (!Rules::kValidLease || now < lease_until);
  }

  /// An order sent at `now` got no answer; it may be carried out later.
  auto NoteLateOrder(const std::string& member, Time now) -> void {
    late_member_ = member;
    late_until_ = now + kLateOrder;
  }

  /// Returns whether an order may still be carried out.
  auto HasLateOrder(Time now) const -> bool {
    return Rules::kOneOrder && !late_member_.empty() && now < late_until_;
  }

  /// Member of the late order, empty for none.
  auto late_member() const -> const std::string& { return late_member_; }

  /// The late order was carried out, or its member is gone.
  auto ForgetLateOrder() -> void { late_member_.clear(); }

 private:
  Time tenured_from_;
  Time grants_end_;
  std::map<std::string, Time> paused_;
  std::string late_member_;
  Time late_until_{};
};

}  // namespace kingcuplock
