#pragma once

/// Random-walk model of grants and promotions on one group of three members
/// whose platform does not check fencing tokens. Two holders hold the promotion
/// duty in turn, two instances use the primary, and a replaced primary goes on
/// serving until it learns of its successor. Grants, evidence and permits are
/// the production code; the model supplies time, late and lost messages,
/// stalled processes, a store that revokes a lease, and promotion orders that
/// are carried out late.
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
struct StalePrimaryUse {
  /// Instance, member used and current primary.
  std::string description;
  /// Events of the walk in order, each with its time.
  std::vector<std::string> trace;
};

/// One walk with the given rules. Not thread safe; O(steps * log messages).
template <GrantRules Rules>
class GrantWalk {
 public:
  /// `random` must not be used by others until Run() returns.
  explicit GrantWalk(std::mt19937_64& random) : random_(random) {}

  /// Runs the walk. Returns the first use of a replaced primary, if any.
  auto Run() -> std::optional<StalePrimaryUse> {
    AcquireDuty(0);
    for (auto n = 0; n < kSteps && !fault_; ++n) {
      now_ += Milliseconds(RandomBelow(kMaxStepMs));
      RunDueEvents();
      if (!fault_) {
        TakeRandomStep();
      }
    }
    return fault_;
  }

 private:
  static constexpr int kSteps = 640;
  /// Exclusive limit of the time between two steps.
  static constexpr std::uint64_t kMaxStepMs = 60;
  static constexpr Milliseconds kLeaseDuration{800};
  static constexpr std::size_t kMembers = 3;
  static constexpr std::size_t kInstances = 2;

  /// A member of the group.
  struct Member {
    std::int64_t term = 1;
    /// Stays true for a replaced primary until it learns of its successor.
    bool acts_as_primary = false;
    /// Term of the promotion that it is paused for; 0 if it is not paused.
    std::int64_t paused_term = 0;
    Time started_at{};
  };
  /// An instance that can hold the promotion duty.
  struct Holder {
    bool active = false;
    std::int64_t epoch = 0;
    PromotionPermit<Rules> permit{Time{}, Time{}, Time{}};
    /// End of its lease by its own clock; after a revocation the store has
    /// ended the lease earlier.
    Time lease_valid_until{};
    /// Until when the process makes no progress.
    Time stalled_until{};
    /// The primary that it knows, and its term.
    std::size_t primary = 0;
    std::int64_t term = 1;
    bool promoting = false;
    std::size_t candidate = 0;
    bool order_in_flight = false;
    /// Whether the platform has accepted its order, which takes effect soon.
    bool accepted = false;
    /// Number of its promotion attempt, unique in the walk.
    std::int64_t attempt = 0;
    /// Whether its predecessor confirmed that it no longer orders or grants.
    bool predecessor_stepped_down = false;
    /// Whether it has noted the orders that its predecessor may have sent.
    bool pending_orders_checked = false;
  };
  /// An instance that sends statements to the primary.
  struct Instance {
    PrimaryGrant grant;
    Time stalled_until{};
  };

  static auto MemberName(std::size_t member) -> std::string {
    return std::string(1, static_cast<char>('a' + member));
  }
  static auto MemberIndex(const std::string& name) -> std::size_t {
    return static_cast<std::size_t>(name.front() - 'a');
  }
  auto RandomBelow(std::uint64_t limit) -> std::uint64_t {
    return random_() % limit;
  }
  auto OneIn(std::uint64_t n) -> bool { return RandomBelow(n) == 0; }

  // Loses 1 message in 12; delays 1 in 8 of the others by up to 700 ms, the
  // rest by up to 20 ms.
  auto SendMessage(std::function<void()> on_arrival) -> void {
    if (OneIn(12)) {
      return;
    }
    const auto delay = OneIn(8) ? RandomBelow(700) : RandomBelow(20);
    pending_events_.emplace(now_ + Milliseconds(delay), std::move(on_arrival));
  }

