#pragma once

/// Random-walk model of grants and promotions on one group of three members
/// whose platform checks no fencing tokens: two holders in turn, two instances
/// that use the primary, members that lead until they are demoted. Grants,
/// evidence and permits are the product's own; the model supplies time,
/// messages that are late or lost, processes that stand still, a store that
/// takes a lease away, and orders that are carried out late.
///
/// Example:
///   std::mt19937_64 random(seed);
///   auto fault = GrantWalk<AllGrantRules>(random).Run();
///   if (fault) { Print(fault->trace); }

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/grant_rules.h"
#include "kingcuplock/grants/grant_tracker.h"
#include "kingcuplock/grants/primary_evidence.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/grants/promotion_permit.h"

namespace kingcuplock {

/// A walk in which a statement used a primary that had been replaced.
struct StaleUse {
  std::string what;
  /// What happened, in order.
  std::vector<std::string> trace;
};

/// One walk. Not thread safe; O(steps * log messages).
template <GrantRules Rules>
class GrantWalk {
 public:
  /// `random` is used by this walk alone until Run() returns.
  explicit GrantWalk(std::mt19937_64& random) : random_(random) {}

  /// Takes all steps. Returns the first fault, if there is one.
  auto Run() -> std::optional<StaleUse> {
    Acquire(0);
    for (auto n = 0; n < kSteps && !fault_; ++n) {
      now_ += Milliseconds(Below(kLongestStep));
      Deliver();
      if (!fault_) {
        Step();
      }
    }
    return fault_;
  }

 private:
  static constexpr int kSteps = 320;
  static constexpr std::uint64_t kLongestStep = 60;
  static constexpr Milliseconds kLease{1500};
  static constexpr std::size_t kMembers = 3;
  static constexpr std::size_t kInstances = 2;

  struct Member {
    std::int64_t term = 1;
    bool leads = false;
    std::int64_t paused_term = 0;
  };
  struct Holder {
    bool active = false;
    std::int64_t epoch = 0;
    PromotionPermit<Rules> permit{Time{}, Time{}, Time{}};
    /// Until when its lease is valid by its own clock.
    Time lease_valid_until{};
    /// When it goes on after standing still.
    Time awake_from{};
    std::size_t primary = 0;
    std::int64_t term = 1;
    bool promoting = false;
    std::size_t candidate = 0;
    bool order_out = false;
    std::int64_t attempt = 0;
    /// Whether the former holder told that it ordered nothing more.
    bool told = false;
    bool looked = false;
  };
  struct Instance {
    PrimaryGrant grant;
    Time awake_from{};
  };

  static auto Name(std::size_t member) -> std::string {
    return std::string(1, static_cast<char>('a' + member));
  }
  static auto MemberOf(const std::string& name) -> std::size_t {
    return static_cast<std::size_t>(name.front() - 'a');
  }
  auto Below(std::uint64_t limit) -> std::uint64_t { return random_() % limit; }
  auto Chance(std::uint64_t one_in) -> bool { return Below(one_in) == 0; }

  // A message arrives after some ms, at times after many, or never.
  auto Send(std::function<void()> arrives) -> void {
    if (Chance(12)) {
      return;
    }
    const auto delay = Chance(8) ? Below(700) : Below(20);
    pending_.emplace(now_ + Milliseconds(delay), std::move(arrives));
  }

  auto Deliver() -> void {
    while (!pending_.empty() && pending_.begin()->first <= now_ && !fault_) {
      auto node = pending_.extract(pending_.begin());
      node.mapped()();
    }
  }

  auto Step() -> void {
    switch (Below(12)) {
      case 0:
      case 1:
      case 2:
        return Ask(Below(kInstances));
      case 3:
        return Gather(Below(kInstances));
      case 4:
      case 5:
        return Use(Below(kInstances));
      case 6:
        return Promote(Below(2));
      case 7:
      case 8:
        return TryOrder(Below(2));
      case 9:
        return Renew(Below(2));
      case 10:
        return Stand();
      default:
        return ChangeHolder();
    }
  }

