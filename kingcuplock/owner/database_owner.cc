#include "kingcuplock/owner/database_owner.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Connections of a member that are left for control links and probes of this
/// owner and its successor.
constexpr std::int64_t kReservedConnections = 3;
/// Longest time in ms that one statement may take at a member.
constexpr Milliseconds kStatementTimeout{1000};
/// Longest wait in ms for the answer to a fence or a demotion.
constexpr Milliseconds kControlTimeout{300};
/// Pause in ms before a fence is tried again.
constexpr Milliseconds kFencePause{50};
/// Shortest time in ms between two orders to follow, per member.
constexpr Milliseconds kFollowInterval{100};
/// Time in ms after which a caller may come back when the primary is away.
constexpr std::int64_t kPrimaryRetryMs = 500;
/// Part of the stated age that a replica must have left when a read is sent.
constexpr Duration kAgeSlack = Milliseconds(5);

auto RetryAfterMs(Duration wait) -> std::int64_t {
  return std::max<std::int64_t>(
      std::chrono::duration_cast<Milliseconds>(wait).count(), 20);
}

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

DatabaseOwner::DatabaseOwner(DatabaseConfig config,
                             OwnerRecord record,
                             TimingSettings timing,
                             TimerService& timers,
                             Outbox& outbox,
                             OwnerPorts ports)
    : config_(std::move(config)),
      record_(std::move(record)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox),
      ports_(std::move(ports)) {
  for (const auto& it : config_.members) {
    AddMember(it);
  }
}

DatabaseOwner::~DatabaseOwner() {
  timers_.Cancel(fence_timer_);
  for (const auto& it : open_) {
    timers_.Cancel(it->deadline_timer);
  }
}

void DatabaseOwner::Start() {
  for (auto& [name, member] : members_) {
    member.watch->Start();
    member.pool->Warm();
  }
  term_ = record_.term;
  if (record_.term == 0) {
    Discover();
  } else if (record_.phase == Phase::kPromoting) {
    BeginPromotion();
  } else {
    SetPrimary(record_.term, record_.primary);
    Fence();
  }
}

// ---------------------------------------------------------------- members

void DatabaseOwner::AddMember(const MemberConfig& config) {
  auto& member = members_[config.name];
  const PoolLimits limits{
      std::max<std::int64_t>(config_.connections - kReservedConnections, 1),
      config_.slots};
  member.pool =
      std::make_unique<ConnectionPool>(config, limits, timers_, outbox_);
  member.pool->OnFree([this, name = config.name] {
    name == primary_ ? Pump() : PumpReplicas();
  });
  member.watch = std::make_unique<MemberWatch>(
      config, timing_, timers_, outbox_,
      MemberWatchCallbacks{
          [this](const std::string& name, Time asked,
                 const MemberAnswer& answer) { OnSample(name, asked, answer); },
          [this](const std::string& name) { OnSuspected(name); }});
}

void DatabaseOwner::CallMember(const std::string& member,
                               const MemberRequest& request,
                               Duration timeout,
                               MemberCallback callback) {
  members_.at(member).watch->link().Call(request, timeout, std::move(callback));
}

void DatabaseOwner::OnSample(const std::string& name,
                             Time asked,
                             const MemberAnswer& answer) {
  auto& member = members_.at(name);
  member.place = {answer.entry_term, answer.position};
  member.follows = answer.term;
  const auto primary_known =
      phase_ == OwnerPhase::kFencing || phase_ == OwnerPhase::kServing;
  if (!primary_known) {
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
      ages_.AddSample(asked, member.place);
    }
  } else if (answer.term < term_ || answer.role == MemberRole::kPrimary) {
    Demote(name, member);
  }
  TryOpen();
  AcknowledgeReady();
}

