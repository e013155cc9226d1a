// Part of Group: grants. On platforms where a replaced primary continues to
// serve statements, a grant says until when this instance may use a primary.

#include <algorithm>
#include <memory>
#include <utility>

#include "kingcuplock/gateway/group.h"

namespace kingcuplock {
namespace {

/// Time in ms without an answer of the promotion duty's holder, after which the
/// members are asked: a few round trips between data centres.
constexpr Milliseconds kHolderTimeout{30};
/// Further time in ms for a peer that first has to ask the members.
constexpr Milliseconds kPeerProbeTimeout{30};
/// Time in ms that a peer's request waits for a grant: as long as the peer
/// waits for the answer.
constexpr Milliseconds kPeerGrantTimeout{60};
/// Longest time in ms to wait for the record of the last order.
constexpr Milliseconds kRecordTimeout{150};
/// Pause in ms before the next request for a grant after nobody gave one.
constexpr Milliseconds kGrantRequestPause{50};
/// Age in ms above which a sample that a peer asks for is renewed; well below
/// the ages that reads accept.
constexpr Milliseconds kMaxSharedSampleAge{300};
/// Time after which a grant in use is renewed, in percent of its validity.
constexpr int kGrantRenewPercent = 60;

auto Ms(Duration it) -> std::string {
  return std::to_string(std::chrono::duration_cast<Milliseconds>(it).count());
}

}  // namespace

auto Group::LeadsUntil(const std::string& member) -> std::optional<Time> {
  if (options_.promotions_fenced) {
    return Time::max();
  }
  if (!grant_tracker_.Covers(member, timers_.Now())) {
    RequestGrant();
    return std::nullopt;
  }
  grant_tracker_.NoteGrantUse();
  return grant_tracker_.grant().until - kMemberTransitTime;
}

auto Group::AwaitGrant(std::function<void(const PrimaryGrant&)> callback)
    -> void {
  const auto answer =
      [this, callback = std::move(callback)](std::optional<Time> until) {
        callback(until ? grant_tracker_.grant() : PrimaryGrant{});
      };
  if (grant_tracker_.Covers(grant_tracker_.grant().member, timers_.Now())) {
    grant_tracker_.NoteGrantUse();
    answer(grant_tracker_.grant().until);
    return;
  }
  RequestGrant();
  AddLeadWaiter("", kPeerGrantTimeout, answer);
}

auto Group::AwaitLead(const std::string& member,
                      Duration patience,
                      std::function<void(std::optional<Time>)> callback)
    -> void {
  if (const auto until = LeadsUntil(member)) {
    callback(until);
    return;
  }
  AddLeadWaiter(member, patience, std::move(callback));
}

auto Group::AddLeadWaiter(const std::string& member,
                          Duration patience,
                          std::function<void(std::optional<Time>)> callback)
    -> void {
  const auto id = ++last_waiter_id_;
  lead_waiters_[id] = {member, std::move(callback)};
  timers_.After(patience, guard_.Bind([this, id] {
    if (auto node = lead_waiters_.extract(id)) {
      node.mapped().callback(std::nullopt);
    }
  }));
}

auto Group::RequestGrant() -> void {
  const auto ask = grant_tracker_.BeginRequest(timers_.Now());
  if (!ask) {
    return;
  }
  const auto sent = callbacks_.request_grant(*ask);
  if (options_.promotions_fenced) {
    // No grants are needed; only a floor was requested.
    timers_.After(kGrantRequestPause,
                  guard_.Bind([this] { grant_tracker_.EndRequest(); }));
    return;
  }
  if (!sent) {
    CollectMemberReports(*ask);
    return;
  }
  const Duration patience = holder_gave_no_grant_
                                ? kHolderTimeout + kPeerProbeTimeout
                                : kHolderTimeout;
  timers_.After(patience, guard_.Bind([this, ask = *ask] {
    if (grant_tracker_.SentTimeIfPending(ask)) {
      holder_gave_no_grant_ = true;
      CollectMemberReports(ask);
    }
  }));
}

auto Group::AddReadFloor(GrantGiven& given) -> void {
  const auto newest = age_tracker_.NewestSample();
  if (!newest || timers_.Now() - newest->first > kMaxSharedSampleAge) {
    // The new sample serves the next request: the peer asks again while reads
    // wait.
    RequestSample();
  }
  if (newest) {
    given.floor_term = newest->second.term;
    given.floor_position = newest->second.position;
    given.floor_age_ms =
        std::chrono::ceil<Milliseconds>(timers_.Now() - newest->first).count();
  }
}

/// Adds the sample in a peer's answer. It was taken no earlier than its age
/// before the request was sent.
auto Group::AddSampleFromPeer(const GrantGiven& given) -> void {
  const auto sent = grant_tracker_.SentTimeIfNewest(given.ask);
  if (!sent) {
    return;
  }
  const auto taken = *sent - Milliseconds(given.floor_age_ms);
  const auto newest = age_tracker_.NewestSample();
  if (given.floor_term > 0 && (!newest || newest->first < taken)) {
    age_tracker_.AddSample(taken, {given.floor_term, given.floor_position});
    timers_.After(Duration::zero(), guard_.Bind([this] { DispatchWaiting(); }));
  }
  if (read_queue_.Size() > 0) {
    timers_.After(kGrantRequestPause,
                  guard_.Bind([this] { DispatchWaiting(); }));
  }
}

/// Requests a floor from the peers, not more often than each
/// kGrantRequestPause. Without this limit, answers that come at once and reads
/// that then ask again would make a tight loop.
auto Group::RequestFloorFromPeers() -> void {
  if (timers_.Now() >= next_floor_ask_) {
    next_floor_ask_ = timers_.Now() + kGrantRequestPause;
    RequestGrant();
  }
}

auto Group::OnGrantGiven(const GrantGiven& given) -> void {
  AddSampleFromPeer(given);
  const auto asked = grant_tracker_.SentTimeIfPending(given.ask);
  if (!asked || options_.promotions_fenced) {
    return;
  }
  if (given.lasts_ms > 0) {
    holder_gave_no_grant_ = holder_gave_no_grant_ && given.shared;
    ApplyGrant(GrantFromHolder(given.member, given.term, *asked, timers_.Now(),
                               Milliseconds(given.lasts_ms)),
               given.shared ? "peer" : "holder");
  } else if (primary_.IsPending()) {
    // The holder gives a grant once the member that it ordered leads.
    OnGrantMissing(given.ask);
  } else {
    holder_gave_no_grant_ = true;
    CollectMemberReports(given.ask);
  }
}

/// Asks all members for their status at once, including the primary, which
/// reports its term.
auto Group::CollectMemberReports(std::int64_t ask) -> void {
  if (std::exchange(collecting_for_request_, ask) == ask) {
    return;
  }
  auto round = std::make_shared<ReportRound>();
  round->ask = ask;
  round->asked = timers_.Now();
  const auto names = MemberNames();
  round->missing = names.size();
  for (const auto& it : names) {
    RequestMemberStatus(
        it, 0, guard_.Bind([this, round, it](const MemberReport* report) {
          round->reports[it] = report ? std::optional(*report) : std::nullopt;
          if (--round->missing == 0) {
            OnMemberReportsCollected(*round);
          }
        }));
  }
  if (names.empty()) {
    OnGrantMissing(ask);
  }
}

auto Group::OnMemberReportsCollected(const ReportRound& round) -> void {
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
    OnGrantMissing(round.ask);
    return;
  }
  std::vector<std::string> others;
  for (const auto& [name, report] : round.reports) {
    if (name != leader->first) {
      others.push_back(name);
    }
  }
  PrimaryEvidence<> evidence(leader->first, leader->second->term, others,
                             round.asked, members_known_since_);
  for (const auto& it : others) {
    const auto& report = round.reports.at(it);
    evidence.NoteReport(it, report ? &*report : nullptr);
  }
  OnMemberStatus(leader->first, *leader->second);
  if (!evidence.NeedsRecord()) {
    OnEvidenceCollected(round.ask, evidence);
    return;
  }
  timers_.After(kRecordTimeout,
                guard_.Bind([this, ask = round.ask] { OnGrantMissing(ask); }));
  callbacks_.read_order_record(
      guard_.Bind([this, reports = evidence,
                   ask = round.ask](const std::optional<OrderRecord>& record) {
        auto with_record = reports;
        with_record.NoteRecord(record);
        OnEvidenceCollected(ask, with_record);
      }));
}