  auto RunDueEvents() -> void {
    while (!pending_events_.empty() && pending_events_.begin()->first <= now_ &&
           !fault_) {
      auto event = pending_events_.extract(pending_events_.begin());
      event.mapped()();
    }
  }

  auto TakeRandomStep() -> void {
    switch (RandomBelow(12)) {
      case 0:
      case 1:
      case 2:
        return RequestGrant(RandomBelow(kInstances));
      case 3:
        return CollectEvidence(RandomBelow(kInstances));
      case 4:
      case 5:
        return UsePrimary(RandomBelow(kInstances));
      case 6:
        return BeginPromotion(RandomBelow(2));
      case 7:
      case 8:
        return TryOrderPromotion(RandomBelow(2));
      case 9:
        return RenewLease(RandomBelow(2));
      case 10:
        return TakeRandomRestart();
      default:
        return TransferDuty();
    }
  }

  // Instances.

  auto RequestGrant(std::size_t instance) -> void {
    if (now_ < instances_[instance].stalled_until) {
      return;
    }
    // An instance may ask the former holder, because its knowledge may be old.
    const auto holder_index = RandomBelow(2);
    const auto requested_at = now_;
    SendMessage([this, instance, holder_index, requested_at] {
      AnswerGrantRequest(instance, holder_index, requested_at);
    });
  }

  auto AnswerGrantRequest(std::size_t instance,
                          std::size_t holder_index,
                          Time requested_at) -> void {
    auto& holder = holders_[holder_index];
    if (!holder.active || now_ < holder.stalled_until || holder.promoting ||
        holder.order_in_flight || now_ < holder.permit.ExclusiveFrom() ||
        !UpdateKnownPrimary(holder) ||
        !holder.permit.MayGrant(MemberName(holder.primary), now_,
                                holder.lease_valid_until)) {
      return;
    }
    const Duration duration = kGrantDuration;
    const auto member = holder.primary;
    const auto term = holder.term;
    AddToTrace("holder " + std::to_string(holder_index) + " grants " +
               MemberName(member));
    SendMessage([this, instance, member, term, requested_at, duration] {
      if (now_ >= instances_[instance].stalled_until) {
        StoreNewerGrant(instance,
                        GrantFromHolder<Rules>(MemberName(member), term,
                                               requested_at, now_, duration));
      }
    });
  }

