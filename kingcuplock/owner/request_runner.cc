#include "kingcuplock/owner/request_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Longest wait in ms for the primary's answer.
constexpr Milliseconds kStatementTimeout{1000};

/// Most requests queued for the primary of one database.
constexpr std::size_t kQueueLimit = 2048;
/// Content hash of the empty transaction that is committed under the id of a
/// request to abort it. It differs from the hash of every real request.
constexpr std::string_view kAbortedHash = "aborted";

}  // namespace

auto BuildOkAnswer(const OwnerRequest& request,
                   const MemberAnswer& answer,
                   const std::string& member,
                   bool from_replica) -> CallerAnswer {
  CallerAnswer out;
  out.id = request.request.id;
  out.status = Status::kOk;
  out.results = answer.results;
  out.term = answer.term;
  out.position = answer.position;
  out.served_by = member;
  out.from_replica = from_replica;
  auto token = request.token;
  token.Advance(request.request.database, {answer.entry_term, answer.position});
  out.token = token.Format();
  return out;
}

RequestRunner::RequestRunner(const DatabaseConfig& config,
                             std::int64_t epoch,
                             GroupController& controller,
                             MemberPools& pools,
                             TimerService& timers,
                             FinishCallback finish,
                             std::function<void()> on_fenced_out)
    : config_(config),
      epoch_(epoch),
      controller_(controller),
      pools_(pools),
      timers_(timers),
      finish_(std::move(finish)),
      on_fenced_out_(std::move(on_fenced_out)),
      queue_(kQueueLimit, config.slots),
      retry_after_(static_cast<std::uint64_t>(epoch)) {}

auto RequestRunner::PrimaryPool() -> ConnectionPool* {
  const auto it = pools_.find(controller_.primary());
  return it == pools_.end() ? nullptr : it->second.get();
}

void RequestRunner::Enqueue(const RequestPtr& request) {
  retry_budget_.NoteRequest();
  RefuseOverloaded(queue_.Push({request->kind.priority, request->caller,
                                request->deadline, request, request->kind.name},
                               timers_.Now()));
}

void RequestRunner::Requeue(const RequestPtr& request) {
  queue_.PushFront({request->kind.priority, request->caller, request->deadline,
                    request, request->kind.name});
}

void RequestRunner::RefuseOverloaded(
    const std::vector<QueuedItem<RequestPtr>>& late) {
  for (const auto& it : late) {
    finish_(it.item, BuildGiveUpAnswer(*it.item, ErrorKind::kOverloaded,
                                       RetryAfterMs(it.priority)));
  }
}

void RequestRunner::SendWaiting() {
  auto* pool = PrimaryPool();
  while (controller_.IsServing() && controller_.MaySendStatements() &&
         pool != nullptr && pool->HasFreeConnection()) {
    std::vector<QueuedItem<RequestPtr>> late;
    const auto next = queue_.Pop(timers_.Now(), late);
    if (next) {
      SendToPrimary(next->item);
    }
    RefuseOverloaded(late);
    if (!next) {
      return;
    }
  }
}

auto RequestRunner::RefuseIfPositionLost(const RequestPtr& request) -> bool {
  const auto seen = request->token.PositionIn(config_.name);
  const auto is_read = request->kind.access == Access::kRead;
  const auto from_unknown_term =
      is_read && seen.term > controller_.term() && controller_.LeaseIsValid();
  const auto lost =
      controller_.term_history().IsLost(seen) || from_unknown_term;
  // The outcome of a write that may have run is found out first. Its answer
  // keeps the request's token, so the session's next request is refused.
  if (!lost || (!is_read && request->in_doubt)) {
    return false;
  }
  finish_(request,
          BuildNotRunAnswer(request->request.id, ErrorKind::kPositionLost, 0));
  return true;
}

auto RequestRunner::BuildMemberRequest(const OwnerRequest& request) const
    -> MemberRequest {
  MemberRequest call;
  call.op = MemberOp::kRead;
  call.statements = request.request.statements;
  if (request.kind.access == Access::kWrite) {
    call.op = MemberOp::kExecute;
    call.epoch = epoch_;
    call.term = controller_.term();
    call.request_id = request.request.id;
    call.issued_ms = request.request.issued_ms;
    call.content_hash = request.content_hash;
  }
  if (request.resolution == OutcomeResolution::kLookup) {
    call.op = MemberOp::kLookup;
  } else if (request.resolution != OutcomeResolution::kNone) {
    call.statements.clear();
    call.content_hash = kAbortedHash;
  }
  return call;
}

