#include "kingcuplock/entry/request_router.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Part of the patience in ms that is reserved for the answer's way back from
/// the owner.
constexpr Milliseconds kAnswerTransitReserve{20};
/// Time in ms by which the deadline at an owner in this process precedes the
/// router's own deadline.
constexpr Milliseconds kOwnerDeadlineLead{1};
/// Delay in ms before a request is routed again.
constexpr Milliseconds kRerouteDelay{20};
/// Shortest delay in ms after which a caller is told to retry when there is no
/// owner.
constexpr Milliseconds kNoOwnerRetryDelay{500};
/// Longest patience in ms that is granted to a request.
constexpr std::int64_t kMaxPatienceMs = 600'000;

auto IsReadOnly(const CallerRequest& request) -> bool {
  return std::all_of(request.statements.begin(), request.statements.end(),
                     [](const auto& it) { return it.verb == Verb::kGet; });
}

}  // namespace

RequestRouter::RequestRouter(std::string own_instance,
                             TimerService& timers,
                             Outbox& outbox,
                             RequestRouterCallbacks callbacks)
    : own_instance_(std::move(own_instance)),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      retry_after_(std::hash<std::string>{}(own_instance_)) {}

auto RequestRouter::PickRetryDelayMs() -> std::int64_t {
  return retry_after_.PickDelayMs(kNoOwnerRetryDelay);
}

void RequestRouter::RefuseRequest(ConnectionId caller,
                                  const CallerRequest& request,
                                  ErrorKind kind) {
  const auto retry = kind == ErrorKind::kNoManifest ? PickRetryDelayMs() : 0;
  auto answer = request.repeated
                    ? BuildUnknownOutcomeAnswer(request.id, kind, retry)
                    : BuildNotRunAnswer(request.id, kind, retry);
  answer.token = request.token;
  answer.leaving = leaving_;
  callbacks_.on_answered(request, answer, Duration::zero());
  outbox_.Send(caller, std::move(answer));
}

auto RequestRouter::ValidateRequest(ConnectionId caller,
                                    const CallerRequest& request,
                                    KindConfig& kind) -> bool {
  const auto& manifest = callbacks_.manifest();
  if (manifest.version == 0) {
    RefuseRequest(caller, request, ErrorKind::kNoManifest);
    return false;
  }
  const auto* database = FindDatabase(manifest, request.database);
  if (database == nullptr) {
    RefuseRequest(caller, request, ErrorKind::kUnknownDatabase);
    return false;
  }
  const auto* found = FindKind(*database, request.kind);
  if (found == nullptr) {
    RefuseRequest(caller, request, ErrorKind::kUnknownKind);
    return false;
  }
  const auto fits_read = request.step == Step::kSingle && IsReadOnly(request);
  if (found->access == Access::kRead && !fits_read) {
    RefuseRequest(caller, request, ErrorKind::kWrongAccess);
    return false;
  }
  const auto must_not_repeat =
      found->access == Access::kWrite && !found->repeatable;
  const auto writes =
      request.step == Step::kSingle || request.step == Step::kCommit;
  if (must_not_repeat && writes && request.issued_ms <= 0) {
    RefuseRequest(caller, request, ErrorKind::kIssueTimeMissing);
    return false;
  }
  kind = *found;
  return true;
}

void RequestRouter::OnRequest(ConnectionId caller, CallerRequest request) {
  last_request_time_ = timers_.Now();
  if (refusing_new_requests_) {
    RefuseRequest(caller, request, ErrorKind::kLeaving);
    return;
  }
  auto pending = std::make_shared<PendingRequest>();
  if (!ValidateRequest(caller, request, pending->kind)) {
    return;
  }
  try {
    pending->token = SessionToken::Parse(request.token);
  } catch (const SessionTokenError&) {
    RefuseRequest(caller, request, ErrorKind::kBadToken);
    return;
  }
  const auto patience =
      std::clamp<std::int64_t>(request.patience_ms, 0, kMaxPatienceMs);
  pending->id = ++last_pending_id_;
  pending->caller = caller;
  pending->in_doubt = request.repeated;
  pending->request = std::move(request);
  pending->received_at = timers_.Now();
  pending->deadline = timers_.Now() + Milliseconds(patience);
  pending->deadline_timer = timers_.After(
      Milliseconds(patience), [this, pending] { OnDeadline(pending); });
  pending_[pending->id] = pending;
  RouteRequest(pending);
}

void RequestRouter::RouteRequest(const PendingPtr& pending) {
  const auto owner = callbacks_.find_owner(pending->request.database);
  if (owner == own_instance_) {
    SubmitToLocalOwner(pending);
    return;
  }
  if (owner.empty()) {
    WaitForOwner(pending);
    return;
  }
  Forward forward;
  forward.id = ++last_forward_id_;
  forward.request = pending->request;
  forward.caller = static_cast<std::int64_t>(pending->caller);
  forward.request.repeated = pending->in_doubt;
  const auto left = pending->deadline - timers_.Now() - kAnswerTransitReserve;
  forward.request.patience_ms = std::max<std::int64_t>(
      std::chrono::duration_cast<Milliseconds>(left).count(), 1);
  if (!callbacks_.send_forward(owner, std::move(forward))) {
    WaitForOwner(pending);
    return;
  }
  pending->forward_id = last_forward_id_;
  pending->sent_to = owner;
  forwarded_[last_forward_id_] = pending;
}

