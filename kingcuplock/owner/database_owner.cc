#include "kingcuplock/owner/database_owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcuplock/admission/connection_budget.h"
#include "kingcuplock/outcome/content_hash.h"
#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Time in ms after which a caller may retry when its request was not served
/// by the deadline.
constexpr Milliseconds kDeadlineRetry{500};

}  // namespace

DatabaseOwner::DatabaseOwner(DatabaseConfig config,
                             OwnerRecord record,
                             TimingSettings timing,
                             TimerService& timers,
                             Outbox& outbox,
                             OwnerCallbacks callbacks)
    : config_(std::move(config)),
      timers_(timers),
      controller_(config_,
                  record,
                  timing,
                  timers,
                  outbox,
                  MakeControllerCallbacks(std::move(callbacks))),
      runner_(
          config_,
          record.epoch,
          controller_,
          pools_,
          timers,
          [this](const RequestPtr& request, CallerAnswer answer) {
            AnswerRequest(request, std::move(answer));
          },
          [this] { OnFencedOut(0); }),
      replica_reader_(
          config_,
          controller_,
          pools_,
          timers,
          [this](const RequestPtr& request, CallerAnswer answer) {
            AnswerRequest(request, std::move(answer));
          },
          [this](const RequestPtr& request) {
            runner_.Enqueue(request);
            runner_.SendWaiting();
          }),
      pruner_(config_, record.epoch, controller_, pools_, timers),
      transactions_(record.epoch,
                    controller_,
                    pools_,
                    runner_.unanswered_writes(),
                    timers,
                    MakeTransactionCallbacks()) {
  for (const auto& it : config_.members) {
    AddPool(it, outbox);
  }
}

DatabaseOwner::~DatabaseOwner() {
  for (const auto& it : unanswered_) {
    timers_.Cancel(it->deadline_timer);
  }
}

auto DatabaseOwner::MakeTransactionCallbacks() -> TransactionCallbacks {
  TransactionCallbacks callbacks;
  callbacks.finish = [this](const RequestPtr& request, CallerAnswer answer) {
    AnswerRequest(request, std::move(answer));
  };
  callbacks.answer_once_acknowledged = [this](const RequestPtr& request,
                                              const MemberAnswer& answer) {
    runner_.AnswerOnceAcknowledged(request, answer);
  };
  callbacks.resolve_outcome = [this](const RequestPtr& request) {
    runner_.ResolveOutcome(request, OutcomeResolution::kLookup);
  };
  callbacks.on_fenced_out = [this] { OnFencedOut(0); };
  return callbacks;
}

auto DatabaseOwner::MakeControllerCallbacks(OwnerCallbacks callbacks)
    -> GroupControllerCallbacks {
  GroupControllerCallbacks out;
  out.lease_is_valid = std::move(callbacks.lease_is_valid);
  out.write_record = std::move(callbacks.write_record);
  out.on_failed_over = std::move(callbacks.on_failed_over);
  out.on_writes_opened = [this] {
    pools_.at(controller_.primary())->OpenMissingConnections();
    runner_.SendWaiting();
  };
  out.on_primary_abandoned = [this](const std::string& primary) {
    transactions_.RollBackAll();
    runner_.OnPrimaryAbandoned(primary);
  };
  out.on_member_sample = [this] {
    runner_.SendReadyAnswers();
    runner_.SendWaiting();
    replica_reader_.OnMemberSample();
  };
  on_fenced_out_ = std::move(callbacks.on_fenced_out);
  out.on_fenced_out = [this](std::int64_t epoch) { OnFencedOut(epoch); };
  return out;
}

void DatabaseOwner::AddPool(const MemberConfig& member, Outbox& outbox) {
  const ConnectionPoolLimits limits{OwnerPoolConnections(config_.connections),
                                    config_.slots};
  auto pool = std::make_unique<ConnectionPool>(member, limits, timers_, outbox);
  pool->OnFree([this, name = member.name] { OnMemberFree(name); });
  pools_[member.name] = std::move(pool);
}

void DatabaseOwner::OnMemberFree(const std::string& member) {
  if (member == controller_.primary()) {
    // Alternate which goes first, so that neither starves the other of slots.
    transactions_first_ = !transactions_first_;
    if (transactions_first_) {
      transactions_.SendWaiting();
    }
    runner_.SendWaiting();
    transactions_.SendWaiting();
  } else {
    replica_reader_.SendWaiting();
  }
}

void DatabaseOwner::Start() {
  controller_.Start();
  for (auto& [name, pool] : pools_) {
    pool->OpenMissingConnections();
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
    request->content_hash = HashRequestContent(request->request);
    request->in_doubt |=
        runner_.unanswered_writes().Contains(request->request.id);
  }
  const auto patience = request->deadline - timers_.Now();
  unanswered_.insert(request);
  request->deadline_timer =
      timers_.After(patience, [this, request] { OnDeadline(request); });
  if (!MayWrite(*request) || !WaitForSameId(request)) {
    RouteRequest(request);
  }
}

void DatabaseOwner::RouteRequest(const RequestPtr& request) {
  if (request->request.step != Step::kSingle) {
    transactions_.SubmitRequest(request);
    return;
  }
  const auto may_be_stale =
      request->kind.access == Access::kRead && request->kind.max_age_ms > 0;
  if (may_be_stale &&
      ExpectedReplicaTime() > request->deadline - timers_.Now()) {
    AnswerRequest(request, BuildGiveUpAnswer(
                               *request, ErrorKind::kOverloaded,
                               runner_.RetryAfterMs(request->kind.priority)));
    return;
  }
  if (!replica_reader_.TryServe(request)) {
    runner_.Enqueue(request);
    runner_.SendWaiting();
  }
}

