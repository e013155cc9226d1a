#include "kingcuplock/owner/database_owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcuplock/admission/connection_budget.h"
#include "kingcuplock/outcome/content_hash.h"
#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Time in ms after which a caller may come back when the primary is away.
constexpr Milliseconds kPrimaryRetry{500};

}  // namespace

DatabaseOwner::DatabaseOwner(DatabaseConfig config,
                             OwnerRecord record,
                             TimingSettings timing,
                             TimerService& timers,
                             Outbox& outbox,
                             OwnerCallbacks ports)
    : config_(std::move(config)),
      timers_(timers),
      leader_(config_,
              record,
              timing,
              timers,
              outbox,
              MakeLeaderPorts(std::move(ports))),
      runner_(
          config_,
          record.epoch,
          leader_,
          pools_,
          timers,
          [this](const RequestPtr& request, CallerAnswer answer) {
            Finish(request, std::move(answer));
          },
          [this] { OnFencedOut(0); }),
      reader_(
          config_,
          leader_,
          pools_,
          timers,
          [this](const RequestPtr& request, CallerAnswer answer) {
            Finish(request, std::move(answer));
          },
          [this](const RequestPtr& request) {
            runner_.Enqueue(request);
            runner_.SendWaiting();
          }),
      pruner_(config_, record.epoch, leader_, pools_, timers),
      transactions_(record.epoch,
                    leader_,
                    pools_,
                    runner_.unanswered_writes(),
                    timers,
                    MakeTransactionPorts()) {
  for (const auto& it : config_.members) {
    AddPool(it, outbox);
  }
}

DatabaseOwner::~DatabaseOwner() {
  for (const auto& it : open_) {
    timers_.Cancel(it->deadline_timer);
  }
}

auto DatabaseOwner::MakeTransactionPorts() -> TransactionCallbacks {
  TransactionCallbacks ports;
  ports.finish = [this](const RequestPtr& request, CallerAnswer answer) {
    Finish(request, std::move(answer));
  };
  ports.answer_once_acknowledged = [this](const RequestPtr& request,
                                          const MemberAnswer& answer) {
    runner_.AnswerOnceAcknowledged(request, answer);
  };
  ports.resolve_outcome = [this](const RequestPtr& request) {
    runner_.ResolveOutcome(request, OutcomeResolution::kLookup);
  };
  ports.on_fenced_out = [this] { OnFencedOut(0); };
  return ports;
}

auto DatabaseOwner::MakeLeaderPorts(OwnerCallbacks ports)
    -> GroupControllerCallbacks {
  GroupControllerCallbacks out;
  out.lease_is_valid = std::move(ports.lease_is_valid);
  out.write_record = std::move(ports.write_record);
  out.on_failed_over = std::move(ports.on_failed_over);
  out.on_writes_opened = [this] {
    pools_.at(leader_.primary())->Warm();
    runner_.SendWaiting();
  };
  out.on_primary_abandoned = [this](const std::string& primary) {
    transactions_.RollBackAll();
    runner_.OnPrimaryAbandoned(primary);
  };
  out.on_member_sample = [this] {
    runner_.SendReadyAnswers();
    runner_.SendWaiting();
    reader_.OnMemberSample();
  };
  fenced_out_ = std::move(ports.on_fenced_out);
  out.on_fenced_out = [this](std::int64_t epoch) { OnFencedOut(epoch); };
  return out;
}

void DatabaseOwner::AddPool(const MemberConfig& member, Outbox& outbox) {
  const PoolLimits limits{OwnerPoolConnections(config_.connections),
                          config_.slots};
  auto pool = std::make_unique<ConnectionPool>(member, limits, timers_, outbox);
  pool->OnFree([this, name = member.name] { OnFree(name); });
  pools_[member.name] = std::move(pool);
}

void DatabaseOwner::OnFree(const std::string& member) {
  if (member == leader_.primary()) {
    // Takes turns, so that neither keeps the slots from the other.
    transactions_first_ = !transactions_first_;
    if (transactions_first_) {
      transactions_.SendWaiting();
    }
    runner_.SendWaiting();
    transactions_.SendWaiting();
  } else {
    reader_.SendWaiting();
  }
}

void DatabaseOwner::Start() {
  leader_.Start();
  for (auto& [name, pool] : pools_) {
    pool->Warm();
  }
  pruner_.Start();
}

void DatabaseOwner::SubmitRequest(const RequestPtr& request) {
  request->in_doubt |= request->request.repeated;
  const auto in_open_transaction =
      transactions_.IsOpen(request->request.transaction);
  if (phase() == OwnerPhase::kStopped || (draining_ && !in_open_transaction)) {
    request->reply(BuildGiveUpAnswer(*request, ErrorKind::kNotOwner, 0));
    return;
  }
  if (MayWrite(*request)) {
    request->content_hash = ContentHash(request->request);
    request->in_doubt |=
        runner_.unanswered_writes().Contains(request->request.id);
  }
  const auto patience = request->deadline - timers_.Now();
  open_.insert(request);
  request->deadline_timer =
      timers_.After(patience, [this, request] { Expire(request); });
  if (!MayWrite(*request) || !JoinSameId(request)) {
    Admit(request);
  }
}

