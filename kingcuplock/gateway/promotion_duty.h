#pragma once

/// Replaces the primary of one group while this instance holds the duty: weighs
/// the suspicion against what peers hear, asks the members how far their logs
/// reach, orders the furthest to lead. Every order has a fencing token of its
/// own, as an order without an answer may be carried out later. Where tokens
/// are not checked, it also grants the use of the primary, and orders nothing
/// while a grant, a predecessor or an earlier order could still act.
///
/// Example:
///   PromotionDuty duty("bookings", epoch, group, ports, timers, out, log);
///   duty.Start();
///   duty.OnOrderAnswered(id, PromotionOutcome::kAccepted);

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/failover/candidate.h"
#include "kingcuplock/gateway/gateway_outbox.h"
#include "kingcuplock/gateway/group.h"
#include "kingcuplock/grants/promotion_permit.h"

namespace kingcuplock {

/// What a duty asks of the gateway.
struct PromotionDutyCallbacks {
  /// Returns how long ago any live peer heard the group's primary, as far as
  /// fresh reports tell; nullopt if none did.
  std::function<std::optional<Duration>(const std::string& group)>
      time_since_peer_heard;
  /// Asks the peers for fresh reports.
  std::function<void(const std::string& group)> request_peer_reports;
  /// Returns whether this instance seems cut off from its peers and the store.
  std::function<bool()> isolated;
  /// Asks for a higher epoch of the duty, or its loss.
  std::function<void(const std::string& group)> renew_epoch;
  /// Returns the next id of an order.
  std::function<std::int64_t()> next_order_id;
  /// Returns until when the own lease can't have lapsed.
  std::function<Time()> lease_valid_until;
  /// Tells the former holder that it was replaced, if it can be told.
  std::function<void(const std::string& holder, std::int64_t epoch)>
      send_step_down;
  /// Own instance name.
  std::string holder;
};

/// Where a duty comes from, and how the platform treats its orders.
struct PromotionDutyOptions {
  std::int64_t epoch = 0;
  /// Newest term that is on record, 0 for none.
  std::int64_t term = 0;
  /// Former holder that did not give the duty up, empty for none.
  std::string predecessor = {};
  /// Longest time that its lease may go on.
  Duration lease{};
  /// Until when an order of an earlier duty of this instance may take effect.
  Time unsettled{};
  /// Whether the platform checks fencing tokens.
  bool fenced = true;
};

/// Not thread safe.
class PromotionDuty {
 public:
  /// A peer that heard the primary within this time in ms vouches for it; above
  /// the time after which a member counts as silent.
  static constexpr Milliseconds kPeerHeardLimit{300};

  PromotionDuty(PromotionDutyOptions origin,
                Group& group,
                PromotionDutyCallbacks ports,
                TimerService& timers,
                GatewayOutbox& out,
                Outbox& log);
  ~PromotionDuty();
  PromotionDuty(const PromotionDuty&) = delete;
  auto operator=(const PromotionDuty&) -> PromotionDuty& = delete;

  /// Begins to look after the group.
  auto Start() -> void;

  /// Takes a higher epoch of the same holder.
  auto SetEpoch(std::int64_t epoch) -> void;

  /// The former holder ended its duty, knowing of `term`.
  auto NoteSteppedDown(std::int64_t term) -> void;

  /// Grants and orders nothing more: the duty is about to be given up.
  auto StopGrantsAndOrders() -> void { retired_ = true; }

  /// Returns until when an order of this duty, or the former holder, may still
  /// act; no later than now if nothing may.
  auto EffectsPendingUntil() const -> Time {
    const auto ordering =
        phase_ == Phase::kOrdering || group_.primary().IsPending();
    return permit_.EffectsPendingUntil(timers_.Now(), ordering);
  }

  /// Returns whether a promotion is being prepared or carried out.
  auto IsPromoting() const -> bool {
    return phase_ != Phase::kWatching || suspected_since_ ||
           group_.primary().IsPending();
  }