auto Group::OnEvidenceCollected(std::int64_t ask,
                                const PrimaryEvidence<>& evidence) -> void {
  const auto& grant = evidence.Grant();
  // A member of a later term has been promoted, even if it is not registered
  // at present.
  const auto replaced = grant.term < primary_.term();
  if (evidence.ProvesPrimary() && !replaced &&
      grant.Covers(grant.member, timers_.Now())) {
    ApplyGrant(grant, "members");
  } else {
    OnGrantMissing(ask);
  }
}

auto Group::ApplyGrant(const PrimaryGrant& grant, std::string_view source)
    -> void {
  const auto before = grant_tracker_.grant();
  grant_tracker_.EndRequest();
  grant_tracker_.AcceptGrant(grant);
  const auto now = timers_.Now();
  if (!grant_tracker_.Covers(grant.member, now)) {
    return;
  }
  const auto is_new =
      before.member != grant.member || before.term != grant.term;
  if (std::exchange(missing_grant_logged_, false) || is_new) {
    log_.Log(Event::kPrimaryGrantReceived,
             {{"group", config_.name},
              {"member", grant.member},
              {"term", std::to_string(grant.term)},
              {"source", std::string(source)},
              {"lasts_ms", Ms(grant.until - now)}});
  }
  if (primary_.NoteProvedPrimary(grant.member, grant.term)) {
    OnPrimaryChanged("grant");
  }
  for (const auto& it : grant_tracker_.TakeProvedSamples(now)) {
    age_tracker_.AddSample(it.sent, it.place);
  }
  const auto renew = (grant.until - now) * kGrantRenewPercent / 100;
  timers_.After(renew, guard_.Bind([this, until = grant.until] {
    if (grant_tracker_.grant().until == until &&
        grant_tracker_.WasGrantUsed()) {
      RequestGrant();
    }
  }));
  for (auto it = lead_waiters_.begin(); it != lead_waiters_.end();) {
    if (!it->second.member.empty() && it->second.member != grant.member) {
      ++it;
      continue;
    }
    const auto callback = std::move(it->second.callback);
    it = lead_waiters_.erase(it);
    timers_.After(Duration::zero(), [callback, until = grant.until] {
      callback(until - kMemberTransitTime);
    });
  }
  timers_.After(Duration::zero(), guard_.Bind([this] { DispatchWaiting(); }));
}

