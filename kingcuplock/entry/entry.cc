#include "kingcuplock/entry/entry.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Part of the patience in ms that is kept for the way back from the owner.
constexpr Milliseconds kAnswerReserve{20};
/// How much earlier in ms the owner in this process gives a request up.
constexpr Milliseconds kOwnerAnswersFirst{1};
/// Pause in ms before a request is routed again.
constexpr Milliseconds kReroutePause{20};
/// Time in ms after which a caller may come back when there is no owner.
constexpr Milliseconds kNoOwnerRetry{500};
/// Longest patience in ms that a request may state.
constexpr std::int64_t kMaxPatienceMs = 600'000;

auto IsReadOnly(const CallerRequest& request) -> bool {
  return std::all_of(request.statements.begin(), request.statements.end(),
                     [](const auto& it) { return it.verb == Verb::kGet; });
}

}  // namespace

RequestRouter::RequestRouter(std::string self,
                             TimerService& timers,
                             Outbox& outbox,
                             RequestRouterCallbacks ports)
    : self_(std::move(self)),
      timers_(timers),
      outbox_(outbox),
      ports_(std::move(ports)),
      retry_after_(std::hash<std::string>{}(self_)) {}

auto RequestRouter::RetryMs() -> std::int64_t {
  return retry_after_.PickDelayMs(kNoOwnerRetry);
}

void RequestRouter::Refuse(ConnectionId caller,
                           const CallerRequest& request,
                           ErrorKind kind) {
  const auto retry = kind == ErrorKind::kNoManifest ? RetryMs() : 0;
  auto answer = request.repeated
                    ? BuildUnknownOutcomeAnswer(request.id, kind, retry)
                    : BuildNotRunAnswer(request.id, kind, retry);
  answer.token = request.token;
  answer.leaving = leaving_;
  ports_.on_answered(request, answer, Duration::zero());
  outbox_.Send(caller, std::move(answer));
}

auto RequestRouter::Resolve(ConnectionId caller,
                            const CallerRequest& request,
                            KindConfig& kind) -> bool {
  const auto& manifest = ports_.manifest();
  if (manifest.version == 0) {
    Refuse(caller, request, ErrorKind::kNoManifest);
    return false;
  }
  const auto* database = FindDatabase(manifest, request.database);
  if (database == nullptr) {
    Refuse(caller, request, ErrorKind::kUnknownDatabase);
    return false;
  }
  const auto* found = FindKind(*database, request.kind);
  if (found == nullptr) {
    Refuse(caller, request, ErrorKind::kUnknownKind);
    return false;
  }
  const auto fits_read = request.step == Step::kSingle && IsReadOnly(request);
  if (found->access == Access::kRead && !fits_read) {
    Refuse(caller, request, ErrorKind::kWrongAccess);
    return false;
  }
  const auto must_not_repeat =
      found->access == Access::kWrite && !found->repeatable;
  const auto writes =
      request.step == Step::kSingle || request.step == Step::kCommit;
  if (must_not_repeat && writes && request.issued_ms <= 0) {
    Refuse(caller, request, ErrorKind::kIssueTimeMissing);
    return false;
  }
  kind = *found;
  return true;
}

void RequestRouter::OnRequest(ConnectionId caller, CallerRequest request) {
  last_request_ = timers_.Now();
  if (refusing_) {
    Refuse(caller, request, ErrorKind::kLeaving);
    return;
  }
  auto pending = std::make_shared<PendingRequest>();
  if (!Resolve(caller, request, pending->kind)) {
    return;
  }
  try {
    pending->token = SessionToken::Parse(request.token);
  } catch (const SessionTokenError&) {
    Refuse(caller, request, ErrorKind::kBadToken);
    return;
  }
  const auto patience =
      std::clamp<std::int64_t>(request.patience_ms, 0, kMaxPatienceMs);
  pending->id = ++last_id_;
  pending->caller = caller;
  pending->in_doubt = request.repeated;
  pending->request = std::move(request);
  pending->began = timers_.Now();
  pending->deadline = timers_.Now() + Milliseconds(patience);
  pending->deadline_timer = timers_.After(
      Milliseconds(patience), [this, pending] { OnDeadline(pending); });
  pending_[pending->id] = pending;
  Route(pending);
}

void RequestRouter::Route(const PendingPtr& pending) {
  const auto owner = ports_.find_owner(pending->request.database);
  if (owner == self_) {
    RouteHere(pending);
    return;
  }
  if (owner.empty()) {
    Hold(pending);
    return;
  }
  Forward forward;
  forward.id = ++last_forward_;
  forward.request = pending->request;
  forward.caller = static_cast<std::int64_t>(pending->caller);
  forward.request.repeated = pending->in_doubt;
  const auto left = pending->deadline - timers_.Now() - kAnswerReserve;
  forward.request.patience_ms = std::max<std::int64_t>(
      std::chrono::duration_cast<Milliseconds>(left).count(), 1);
  if (!ports_.forward(owner, std::move(forward))) {
    Hold(pending);
    return;
  }
  pending->forward_id = last_forward_;
  pending->sent_to = owner;
  forwarded_[last_forward_] = pending;
}

