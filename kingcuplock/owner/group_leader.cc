#include "kingcuplock/owner/group_leader.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Longest wait in ms for the answer to a fence or a demotion.
constexpr Milliseconds kControlTimeout{300};
/// Pause in ms before a fence is tried again.
constexpr Milliseconds kFencePause{50};
/// Time in ms within which a replica that answers has sent a sample.
constexpr Milliseconds kRecentlyHeard{300};
/// Age in ms up to which a sample of the primary shows that no later owner has
/// raised the epoch.
constexpr Milliseconds kFreshSample{200};
/// Shortest time in ms between two orders to follow, per member.
constexpr Milliseconds kFollowInterval{100};
/// Shortest time in ms between two planned changes of primary.
constexpr Milliseconds kPlannedChangeInterval{1000};

auto MemberNames(const DatabaseConfig& config) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& it : config.members) {
    names.push_back(it.name);
  }
  return names;
}

auto Microseconds(Time from, Time to) -> std::int64_t {
  return std::max<std::int64_t>((to - from).count(), 0);
}

}  // namespace

auto ToString(OwnerPhase phase) -> std::string_view {
  switch (phase) {
    case OwnerPhase::kDiscovering:
      return "discovering";
    case OwnerPhase::kFencing:
      return "fencing";
    case OwnerPhase::kServing:
      return "serving";
    case OwnerPhase::kPromoting:
      return "promoting";
    case OwnerPhase::kStopped:
      return "stopped";
  }
  return "";
}

GroupLeader::GroupLeader(DatabaseConfig config,
                         OwnerRecord record,
                         TimingSettings timing,
                         TimerService& timers,
                         Outbox& outbox,
                         LeaderPorts ports)
    : config_(std::move(config)),
      record_(std::move(record)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox),
      ports_(std::move(ports)),
      history_(record_.term_starts) {
  for (const auto& it : config_.members) {
    AddMember(it);
  }
}

GroupLeader::~GroupLeader() = default;

void GroupLeader::Start() {
  for (auto& [name, member] : members_) {
    member.watch->Start();
  }
  term_ = record_.term;
  if (record_.term == 0) {
    Discover();
  } else if (record_.phase == Phase::kPromoting ||
             !members_.contains(record_.primary)) {
    BeginPromotion();
  } else {
    SetPrimary(record_.term, record_.primary);
    Fence();
  }
}

void GroupLeader::Stop() {
  phase_ = OwnerPhase::kStopped;
  if (promotion_) {
    promotion_->Cancel();
  }
}

void GroupLeader::NoteHeard() {
  members_.at(primary_).watch->NoteHeard();
}

void GroupLeader::NoteAcknowledged(std::int64_t position) {
  acknowledged_ = std::max(*acknowledged_, LogPlace{term_, position});
}

auto GroupLeader::Allows(std::int64_t position, Time committed_at) const
    -> bool {
  return acks_->Allows(position, committed_at, ports_.lease_is_valid());
}

auto GroupLeader::PlaceOf(const std::string& member) const -> LogPlace {
  const auto it = members_.find(member);
  return it == members_.end() ? LogPlace{} : it->second.place;
}

auto GroupLeader::Responds(const std::string& member) const -> bool {
  const auto it = members_.find(member);
  const auto longest =
      Milliseconds(timing_.probe_ms + timing_.probe_timeout_ms);
  return it != members_.end() && it->second.heard_at &&
         timers_.Now() - *it->second.heard_at <= longest;
}

// ---------------------------------------------------------------- members

void GroupLeader::AddMember(const MemberConfig& config) {
  auto& member = members_[config.name];
  member.watch = std::make_unique<MemberWatch>(
      config, timing_, timers_, outbox_,
      MemberWatchCallbacks{
          [this](const std::string& name, Time asked,
                 const MemberAnswer& answer) { OnSample(name, asked, answer); },
          [this](const std::string& name) { OnSuspected(name); }});
}

void GroupLeader::CallMember(const std::string& member,
                             const MemberRequest& request,
                             Duration timeout,
                             MemberCallback callback) {
  members_.at(member).watch->link().Call(request, timeout, std::move(callback));
}