void DatabaseOwner::Admit(const RequestPtr& request) {
  if (request->request.step != Step::kSingle) {
    transactions_.SubmitRequest(request);
    return;
  }
  const auto stale =
      request->kind.access == Access::kRead && request->kind.max_age_ms > 0;
  if (stale && ReplicaWait() > request->deadline - timers_.Now()) {
    Finish(request,
           BuildGiveUpAnswer(*request, ErrorKind::kOverloaded,
                             runner_.RetryAfterMs(request->kind.priority)));
    return;
  }
  if (!reader_.TryServe(request)) {
    runner_.Enqueue(request);
    runner_.SendWaiting();
  }
}

// Returns how long a read that may be stale waits and runs, by the service
// time measured at the primary.
auto DatabaseOwner::ReplicaWait() const -> Duration {
  const auto replicas = std::max<std::size_t>(config_.members.size() - 1, 1);
  const auto slots = config_.slots * static_cast<std::int64_t>(replicas);
  const auto waiting = static_cast<std::int64_t>(reader_.QueuedRequests());
  return runner_.ServiceTime() * waiting / slots + runner_.ServiceTime();
}

// Returns whether the request waits for an earlier sending of its id, or was
// refused because of it.
auto DatabaseOwner::JoinSameId(const RequestPtr& request) -> bool {
  const auto& id = request->request.id;
  const auto [it, is_first] = writes_.try_emplace(id, SameId{request, {}});
  if (is_first) {
    return false;
  }
  if (it->second.first->content_hash != request->content_hash) {
    Finish(request, BuildFailedAnswer(id, ErrorKind::kRequestIdReused));
    return true;
  }
  request->in_doubt = true;
  it->second.later.push_back(request);
  return true;
}

// Lets later sendings of the id go on: a failure is theirs too, otherwise the
// marker tells what became of the first.
void DatabaseOwner::ReleaseSameId(const RequestPtr& request,
                                  const CallerAnswer& answer) {
  const auto it = writes_.find(request->request.id);
  if (it == writes_.end() || it->second.first != request) {
    return;
  }
  const auto later = std::move(it->second.later);
  writes_.erase(it);
  for (const auto& next : later) {
    if (next->answered) {
      continue;
    }
    if (answer.status == Status::kFailed) {
      Finish(next, answer);
    } else if (phase() != OwnerPhase::kStopped && !JoinSameId(next)) {
      Admit(next);
    }
  }
}

void DatabaseOwner::Finish(const RequestPtr& request, CallerAnswer answer) {
  if (std::exchange(request->answered, true)) {
    return;
  }
  timers_.Cancel(request->deadline_timer);
  open_.erase(request);
  request->reply(answer);
  if (MayWrite(*request)) {
    ReleaseSameId(request, answer);
  }
  CheckDrained();
}

void DatabaseOwner::Expire(const RequestPtr& request) {
  const auto may_have_run = request->in_doubt || request->at_member;
  runner_.DropRequest(request);
  transactions_.DropRequest(request);
  reader_.DropRequest(request);
  if (request->answered) {
    return;
  }
  if (may_have_run && MayWrite(*request)) {
    Finish(request, BuildUnknownOutcomeAnswer(
                        request->request.id, ErrorKind::kNotReplicated,
                        runner_.JitteredRetryMs(kPrimaryRetry)));
    return;
  }
  const auto reason = leader_.IsServing() ? ErrorKind::kPatienceSpent
                                          : ErrorKind::kPrimaryUnavailable;
  Finish(request, BuildGiveUpAnswer(*request, reason,
                                    runner_.JitteredRetryMs(kPrimaryRetry)));
}

void DatabaseOwner::Stop() {
  if (phase() == OwnerPhase::kStopped) {
    return;
  }
  leader_.Stop();
  transactions_.RollBackAll();
  for (auto& [name, pool] : pools_) {
    pool->CloseAll();
  }
  runner_.Clear();
  reader_.Clear();
  for (const auto& it : std::vector<RequestPtr>(open_.begin(), open_.end())) {
    const auto may_have_run = it->in_doubt || it->at_member;
    Finish(
        it,
        BuildGiveUpAnswer(
            *it, may_have_run ? ErrorKind::kFenced : ErrorKind::kNotOwner, 0));
  }
}

void DatabaseOwner::OnFencedOut(std::int64_t epoch) {
  if (phase() == OwnerPhase::kStopped) {
    return;
  }
  Stop();
  fenced_out_(epoch);
}

void DatabaseOwner::Drain(std::function<void()> done) {
  draining_ = true;
  on_drained_ = std::move(done);
  CheckDrained();
}

void DatabaseOwner::CheckDrained() {
  const auto idle = open_.empty() && transactions_.OpenCount() == 0;
  if (draining_ && idle && on_drained_) {
    timers_.After(Duration::zero(),
                  [done = std::exchange(on_drained_, {})] { done(); });
  }
}

auto DatabaseOwner::OnOpened(ConnectionId connection) -> bool {
  return leader_.OnOpened(connection) ||
         std::any_of(pools_.begin(), pools_.end(),
                     [&](auto& it) { return it.second->OnOpened(connection); });
}

auto DatabaseOwner::OnClosed(ConnectionId connection) -> bool {
  return leader_.OnClosed(connection) ||
         std::any_of(pools_.begin(), pools_.end(),
                     [&](auto& it) { return it.second->OnClosed(connection); });
}

auto DatabaseOwner::OnAnswer(ConnectionId connection,
                             const MemberAnswer& answer) -> bool {
  return leader_.OnAnswer(connection, answer) ||
         std::any_of(pools_.begin(), pools_.end(), [&](auto& it) {
           return it.second->OnAnswer(connection, answer);
         });
}

}  // namespace kingcuplock