  // Learns the primary of the highest term from the members, as a new holder
  // does before it grants. Returns whether the known primary still acts as
  // such.
  auto UpdateKnownPrimary(Holder& holder) -> bool {
    NotePredecessorOrders(holder);
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (members_[m].acts_as_primary && members_[m].term > holder.term) {
        holder.primary = m;
        holder.term = members_[m].term;
      }
    }
    return members_[holder.primary].acts_as_primary;
  }

  // Without a record of orders: notes the promotions that the predecessor may
  // have ordered. A member that is still paused may have been ordered to become
  // primary.
  auto NotePredecessorOrders(Holder& holder) -> void {
    if (std::exchange(holder.pending_orders_checked, true) ||
        holder.predecessor_stepped_down || Rules::kRecordOrders) {
      return;
    }
    if (now_ - promoted_at_ < kMaxOrderDelay) {
      // The platform may carry out an order twice.
      holder.permit.NoteUnresolvedOrder(MemberName(current_primary_),
                                        promoted_at_);
    }
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (MakeReport(members_[m]).IsPaused() && !members_[m].acts_as_primary) {
        holder.permit.NoteUnresolvedOrder(MemberName(m),
                                          holder.permit.ExclusiveFrom());
      }
    }
  }

  // Asks the other members whether an apparent primary still is the primary.
  auto CollectEvidence(std::size_t instance) -> void {
    if (now_ < instances_[instance].stalled_until) {
      return;
    }
    auto apparent_primary = kMembers;
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (members_[m].acts_as_primary &&
          (apparent_primary == kMembers || OneIn(2) ||
           members_[m].term > members_[apparent_primary].term)) {
        apparent_primary = m;
      }
    }
    if (apparent_primary == kMembers) {
      return;
    }
    std::vector<std::string> others;
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (m != apparent_primary) {
        others.push_back(MemberName(m));
      }
    }
    const auto evidence = std::make_shared<PrimaryEvidence<Rules>>(
        MemberName(apparent_primary), members_[apparent_primary].term, others,
        now_, Time{});
    for (const auto& it : others) {
      if (OneIn(4)) {
        evidence->NoteReport(it, nullptr);
        OnReport(instance, evidence);
        continue;
      }
      SendMessage([this, instance, it, evidence] {
        SendMessage([this, instance, it, evidence,
                     report = MakeReport(members_[MemberIndex(it)])] {
          evidence->NoteReport(it, &report);
          OnReport(instance, evidence);
        });
      });
    }
  }

  auto OnReport(std::size_t instance,
                const std::shared_ptr<PrimaryEvidence<Rules>>& evidence)
      -> void {
    if (!evidence->IsComplete() || !evidence->NeedsRecord()) {
      TakeGrantFromEvidence(instance, *evidence);
      return;
    }
    SendMessage([this, instance, evidence] {
      const OrderRecord record{recorded_term_, recorded_order_};
      SendMessage([this, instance, evidence, record] {
        evidence->NoteRecord(record);
        TakeGrantFromEvidence(instance, *evidence);
      });
    });
  }

  auto TakeGrantFromEvidence(std::size_t instance,
                             const PrimaryEvidence<Rules>& evidence) -> void {
    if (evidence.IsComplete() && evidence.ProvesPrimary() &&
        now_ >= instances_[instance].stalled_until) {
      StoreNewerGrant(instance, evidence.Grant());
      AddToTrace("member reports prove " + evidence.Grant().member);
    }
  }

  auto StoreNewerGrant(std::size_t instance, const PrimaryGrant& grant)
      -> void {
    auto& held = instances_[instance].grant;
    if (grant.term > held.term ||
        (grant.term == held.term && grant.until > held.until)) {
      held = grant;
    }
  }

  auto UsePrimary(std::size_t instance) -> void {
    const auto& it = instances_[instance];
    if (now_ < it.stalled_until || !it.grant.Covers(it.grant.member, now_)) {
      return;
    }
    const auto member = MemberIndex(it.grant.member);
    if (member != current_primary_) {
      fault_ =
          StalePrimaryUse{"instance " + std::to_string(instance) + " uses " +
                              MemberName(member) + " while " +
                              MemberName(current_primary_) + " is the primary",
                          trace_};
    }
  }

  // Holders.

  auto AcquireDuty(std::size_t holder_index) -> void {
    auto& holder = holders_[holder_index];
    const auto is_first = last_epoch_ == 0;
    if (holder.active) {
      effects_end_[holder_index] = holder.permit.EffectsPendingUntil(
          now_, holder.order_in_flight || holder.promoting);
    }
    holder = Holder();
    holder.active = true;
    holder.epoch = ++last_epoch_;
    holder.permit =
        PromotionPermit<Rules>(now_, is_first ? now_ : now_ + kLeaseDuration,
                               effects_end_[holder_index]);
    holder.lease_valid_until = now_ + kLeaseDuration;
    TakeOverRecord(holder);
    if (OneIn(3)) {
      // The process has just started and knows no term.
      holder.term = 0;
    } else {
      holder.primary = current_primary_;
      holder.term = members_[current_primary_].term;
    }
    current_holder_ = holder_index;
    AddToTrace("holder " + std::to_string(holder_index) + " acquires the duty");
  }

  auto TakeOverRecord(Holder& holder) -> void {
    holder.permit.NoteOrderRecorded(recorded_order_, now_);
    if (Rules::kRecordOrders && !recorded_order_.empty()) {
      holder.permit.NoteUnresolvedOrder(recorded_order_,
                                        holder.permit.ExclusiveFrom());
    }
  }

  // A process ends and starts again, with nothing that it knew. The current
  // holder takes its own duty over at once.
  auto RestartHolder(std::size_t holder_index) -> void {
    auto& holder = holders_[holder_index];
    const auto is_current = holder_index == current_holder_ && holder.active &&
                            !revoked_[holder_index];
    const auto predecessor_ends = holder.permit.ExclusiveFrom();
    effects_end_[holder_index] = Time{};
    AddToTrace("holder " + std::to_string(holder_index) + " restarts");
    if (!is_current) {
      holder.active = false;
      return;
    }
    holder = Holder();
    holder.active = true;
    holder.epoch = ++last_epoch_;
    holder.permit =
        PromotionPermit<Rules>(now_, std::max(now_, predecessor_ends), now_);
    holder.lease_valid_until = now_ + kLeaseDuration;
    holder.term = 0;
    TakeOverRecord(holder);
  }

  // The store gives the duty to the other holder, after the lease has expired
  // or by revoking it while the holder still counts it as valid.
  auto TransferDuty() -> void {
    // A former holder that does not know it is replaced acts seconds later.
    if (!OneIn(5)) {
      return;
    }
    const auto revoked_early = OneIn(3);
    if (!revoked_early && now_ < holders_[current_holder_].lease_valid_until) {
      return;
    }
    const auto next = 1 - current_holder_;
    if (now_ < holders_[next].stalled_until) {
      return;
    }
    const auto former = current_holder_;
    revoked_[former] = true;
    revoked_[next] = false;
    AcquireDuty(next);
    // The former holder is asked to step down. It confirms only if none of its
    // orders can still take effect.
    SendMessage([this, former, next] {
      auto& it = holders_[former];
      if (now_ < it.stalled_until || it.epoch >= holders_[next].epoch) {
        return;
      }
      if (std::exchange(it.active, false)) {
        effects_end_[former] = it.permit.EffectsPendingUntil(
            now_, it.order_in_flight || it.promoting);
      }
      if (now_ < effects_end_[former]) {
        return;
      }
      SendMessage([this, next] {
        auto& holder = holders_[next];
        holder.permit.NoteSteppedDown(now_);
        holder.predecessor_stepped_down = true;
      });
    });
  }

  auto RenewLease(std::size_t holder_index) -> void {
    auto& holder = holders_[holder_index];
    if (holder.active && !revoked_[holder_index] &&
        now_ >= holder.stalled_until) {
      holder.lease_valid_until = now_ + kLeaseDuration;
    }
    ClearRecordedOrder(holder_index);
  }

  auto BeginPromotion(std::size_t holder_index) -> void {
    auto& holder = holders_[holder_index];
    const auto pause_expired =
        holder.promoting && !holder.order_in_flight && !holder.accepted &&
        now_ >= holder.permit.PauseExpires(MemberName(holder.candidate));
    if (!holder.active || now_ < holder.stalled_until ||
        holder.order_in_flight || (holder.promoting && !pause_expired) ||
        now_ < holder.permit.ExclusiveFrom() || !OneIn(2)) {
      return;
    }
    if (!OneIn(3)) {
      UpdateKnownPrimary(holder);
    }
    holder.promoting = true;
    holder.candidate =
        (holder.primary + 1 + RandomBelow(kMembers - 1)) % kMembers;
    for (std::size_t m = 0; m < kMembers; ++m) {
      // While an order is unresolved, only its member may be ordered again.
      if (m != holder.primary && holder.permit.HasUnresolvedOrder(now_) &&
          holder.permit.HasNoOtherUnresolvedOrder(MemberName(m), now_)) {
        holder.candidate = m;
      }
    }
    holder.attempt = ++last_attempt_;
    holder.permit.NoteMembersResumed();
    SendPause(holder_index, holder.term + 1);
  }

  // Asks the candidate to pause for `term`, and again for a later one if it has
  // reached that term.
  auto SendPause(std::size_t holder_index, std::int64_t term) -> void {
    const auto candidate = holders_[holder_index].candidate;
    const auto attempt = holders_[holder_index].attempt;
    SendMessage([this, holder_index, candidate, attempt, term] {
      auto& member = members_[candidate];
      if (!member.acts_as_primary && term > member.term) {
        member.paused_term = term;
      }
      SendMessage([this, holder_index, candidate, attempt,
                   report = MakeReport(member)] {
        auto& holder = holders_[holder_index];
        if (holder.attempt != attempt || !holder.active || report.is_primary) {
          return;
        }
        holder.permit.NoteMemberPaused(MemberName(candidate), report, now_);
        if (!report.IsPaused()) {
          SendPause(holder_index, report.term + 1);
        }
        RecordOrder(holder_index);
      });
    });
  }

  // The store refuses the write of a holder that has lost the duty.
  auto RecordOrder(std::size_t holder_index) -> void {
    const auto epoch = holders_[holder_index].epoch;
    const auto name = MemberName(holders_[holder_index].candidate);
    if (!holders_[holder_index].permit.HasNoOtherUnresolvedOrder(name, now_)) {
      return;
    }
    SendMessage([this, holder_index, epoch, name] {
      if (revoked_[holder_index] || holders_[holder_index].epoch != epoch ||
          !holders_[holder_index].promoting) {
        return;
      }
      recorded_order_ = name;
      AddToTrace("the store holds an order for " + name);
      SendMessage([this, holder_index, epoch, name] {
        if (holders_[holder_index].epoch == epoch && recorded_order_ == name) {
          holders_[holder_index].permit.NoteOrderRecorded(name, now_);
        }
      });
    });
  }

  auto ClearRecordedOrder(std::size_t holder_index) -> void {
    auto& holder = holders_[holder_index];
    const auto ordering = holder.promoting || holder.order_in_flight;
    if (holder.active && !revoked_[holder_index] && !ordering &&
        now_ >= holder.stalled_until &&
        holder.permit.EffectsPendingUntil(now_, ordering) <= now_) {
      UpdateKnownPrimary(holder);
      AddToTrace("the store holds no order, term " +
                 std::to_string(holder.term));
      recorded_order_.clear();
      recorded_term_ = holder.term;
      holder.permit.NoteOrderRecorded("", now_);
    }
  }

  static auto MakeReport(const Member& member) -> MemberReport {
    MemberReport report;
    report.is_primary = member.acts_as_primary;
    report.term = member.term;
    report.paused_term = member.paused_term;
    report.connected_since = member.started_at;
    return report;
  }

  auto TryOrderPromotion(std::size_t holder_index) -> void {
    auto& holder = holders_[holder_index];
    if (!holder.active || !holder.promoting || holder.order_in_flight ||
        holder.accepted || now_ < holder.stalled_until) {
      return;
    }
    const auto name = MemberName(holder.candidate);
    if (!holder.permit.MayOrder(name, now_, holder.lease_valid_until)) {
      return;
    }
    holder.order_in_flight = true;
    const auto candidate = holder.candidate;
    const auto epoch = holder.epoch;
    AddToTrace("holder " + std::to_string(holder_index) + " orders " + name);
    const auto delayed = OneIn(4);
    const auto delay =
        delayed ? Milliseconds(
                      RandomBelow((kMaxOrderDelay - kMinPromotionTime).count()))
                : Milliseconds(RandomBelow(20));
    pending_events_.emplace(
        now_ + delay + kMinPromotionTime,
        [this, candidate] { CarryOutPromotion(candidate); });
    pending_events_.emplace(
        now_ + (delayed ? Milliseconds(600) : delay),
        [this, holder_index, epoch, name, delayed] {
          auto& it = holders_[holder_index];
          if (it.epoch != epoch) {
            return;
          }
          it.order_in_flight = false;
          it.promoting = false;
          if (delayed) {
            it.permit.NoteUnresolvedOrder(name, now_);
          } else {
            // The promotion takes effect kMinPromotionTime after the order; the
            // holder grants nothing before.
            it.promoting = true;
            it.accepted = true;
            pending_events_.emplace(
                now_ + kMinPromotionTime + Milliseconds(1),
                [this, holder_index, epoch] {
                  if (holders_[holder_index].epoch == epoch) {
                    holders_[holder_index].promoting = false;
                    holders_[holder_index].accepted = false;
                    holders_[holder_index].permit.NoteMembersResumed();
                  }
                });
          }
        });
  }

  auto CarryOutPromotion(std::size_t member) -> void {
    if (member == current_primary_) {
      return;
    }
    current_primary_ = member;
    promoted_at_ = now_;
    ++last_term_;
    for (auto& it : members_) {
      it.paused_term = 0;
      it.term = it.acts_as_primary ? it.term : last_term_;
    }
    members_[member].acts_as_primary = true;
    members_[member].term = last_term_;
    AddToTrace(MemberName(member) + " becomes primary of term " +
               std::to_string(last_term_));
    // A replaced primary goes on serving until it learns of its successor.
    for (std::size_t m = 0; m < kMembers; ++m) {
      if (m != member && members_[m].acts_as_primary) {
        const auto term = last_term_;
        pending_events_.emplace(now_ + Milliseconds(RandomBelow(2500)),
                                [this, m, term] {
                                  if (members_[m].term < term) {
                                    members_[m].acts_as_primary = false;
                                    members_[m].term = last_term_;
                                  }
                                });
      }
    }
  }

  auto TakeRandomRestart() -> void {
    if (OneIn(4)) {
      return RestartHolder(RandomBelow(2));
    }
    if (OneIn(3)) {
      return RestartReplica(RandomBelow(kMembers));
    }
    StallRandomProcess();
  }

  // A replica ends and starts again, without its pause.
  auto RestartReplica(std::size_t member) -> void {
    if (members_[member].acts_as_primary) {
      return;
    }
    members_[member].paused_term = 0;
    members_[member].started_at = now_;
    AddToTrace(MemberName(member) + " restarts");
  }

  auto StallRandomProcess() -> void {
    const auto until = now_ + Milliseconds(RandomBelow(2500));
    if (OneIn(2)) {
      instances_[RandomBelow(kInstances)].stalled_until = until;
    } else if (OneIn(4)) {
      // Longer than its successor waits for its recorded order.
      holders_[RandomBelow(2)].stalled_until =
          now_ + Milliseconds(RandomBelow(2 * kMaxOrderDelay.count()));
    } else {
      holders_[RandomBelow(2)].stalled_until = until;
    }
  }

  auto AddToTrace(std::string text) -> void {
    trace_.push_back(std::to_string(now_.time_since_epoch() / Milliseconds(1)) +
                     " ms: " + std::move(text));
  }

  std::mt19937_64& random_;
  Time now_{Milliseconds(10'000)};
  /// Messages in transit and delayed effects, by due time.
  std::multimap<Time, std::function<void()>> pending_events_;
  std::array<Member, kMembers> members_{Member{1, true, 0}, Member{}, Member{}};
  std::array<Holder, 2> holders_;
  /// Whether the store gave the duty to the other holder, by holder.
  std::array<bool, 2> revoked_{};
  /// Member of the open order that the store holds, empty for none.
  std::string recorded_order_;
  /// Newest term that the store holds.
  std::int64_t recorded_term_ = 0;
  /// When the last effect of a holder's earlier duties is over, by holder.
  std::array<Time, 2> effects_end_{};
  std::array<Instance, kInstances> instances_;
  std::size_t current_primary_ = 0;
  Time promoted_at_{};
  std::size_t current_holder_ = 0;
  std::int64_t last_term_ = 1;
  std::int64_t last_epoch_ = 0;
  std::int64_t last_attempt_ = 0;
  std::vector<std::string> trace_;
  std::optional<StalePrimaryUse> fault_;
};

/// Counts and shortest fault of many walks.
struct GrantWalkResult {
  std::int64_t walks = 0;
  /// Walks in which a replaced primary was used.
  std::int64_t faults = 0;
  /// The fault with the shortest trace.
  std::optional<StalePrimaryUse> shortest;
};

/// Runs `walks` walks, all drawn from `seed`. The same arguments give the same
/// result.
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