void GroupLeader::OnSample(const std::string& name,
                           Time asked,
                           const MemberAnswer& answer) {
  auto& member = members_.at(name);
  member.place = {answer.entry_term, answer.position};
  member.follows = answer.term;
  member.heard_at = timers_.Now();
  const auto primary_known =
      phase_ == OwnerPhase::kFencing || phase_ == OwnerPhase::kServing;
  if (!primary_known) {
    return;
  }
  if (answer.term > term_) {
    OvertakeTerm(answer.term);
    return;
  }
  if (answer.epoch > record_.epoch) {
    ports_.fenced_out(answer.epoch);
    return;
  }
  acks_->Note(name, {asked, answer.term, member.place});
  if (name == primary_) {
    const auto leads =
        answer.term == term_ && answer.role == MemberRole::kPrimary;
    if (!leads && asked >= primary_since_) {
      BeginPromotion();
      return;
    }
    if (leads) {
      primary_sampled_ = std::max(primary_sampled_, asked);
      NotePrimaryPlace(asked, member.place);
    }
  } else if (answer.term < term_ || answer.role == MemberRole::kPrimary) {
    Demote(name, member);
  }
  TryOpen();
  ports_.sampled();
  WatchReplication();
  LeaveLeavingPrimary();
}

auto GroupLeader::MaySend() const -> bool {
  return ports_.lease_is_valid() ||
         timers_.Now() - primary_sampled_ <= kFreshSample;
}

void GroupLeader::NotePrimaryPlace(Time asked, LogPlace place) {
  primary_place_ = std::max(primary_place_, place);
  if (ports_.lease_is_valid()) {
    ages_.AddSample(asked, place);
  } else if (const auto since = acks_->ConfirmedSince()) {
    ages_.AddSample(std::min(asked, *since), place);
  }
}

void GroupLeader::Demote(const std::string& name, Member& member) {
  const auto now = timers_.Now();
  const auto ordered_lately = member.last_follow_order &&
                              now - *member.last_follow_order < kFollowInterval;
  if (ordered_lately) {
    return;
  }
  member.last_follow_order = now;
  MemberRequest request;
  request.op = MemberOp::kFollow;
  request.term = term_;
  request.primary = primary_;
  outbox_.Log(Event::kMemberDemoted, {{"database", config_.name},
                                      {"member", name},
                                      {"term", std::to_string(term_)}});
  CallMember(name, request, kControlTimeout, [](const MemberAnswer*) {});
}

void GroupLeader::OnSuspected(const std::string& name) {
  const auto concerned = name == primary_ && (phase_ == OwnerPhase::kFencing ||
                                              phase_ == OwnerPhase::kServing);
  if (!concerned) {
    return;
  }
  if (!ports_.lease_is_valid()) {
    // A promotion needs the store.
    return;
  }
  gap_.emplace();
  const auto began = members_.at(name).watch->SilentSince();
  gap_->database = config_.name;
  gap_->suspect_us = Microseconds(began, timers_.Now());
  outbox_.Log(Event::kPrimarySuspected,
              {{"database", config_.name}, {"member", name}});
  ReplacePrimary(name, "");
}

void GroupLeader::WatchReplication() {
  const auto watched =
      config_.acknowledgement == AcknowledgementMode::kReplicated && fence_ &&
      (phase_ == OwnerPhase::kFencing || phase_ == OwnerPhase::kServing);
  const auto replica = watched ? FurthestReplica() : std::nullopt;
  if (!replica) {
    replication_.Reset();
    return;
  }
  const auto target = std::max(*fence_, members_.at(primary_).place);
  const auto since = replication_.Note(target, *replica, timers_.Now());
  if (since && ports_.lease_is_valid()) {
    OnReplicationStalled(*since);
  }
}

// Returns the furthest replica that answers, if any does.
auto GroupLeader::FurthestReplica() const -> std::optional<LogPlace> {
  const auto recent = timers_.Now() - kRecentlyHeard;
  std::optional<LogPlace> furthest;
  for (const auto& [name, member] : members_) {
    if (name != primary_ && member.heard_at >= recent) {
      furthest = std::max(furthest.value_or(LogPlace{}), member.place);
    }
  }
  return furthest;
}

void GroupLeader::OnReplicationStalled(Time since) {
  replication_.NoteReplaced(timers_.Now());
  gap_.emplace();
  gap_->database = config_.name;
  gap_->suspect_us = Microseconds(since, timers_.Now());
  outbox_.Log(Event::kReplicationStalled,
              {{"database", config_.name}, {"member", primary_}});
  ReplacePrimary("", primary_);
}