auto Group::OnGrantMissing(std::int64_t ask) -> void {
  if (!grant_tracker_.SentTimeIfPending(ask)) {
    return;
  }
  const auto lapsed =
      !grant_tracker_.Covers(grant_tracker_.grant().member, timers_.Now());
  if (lapsed && !primary_.IsPending() &&
      !std::exchange(missing_grant_logged_, true)) {
    log_.Log(Event::kPrimaryGrantMissing,
             {{"group", config_.name},
              {"primary", primary_.member()},
              {"term", std::to_string(primary_.term())},
              {"waiting", std::to_string(CountWaitingTasks())}});
  }
  timers_.After(kGrantRequestPause, guard_.Bind([this, ask] {
    if (!grant_tracker_.SentTimeIfPending(ask)) {
      return;
    }
    grant_tracker_.EndRequest();
    if (CountWaitingTasks() > 0 || !lead_waiters_.empty()) {
      RequestGrant();
    }
  }));
}

/// Adds a sample of a member's log position. It counts as a floor only if the
/// member was the primary when it was asked, or later; without a grant to prove
/// that, the sample is kept until there is one.
auto Group::AddOrKeepSample(const std::string& member,
                            Time sent,
                            LogPosition place) -> void {
  if (options_.promotions_fenced ||
      grant_tracker_.Covers(member, timers_.Now())) {
    age_tracker_.AddSample(sent, place);
    return;
  }
  grant_tracker_.AddPendingSample({member, sent, place});
  RequestGrant();
}

}  // namespace kingcuplock
