#include "kingcuplock/owner/group_controller.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/owner/group_controller_timing.h"

namespace kingcuplock {
namespace {

/// Age in ms up to which a replica's last sample counts when replication is
/// watched.
constexpr Milliseconds kMaxReplicaSampleAge{300};
/// Age in ms up to which a sample of the primary shows that no later owner has
/// raised the epoch there.
constexpr Milliseconds kMaxPrimarySampleAge{200};
/// Shortest time in ms between two orders to one member to follow the primary.
constexpr Milliseconds kMinFollowInterval{100};
/// Shortest time in ms between two replacements of a primary whose endpoint is
/// about to stop.
constexpr Milliseconds kMinPlannedReplacementInterval{1000};

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

GroupController::GroupController(DatabaseConfig config,
                                 OwnerRecord record,
                                 TimingSettings timing,
                                 TimerService& timers,
                                 Outbox& outbox,
                                 GroupControllerCallbacks callbacks)
    : config_(std::move(config)),
      record_(std::move(record)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      term_history_(record_.term_starts) {
  for (const auto& it : config_.members) {
    AddMember(it);
  }
}

GroupController::~GroupController() = default;

void GroupController::Start() {
  for (auto& [name, member] : members_) {
    member.monitor->Start();
  }
  term_ = record_.term;
  if (record_.term == 0) {
    Discover();
  } else if (record_.phase == Phase::kPromoting ||
             !members_.contains(record_.primary)) {
    BeginPromotion();
  } else {
    SetPrimary(record_.term, record_.primary);
    RaiseEpoch();
  }
}

void GroupController::Stop() {
  phase_ = OwnerPhase::kStopped;
  if (promotion_) {
    promotion_->Cancel();
  }
}

void GroupController::NotePrimaryHeard() {
  members_.at(primary_).monitor->NoteAnswerReceived();
}

void GroupController::NoteAcknowledged(std::int64_t position) {
  acknowledged_ = std::max(*acknowledged_, LogPosition{term_, position});
}

auto GroupController::MayAcknowledge(std::int64_t position,
                                     Time committed_at) const -> bool {
  return acknowledgement_->MayAcknowledge(position, committed_at,
                                          callbacks_.lease_is_valid());
}

auto GroupController::PlaceOf(const std::string& member) const -> LogPosition {
  const auto it = members_.find(member);
  return it == members_.end() ? LogPosition{} : it->second.place;
}

auto GroupController::Responds(const std::string& member) const -> bool {
  const auto it = members_.find(member);
  const auto longest =
      Milliseconds(timing_.probe_ms + timing_.probe_timeout_ms);
  return it != members_.end() && it->second.sampled_at &&
         timers_.Now() - *it->second.sampled_at <= longest;
}

// ---------------------------------------------------------------- members

void GroupController::AddMember(const MemberConfig& config) {
  auto& member = members_[config.name];
  member.monitor = std::make_unique<MemberMonitor>(
      config, timing_, timers_, outbox_,
      MemberMonitorCallbacks{
          [this](const std::string& name, Time asked,
                 const MemberAnswer& answer) { OnSample(name, asked, answer); },
          [this](const std::string& name) { OnSuspected(name); }});
}

void GroupController::CallMember(const std::string& member,
                                 const MemberRequest& request,
                                 Duration timeout,
                                 MemberCallback callback) {
  members_.at(member).monitor->link().Call(request, timeout,
                                           std::move(callback));
}

void GroupController::OnSample(const std::string& name,
                               Time asked,
                               const MemberAnswer& answer) {
  auto& member = members_.at(name);
  member.place = {answer.entry_term, answer.position};
  member.follows = answer.term;
  member.sampled_at = timers_.Now();
  const auto primary_known =
      phase_ == OwnerPhase::kFencing || phase_ == OwnerPhase::kServing;
  if (!primary_known) {
    return;
  }
  if (answer.term > term_) {
    OnLaterTerm(answer.term);
    return;
  }
  if (answer.epoch > record_.epoch) {
    callbacks_.on_fenced_out(answer.epoch);
    return;
  }
  acknowledgement_->Note(name, {asked, answer.term, member.place});
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
  TryOpenWrites();
  callbacks_.on_member_sample();
  WatchReplication();
  ReplaceLeavingPrimary();
}

auto GroupController::MaySendStatements() const -> bool {
  const auto fresh = timers_.Now() - primary_sampled_ <= kMaxPrimarySampleAge;
  // The store may have expired the lease during a pause of this process.
  const auto stall = timers_.LastStall();
  const auto asked_since = !stall || primary_sampled_ >= *stall;
  return asked_since && (fresh || callbacks_.lease_is_valid());
}

void GroupController::NotePrimaryPlace(Time asked, LogPosition place) {
  primary_place_ = std::max(primary_place_, place);
  if (callbacks_.lease_is_valid()) {
    age_tracker_.AddSample(asked, place);
  } else if (const auto since = acknowledgement_->PrimaryConfirmedSince()) {
    age_tracker_.AddSample(std::min(asked, *since), place);
  }
}

void GroupController::Demote(const std::string& name, Member& member) {
  const auto now = timers_.Now();
  const auto told_lately =
      member.last_told_to_follow &&
      now - *member.last_told_to_follow < kMinFollowInterval;
  if (told_lately) {
    return;
  }
  member.last_told_to_follow = now;
  MemberRequest request;
  request.op = MemberOp::kFollow;
  request.term = term_;
  request.primary = primary_;
  outbox_.Log(Event::kMemberDemoted, {{"database", config_.name},
                                      {"member", name},
                                      {"term", std::to_string(term_)}});
  CallMember(name, request, internal::kControlTimeout,
             [](const MemberAnswer*) {});
}

void GroupController::OnSuspected(const std::string& name) {
  const auto is_current_primary =
      name == primary_ &&
      (phase_ == OwnerPhase::kFencing || phase_ == OwnerPhase::kServing);
  if (!is_current_primary) {
    return;
  }
  if (!callbacks_.lease_is_valid()) {
    // A promotion must write the ownership record, which needs the store.
    return;
  }
  failover_gap_.emplace();
  const auto began = members_.at(name).monitor->SilentSince();
  failover_gap_->database = config_.name;
  failover_gap_->suspect_us =
      internal::MicrosecondsBetween(began, timers_.Now());
  outbox_.Log(Event::kPrimarySuspected,
              {{"database", config_.name}, {"member", name}});
  ReplacePrimary(name, "");
}

void GroupController::WatchReplication() {
  const auto watched =
      config_.acknowledgement == AcknowledgementMode::kReplicated &&
      fence_place_ &&
      (phase_ == OwnerPhase::kFencing || phase_ == OwnerPhase::kServing);
  const auto replica = watched ? FurthestReplica() : std::nullopt;
  if (!replica) {
    replication_watch_.Reset();
    return;
  }
  const auto target = std::max(*fence_place_, members_.at(primary_).place);
  const auto since = replication_watch_.Note(target, *replica, timers_.Now());
  if (since && callbacks_.lease_is_valid()) {
    OnReplicationStalled(*since);
  }
}

// Returns the furthest log place among the replicas sampled recently, nullopt
// if there are none.
auto GroupController::FurthestReplica() const -> std::optional<LogPosition> {
  const auto recent = timers_.Now() - kMaxReplicaSampleAge;
  std::optional<LogPosition> furthest;
  for (const auto& [name, member] : members_) {
    if (name != primary_ && member.sampled_at >= recent) {
      furthest = std::max(furthest.value_or(LogPosition{}), member.place);
    }
  }
  return furthest;
}

void GroupController::OnReplicationStalled(Time since) {
  replication_watch_.NotePrimaryReplaced(timers_.Now());
  failover_gap_.emplace();
  failover_gap_->database = config_.name;
  failover_gap_->suspect_us =
      internal::MicrosecondsBetween(since, timers_.Now());
  outbox_.Log(Event::kReplicationStalled,
              {{"database", config_.name}, {"member", primary_}});
  ReplacePrimary("", primary_);
}

// ------------------------------------------------------ leaving endpoints

void GroupController::SetLeaving(std::vector<std::string> members) {
  leaving_members_ = std::move(members);
  ReplaceLeavingPrimary();
}

auto GroupController::IsOnLeavingEndpoint(std::string_view member) const
    -> bool {
  return std::find(leaving_members_.begin(), leaving_members_.end(), member) !=
         leaving_members_.end();
}

void GroupController::ReplaceLeavingPrimary() {
  if (!IsServing() || !IsOnLeavingEndpoint(primary_) ||
      !callbacks_.lease_is_valid()) {
    return;
  }
  const auto now = timers_.Now();
  const auto lately =
      last_planned_replacement_ &&
      now - *last_planned_replacement_ < kMinPlannedReplacementInterval;
  const auto successor_is_ready =
      std::any_of(members_.begin(), members_.end(), [&](const auto& it) {
        return !IsOnLeavingEndpoint(it.first) && it.second.follows == term_ &&
               it.second.place >= *acknowledged_;
      });
  if (!lately && successor_is_ready) {
    last_planned_replacement_ = now;
    outbox_.Log(Event::kEndpointLeaving,
                {{"database", config_.name}, {"member", primary_}});
    BeginPromotion();
  }
}

// A member that follows a later term shows that the current term has ended. The
// promotion's write of the record fails if another owner began that term.
void GroupController::OnLaterTerm(std::int64_t term) {
  if (callbacks_.lease_is_valid()) {
    term_ = term;
    BeginPromotion();
  }
}

// ----------------------------------------------------------------- events

auto GroupController::OnOpened(ConnectionId connection) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.monitor->OnOpened(connection);
  });
}

auto GroupController::OnClosed(ConnectionId connection) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.monitor->OnClosed(connection);
  });
}

auto GroupController::OnAnswer(ConnectionId connection,
                               const MemberAnswer& answer) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.monitor->OnAnswer(connection, answer);
  });
}

}  // namespace kingcuplock