// ------------------------------------------------------ leaving endpoints

void GroupLeader::SetLeaving(std::vector<std::string> members) {
  leaving_ = std::move(members);
  LeaveLeavingPrimary();
}

auto GroupLeader::IsLeaving(std::string_view member) const -> bool {
  return std::find(leaving_.begin(), leaving_.end(), member) != leaving_.end();
}

void GroupLeader::LeaveLeavingPrimary() {
  if (!IsServing() || !IsLeaving(primary_) || !ports_.lease_is_valid()) {
    return;
  }
  const auto now = timers_.Now();
  const auto lately = last_planned_change_ &&
                      now - *last_planned_change_ < kPlannedChangeInterval;
  const auto successor_is_ready =
      std::any_of(members_.begin(), members_.end(), [&](const auto& it) {
        return !IsLeaving(it.first) && it.second.follows == term_ &&
               it.second.place >= *acknowledged_;
      });
  if (!lately && successor_is_ready) {
    last_planned_change_ = now;
    outbox_.Log(Event::kEndpointLeaving,
                {{"database", config_.name}, {"member", primary_}});
    BeginPromotion();
  }
}

// A member that follows a later term shows that this leader's term has ended.
// The write of the record decides whether that was another owner's doing.
void GroupLeader::OvertakeTerm(std::int64_t term) {
  if (ports_.lease_is_valid()) {
    term_ = term;
    BeginPromotion();
  }
}

// ---------------------------------------------------- fence and promotion

void GroupLeader::Discover() {
  phase_ = OwnerPhase::kDiscovering;
  auto heard = std::make_shared<std::map<std::string, MemberAnswer>>();
  for (const auto& [name, member] : members_) {
    MemberRequest request;
    request.op = MemberOp::kStatus;
    CallMember(name, request, kControlTimeout,
               [heard, name = name](const MemberAnswer* answer) {
                 if (answer != nullptr) {
                   (*heard)[name] = *answer;
                 }
               });
  }
  timers_.After(kControlTimeout,
                guard_.Bind([this, heard] { OnDiscovered(*heard); }));
}

void GroupLeader::OnDiscovered(
    const std::map<std::string, MemberAnswer>& heard) {
  std::string best;
  std::int64_t newest = 0;
  for (const auto& [name, answer] : heard) {
    newest = std::max(newest, answer.term);
    const auto leads = answer.role == MemberRole::kPrimary;
    if (leads && (best.empty() || answer.term > heard.at(best).term)) {
      best = name;
    }
  }
  if (heard.size() + 1 < members_.size() || heard.empty()) {
    Discover();
    return;
  }
  if (best.empty() || heard.at(best).term < newest) {
    // The primary of the newest term is not among those heard.
    term_ = std::max(term_, newest);
    BeginPromotion();
    return;
  }
  SetPrimary(heard.at(best).term, best);
  if (term_ > 1) {
    // Tokens of earlier terms were issued under a record that is gone.
    history_.NoteUnknown(term_);
  }
  CommitRecord();
  Fence();
}

void GroupLeader::SetPrimary(std::int64_t term, const std::string& primary) {
  term_ = term;
  primary_ = primary;
  primary_since_ = timers_.Now();
  fence_.reset();
  acks_.emplace(MemberNames(config_), primary, term, config_.acknowledgement);
  for (auto& [name, member] : members_) {
    member.watch->SetPrimary(name == primary);
  }
  phase_ = OwnerPhase::kFencing;
}

void GroupLeader::Fence() {
  MemberRequest request;
  request.op = MemberOp::kRaiseEpoch;
  request.epoch = record_.epoch;
  request.term = term_;
  CallMember(primary_, request, kControlTimeout,
             [this, term = term_](const MemberAnswer* answer) {
               OnFenceRaised(term, answer);
             });
}

