// The duty to promote: which groups this instance holds it for, and when it
// takes one over.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/gateway.h"
#include "kingcuplock/routing/rendezvous.h"

namespace kingcuplock {
namespace {

/// Pause in ms between instances that may take a lost holder's duty, so that
/// one of them does.
constexpr Milliseconds kTakeOverStep{100};

}  // namespace

auto Gateway::OnDutyAcquired(const std::string& group,
                             const OwnerRecord& record) -> void {
  auto* it = FindGroup(group);
  if (it == nullptr) {
    return;
  }
  PromotionDutyCallbacks ports;
  ports.time_since_peer_heard = [this](const std::string& name) {
    return TimeSincePeerHeardPrimary(name);
  };
  ports.request_peer_reports = [this](const std::string& name) {
    ShareGroupState(name);
  };
  ports.isolated = [this] { return IsIsolated(); };
  ports.renew_epoch = [this](const std::string& name) {
    duty_ownership_.RaiseEpoch(name, [this, name](bool written) {
      const auto duty = duties_.find(name);
      const auto* newest = duty_ownership_.RecordOf(name);
      if (written && duty != duties_.end() && newest != nullptr) {
        duty->second->SetEpoch(newest->epoch);
      }
    });
  };
  ports.next_order_id = [this] { return ++last_promotion_id_; };
  ports.holder = settings_.instance;
  ports.lease_valid_until = [this] {
    return duty_ownership_.LeaseValidUntil();
  };
  ports.send_step_down = [this, group](const std::string& holder,
                                       std::int64_t epoch) {
    peers_.Send(holder, StepDown{settings_.instance, group, epoch});
  };
  PromotionDutyOptions origin;
  origin.epoch = record.epoch;
  origin.term = record.term;
  origin.predecessor = record.previous;
  origin.unsettled = unsettled_until_[group];
  origin.lease = Milliseconds(settings_.timing.lease_ttl_ms);
  origin.fenced = settings_.promotions_fenced;
  duties_[group] = std::make_unique<PromotionDuty>(
      std::move(origin), *it, std::move(ports), timers_, out_, shell_);
  it->SetKeepConnected(true);
  duties_[group]->Start();
}

auto Gateway::OnDutyLost(const std::string& group) -> void {
  if (const auto duty = duties_.find(group); duty != duties_.end()) {
    unsettled_until_[group] = duty->second->EffectsPendingUntil();
  }
  duties_.erase(group);
  if (auto* it = FindGroup(group)) {
    it->SetKeepConnected(false);
  }
}

// Asks the holder of the group's duty, which may be this instance.
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
  if (const auto near = PeerThatHeardPrimary(group); !near.empty()) {
    sent = peers_.Send(near, wanted) || sent;
  }
  return sent;
}

// Returns the peer that heard the primary last, if this instance is cut off
// from it.
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

// While the holder grants nothing, one instance asks the members for all.
// Returns it, or nothing while the holder does or if it is this instance.
auto Gateway::GrantHelperOf(const std::string& group) -> std::string {
  const auto* it = FindGroup(group);
  if (it == nullptr || !it->HolderGaveNoGrant()) {
    return {};
  }
  const auto* record = duty_ownership_.RecordOf(group);
  auto live = peers_.Live();
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

// A new holder waits for this answer, so it is given only once nothing that
// this instance ordered can be carried out any more.
auto Gateway::OnStepDown(ConnectionId source, const StepDown& told) -> void {
  duty_ownership_.StepDown(told.group, told.epoch);
  if (!duties_.contains(told.group) &&
      timers_.Now() >= unsettled_until_[told.group]) {
    const auto* group = FindGroup(told.group);
    shell_.Send(source,
                SteppedDown{settings_.instance, told.group, told.epoch,
                            group != nullptr ? group->primary().term() : 0});
  }
}

auto Gateway::OnSteppedDown(const SteppedDown& told) -> void {
  const auto duty = duties_.find(told.group);
  const auto* record = duty_ownership_.RecordOf(told.group);
  if (duty != duties_.end() && record != nullptr &&
      record->previous == told.instance && record->epoch == told.epoch) {
    duty->second->NoteSteppedDown(told.term);
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
  // Where no primary is known here, one that a peer reaches counts.
  const auto& primary = it->second->primary();
  for (const auto& [peer, by_group] : peer_reports_) {
    const auto heard = by_group.find(group);
    if (heard == by_group.end()) {
      continue;
    }
    const auto& report = heard->second.report;
    const auto other = primary.IsUsable() && report.primary != primary.member();
    // Who heard it before it was refused itself says nothing of it now.
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
  return others && peers_.Live().size() <= 1 && !store_.IsReachable();
}

auto Gateway::OnGroupChanged(const std::string& group) -> void {
  ShareGroupState(group);
  WatchHolder(group);
}

// Without news of a successor, the holder may be lost as well.
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
  const auto wait = HolderFailureDetector::kLossTimeout + kTakeOverStep * rank;
  timers_.After(wait, [this, group] { CheckHolder(group); });
}

auto Gateway::CheckHolder(const std::string& group) -> void {
  // Without a change the state of the group still has to be looked at.
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
  const auto vouched = heard && *heard <= PromotionDuty::kPeerHeardLimit;
  if (settings_.promotions_fenced && record != nullptr && !vouched &&
      !stopping_since_ &&
      holder_watch_.IsHolderLost(group, record->owner, timers_.Now())) {
    shell_.Log(Event::kDutyTakenOver,
               {{"group", group},
                {"holder", record->owner},
                {"epoch", std::to_string(record->epoch)},
                {"primary", FindGroup(group)->primary().member()},
                {"outcome", "holder is silent"}});
    duty_ownership_.Preempt(group);
  }
  // Peers that live answer.
  ShareGroupState(group);
  timers_.After(HolderFailureDetector::kLossTimeout,
                [this, group] { CheckHolder(group); });
}

}  // namespace kingcuplock