void RequestRunner::SendToPrimary(const RequestPtr& request) {
  if (RefuseIfPositionLost(request)) {
    return;
  }
  auto call = BuildMemberRequest(*request);
  request->at_member = true;
  const auto executes = request->resolution == OutcomeResolution::kNone &&
                        request->kind.access == Access::kWrite;
  if (executes) {
    unanswered_writes_.NoteSent(request->request.id);
  }
  const auto sent = timers_.Now();
  const auto term = controller_.term();
  PrimaryPool()->Run(
      std::move(call), kStatementTimeout,
      [this, request, term, sent, executes](const MemberAnswer* answer) {
        request->at_member = false;
        if (executes && answer != nullptr) {
          unanswered_writes_.NoteAnswered(request->request.id);
        }
        OnAnswer(request, term, sent, answer);
      });
}

void RequestRunner::OnAnswer(const RequestPtr& request,
                             std::int64_t term,
                             Time sent,
                             const MemberAnswer* answer) {
  if (answer == nullptr) {
    if (retry_budget_.TryTake()) {
      RetryOrAnswerUnknown(request);
    } else {
      request->in_doubt = true;
      finish_(request, BuildGiveUpAnswer(*request, ErrorKind::kConnectionLost,
                                         RetryAfterMs(request->kind.priority)));
    }
    return;
  }
  queue_.NoteServiceTime(timers_.Now() - sent);
  const auto current = term == controller_.term() && controller_.IsServing();
  const auto done = answer->status == MemberStatus::kDone;
  if (!current || answer->term != term) {
    // The answer is from a primary that has been replaced.
    done ? RetryOrAnswerUnknown(request) : Requeue(request);
    return;
  }
  controller_.NotePrimaryHeard();
  if (!done) {
    OnRefusedByMember(request, *answer);
    return;
  }
  controller_.NotePrimaryPlace(sent, {answer->entry_term, answer->position});
  if (request->resolution == OutcomeResolution::kAbort ||
      request->resolution == OutcomeResolution::kAbortAfterReuse) {
    OnAborted(request);
    return;
  }
  AnswerOnceAcknowledged(request, *answer);
}

// The request did not run, and its id is taken so that it never will.
void RequestRunner::OnAborted(const RequestPtr& request) {
  const auto& id = request->request.id;
  finish_(request,
          request->request.step == Step::kCommit
              ? BuildNotRunAnswer(id, ErrorKind::kTransactionUnknown, 0)
              : BuildFailedAnswer(id, ErrorKind::kRejectedByDatabase));
}

void RequestRunner::ResolveOutcome(const RequestPtr& request,
                                   OutcomeResolution resolution) {
  if (request->answered) {
    return;
  }
  request->resolution = resolution;
  Requeue(request);
  SendWaiting();
}

void RequestRunner::OnMarkerAbsent(const RequestPtr& request) {
  if (unanswered_writes_.Contains(request->request.id)) {
    ResolveOutcome(request, OutcomeResolution::kAbort);
    return;
  }
  // The transaction is not open here, and a commit sent in an older epoch or
  // term is fenced out: it did not commit and never will.
  finish_(request, BuildNotRunAnswer(request->request.id,
                                     ErrorKind::kTransactionUnknown, 0));
}

void RequestRunner::OnRequestIdReused(const RequestPtr& request) {
  switch (request->resolution) {
    case OutcomeResolution::kLookup:
      ResolveOutcome(request, OutcomeResolution::kAbortAfterReuse);
      return;
    case OutcomeResolution::kAbort:
      // An earlier sending has run meanwhile.
      ResolveOutcome(request, request->request.step == Step::kCommit
                                  ? OutcomeResolution::kLookup
                                  : OutcomeResolution::kNone);
      return;
    case OutcomeResolution::kNone:
    case OutcomeResolution::kAbortAfterReuse:
      break;
  }
  finish_(request,
          BuildFailedAnswer(request->request.id, ErrorKind::kRequestIdReused));
}

