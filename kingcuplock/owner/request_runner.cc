#include "kingcuplock/owner/request_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Longest time in ms that one statement may take at the primary.
constexpr Milliseconds kStatementTimeout{1000};

/// Requests that may wait for the primary of one database.
constexpr std::size_t kQueueLimit = 2048;
/// Hash of the empty transaction that takes the id of a request in doubt.
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
                             GroupController& leader,
                             MemberPools& pools,
                             TimerService& timers,
                             FinishCallback finish,
                             std::function<void()> on_fenced_out)
    : config_(config),
      epoch_(epoch),
      leader_(leader),
      pools_(pools),
      timers_(timers),
      finish_(std::move(finish)),
      fenced_out_(std::move(on_fenced_out)),
      queue_(kQueueLimit, config.slots),
      retry_after_(static_cast<std::uint64_t>(epoch)) {}

auto RequestRunner::PrimaryPool() -> ConnectionPool* {
  const auto it = pools_.find(leader_.primary());
  return it == pools_.end() ? nullptr : it->second.get();
}

void RequestRunner::Enqueue(const RequestPtr& request) {
  retry_budget_.NoteRequest();
  Refuse(queue_.Push({request->kind.priority, request->caller,
                      request->deadline, request, request->kind.name},
                     timers_.Now()));
}

void RequestRunner::Requeue(const RequestPtr& request) {
  queue_.PushFront({request->kind.priority, request->caller, request->deadline,
                    request, request->kind.name});
}

void RequestRunner::Refuse(const std::vector<QueuedItem<RequestPtr>>& late) {
  for (const auto& it : late) {
    finish_(it.item, BuildGiveUpAnswer(*it.item, ErrorKind::kOverloaded,
                                       RetryAfterMs(it.priority)));
  }
}

void RequestRunner::SendWaiting() {
  auto* pool = PrimaryPool();
  while (leader_.IsServing() && leader_.MaySendStatements() &&
         pool != nullptr && pool->HasFree()) {
    std::vector<QueuedItem<RequestPtr>> late;
    const auto next = queue_.Pop(timers_.Now(), late);
    if (next) {
      Run(next->item);
    }
    Refuse(late);
    if (!next) {
      return;
    }
  }
}

auto RequestRunner::RefuseLost(const RequestPtr& request) -> bool {
  const auto seen = request->token.PlaceIn(config_.name);
  const auto is_read = request->kind.access == Access::kRead;
  const auto from_nowhere =
      is_read && seen.term > leader_.term() && leader_.LeaseIsValid();
  const auto lost = leader_.term_history().IsLost(seen) || from_nowhere;
  // A write in doubt is resolved first; its answer keeps the token.
  if (!lost || (!is_read && request->in_doubt)) {
    return false;
  }
  finish_(request,
          BuildNotRunAnswer(request->request.id, ErrorKind::kPositionLost, 0));
  return true;
}