  // ------------------------------------------------------------- instances

  auto Ask(std::size_t n) -> void {
    if (now_ < instances_[n].awake_from) {
      return;
    }
    // Asks whom it takes for the holder.
    const auto h = Below(2);
    const auto asked = now_;
    Send([this, n, h, asked] { Answer(n, h, asked); });
  }

  auto Answer(std::size_t n, std::size_t h, Time asked) -> void {
    auto& holder = holders_[h];
    if (!holder.active || now_ < holder.awake_from || holder.promoting ||
        holder.order_out || now_ < holder.permit.ExclusiveFrom() ||
        !KnowsPrimary(holder) ||
        !holder.permit.MayGrant(Name(holder.primary), now_,
                                holder.lease_valid_until)) {
      return;
    }
    const Duration lasts = kGrantDuration;
    const auto member = holder.primary;
    const auto term = holder.term;
    Trace("holder " + std::to_string(h) + " grants " + Name(member));
    Send([this, n, member, term, asked, lasts] {
      if (now_ >= instances_[n].awake_from) {
        Take(n, GrantFromHolder<Rules>(Name(member), term, asked, now_, lasts));
      }
    });
  }

  // A new holder hears all members before it grants.
  auto KnowsPrimary(Holder& holder) -> bool {
    LookAround(holder);
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (members_[m].leads && members_[m].term > holder.term) {
        holder.primary = m;
        holder.term = members_[m].term;
      }
    }
    return members_[holder.primary].leads;
  }