void RequestRunner::OnRefusedByMember(const RequestPtr& request,
                                      const MemberAnswer& answer) {
  const auto& id = request->request.id;
  switch (answer.status) {
    case MemberStatus::kRejected: {
      if (unanswered_writes_.Contains(id)) {
        // An earlier sending may still run.
        ResolveOutcome(request, OutcomeResolution::kAbort);
        return;
      }
      auto failure = BuildFailedAnswer(id, ErrorKind::kRejectedByDatabase);
      failure.message += " (" + answer.message + ")";
      finish_(request, std::move(failure));
      return;
    }
    case MemberStatus::kExpired:
      finish_(request,
              BuildUnknownOutcomeAnswer(id, ErrorKind::kRequestIdTooOld));
      return;
    case MemberStatus::kReused:
      OnRequestIdReused(request);
      return;
    case MemberStatus::kAbsent:
      OnMarkerAbsent(request);
      return;
    case MemberStatus::kFenced:
      Requeue(request);
      on_fenced_out_();
      return;
    default:
      // The member is not the primary of this term: the request did not run.
      Requeue(request);
      controller_.BeginPromotion();
      return;
  }
}

void RequestRunner::RetryOrAnswerUnknown(const RequestPtr& request) {
  request->in_doubt = true;
  if (request->answered) {
    return;
  }
  if (controller_.phase() == OwnerPhase::kStopped) {
    finish_(request,
            BuildUnknownOutcomeAnswer(request->request.id, ErrorKind::kFenced));
    return;
  }
  // The request is sent again with the same id. The marker makes sure that it
  // runs at most once.
  Requeue(request);
}

void RequestRunner::AnswerOnceAcknowledged(const RequestPtr& request,
                                           const MemberAnswer& answer) {
  const auto is_write = request->kind.access == Access::kWrite;
  const LogPosition place{answer.entry_term, answer.position};
  const auto seen = request->token.PositionIn(config_.name);
  if (!is_write && seen.term > controller_.term()) {
    // With a valid lease RefuseIfPositionLost() refuses such a read. Without
    // one this instance may no longer be the owner.
    finish_(request,
            BuildNotRunAnswer(request->request.id, ErrorKind::kNotOwner, 0));
    return;
  }
  if (!is_write && place < seen) {
    finish_(request, BuildNotRunAnswer(request->request.id,
                                       ErrorKind::kPositionLost, 0));
    return;
  }
  auto built = BuildOkAnswer(*request, answer, controller_.primary(), false);
  if (controller_.term_history().IsLost(seen)) {
    built.token = request->token.Format();
  }
  request->in_doubt = true;
  held_answers_.push_back(
      {request, std::move(built), answer.position, timers_.Now(), is_write});
  SendReadyAnswers();
}

void RequestRunner::SendReadyAnswers() {
  if (!controller_.IsServing()) {
    return;
  }
  std::vector<HeldAnswer> ready;
  for (auto it = held_answers_.begin(); it != held_answers_.end();) {
    // Reads wait as well, so that no session sees what a failover could lose.
    if (controller_.MayAcknowledge(it->position, it->committed_at)) {
      ready.push_back(std::move(*it));
      it = held_answers_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& it : ready) {
    if (it.is_write) {
      controller_.NoteAcknowledged(it.position);
    }
    finish_(it.request, std::move(it.answer));
  }
}

void RequestRunner::OnPrimaryAbandoned(const std::string& primary) {
  const auto pool = pools_.find(primary);
  if (pool != pools_.end()) {
    pool->second->CloseAll();
  }
  for (const auto& it : std::exchange(held_answers_, {})) {
    RetryOrAnswerUnknown(it.request);
  }
  unanswered_writes_.Clear();
}

void RequestRunner::DropRequest(const RequestPtr& request) {
  queue_.Remove(request);
  held_answers_.remove_if(
      [&](const auto& it) { return it.request == request; });
}

void RequestRunner::DropAllRequests() {
  held_answers_.clear();
  queue_.Clear();
}

}  // namespace kingcuplock
