// The gateway's part in promotion duties: the duties that this instance holds,
// messages to and from other holders, and taking over from a failed holder.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/gateway.h"
#include "kingcuplock/routing/rendezvous.h"

namespace kingcuplock {
namespace {

/// Delay in ms from one instance to the next by rank before it takes over a
/// lost holder's duty, so that only one does.
constexpr Milliseconds kTakeoverRankDelay{100};

}  // namespace

auto Gateway::OnDutyAcquired(const std::string& group,
                             const OwnerRecord& record) -> void {
  auto* it = FindGroup(group);
  if (it == nullptr) {
    return;
  }
  PromotionDutyCallbacks callbacks;
  callbacks.time_since_peer_heard = [this](const std::string& name) {
    return TimeSincePeerHeardPrimary(name);
  };
  callbacks.request_peer_reports = [this](const std::string& name) {
    ShareGroupState(name);
  };
  callbacks.is_isolated = [this] { return IsIsolated(); };
  callbacks.renew_epoch = [this](const std::string& name) {
    duty_ownership_.RaiseEpoch(name, [this, name](bool written) {
      const auto duty = duties_.find(name);
      const auto* newest = duty_ownership_.RecordOf(name);
      if (written && duty != duties_.end() && newest != nullptr) {
        duty->second->SetEpoch(newest->epoch);
      }
    });
  };
  callbacks.next_order_id = [this] { return ++last_promotion_id_; };
  callbacks.holder = settings_.instance;
  callbacks.lease_valid_until = [this] {
    return duty_ownership_.LeaseValidUntil();
  };
  callbacks.record_order = [this](const std::string& name,
                                  const std::string& member, std::int64_t term,
                                  std::function<void(bool)> callback) {
    duty_ownership_.RecordOrder(name, member, term, std::move(callback));
  };
  callbacks.send_step_down = [this, group](const std::string& holder,
                                           std::int64_t epoch) {
    peers_.Send(holder, StepDown{settings_.instance, group, epoch});
  };
  PromotionDutyOptions options;
  options.epoch = record.epoch;
  options.term = record.term;
  if (const auto known = terms_of_former_duties_[group];
      known && duty_ownership_.ContinuesOwnership(group)) {
    options.term = std::max(options.term, *known);
    options.orders_resolved = true;
  }
  options.recorded_order = record.ordered;
  options.orders_unknown = record.orders_unknown;
  options.predecessor = record.previous;
  options.own_orders_pending_until = unsettled_until_[group];
  options.predecessor_lease = Milliseconds(settings_.timing.lease_ttl_ms);
  options.checks_fencing_tokens = settings_.promotions_fenced;
  duties_[group] = std::make_unique<PromotionDuty>(
      std::move(options), *it, std::move(callbacks), timers_, out_, shell_);
  it->SetKeepConnected(true);
  duties_[group]->Start();
}

auto Gateway::OnDutyLost(const std::string& group) -> void {
  if (const auto duty = duties_.find(group); duty != duties_.end()) {
    unsettled_until_[group] = duty->second->EffectsPendingUntil();
    terms_of_former_duties_[group] = duty->second->KnownTerm();
  }
  duties_.erase(group);
  if (auto* it = FindGroup(group)) {
    it->SetKeepConnected(false);
  }
}

// Requests a grant from the holder of the group's duty, which may be this
// instance. Otherwise GrantHelperOf() and PeerThatHeardPrimary(), if there are
// any, are asked as well. Returns whether a request was sent.
auto Gateway::RequestGrant(const std::string& group, std::int64_t ask) -> bool {
  const auto duty = duties_.find(group);
  if (duty != duties_.end()) {
    timers_.After(Duration::zero(), [this, group, ask] {
      const auto own = duties_.find(group);
      auto* it = FindGroup(group);
      if (own != duties_.end() && it != nullptr) {
        it->OnGrantGiven(own->second->IssueGrant(ask));
      }
    });
    return true;
  }
  const auto* record = duty_ownership_.RecordOf(group);
  const GrantWanted wanted{settings_.instance, group, ask};
  auto sent = record != nullptr && peers_.Send(record->owner, wanted);
  if (const auto helper = GrantHelperOf(group); !helper.empty()) {
    sent = peers_.Send(helper, wanted) || sent;
  }
  if (const auto informed_peer = PeerThatHeardPrimary(group);
      !informed_peer.empty()) {
    sent = peers_.Send(informed_peer, wanted) || sent;
  }
  return sent;
}

// Returns the peer that reached the primary last if this instance does not
// reach it, otherwise an empty name.
auto Gateway::PeerThatHeardPrimary(const std::string& group) const
    -> std::string {
  const auto found = groups_.find(group);
  if (found == groups_.end() || !found->second->LacksReachablePrimary()) {
    return {};
  }
  std::string nearest;
  std::optional<Duration> least;
  for (const auto& [peer, by_group] : peer_reports_) {
    const auto heard = by_group.find(group);
    if (heard == by_group.end() ||
        heard->second.report.reach != Reach::kReached) {
      continue;
    }
    const auto age = timers_.Now() - heard->second.arrived +
                     Milliseconds(heard->second.report.heard_ms);
    if (!least || age < *least) {
      least = age;
      nearest = peer;
    }
  }
  return nearest;
}

// While the holder grants nothing, one instance asks the members on behalf of
// all. Returns that instance; empty while the holder grants, or if it is this
// instance.
auto Gateway::GrantHelperOf(const std::string& group) -> std::string {
  const auto* it = FindGroup(group);
  if (it == nullptr || !it->HolderGaveNoGrant()) {
    return {};
  }
  const auto* record = duty_ownership_.RecordOf(group);
  auto live = peers_.LiveInstances();
  std::erase_if(live, [&](const auto& name) {
    return record != nullptr && name == record->owner &&
           name != settings_.instance;
  });
  const auto first = std::min_element(
      live.begin(), live.end(), [&](const auto& left, const auto& right) {
        return RendezvousRank(group, left, live) <
               RendezvousRank(group, right, live);
      });
  return first == live.end() || *first == settings_.instance ? std::string()
                                                             : *first;
}

auto Gateway::OnGrantWanted(ConnectionId source, const GrantWanted& wanted)
    -> void {
  const auto duty = duties_.find(wanted.group);
  auto* group = FindGroup(wanted.group);
  if (duty != duties_.end()) {
    auto given = duty->second->IssueGrant(wanted.ask);
    if (group != nullptr) {
      group->AddReadFloor(given);
    }
    if (given.lasts_ms > 0 || duty->second->IsPromoting()) {
      shell_.Send(source, given);
      return;
    }
  }
  GrantGiven out;
  out.group = wanted.group;
  out.ask = wanted.ask;
  out.shared = true;
  if (group == nullptr || settings_.promotions_fenced) {
    if (group != nullptr) {
      group->AddReadFloor(out);
    }
    shell_.Send(source, out);
    return;
  }
  group->AwaitGrant([this, source, out](const PrimaryGrant& grant) {
    auto given = out;
    given.member = grant.member;
    given.term = grant.term;
    const auto lasts =
        std::chrono::duration_cast<Milliseconds>(grant.until - timers_.Now());
    given.lasts_ms = std::max<std::int64_t>(lasts.count(), 0);
    if (auto* it = FindGroup(given.group)) {
      it->AddReadFloor(given);
    }
    shell_.Send(source, given);
  });
}

auto Gateway::ReadOrderRecord(
    const std::string& group,
    std::function<void(const std::optional<OrderRecord>&)> callback) -> void {
  duty_ownership_.ReadRecord(
      group, [callback = std::move(callback)](const OwnerRecord* record) {
        if (record == nullptr) {
          callback(std::nullopt);
          return;
        }
        callback(
            OrderRecord{record->term, record->ordered, record->orders_unknown});
      });
}

// A new holder acts once it has this answer, so the answer is sent only when no
// order of this instance can be carried out any more.
auto Gateway::OnStepDown(ConnectionId source, const StepDown& message) -> void {
  duty_ownership_.StepDown(message.group, message.epoch);
  if (!duties_.contains(message.group) &&
      timers_.Now() >= unsettled_until_[message.group]) {
    // After a restart, nothing is known of the orders of the earlier run.
    const auto former = terms_of_former_duties_.find(message.group);
    const auto known = former != terms_of_former_duties_.end()
                           ? former->second.value_or(0)
                           : 0;
    shell_.Send(source, SteppedDown{settings_.instance, message.group,
                                    message.epoch, known});
  }
}

auto Gateway::OnSteppedDown(const SteppedDown& message) -> void {
  const auto duty = duties_.find(message.group);
  const auto* record = duty_ownership_.RecordOf(message.group);
  if (duty != duties_.end() && record != nullptr &&
      record->previous == message.instance && record->epoch == message.epoch) {
    duty->second->NoteSteppedDown(message.term);
  }
}

auto Gateway::OnPromotionAnswered(std::int64_t id, PromotionOutcome outcome)
    -> void {
  for (auto& [group, duty] : duties_) {
    if (duty->OnOrderAnswered(id, outcome)) {
      return;
    }
  }
}

auto Gateway::TimeSincePeerHeardPrimary(const std::string& group) const
    -> std::optional<Duration> {
  std::optional<Duration> least;
  const auto it = groups_.find(group);
  if (it == groups_.end()) {
    return std::nullopt;
  }
  // If no primary is known here, any primary that a peer reaches counts.
  const auto& primary = it->second->primary();
  for (const auto& [peer, by_group] : peer_reports_) {
    const auto heard = by_group.find(group);
    if (heard == by_group.end()) {
      continue;
    }
    const auto& report = heard->second.report;
    const auto other = primary.IsUsable() && report.primary != primary.member();
    // The contact of a peer that no longer reaches the primary says nothing
    // about its present state.
    const auto unreached =
        report.reach == Reach::kRefused || report.reach == Reach::kSilent;
    if (other || unreached || report.heard_ms < 0 || report.primary.empty()) {
      continue;
    }
    const auto age =
        timers_.Now() - heard->second.arrived + Milliseconds(report.heard_ms);
    least = std::min(least.value_or(age), age);
  }
  return least;
}

auto Gateway::IsIsolated() const -> bool {
  const auto others = instances_.size() > 1;
  return others && peers_.LiveInstances().size() <= 1 && !store_.IsReachable();
}

auto Gateway::OnGroupChanged(const std::string& group) -> void {
  ShareGroupState(group);
  WatchHolder(group);
}

// If the primary is lost and no successor is reported, the holder may be lost
// as well.
auto Gateway::WatchHolder(const std::string& group) -> void {
  const auto* it = FindGroup(group);
  const auto lost = it != nullptr && !duties_.contains(group) &&
                    it->primary().successor().empty() &&
                    it->LacksReachablePrimary();
  if (!lost) {
    holder_watch_.NotePrimaryFound(group);
    return;
  }
  holder_watch_.NotePrimaryLost(group, timers_.Now());
  if (!holder_checks_running_.insert(group).second) {
    return;
  }
  const auto rank =
      RendezvousRank(group, settings_.instance, InstanceNamesKnown());
  const auto wait =
      HolderFailureDetector::kLossTimeout + kTakeoverRankDelay * rank;
  timers_.After(wait, [this, group] { CheckHolder(group); });
}

auto Gateway::CheckHolder(const std::string& group) -> void {
  // The state of the group is evaluated again even if no change was reported.
  WatchHolder(group);
  if (!holder_watch_.HasLostPrimary(group)) {
    holder_checks_running_.erase(group);
    return;
  }
  if (const auto stall = timers_.LastStall()) {
    holder_watch_.NoteStall(*stall);
  }
  const auto* record = duty_ownership_.RecordOf(group);
  const auto heard = TimeSincePeerHeardPrimary(group);
  const auto peer_heard = heard && *heard <= PromotionDuty::kPeerHeardLimit;
  if (settings_.promotions_fenced && record != nullptr && !peer_heard &&
      !stopping_since_ &&
      holder_watch_.IsHolderLost(group, record->owner, timers_.Now())) {
    shell_.Log(Event::kDutyTakenOver,
               {{"group", group},
                {"holder", record->owner},
                {"epoch", std::to_string(record->epoch)},
                {"primary", FindGroup(group)->primary().member()},
                {"outcome", "the holder does not answer heartbeats"}});
    duty_ownership_.Preempt(group);
  }
  // Live peers answer these heartbeats.
  ShareGroupState(group);
  timers_.After(HolderFailureDetector::kLossTimeout,
                [this, group] { CheckHolder(group); });
}

}  // namespace kingcuplock