void DatabaseOwner::Demote(const std::string& name, Member& member) {
  const auto now = timers_.Now();
  const auto ordered_lately = member.last_follow_order != Time{} &&
                              now - member.last_follow_order < kFollowInterval;
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

void DatabaseOwner::OnSuspected(const std::string& name) {
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
  gap_began_ = members_.at(name).watch->SilentSince();
  gap_->database = config_.name;
  gap_->suspect_us = Microseconds(gap_began_, timers_.Now());
  outbox_.Log(Event::kPrimarySuspected,
              {{"database", config_.name}, {"member", name}});
  BeginPromotion();
}

auto DatabaseOwner::PrimaryPool() -> ConnectionPool* {
  const auto it = members_.find(primary_);
  return it == members_.end() ? nullptr : it->second.pool.get();
}

// ---------------------------------------------------- fence and promotion

void DatabaseOwner::Discover() {
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
  fence_timer_ =
      timers_.After(kControlTimeout, [this, heard] { OnDiscovered(*heard); });
}

void DatabaseOwner::OnDiscovered(std::map<std::string, MemberAnswer> heard) {
  std::string best;
  for (const auto& [name, answer] : heard) {
    const auto leads = answer.role == MemberRole::kPrimary;
    if (leads && (best.empty() || answer.term > heard.at(best).term)) {
      best = name;
    }
  }
  if (heard.size() + 1 < members_.size() || heard.empty()) {
    Discover();
    return;
  }
  if (best.empty()) {
    for (const auto& [name, answer] : heard) {
      term_ = std::max(term_, answer.term);
    }
    BeginPromotion();
    return;
  }
  SetPrimary(heard.at(best).term, best);
  CommitRecord(term_, primary_);
  Fence();
}

void DatabaseOwner::SetPrimary(std::int64_t term, const std::string& primary) {
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

void DatabaseOwner::Fence() {
  MemberRequest request;
  request.op = MemberOp::kRaiseEpoch;
  request.epoch = record_.epoch;
  request.term = term_;
  CallMember(primary_, request, kControlTimeout,
             [this, term = term_](const MemberAnswer* answer) {
               OnFenceRaised(term, answer);
             });
}

void DatabaseOwner::OnFenceRaised(std::int64_t term,
                                  const MemberAnswer* answer) {
  if (term != term_ || phase_ != OwnerPhase::kFencing) {
    return;
  }
  if (answer == nullptr) {
    timers_.Cancel(fence_timer_);
    fence_timer_ = timers_.After(kFencePause, [this, term] {
      if (term == term_ && phase_ == OwnerPhase::kFencing) {
        Fence();
      }
    });
    return;
  }
  if (answer->status == MemberStatus::kFenced) {
    OnFencedOut();
    return;
  }
  if (answer->status != MemberStatus::kDone) {
    BeginPromotion();
    return;
  }
  fence_ = LogPlace{answer->entry_term, answer->position};
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

void DatabaseOwner::TryOpen() {
  if (phase_ != OwnerPhase::kFencing || !fence_) {
    return;
  }
  if (!acks_->Allows(fence_->position, timers_.Now(),
                     ports_.lease_is_valid())) {
    return;
  }
  phase_ = OwnerPhase::kServing;
  acknowledged_ = fence_;
  outbox_.Log(Event::kWritesOpen, {{"database", config_.name},
                                   {"term", std::to_string(term_)},
                                   {"primary", primary_}});
  ReportGap();
  if (auto* pool = PrimaryPool()) {
    pool->Warm();
  }
  Pump();
}

void DatabaseOwner::ReportGap() {
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

void DatabaseOwner::BeginPromotion() {
  phase_ = OwnerPhase::kPromoting;
  fence_.reset();
  if (auto* pool = PrimaryPool()) {
    pool->CloseAll();
  }
  primary_.clear();
  for (const auto& it : std::exchange(unconfirmed_, {})) {
    GiveBack(it.request);
  }
  PromotionPorts ports;
  ports.call = [this](const std::string& member, const MemberRequest& request,
                      Duration timeout, MemberCallback callback) {
    CallMember(member, request, timeout, std::move(callback));
  };
  ports.record = [this](std::int64_t term, std::function<void(bool)> written) {
    ports_.write_record(term, "", Phase::kPromoting, std::move(written));
  };
  ports.done = [this](std::int64_t term, const std::string& primary) {
    OnPromoted(term, primary);
  };
  ports.failed = [this] { OnFencedOut(); };
  retired_promotion_ = std::move(promotion_);
  promotion_ =
      std::make_unique<Promotion>(PromotionStart{config_, term_, acknowledged_},
                                  timers_, outbox_, std::move(ports));
  promotion_->Begin();
}

void DatabaseOwner::OnPromoted(std::int64_t term, const std::string& primary) {
  SetPrimary(term, primary);
  for (auto& [name, member] : members_) {
    if (name != primary) {
      member.last_follow_order = Time{};
      Demote(name, member);
    }
  }
  Fence();
  CommitRecord(term, primary);
}

void DatabaseOwner::CommitRecord(std::int64_t term,
                                 const std::string& primary) {
  ports_.write_record(term, primary, Phase::kServing, [](bool) {});
}

void DatabaseOwner::OnFencedOut() {
  Stop();
}

// --------------------------------------------------------------- requests

void DatabaseOwner::Submit(RequestPtr request) {
  const auto& id = request->request.id;
  if (phase_ == OwnerPhase::kStopped || draining_) {
    request->reply(Refusal(id, ErrorKind::kNotOwner, 0));
    return;
  }
  const auto patience = request->deadline - timers_.Now();
  const auto wait = queue_.ExpectedWait(request->kind.priority, config_.slots);
  if (wait > patience) {
    request->reply(Refusal(id, ErrorKind::kOverloaded, RetryAfterMs(wait)));
    return;
  }
  open_.insert(request);
  request->deadline_timer =
      timers_.After(patience, [this, request] { Expire(request); });
  if (!TryReplica(request)) {
    Enqueue(request);
  }
  Pump();
}

void DatabaseOwner::Enqueue(const RequestPtr& request) {
  queue_.Push(request->kind.priority, request);
}

void DatabaseOwner::Pump() {
  auto* pool = PrimaryPool();
  while (phase_ == OwnerPhase::kServing && pool != nullptr && pool->HasFree()) {
    const auto next = queue_.Pop();
    if (!next) {
      return;
    }
    RunOnPrimary(*next);
  }
}

auto DatabaseOwner::ReplicaServes(const Member& member,
                                  const OwnerRequest& request) const -> bool {
  const auto max_age = Milliseconds(request.kind.max_age_ms);
  if (member.place < request.token.PlaceIn(config_.name)) {
    return false;
  }
  const auto age = ages_.AgeAt(member.place, timers_.Now());
  return age && *age + kAgeSlack <= max_age;
}

auto DatabaseOwner::TryReplica(const RequestPtr& request) -> bool {
  if (request->kind.access != Access::kRead || request->kind.max_age_ms == 0) {
    return false;
  }
  std::string best;
  auto all_busy = false;
  for (const auto& [name, member] : members_) {
    if (name == primary_ || !ReplicaServes(member, *request)) {
      continue;
    }
    if (!member.pool->HasFree()) {
      all_busy = true;
    } else if (best.empty() ||
               member.pool->Running() < members_.at(best).pool->Running()) {
      best = name;
    }
  }
  if (!best.empty()) {
    RunOnReplica(best, request);
    return true;
  }
  if (all_busy) {
    replica_queue_.Push(request->kind.priority, request);
  }
  return all_busy;
}

void DatabaseOwner::RunOnReplica(const std::string& name,
                                 const RequestPtr& request) {
  MemberRequest read;
  read.op = MemberOp::kRead;
  read.statements = request->request.statements;
  members_.at(name).pool->Run(
      std::move(read), kStatementTimeout,
      [this, request, name](const MemberAnswer* answer) {
        OnReplicaRead(request, name, answer);
      });
}

void DatabaseOwner::PumpReplicas() {
  for (auto n = replica_queue_.Size(); n > 0; --n) {
    const auto next = replica_queue_.Pop();
    if (!next) {
      return;
    }
    const auto waiting = replica_queue_.Size();
    if (!TryReplica(*next)) {
      Enqueue(*next);
      Pump();
    } else if (replica_queue_.Size() > waiting) {
      return;
    }
  }
}

void DatabaseOwner::OnReplicaRead(const RequestPtr& request,
                                  const std::string& name,
                                  const MemberAnswer* answer) {
  if (request->answered) {
    return;
  }
  auto serves = false;
  if (answer != nullptr) {
    const LogPlace place{answer->entry_term, answer->position};
    const auto age = ages_.AgeAt(place, timers_.Now());
    serves = answer->status == MemberStatus::kDone &&
             place >= request->token.PlaceIn(config_.name) && age &&
             *age <= Milliseconds(request->kind.max_age_ms);
  }
  if (serves) {
    Answer(request, BuildAnswer(*request, *answer, name, true));
    return;
  }
  Enqueue(request);
  Pump();
}

void DatabaseOwner::RunOnPrimary(const RequestPtr& request) {
  MemberRequest call;
  call.op = MemberOp::kRead;
  call.statements = request->request.statements;
  if (request->kind.access == Access::kWrite) {
    call.op = MemberOp::kExecute;
    call.epoch = record_.epoch;
    call.term = term_;
    call.request_id = request->request.id;
    call.issued_ms = request->request.issued_ms;
  }
  request->at_member = true;
  const auto sent = timers_.Now();
  PrimaryPool()->Run(
      std::move(call), kStatementTimeout,
      [this, request, term = term_, sent](const MemberAnswer* answer) {
        request->at_member = false;
        OnPrimaryAnswer(request, term, sent, answer);
      });
}

void DatabaseOwner::OnPrimaryAnswer(const RequestPtr& request,
                                    std::int64_t term,
                                    Time sent,
                                    const MemberAnswer* answer) {
  if (answer == nullptr) {
    GiveBack(request);
    return;
  }
  queue_.NoteService(timers_.Now() - sent);
  const auto current = term == term_ && phase_ == OwnerPhase::kServing;
  if (!current || answer->term != term) {
    // Said by a primary that has been replaced.
    answer->status == MemberStatus::kDone ? GiveBack(request)
                                          : Enqueue(request);
    return;
  }
  members_.at(primary_).watch->NoteHeard();
  switch (answer->status) {
    case MemberStatus::kDone:
      ages_.AddSample(sent, {answer->entry_term, answer->position});
      Confirm(request, *answer);
      return;
    case MemberStatus::kRejected: {
      auto failure =
          Failure(request->request.id, ErrorKind::kRejectedByDatabase);
      failure.message += " (" + answer->message + ")";
      Answer(request, std::move(failure));
      return;
    }
    case MemberStatus::kExpired:
      Answer(request,
             InDoubt(request->request.id, ErrorKind::kRequestIdTooOld));
      return;
    case MemberStatus::kFenced:
      Enqueue(request);
      OnFencedOut();
      return;
    default:
      // Not the primary of this term: it did not run.
      Enqueue(request);
      BeginPromotion();
      return;
  }
}

void DatabaseOwner::GiveBack(const RequestPtr& request) {
  request->in_doubt = true;
  if (request->answered) {
    return;
  }
  if (phase_ == OwnerPhase::kStopped) {
    Answer(request, InDoubt(request->request.id, ErrorKind::kFenced));
    return;
  }
  // Sent again with the same id: the marker makes it run at most once.
  queue_.PushFront(request->kind.priority, request);
}

void DatabaseOwner::Confirm(const RequestPtr& request,
                            const MemberAnswer& answer) {
  const auto is_write = request->kind.access == Access::kWrite;
  const LogPlace place{answer.entry_term, answer.position};
  if (!is_write && place < request->token.PlaceIn(config_.name)) {
    Answer(request, Failure(request->request.id, ErrorKind::kPositionLost));
    return;
  }
  request->in_doubt = true;
  unconfirmed_.push_back({request,
                          BuildAnswer(*request, answer, primary_, false),
                          answer.position, timers_.Now(), is_write});
  AcknowledgeReady();
}

void DatabaseOwner::AcknowledgeReady() {
  if (phase_ != OwnerPhase::kServing) {
    return;
  }
  const auto lease_valid = ports_.lease_is_valid();
  std::vector<Unconfirmed> ready;
  for (auto it = unconfirmed_.begin(); it != unconfirmed_.end();) {
    const auto read_is_safe = !it->is_write && lease_valid;
    if (read_is_safe ||
        acks_->Allows(it->position, it->committed_at, lease_valid)) {
      ready.push_back(std::move(*it));
      it = unconfirmed_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& it : ready) {
    if (it.is_write) {
      acknowledged_ = std::max(*acknowledged_, LogPlace{term_, it.position});
    }
    Answer(it.request, std::move(it.answer));
  }
}

auto DatabaseOwner::BuildAnswer(const OwnerRequest& request,
                                const MemberAnswer& answer,
                                const std::string& member,
                                bool from_replica) const -> CallerAnswer {
  CallerAnswer out;
  out.id = request.request.id;
  out.status = Status::kOk;
  out.results = answer.results;
  out.term = answer.term;
  out.position = answer.position;
  out.served_by = member;
  out.from_replica = from_replica;
  auto token = request.token;
  token.Advance(config_.name, {answer.entry_term, answer.position});
  out.token = token.Format();
  return out;
}

void DatabaseOwner::Answer(const RequestPtr& request, CallerAnswer answer) {
  if (std::exchange(request->answered, true)) {
    return;
  }
  timers_.Cancel(request->deadline_timer);
  open_.erase(request);
  request->reply(std::move(answer));
  CheckDrained();
}

void DatabaseOwner::Expire(const RequestPtr& request) {
  queue_.Remove(request);
  replica_queue_.Remove(request);
  unconfirmed_.remove_if([&](const auto& it) { return it.request == request; });
  const auto& id = request->request.id;
  const auto is_write = request->kind.access == Access::kWrite;
  if (is_write && (request->in_doubt || request->at_member)) {
    Answer(request, InDoubt(id, ErrorKind::kNotReplicated));
    return;
  }
  const auto reason = phase_ == OwnerPhase::kServing
                          ? ErrorKind::kPatienceSpent
                          : ErrorKind::kPrimaryUnavailable;
  Answer(request, Refusal(id, reason, kPrimaryRetryMs));
}

void DatabaseOwner::Stop() {
  if (phase_ == OwnerPhase::kStopped) {
    return;
  }
  phase_ = OwnerPhase::kStopped;
  for (auto& [name, member] : members_) {
    member.pool->CloseAll();
  }
  unconfirmed_.clear();
  while (queue_.Pop() || replica_queue_.Pop()) {
  }
  for (const auto& it : std::vector<RequestPtr>(open_.begin(), open_.end())) {
    Answer(it, it->in_doubt || it->at_member
                   ? InDoubt(it->request.id, ErrorKind::kFenced)
                   : Refusal(it->request.id, ErrorKind::kNotOwner, 0));
  }
}

void DatabaseOwner::Drain(std::function<void()> done) {
  draining_ = true;
  on_drained_ = std::move(done);
  CheckDrained();
}

void DatabaseOwner::CheckDrained() {
  if (draining_ && open_.empty() && on_drained_) {
    timers_.After(Duration::zero(),
                  [done = std::exchange(on_drained_, {})] { done(); });
  }
}

// ----------------------------------------------------------------- events

auto DatabaseOwner::OnOpened(ConnectionId connection) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.watch->OnOpened(connection) ||
           it.second.pool->OnOpened(connection);
  });
}

auto DatabaseOwner::OnClosed(ConnectionId connection) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.watch->OnClosed(connection) ||
           it.second.pool->OnClosed(connection);
  });
}

auto DatabaseOwner::OnAnswer(ConnectionId connection,
                             const MemberAnswer& answer) -> bool {
  return std::any_of(members_.begin(), members_.end(), [&](auto& it) {
    return it.second.watch->OnAnswer(connection, answer) ||
           it.second.pool->OnAnswer(connection, answer);
  });
}

}  // namespace kingcuplock
