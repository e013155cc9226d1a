// Grants: until when this instance may use the group's primary, on platforms
// where a replaced primary goes on serving.

#include <algorithm>
#include <memory>
#include <utility>

#include "kingcuplock/gateway/group.h"

namespace kingcuplock {
namespace {

/// Time in ms for the holder's answer before the members are asked: some round
/// trips between data centres.
constexpr Milliseconds kHolderPatience{30};
/// Time in ms for another instance that asks the members, beside that.
constexpr Milliseconds kHelperPatience{30};
/// Time in ms that a peer's request waits for a grant: its own patience.
constexpr Milliseconds kSharePatience{60};
/// Pause in ms before a grant is asked for again after nobody gave one.
constexpr Milliseconds kAskPause{50};
/// Age in ms above which a sample is renewed for a peer that asks for it: well
/// below the ages that reads accept.
constexpr Milliseconds kFreshSample{300};
/// Part of a grant's validity after which one in use is renewed, in percent.
constexpr int kRenewPercent = 60;

auto Ms(Duration it) -> std::string {
  return std::to_string(std::chrono::duration_cast<Milliseconds>(it).count());
}

}  // namespace

auto Group::LeadsUntil(const std::string& member) -> std::optional<Time> {
  if (site_.promotions_fenced) {
    return Time::max();
  }
  if (!grants_.Covers(member, timers_.Now())) {
    WantGrant();
    return std::nullopt;
  }
  grants_.NoteGrantUse();
  return grants_.grant().until - kMemberTransitTime;
}

auto Group::AwaitGrant(std::function<void(const PrimaryGrant&)> callback)
    -> void {
  const auto answer =
      [this, callback = std::move(callback)](std::optional<Time> until) {
        callback(until ? grants_.grant() : PrimaryGrant{});
      };
  if (grants_.Covers(grants_.grant().member, timers_.Now())) {
    grants_.NoteGrantUse();
    answer(grants_.grant().until);
    return;
  }
  WantGrant();
  AddWaiter("", kSharePatience, answer);
}

auto Group::AwaitLead(const std::string& member,
                      Duration patience,
                      std::function<void(std::optional<Time>)> callback)
    -> void {
  if (const auto until = LeadsUntil(member)) {
    callback(until);
    return;
  }
  AddWaiter(member, patience, std::move(callback));
}

auto Group::AddWaiter(const std::string& member,
                      Duration patience,
                      std::function<void(std::optional<Time>)> callback)
    -> void {
  const auto id = ++last_waiter_;
  waiters_[id] = {member, std::move(callback)};
  timers_.After(patience, guard_.Bind([this, id] {
    if (auto node = waiters_.extract(id)) {
      node.mapped().callback(std::nullopt);
    }
  }));
}

auto Group::WantGrant() -> void {
  const auto ask = grants_.BeginRequest(timers_.Now());
  if (!ask) {
    return;
  }
  const auto sent = ports_.request_grant(*ask);
  if (site_.promotions_fenced) {
    // Only a floor was asked for.
    timers_.After(kAskPause, guard_.Bind([this] { grants_.EndRequest(); }));
    return;
  }
  if (!sent) {
    GatherEvidence(*ask);
    return;
  }
  const Duration patience =
      lacks_holder_ ? kHolderPatience + kHelperPatience : kHolderPatience;
  timers_.After(patience, guard_.Bind([this, ask = *ask] {
    if (grants_.SentTimeIfPending(ask)) {
      lacks_holder_ = true;
      GatherEvidence(ask);
    }
  }));
}

auto Group::AddReadFloor(GrantGiven& given) -> void {
  const auto newest = ages_.NewestSample();
  if (!newest || timers_.Now() - newest->first > kFreshSample) {
    // For the next request: the peer asks again while reads wait.
    AskForSample();
  }
  if (newest) {
    given.floor_term = newest->second.term;
    given.floor_position = newest->second.position;
    given.floor_age_ms =
        std::chrono::ceil<Milliseconds>(timers_.Now() - newest->first).count();
  }
}

// The sample was taken no earlier than its age before the request was sent.
auto Group::TakeFloor(const GrantGiven& given) -> void {
  const auto sent = grants_.SentTimeIfNewest(given.ask);
  if (!sent) {
    return;
  }
  const auto taken = *sent - Milliseconds(given.floor_age_ms);
  const auto newest = ages_.NewestSample();
  if (given.floor_term > 0 && (!newest || newest->first < taken)) {
    ages_.AddSample(taken, {given.floor_term, given.floor_position});
    timers_.After(Duration::zero(), guard_.Bind([this] { Pump(); }));
  }
  if (read_queue_.Size() > 0) {
    timers_.After(kAskPause, guard_.Bind([this] { Pump(); }));
  }
}

// Answers may come at once, and reads that wait ask again.
auto Group::WantFloor() -> void {
  if (timers_.Now() >= next_floor_ask_) {
    next_floor_ask_ = timers_.Now() + kAskPause;
    WantGrant();
  }
}

auto Group::OnGrantGiven(const GrantGiven& given) -> void {
  TakeFloor(given);
  const auto asked = grants_.SentTimeIfPending(given.ask);
  if (!asked || site_.promotions_fenced) {
    return;
  }
  if (given.lasts_ms > 0) {
    lacks_holder_ = lacks_holder_ && given.shared;
    TakeGrant(GrantFromHolder(given.member, given.term, *asked, timers_.Now(),
                              Milliseconds(given.lasts_ms)),
              given.shared ? "peer" : "holder");
  } else if (primary_.IsPending()) {
    // The holder tells when the member that it ordered leads.
    OnNoGrant(given.ask);
  } else {
    lacks_holder_ = true;
    GatherEvidence(given.ask);
  }
}

// Asks all members at once, the primary as well: it tells its term.
auto Group::GatherEvidence(std::int64_t ask) -> void {
  if (std::exchange(gathering_, ask) == ask) {
    return;
  }
  auto round = std::make_shared<EvidenceRound>();
  round->ask = ask;
  round->asked = timers_.Now();
  const auto names = MemberNames();
  round->missing = names.size();
  for (const auto& it : names) {
    RequestMemberStatus(
        it, 0, guard_.Bind([this, round, it](const MemberReport* report) {
          round->reports[it] = report ? std::optional(*report) : std::nullopt;
          if (--round->missing == 0) {
            OnEvidence(*round);
          }
        }));
  }
  if (names.empty()) {
    OnNoGrant(ask);
  }
}

auto Group::OnEvidence(const EvidenceRound& round) -> void {
  const auto leader = std::max_element(
      round.reports.begin(), round.reports.end(),
      [](const auto& left, const auto& right) {
        const auto term = [](const auto& it) {
          return it.second && it.second->is_primary ? it.second->term : 0;
        };
        return term(left) < term(right);
      });
  const auto found = leader != round.reports.end() && leader->second &&
                     leader->second->is_primary;
  if (!found) {
    OnNoGrant(round.ask);
    return;
  }
  std::vector<std::string> others;
  for (const auto& [name, report] : round.reports) {
    if (name != leader->first) {
      others.push_back(name);
    }
  }
  PrimaryEvidence<> evidence(leader->first, leader->second->term, others,
                             round.asked);
  for (const auto& it : others) {
    const auto& report = round.reports.at(it);
    evidence.NoteReport(it, report ? &*report : nullptr);
  }
  OnLocated(leader->first, *leader->second);
  if (evidence.ProvesPrimary()) {
    TakeGrant(evidence.Grant(), "members");
  } else {
    OnNoGrant(round.ask);
  }
}

auto Group::TakeGrant(const PrimaryGrant& grant, std::string_view source)
    -> void {
  const auto before = grants_.grant();
  grants_.EndRequest();
  grants_.AcceptGrant(grant);
  const auto now = timers_.Now();
  if (!grants_.Covers(grant.member, now)) {
    return;
  }
  const auto news = before.member != grant.member || before.term != grant.term;
  if (std::exchange(lacks_grant_, false) || news) {
    log_.Log(Event::kGrantTaken, {{"group", config_.name},
                                  {"member", grant.member},
                                  {"term", std::to_string(grant.term)},
                                  {"source", std::string(source)},
                                  {"lasts_ms", Ms(grant.until - now)}});
  }
  if (primary_.NoteProvedPrimary(grant.member, grant.term)) {
    PrimaryChanged("grant");
  }
  for (const auto& it : grants_.TakeProvedSamples(now)) {
    ages_.AddSample(it.sent, it.place);
  }
  const auto renew = (grant.until - now) * kRenewPercent / 100;
  timers_.After(renew, guard_.Bind([this, until = grant.until] {
    if (grants_.grant().until == until && grants_.WasGrantUsed()) {
      WantGrant();
    }
  }));
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (!it->second.member.empty() && it->second.member != grant.member) {
      ++it;
      continue;
    }
    const auto callback = std::move(it->second.callback);
    it = waiters_.erase(it);
    timers_.After(Duration::zero(), [callback, until = grant.until] {
      callback(until - kMemberTransitTime);
    });
  }
  timers_.After(Duration::zero(), guard_.Bind([this] { Pump(); }));
}

auto Group::OnNoGrant(std::int64_t ask) -> void {
  if (!grants_.SentTimeIfPending(ask)) {
    return;
  }
  const auto lapsed = !grants_.Covers(grants_.grant().member, timers_.Now());
  if (lapsed && !primary_.IsPending() && !std::exchange(lacks_grant_, true)) {
    log_.Log(Event::kGrantMissing,
             {{"group", config_.name},
              {"primary", primary_.member()},
              {"term", std::to_string(primary_.term())},
              {"waiting", std::to_string(CountWaitingTasks())}});
  }
  timers_.After(kAskPause, guard_.Bind([this, ask] {
    if (!grants_.SentTimeIfPending(ask)) {
      return;
    }
    grants_.EndRequest();
    if (CountWaitingTasks() > 0 || !waiters_.empty()) {
      WantGrant();
    }
  }));
}

// A position counts as a floor only if its member led when it was asked for,
// or later.
auto Group::NoteSample(const std::string& member, Time sent, LogPlace place)
    -> void {
  if (site_.promotions_fenced || grants_.Covers(member, timers_.Now())) {
    ages_.AddSample(sent, place);
    return;
  }
  grants_.AddPendingSample({member, sent, place});
  WantGrant();
}

}  // namespace kingcuplock