void RequestRouter::SubmitToLocalOwner(const PendingPtr& pending) {
  auto request = std::make_shared<OwnerRequest>();
  request->request = pending->request;
  request->kind = pending->kind;
  request->token = pending->token;
  request->source = pending->caller;
  request->caller = pending->caller;
  // The owner's deadline is first, because its answer states more precisely
  // whether the request has run.
  request->deadline = pending->deadline - kOwnerDeadlineLead;
  request->in_doubt = pending->in_doubt;
  request->reply = [this, pending](CallerAnswer answer) {
    OnOwnerAnswer(pending, std::move(answer));
  };
  pending->sent_to = own_instance_;
  if (!callbacks_.submit_to_local_owner(pending->request.database,
                                        std::move(request))) {
    pending->sent_to.clear();
    WaitForOwner(pending);
  }
}

void RequestRouter::RouteAgainAfterDelay(const PendingPtr& pending) {
  pending->sent_to.clear();
  timers_.After(kRerouteDelay, [this, pending] {
    if (pending_.contains(pending->id) && pending->sent_to.empty()) {
      RouteRequest(pending);
    }
  });
}

void RequestRouter::WaitForOwner(const PendingPtr& pending) {
  waiting_for_owner_[pending->request.database].push_back(pending);
  if (waiting_for_owner_[pending->request.database].size() == 1) {
    // Retries even if no change of owner is reported.
    timers_.After(kRerouteDelay, [this, database = pending->request.database] {
      OnOwnerChanged(database);
    });
  }
}

void RequestRouter::OnOwnerChanged(const std::string& database) {
  const auto it = waiting_for_owner_.find(database);
  if (it == waiting_for_owner_.end()) {
    return;
  }
  for (const auto& pending : std::exchange(it->second, {})) {
    if (pending_.contains(pending->id)) {
      RouteRequest(pending);
    }
  }
}

void RequestRouter::OnForwardAnswer(const std::string& peer,
                                    const ForwardAnswer& answer) {
  auto map_node = forwarded_.extract(answer.id);
  if (map_node.empty() || map_node.mapped()->sent_to != peer) {
    return;
  }
  OnOwnerAnswer(map_node.mapped(), answer.answer);
}

void RequestRouter::OnPeerDown(const std::string& peer) {
  std::vector<PendingPtr> lost;
  for (const auto& [id, pending] : forwarded_) {
    if (pending->sent_to == peer) {
      lost.push_back(pending);
    }
  }
  for (const auto& it : lost) {
    forwarded_.erase(it->forward_id);
    it->in_doubt = true;
    if (it->request.step == Step::kStatement) {
      // If sent again, it could run twice within its transaction.
      FinishRequest(it, BuildUnknownOutcomeAnswer(
                            it->request.id, ErrorKind::kTransactionUnknown));
      continue;
    }
    RouteAgainAfterDelay(it);
  }
}

auto RequestRouter::MayRouteAgain(const PendingRequest& pending,
                                  const CallerAnswer& answer) const -> bool {
  if (timers_.Now() + kRerouteDelay + kAnswerTransitReserve >=
      pending.deadline) {
    return false;
  }
  return answer.error == ErrorKind::kNotOwner ||
         answer.error == ErrorKind::kFenced;
}

void RequestRouter::OnOwnerAnswer(const PendingPtr& pending,
                                  CallerAnswer answer) {
  if (!pending_.contains(pending->id)) {
    return;
  }
  if (MayRouteAgain(*pending, answer)) {
    pending->in_doubt |= answer.status == Status::kUnknown;
    RouteAgainAfterDelay(pending);
    return;
  }
  if (answer.status == Status::kNotRun && pending->in_doubt) {
    answer = BuildUnknownOutcomeAnswer(pending->request.id, answer.error,
                                       answer.retry_after_ms);
  }
  if (answer.error == ErrorKind::kNotOwner) {
    answer.error = ErrorKind::kNoOwner;
    answer.message = ErrorMessageFor(ErrorKind::kNoOwner);
    answer.retry_after_ms = PickRetryDelayMs();
  }
  FinishRequest(pending, std::move(answer));
}

void RequestRouter::OnDeadline(const PendingPtr& pending) {
  const auto& id = pending->request.id;
  const auto may_run = pending->in_doubt || !pending->sent_to.empty();
  const auto reason = pending->sent_to.empty() ? ErrorKind::kNoOwner
                                               : ErrorKind::kPatienceSpent;
  FinishRequest(pending,
                may_run
                    ? BuildUnknownOutcomeAnswer(id, reason, PickRetryDelayMs())
                    : BuildNotRunAnswer(id, reason, PickRetryDelayMs()));
}

void RequestRouter::AnswerAllPendingRequests(ErrorKind reason) {
  while (!pending_.empty()) {
    const auto pending = pending_.begin()->second;
    const auto may_run = pending->in_doubt || !pending->sent_to.empty();
    const auto is_write = pending->kind.access == Access::kWrite;
    const auto& id = pending->request.id;
    FinishRequest(pending, may_run && is_write
                               ? BuildUnknownOutcomeAnswer(id, reason)
                               : BuildNotRunAnswer(id, reason, 0));
  }
}

void RequestRouter::FinishRequest(const PendingPtr& pending,
                                  CallerAnswer answer) {
  answer.leaving = leaving_;
  timers_.Cancel(pending->deadline_timer);
  forwarded_.erase(pending->forward_id);
  pending_.erase(pending->id);
  if (answer.token.empty()) {
    answer.token = pending->request.token;
  }
  callbacks_.on_answered(pending->request, answer,
                         timers_.Now() - pending->received_at);
  if (pending->caller != 0) {
    outbox_.Send(pending->caller, std::move(answer));
  }
}

void RequestRouter::OnCallerClosed(ConnectionId caller) {
  for (auto& [id, pending] : pending_) {
    if (pending->caller == caller) {
      pending->caller = 0;
    }
  }
}

}  // namespace kingcuplock