void GroupLeader::OnFenceRaised(std::int64_t term, const MemberAnswer* answer) {
  if (term != term_ || phase_ != OwnerPhase::kFencing) {
    return;
  }
  if (answer == nullptr) {
    timers_.After(kFencePause, guard_.Bind([this, term] {
      if (term == term_ && phase_ == OwnerPhase::kFencing) {
        Fence();
      }
    }));
    return;
  }
  if (answer->status == MemberStatus::kFenced) {
    ports_.fenced_out(answer->epoch);
    return;
  }
  if (answer->status != MemberStatus::kDone) {
    BeginPromotion();
    return;
  }
  fence_ = LogPlace{answer->entry_term, answer->position};
  fence_raised_at_ = timers_.Now();
  outbox_.Log(Event::kFenceRaised,
              {{"database", config_.name},
               {"epoch", std::to_string(record_.epoch)},
               {"position", std::to_string(answer->position)}});
  for (auto& [name, member] : members_) {
    if (name != primary_ && member.follows != 0 && member.follows < term_) {
      Demote(name, member);
    }
  }
  TryOpen();
}

void GroupLeader::TryOpen() {
  if (phase_ != OwnerPhase::kFencing || !fence_) {
    return;
  }
  if (!acks_->Allows(fence_->position, fence_raised_at_,
                     ports_.lease_is_valid())) {
    return;
  }
  phase_ = OwnerPhase::kServing;
  acknowledged_ = fence_;
  outbox_.Log(Event::kWritesOpen, {{"database", config_.name},
                                   {"term", std::to_string(term_)},
                                   {"primary", primary_}});
  ReportGap();
  ports_.opened();
}

void GroupLeader::ReportGap() {
  if (!gap_ || !promotion_) {
    gap_.reset();
    return;
  }
  const auto& times = promotion_->times();
  gap_->term = term_;
  gap_->record_us = Microseconds(times.began, times.recorded);
  gap_->hear_us = Microseconds(times.recorded, times.heard);
  gap_->promote_us = Microseconds(times.heard, times.promoted);
  gap_->open_us = Microseconds(times.promoted, timers_.Now());
  ports_.failed_over(*gap_);
  gap_.reset();
}

void GroupLeader::BeginPromotion() {
  ReplacePrimary("", "");
}

void GroupLeader::ReplacePrimary(const std::string& suspected,
                                 const std::string& excluded) {
  PromotionStart start{config_,  term_,     acknowledged_,
                       excluded, suspected, leaving_};
  phase_ = OwnerPhase::kPromoting;
  fence_.reset();
  replication_.Reset();
  ports_.closed(std::exchange(primary_, {}));
  retired_promotion_ = std::move(promotion_);
  promotion_ = std::make_unique<Promotion>(std::move(start), timers_, outbox_,
                                           MakePromotionPorts());
  promotion_->Begin();
}

auto GroupLeader::MakePromotionPorts() -> PromotionPorts {
  PromotionPorts ports;
  ports.call = [this](const std::string& member, const MemberRequest& request,
                      Duration timeout, MemberCallback callback) {
    CallMember(member, request, timeout, std::move(callback));
  };
  ports.record = [this](std::int64_t term, std::function<void(bool)> written) {
    ports_.write_record(term, "", Phase::kPromoting, history_.ToRecord(),
                        std::move(written));
  };
  ports.done = [this](std::int64_t term, const std::string& primary,
                      LogPlace end) { OnPromoted(term, primary, end); };
  ports.failed = [this] { ports_.fenced_out(0); };
  return ports;
}

void GroupLeader::OnPromoted(std::int64_t term,
                             const std::string& primary,
                             LogPlace end) {
  if (end.term > 1 && !history_.Knows(end.term)) {
    // An owner that died before it wrote the record may have served this term.
    history_.NoteUnknown(end.term);
  }
  history_.Note(term, end.position + 1);
  SetPrimary(term, primary);
  for (auto& [name, member] : members_) {
    if (name != primary) {
      member.last_follow_order.reset();
      Demote(name, member);
    }
  }
  Fence();
  CommitRecord();
}

void GroupLeader::CommitRecord() {
  ports_.write_record(term_, primary_, Phase::kServing, history_.ToRecord(),
                      [](bool) {});
}

// ----------------------------------------------------------------- events

auto GroupLeader::OnOpened(ConnectionId connection) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.watch->OnOpened(connection);
  });
}

auto GroupLeader::OnClosed(ConnectionId connection) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.watch->OnClosed(connection);
  });
}

auto GroupLeader::OnAnswer(ConnectionId connection, const MemberAnswer& answer)
    -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.watch->OnAnswer(connection, answer);
  });
}

}  // namespace kingcuplock