// Returns how long a read that may be stale is expected to wait and run at the
// replicas, using the service time measured at the primary.
auto DatabaseOwner::ExpectedReplicaTime() const -> Duration {
  const auto replicas = std::max<std::size_t>(config_.members.size() - 1, 1);
  const auto slots = config_.slots * static_cast<std::int64_t>(replicas);
  const auto waiting =
      static_cast<std::int64_t>(replica_reader_.QueuedRequests());
  return runner_.ServiceTime() * waiting / slots + runner_.ServiceTime();
}

// Returns false if the request is the only one with its id and goes on now.
// Else an earlier sending of the id is in flight: the request waits for it, or
// was answered as failed because its content differs.
auto DatabaseOwner::WaitForSameId(const RequestPtr& request) -> bool {
  const auto& id = request->request.id;
  const auto [it, is_first] =
      writes_in_flight_.try_emplace(id, SameIdWrites{request, {}});
  if (is_first) {
    return false;
  }
  if (it->second.first->content_hash != request->content_hash) {
    AnswerRequest(request, BuildFailedAnswer(id, ErrorKind::kRequestIdReused));
    return true;
  }
  request->in_doubt = true;
  it->second.later.push_back(request);
  return true;
}

// Continues with the later sendings of the id once the first was answered. They
// get the same answer if it failed; otherwise they are sent, and the marker in
// the database tells what became of the first.
void DatabaseOwner::ResumeSameId(const RequestPtr& request,
                                 const CallerAnswer& answer) {
  const auto it = writes_in_flight_.find(request->request.id);
  if (it == writes_in_flight_.end() || it->second.first != request) {
    return;
  }
  const auto later = std::move(it->second.later);
  writes_in_flight_.erase(it);
  for (const auto& next : later) {
    if (next->answered) {
      continue;
    }
    if (answer.status == Status::kFailed) {
      AnswerRequest(next, answer);
    } else if (phase() != OwnerPhase::kStopped && !WaitForSameId(next)) {
      RouteRequest(next);
    }
  }
}

void DatabaseOwner::AnswerRequest(const RequestPtr& request,
                                  CallerAnswer answer) {
  if (std::exchange(request->answered, true)) {
    return;
  }
  timers_.Cancel(request->deadline_timer);
  unanswered_.erase(request);
  request->reply(answer);
  if (MayWrite(*request)) {
    ResumeSameId(request, answer);
  }
  CheckDrained();
}

void DatabaseOwner::OnDeadline(const RequestPtr& request) {
  const auto may_have_run = request->in_doubt || request->at_member;
  runner_.DropRequest(request);
  transactions_.DropRequest(request);
  replica_reader_.DropRequest(request);
  if (request->answered) {
    return;
  }
  if (may_have_run && MayWrite(*request)) {
    AnswerRequest(request, BuildUnknownOutcomeAnswer(
                               request->request.id, ErrorKind::kNotReplicated,
                               runner_.JitteredRetryMs(kDeadlineRetry)));
    return;
  }
  const auto reason = controller_.IsServing() ? ErrorKind::kPatienceSpent
                                              : ErrorKind::kPrimaryUnavailable;
  AnswerRequest(request,
                BuildGiveUpAnswer(*request, reason,
                                  runner_.JitteredRetryMs(kDeadlineRetry)));
}

void DatabaseOwner::Stop() {
  if (phase() == OwnerPhase::kStopped) {
    return;
  }
  controller_.Stop();
  transactions_.RollBackAll();
  for (auto& [name, pool] : pools_) {
    pool->CloseAll();
  }
  runner_.DropAllRequests();
  replica_reader_.DropAllRequests();
  for (const auto& it :
       std::vector<RequestPtr>(unanswered_.begin(), unanswered_.end())) {
    const auto may_have_run = it->in_doubt || it->at_member;
    AnswerRequest(
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
  on_fenced_out_(epoch);
}

void DatabaseOwner::Drain(std::function<void()> done) {
  draining_ = true;
  on_drained_ = std::move(done);
  CheckDrained();
}

void DatabaseOwner::CheckDrained() {
  const auto idle = unanswered_.empty() && transactions_.OpenCount() == 0;
  if (draining_ && idle && on_drained_) {
    timers_.After(Duration::zero(),
                  [done = std::exchange(on_drained_, {})] { done(); });
  }
}

auto DatabaseOwner::OnOpened(ConnectionId connection) -> bool {
  return controller_.OnOpened(connection) ||
         std::any_of(pools_.begin(), pools_.end(),
                     [&](auto& it) { return it.second->OnOpened(connection); });
}

auto DatabaseOwner::OnClosed(ConnectionId connection) -> bool {
  return controller_.OnClosed(connection) ||
         std::any_of(pools_.begin(), pools_.end(),
                     [&](auto& it) { return it.second->OnClosed(connection); });
}

auto DatabaseOwner::OnAnswer(ConnectionId connection,
                             const MemberAnswer& answer) -> bool {
  return controller_.OnAnswer(connection, answer) ||
         std::any_of(pools_.begin(), pools_.end(), [&](auto& it) {
           return it.second->OnAnswer(connection, answer);
         });
}

}  // namespace kingcuplock