auto RequestRunner::BuildCall(const OwnerRequest& request) const
    -> MemberRequest {
  MemberRequest call;
  call.op = MemberOp::kRead;
  call.statements = request.request.statements;
  if (request.kind.access == Access::kWrite) {
    call.op = MemberOp::kExecute;
    call.epoch = epoch_;
    call.term = leader_.term();
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

void RequestRunner::Run(const RequestPtr& request) {
  if (RefuseLost(request)) {
    return;
  }
  auto call = BuildCall(*request);
  request->at_member = true;
  const auto executes = request->resolution == OutcomeResolution::kNone &&
                        request->kind.access == Access::kWrite;
  if (executes) {
    open_sends_.NoteSent(request->request.id);
  }
  const auto sent = timers_.Now();
  const auto term = leader_.term();
  PrimaryPool()->Run(
      std::move(call), kStatementTimeout,
      [this, request, term, sent, executes](const MemberAnswer* answer) {
        request->at_member = false;
        if (executes && answer != nullptr) {
          open_sends_.NoteAnswered(request->request.id);
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
      GiveBack(request);
    } else {
      request->in_doubt = true;
      finish_(request, BuildGiveUpAnswer(*request, ErrorKind::kConnectionLost,
                                         RetryAfterMs(request->kind.priority)));
    }
    return;
  }
  queue_.NoteServiceTime(timers_.Now() - sent);
  const auto current = term == leader_.term() && leader_.IsServing();
  const auto done = answer->status == MemberStatus::kDone;
  if (!current || answer->term != term) {
    // Said by a primary that has been replaced.
    done ? GiveBack(request) : Requeue(request);
    return;
  }
  leader_.NoteHeard();
  if (!done) {
    OnRefusedByMember(request, *answer);
    return;
  }
  leader_.NotePrimaryPlace(sent, {answer->entry_term, answer->position});
  if (request->resolution == OutcomeResolution::kAbort ||
      request->resolution == OutcomeResolution::kAbortAfterReuse) {
    OnAborted(request);
    return;
  }
  AnswerOnceAcknowledged(request, *answer);
}

// Nothing of the request was carried out, and nothing can be any more.
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

void RequestRunner::OnAbsent(const RequestPtr& request) {
  if (open_sends_.Contains(request->request.id)) {
    ResolveOutcome(request, OutcomeResolution::kAbort);
    return;
  }
  // The transaction is not open here, and an older epoch or term is fenced.
  finish_(request, BuildNotRunAnswer(request->request.id,
                                     ErrorKind::kTransactionUnknown, 0));
}

void RequestRunner::OnReused(const RequestPtr& request) {
  switch (request->resolution) {
    case OutcomeResolution::kLookup:
      ResolveOutcome(request, OutcomeResolution::kAbortAfterReuse);
      return;
    case OutcomeResolution::kAbort:
      // An earlier sending was carried out meanwhile.
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
      if (open_sends_.Contains(id)) {
        // An earlier sending may still be carried out.
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
      OnReused(request);
      return;
    case MemberStatus::kAbsent:
      OnAbsent(request);
      return;
    case MemberStatus::kFenced:
      Requeue(request);
      fenced_out_();
      return;
    default:
      // Not the primary of this term: it did not run.
      Requeue(request);
      leader_.BeginPromotion();
      return;
  }
}

void RequestRunner::GiveBack(const RequestPtr& request) {
  request->in_doubt = true;
  if (request->answered) {
    return;
  }
  if (leader_.phase() == OwnerPhase::kStopped) {
    finish_(request,
            BuildUnknownOutcomeAnswer(request->request.id, ErrorKind::kFenced));
    return;
  }
  // Sent again with the same id: the marker makes it run at most once.
  Requeue(request);
}

void RequestRunner::AnswerOnceAcknowledged(const RequestPtr& request,
                                           const MemberAnswer& answer) {
  const auto is_write = request->kind.access == Access::kWrite;
  const LogPlace place{answer.entry_term, answer.position};
  const auto seen = request->token.PlaceIn(config_.name);
  if (!is_write && seen.term > leader_.term()) {
    // Only an owner without a lease comes here: it may not be the owner.
    finish_(request,
            BuildNotRunAnswer(request->request.id, ErrorKind::kNotOwner, 0));
    return;
  }
  if (!is_write && place < seen) {
    finish_(request, BuildNotRunAnswer(request->request.id,
                                       ErrorKind::kPositionLost, 0));
    return;
  }
  auto built = BuildOkAnswer(*request, answer, leader_.primary(), false);
  if (leader_.term_history().IsLost(seen)) {
    built.token = request->token.Format();
  }
  request->in_doubt = true;
  unconfirmed_.push_back(
      {request, std::move(built), answer.position, timers_.Now(), is_write});
  SendReadyAnswers();
}

void RequestRunner::SendReadyAnswers() {
  if (!leader_.IsServing()) {
    return;
  }
  std::vector<Unconfirmed> ready;
  for (auto it = unconfirmed_.begin(); it != unconfirmed_.end();) {
    // Reads wait as well: no session sees what a failover could still lose.
    if (leader_.Allows(it->position, it->committed_at)) {
      ready.push_back(std::move(*it));
      it = unconfirmed_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& it : ready) {
    if (it.is_write) {
      leader_.NoteAcknowledged(it.position);
    }
    finish_(it.request, std::move(it.answer));
  }
}

void RequestRunner::OnPrimaryAbandoned(const std::string& primary) {
  const auto pool = pools_.find(primary);
  if (pool != pools_.end()) {
    pool->second->CloseAll();
  }
  for (const auto& it : std::exchange(unconfirmed_, {})) {
    GiveBack(it.request);
  }
  open_sends_.Clear();
}

void RequestRunner::DropRequest(const RequestPtr& request) {
  queue_.Remove(request);
  unconfirmed_.remove_if([&](const auto& it) { return it.request == request; });
}

void RequestRunner::Clear() {
  unconfirmed_.clear();
  queue_.Clear();
}

}  // namespace kingcuplock