void RequestRouter::RouteHere(const PendingPtr& pending) {
  auto request = std::make_shared<OwnerRequest>();
  request->request = pending->request;
  request->kind = pending->kind;
  request->token = pending->token;
  request->source = pending->caller;
  request->caller = pending->caller;
  // The owner answers first: it knows more than the entry.
  request->deadline = pending->deadline - kOwnerAnswersFirst;
  request->in_doubt = pending->in_doubt;
  request->reply = [this, pending](CallerAnswer answer) {
    OnOwnerAnswer(pending, std::move(answer));
  };
  pending->sent_to = self_;
  if (!ports_.submit_to_local_owner(pending->request.database,
                                    std::move(request))) {
    pending->sent_to.clear();
    Hold(pending);
  }
}

void RequestRouter::RouteSoon(const PendingPtr& pending) {
  pending->sent_to.clear();
  timers_.After(kReroutePause, [this, pending] {
    if (pending_.contains(pending->id) && pending->sent_to.empty()) {
      Route(pending);
    }
  });
}

void RequestRouter::Hold(const PendingPtr& pending) {
  held_[pending->request.database].push_back(pending);
  if (held_[pending->request.database].size() == 1) {
    // Looks again even if no change of owner is reported.
    timers_.After(kReroutePause, [this, database = pending->request.database] {
      OnOwnerChanged(database);
    });
  }
}

void RequestRouter::OnOwnerChanged(const std::string& database) {
  const auto it = held_.find(database);
  if (it == held_.end()) {
    return;
  }
  for (const auto& pending : std::exchange(it->second, {})) {
    if (pending_.contains(pending->id)) {
      Route(pending);
    }
  }
}

void RequestRouter::OnForwardAnswer(const std::string& peer,
                                    const ForwardAnswer& answer) {
  auto node = forwarded_.extract(answer.id);
  if (node.empty() || node.mapped()->sent_to != peer) {
    return;
  }
  OnOwnerAnswer(node.mapped(), answer.answer);
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
      // Sent again, it could run twice within its transaction.
      Finish(it, BuildUnknownOutcomeAnswer(it->request.id,
                                           ErrorKind::kTransactionUnknown));
      continue;
    }
    RouteSoon(it);
  }
}

auto RequestRouter::MayAskAgain(const PendingRequest& pending,
                                const CallerAnswer& answer) const -> bool {
  if (timers_.Now() + kReroutePause + kAnswerReserve >= pending.deadline) {
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
  if (MayAskAgain(*pending, answer)) {
    pending->in_doubt |= answer.status == Status::kUnknown;
    RouteSoon(pending);
    return;
  }
  if (answer.status == Status::kNotRun && pending->in_doubt) {
    answer = BuildUnknownOutcomeAnswer(pending->request.id, answer.error,
                                       answer.retry_after_ms);
  }
  if (answer.error == ErrorKind::kNotOwner) {
    answer.error = ErrorKind::kNoOwner;
    answer.message = ErrorMessageFor(ErrorKind::kNoOwner);
    answer.retry_after_ms = RetryMs();
  }
  Finish(pending, std::move(answer));
}

void RequestRouter::OnDeadline(const PendingPtr& pending) {
  const auto& id = pending->request.id;
  const auto may_run = pending->in_doubt || !pending->sent_to.empty();
  const auto reason = pending->sent_to.empty() ? ErrorKind::kNoOwner
                                               : ErrorKind::kPatienceSpent;
  Finish(pending, may_run ? BuildUnknownOutcomeAnswer(id, reason, RetryMs())
                          : BuildNotRunAnswer(id, reason, RetryMs()));
}

void RequestRouter::AnswerAllPendingRequests(ErrorKind reason) {
  while (!pending_.empty()) {
    const auto pending = pending_.begin()->second;
    const auto may_run = pending->in_doubt || !pending->sent_to.empty();
    const auto is_write = pending->kind.access == Access::kWrite;
    const auto& id = pending->request.id;
    Finish(pending, may_run && is_write ? BuildUnknownOutcomeAnswer(id, reason)
                                        : BuildNotRunAnswer(id, reason, 0));
  }
}

void RequestRouter::Finish(const PendingPtr& pending, CallerAnswer answer) {
  answer.leaving = leaving_;
  timers_.Cancel(pending->deadline_timer);
  forwarded_.erase(pending->forward_id);
  pending_.erase(pending->id);
  if (answer.token.empty()) {
    answer.token = pending->request.token;
  }
  ports_.on_answered(pending->request, answer, timers_.Now() - pending->began);
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