  // What the former holder left paused, it may have ordered.
  auto LookAround(Holder& holder) -> void {
    if (std::exchange(holder.looked, true) || holder.told) {
      return;
    }
    if (now_ - promoted_at_ < kMaxOrderDelay) {
      // What was ordered once may be carried out twice.
      holder.permit.NoteUnresolvedOrder(Name(leader_), promoted_at_);
    }
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (members_[m].paused_term > holder.term && !members_[m].leads) {
        holder.permit.NoteUnresolvedOrder(Name(m),
                                          holder.permit.ExclusiveFrom());
      }
    }
  }

  auto Gather(std::size_t n) -> void {
    if (now_ < instances_[n].awake_from) {
      return;
    }
    auto leader = kMembers;
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (members_[m].leads && (leader == kMembers || Chance(2) ||
                                members_[m].term > members_[leader].term)) {
        leader = m;
      }
    }
    if (leader == kMembers) {
      return;
    }
    std::vector<std::string> others;
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (m != leader) {
        others.push_back(Name(m));
      }
    }
    const auto evidence = std::make_shared<PrimaryEvidence<Rules>>(
        Name(leader), members_[leader].term, others, now_);
    for (const auto& it : others) {
      if (Chance(4)) {
        evidence->NoteReport(it, nullptr);
        Conclude(n, *evidence);
        continue;
      }
      Send([this, n, it, evidence] {
        const auto& member = members_[MemberOf(it)];
        MemberReport report;
        report.is_primary = member.leads;
        report.term = member.term;
        report.paused_term = member.paused_term;
        Send([this, n, it, evidence, report] {
          evidence->NoteReport(it, &report);
          Conclude(n, *evidence);
        });
      });
    }
  }

  auto Conclude(std::size_t n, const PrimaryEvidence<Rules>& evidence) -> void {
    if (evidence.IsComplete() && evidence.ProvesPrimary() &&
        now_ >= instances_[n].awake_from) {
      Take(n, evidence.Grant());
      Trace("members vouch for " + evidence.Grant().member);
    }
  }

  auto Take(std::size_t n, const PrimaryGrant& grant) -> void {
    auto& held = instances_[n].grant;
    if (grant.term > held.term ||
        (grant.term == held.term && grant.until > held.until)) {
      held = grant;
    }
  }

  auto Use(std::size_t n) -> void {
    const auto& it = instances_[n];
    if (now_ < it.awake_from || !it.grant.Covers(it.grant.member, now_)) {
      return;
    }
    const auto member = MemberOf(it.grant.member);
    if (member != leader_) {
      fault_ = StaleUse{"instance " + std::to_string(n) + " uses " +
                            Name(member) + " while " + Name(leader_) + " leads",
                        trace_};
    }
  }

  // ---------------------------------------------------------------- holders

  auto Acquire(std::size_t h) -> void {
    auto& holder = holders_[h];
    const auto first = last_epoch_ == 0;
    if (holder.active) {
      settled_[h] = holder.permit.EffectsPendingUntil(
          now_, holder.order_out || holder.promoting);
    }
    holder = Holder();
    holder.active = true;
    holder.epoch = ++last_epoch_;
    holder.permit =
        PromotionPermit<Rules>(now_, first ? now_ : now_ + kLease, settled_[h]);
    holder.lease_valid_until = now_ + kLease;
    holder.primary = leader_;
    holder.term = members_[leader_].term;
    owner_ = h;
    Trace("holder " + std::to_string(h) + " takes the duty");
  }

  // The store's word: the lease runs out, or is taken away unseen.
  auto ChangeHolder() -> void {
    const auto unseen = Chance(3);
    if (!unseen && now_ < holders_[owner_].lease_valid_until) {
      return;
    }
    const auto next = 1 - owner_;
    if (now_ < holders_[next].awake_from) {
      return;
    }
    const auto former = owner_;
    revoked_[former] = true;
    revoked_[next] = false;
    Acquire(next);
    // Asked to step down, it tells so unless its order is under way.
    Send([this, former, next] {
      auto& it = holders_[former];
      if (now_ < it.awake_from || it.epoch >= holders_[next].epoch) {
        return;
      }
      if (std::exchange(it.active, false)) {
        settled_[former] =
            it.permit.EffectsPendingUntil(now_, it.order_out || it.promoting);
      }
      if (now_ < settled_[former]) {
        return;
      }
      Send([this, next] {
        holders_[next].permit.NoteSteppedDown(now_);
        holders_[next].told = true;
      });
    });
  }

  auto Renew(std::size_t h) -> void {
    auto& holder = holders_[h];
    if (holder.active && !revoked_[h] && now_ >= holder.awake_from) {
      holder.lease_valid_until = now_ + kLease;
    }
  }

  auto Promote(std::size_t h) -> void {
    auto& holder = holders_[h];
    if (!holder.active || now_ < holder.awake_from || holder.promoting ||
        now_ < holder.permit.ExclusiveFrom() || !Chance(2)) {
      return;
    }
    KnowsPrimary(holder);
    holder.promoting = true;
    holder.candidate = (holder.primary + 1 + Below(kMembers - 1)) % kMembers;
    for (std::size_t m = 0; m < kMembers; ++m) {
      // The member of a late order is ordered again.
      if (m != holder.primary && holder.permit.HasUnresolvedOrder(now_) &&
          holder.permit.HasNoOtherUnresolvedOrder(Name(m), now_)) {
        holder.candidate = m;
      }
    }
    const auto candidate = holder.candidate;
    const auto attempt = ++last_attempt_;
    holder.attempt = attempt;
    holder.permit.NoteMembersResumed();
    const auto term = holder.term + 1;
    Send([this, h, candidate, attempt, term] {
      members_[candidate].paused_term = term;
      Send([this, h, candidate, attempt] {
        if (holders_[h].attempt == attempt && holders_[h].active) {
          holders_[h].permit.NoteMemberPaused(Name(candidate), now_);
        }
      });
    });
  }

  auto TryOrder(std::size_t h) -> void {
    auto& holder = holders_[h];
    if (!holder.active || !holder.promoting || holder.order_out ||
        now_ < holder.awake_from) {
      return;
    }
    const auto name = Name(holder.candidate);
    if (!holder.permit.MayOrder(name, now_, holder.lease_valid_until)) {
      return;
    }
    holder.order_out = true;
    const auto candidate = holder.candidate;
    const auto epoch = holder.epoch;
    Trace("holder " + std::to_string(h) + " orders " + name);
    const auto late = Chance(4);
    const auto delay = late ? Milliseconds(Below(kMaxOrderDelay.count() - 1000))
                            : Milliseconds(Below(20));
    pending_.emplace(now_ + delay + kMinPromotionTime,
                     [this, candidate] { TakeEffect(candidate); });
    pending_.emplace(now_ + (late ? Milliseconds(600) : delay), [this, h, epoch,
                                                                 name, late] {
      auto& it = holders_[h];
      if (it.epoch != epoch) {
        return;
      }
      it.order_out = false;
      it.promoting = false;
      if (late) {
        it.permit.NoteUnresolvedOrder(name, now_);
      } else {
        // It leads after the platform's time; nothing is granted before.
        it.promoting = true;
        pending_.emplace(now_ + kMinPromotionTime + Milliseconds(1),
                         [this, h, epoch] {
                           if (holders_[h].epoch == epoch) {
                             holders_[h].promoting = false;
                             holders_[h].permit.NoteMembersResumed();
                           }
                         });
      }
    });
  }

  auto TakeEffect(std::size_t member) -> void {
    if (member == leader_) {
      return;
    }
    leader_ = member;
    promoted_at_ = now_;
    ++last_term_;
    for (auto& it : members_) {
      it.paused_term = 0;
      it.term = it.leads ? it.term : last_term_;
    }
    members_[member].leads = true;
    members_[member].term = last_term_;
    Trace(Name(member) + " leads term " + std::to_string(last_term_));
    // The one before goes on until it learns of it.
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (m != member && members_[m].leads) {
        const auto term = last_term_;
        pending_.emplace(now_ + Milliseconds(Below(2500)), [this, m, term] {
          if (members_[m].term < term) {
            members_[m].leads = false;
            members_[m].term = last_term_;
          }
        });
      }
    }
  }

  auto Stand() -> void {
    const auto until = now_ + Milliseconds(Below(2500));
    if (Chance(2)) {
      instances_[Below(kInstances)].awake_from = until;
    } else {
      holders_[Below(2)].awake_from = until;
    }
  }

  auto Trace(std::string text) -> void {
    trace_.push_back(std::to_string(now_.time_since_epoch() / Milliseconds(1)) +
                     " ms: " + std::move(text));
  }

  std::mt19937_64& random_;
  Time now_{Milliseconds(10'000)};
  std::multimap<Time, std::function<void()>> pending_;
  std::array<Member, kMembers> members_{Member{1, true, 0}, Member{}, Member{}};
  std::array<Holder, 2> holders_;
  std::array<bool, 2> revoked_{};
  /// From when nothing of a holder's former duties can take effect.
  std::array<Time, 2> settled_{};
  std::array<Instance, kInstances> instances_;
  std::size_t leader_ = 0;
  Time promoted_at_{};
  std::size_t owner_ = 0;
  std::int64_t last_term_ = 1;
  std::int64_t last_epoch_ = 0;
  std::int64_t last_attempt_ = 0;
  std::vector<std::string> trace_;
  std::optional<StaleUse> fault_;
};

/// Result of many walks.
struct GrantWalkResult {
  std::int64_t walks = 0;
  /// Walks with a fault.
  std::int64_t faults = 0;
  /// The fault with the shortest trace.
  std::optional<StaleUse> shortest;
};

/// Takes `walks` walks of one seed.
template <GrantRules Rules>
auto RunGrantWalks(std::int64_t walks, std::uint64_t seed) -> GrantWalkResult {
  std::mt19937_64 random(seed);
  GrantWalkResult result;
  result.walks = walks;
  for (std::int64_t n = 0; n < walks; ++n) {
    auto fault = GrantWalk<Rules>(random).Run();
    if (!fault) {
      continue;
    }
    ++result.faults;
    if (!result.shortest ||
        fault->trace.size() < result.shortest->trace.size()) {
      result.shortest = std::move(fault);
    }
  }
  return result;
}

}  // namespace kingcuplock