  /// Grants the use of the primary to an instance; 0 for how long if it can't.
  auto IssueGrant(std::int64_t ask) -> GrantGiven;

  /// Takes the answer to an order; returns false if it is not this duty's.
  auto OnOrderAnswered(std::int64_t id, PromotionOutcome outcome) -> bool;

 private:
  enum class Phase { kWatching, kHearing, kHandingOver, kHolding, kOrdering };

  auto Tick() -> void;
  auto Reason() -> std::optional<std::string_view>;
  auto LostFor() -> Duration;
  auto MayGoOn(std::string_view reason) -> bool;
  auto Candidates() const -> std::vector<std::string>;
  auto BeginHearing(std::string_view reason) -> void;
  auto OnHeard(std::int64_t attempt,
               const std::string& member,
               const MemberReport* status) -> void;
  auto Choose() -> void;
  // Returns the time in ms since the reason to promote was first seen.
  auto SuspectedMs() const -> std::int64_t;
  auto Order(const std::string& member) -> void;

  // Without fencing tokens.
  auto AskForTenure() -> void;
  auto LookAround() -> void;
  auto NoteLeftPaused(const std::string& member, LogPlace place) -> void;
  auto LookAt(const std::string& member) -> void;
  auto KnowsPrimary() const -> bool;
  auto WatchSuccessor() -> void;
  auto DemoteReplaced() -> void;
  auto EndLateOrder() -> void;
  auto HandOver(const std::string& member) -> void;
  auto AwaitCatchUp(const std::string& member, LogPlace place) -> void;
  auto PauseAndHold(const std::string& member) -> void;
  auto HoldOrder(const std::string& member) -> void;
  auto ResumeMembers() -> void;
  auto Abandon(std::string_view why) -> void;
  auto LogAbandoned(std::string_view why) -> void;
  auto IsCandidate(const std::string& member) const -> bool;

  std::int64_t epoch_;
  PromotionDutyOptions origin_;
  PromotionPermit<> permit_;
  bool tenured_ = false;
  bool retired_ = false;
  /// When a peer last vouched for a primary that this instance does not reach.
  std::optional<Time> vouched_at_;
  /// Newest term that the former holder knew; nullopt if it could not tell.
  std::optional<std::int64_t> told_term_;
  /// Members that no former holder can have had promoted unknown to this one.
  std::set<std::string> cleared_;
  std::set<std::string> looked_at_;
  /// Whether a promotion by the former holder was taken into account.
  bool recalled_ = false;
  /// How far the member got that the former holder may have ordered.
  std::optional<LogPlace> left_place_;
  Time acquired_;
  Time next_step_down_{};
  Time next_look_{};
  Time next_demotion_{};
  /// Replaced primaries that may not know it, and the term that replaced them.
  std::map<std::string, std::int64_t> replaced_;
  Time catch_up_until_{};
  Group& group_;
  PromotionDutyCallbacks ports_;
  TimerService& timers_;
  GatewayOutbox& out_;
  Outbox& log_;
  LifeGuard guard_;
  Phase phase_ = Phase::kWatching;
  TimerId tick_timer_ = 0;
  std::optional<Time> suspected_since_;
  std::optional<Time> lost_since_;
  Time not_before_{};
  std::string reason_;
  Hearings<> hearings_;
  std::int64_t attempt_ = 0;
  std::int64_t fences_used_ = 0;
  std::size_t expected_ = 0;
  std::size_t answered_ = 0;
  bool paused_ = false;
  /// Whether members that are about to leave may be promoted.
  bool last_resort_ = false;
  std::size_t most_members_ = 0;
  std::int64_t order_id_ = 0;
  std::string ordered_member_;
  std::int64_t ordered_term_ = 0;
  int rejections_ = 0;
  std::string abandoned_why_;
  Time abandoned_{};
  /// Members that did not take an order, and until when they are passed over.
  std::map<std::string, Time> passed_over_;
};

}  // namespace kingcuplock
