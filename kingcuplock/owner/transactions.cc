#include "kingcuplock/owner/transactions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "kingcuplock/outcome/content_hash.h"
#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Longest time in ms that one step may take at the primary.
constexpr Milliseconds kStepTimeout{1000};
/// Time in ms without a step after which a transaction is rolled back.
constexpr Milliseconds kIdleTimeout{5000};
/// Time in ms after which a caller may come back for a connection.
constexpr std::int64_t kPinRetryMs = 200;

auto OpOf(Step step) -> MemberOp {
  switch (step) {
    case Step::kBegin:
      return MemberOp::kBegin;
    case Step::kCommit:
      return MemberOp::kCommit;
    case Step::kRollback:
      return MemberOp::kRollback;
    case Step::kSingle:
    case Step::kStatement:
      break;
  }
  return MemberOp::kStatement;
}

}  // namespace

Transactions::Transactions(std::int64_t epoch,
                           GroupController& leader,
                           MemberPools& pools,
                           UnansweredWrites& unanswered_writes,
                           TimerService& timers,
                           TransactionCallbacks ports)
    : epoch_(epoch),
      leader_(leader),
      pools_(pools),
      open_sends_(unanswered_writes),
      timers_(timers),
      ports_(std::move(ports)) {}

Transactions::~Transactions() {
  for (const auto& [handle, transaction] : open_) {
    timers_.Cancel(transaction.idle_timer);
  }
}

void Transactions::SubmitRequest(const RequestPtr& request) {
  const auto step = request->request.step;
  if (step == Step::kBegin) {
    Begin(request);
    return;
  }
  const auto it = open_.find(request->request.transaction);
  if (it != open_.end()) {
    it->second.waiting.push_back(request);
    Send(it->first);
  } else if (step == Step::kCommit) {
    ports_.resolve_outcome(request);
  } else {
    ports_.finish(request, BuildGiveUpAnswer(
                               *request, ErrorKind::kTransactionUnknown, 0));
  }
}

void Transactions::Begin(const RequestPtr& request) {
  if (!leader_.IsServing()) {
    ports_.finish(request,
                  BuildGiveUpAnswer(*request, ErrorKind::kPrimaryUnavailable,
                                    kPinRetryMs));
    return;
  }
  auto& pool = *pools_.at(leader_.primary());
  if (!pool.HasFreeToPin()) {
    ports_.finish(
        request,
        BuildGiveUpAnswer(*request, ErrorKind::kTransactionsFull, kPinRetryMs));
    return;
  }
  const auto handle = NewHandle(request);
  auto& transaction = open_[handle];
  transaction.member = leader_.primary();
  transaction.term = leader_.term();
  transaction.connection = pool.Pin();
  transaction.source = request->source;
  transaction.waiting.push_back(request);
  Send(handle);
}

// The hash keeps callers from hitting another's transaction by mistake.
auto Transactions::NewHandle(const RequestPtr& request) -> std::string {
  auto seed = request->request;
  seed.transaction = request->request.id;
  return fmt::format("{}.{}.{}", epoch_, ++last_handle_, ContentHash(seed));
}

void Transactions::SendWaiting() {
  std::vector<std::string> handles;
  for (const auto& [handle, transaction] : open_) {
    if (!transaction.waiting.empty()) {
      handles.push_back(handle);
    }
  }
  for (const auto& it : handles) {
    Send(it);
  }
}

// Sends the next step if none is at the member and a slot is free.
void Transactions::Send(const std::string& handle) {
  const auto it = open_.find(handle);
  if (it == open_.end()) {
    return;
  }
  auto& transaction = it->second;
  const auto& pool = *pools_.at(transaction.member);
  if (transaction.running || transaction.waiting.empty() || !pool.HasSlot()) {
    return;
  }
  const auto request = transaction.waiting.front();
  transaction.waiting.pop_front();
  if (request->answered) {
    Send(handle);
    return;
  }
  SendOp(handle, request, OpOf(request->request.step));
}

auto Transactions::BuildCall(const OwnerRequest& request, MemberOp op) const
    -> MemberRequest {
  MemberRequest call;
  call.op = op;
  call.epoch = epoch_;
  call.term = leader_.term();
  if (op == MemberOp::kStatement) {
    call.statements = request.request.statements;
  } else if (op == MemberOp::kCommit) {
    call.request_id = request.request.id;
    call.issued_ms = request.request.issued_ms;
    call.content_hash = request.content_hash;
  }
  return call;
}

void Transactions::SendOp(const std::string& handle,
                          const RequestPtr& request,
                          MemberOp op) {
  auto& transaction = open_.at(handle);
  timers_.Cancel(transaction.idle_timer);
  transaction.running = request;
  request->at_member = true;
  if (op == MemberOp::kCommit) {
    open_sends_.NoteSent(request->request.id);
  }
  const auto sent =
      pools_.at(transaction.member)
          ->RunPinned(transaction.connection, BuildCall(*request, op),
                      kStepTimeout,
                      [this, handle, request, op](const MemberAnswer* answer) {
                        request->at_member = false;
                        OnAnswer(handle, request, op, answer);
                      });
  if (sent) {
    return;
  }
  request->at_member = false;
  if (op == MemberOp::kCommit) {
    open_sends_.NoteAnswered(request->request.id);
  }
  End(handle, false);
  ports_.finish(request,
                BuildGiveUpAnswer(*request, ErrorKind::kTransactionUnknown, 0));
}

void Transactions::OnAnswer(const std::string& handle,
                            const RequestPtr& request,
                            MemberOp op,
                            const MemberAnswer* answer) {
  const auto it = open_.find(handle);
  if (it != open_.end()) {
    it->second.running = nullptr;
  }
  if (answer == nullptr) {
    Lose(handle, request, op);
    return;
  }
  if (op == MemberOp::kCommit) {
    open_sends_.NoteAnswered(request->request.id);
    OnCommitted(handle, request, *answer);
    return;
  }
  if (it == open_.end()) {
    ports_.finish(request, BuildGiveUpAnswer(
                               *request, ErrorKind::kTransactionUnknown, 0));
    return;
  }
  const auto valid = leader_.IsServing() && it->second.term == leader_.term() &&
                     answer->term == leader_.term();
  if (!valid || answer->status != MemberStatus::kDone) {
    // What a statement did before it was refused is not known: roll back.
    End(handle, false);
    const auto refused = answer->status == MemberStatus::kRejected;
    ports_.finish(request,
                  refused ? BuildFailedAnswer(request->request.id,
                                              ErrorKind::kRejectedByDatabase)
                          : BuildGiveUpAnswer(
                                *request, ErrorKind::kTransactionUnknown, 0));
    return;
  }
  if (op == MemberOp::kBegin && !request->request.statements.empty()) {
    SendOp(handle, request, MemberOp::kStatement);
    return;
  }
  Answer(handle, request, *answer);
}

void Transactions::OnCommitted(const std::string& handle,
                               const RequestPtr& request,
                               const MemberAnswer& answer) {
  const auto term = leader_.term();
  const auto done = answer.status == MemberStatus::kDone;
  End(handle, done);
  if (done && answer.term == term && leader_.IsServing()) {
    ports_.answer_once_acknowledged(request, answer);
    return;
  }
  if (answer.status == MemberStatus::kRejected) {
    ports_.finish(request, BuildFailedAnswer(request->request.id,
                                             ErrorKind::kRejectedByDatabase));
    return;
  }
  request->in_doubt |= done;
  ports_.resolve_outcome(request);
  if (answer.status == MemberStatus::kFenced) {
    ports_.on_fenced_out();
  }
}

void Transactions::Answer(const std::string& handle,
                          const RequestPtr& request,
                          const MemberAnswer& answer) {
  const auto& member = open_.at(handle).member;
  auto out = BuildOkAnswer(*request, answer, member, false);
  // Nothing is committed yet: the session has seen nothing new.
  out.token = request->request.token;
  out.transaction = handle;
  if (request->request.step == Step::kRollback) {
    End(handle, true);
  } else {
    WatchIdle(handle);
  }
  ports_.finish(request, std::move(out));
  Send(handle);
}

void Transactions::Lose(const std::string& handle,
                        const RequestPtr& request,
                        MemberOp op) {
  request->in_doubt = true;
  End(handle, false);
  if (request->answered) {
    return;
  }
  if (op == MemberOp::kCommit) {
    ports_.resolve_outcome(request);
    return;
  }
  ports_.finish(request,
                BuildGiveUpAnswer(*request, ErrorKind::kTransactionUnknown, 0));
}

void Transactions::End(const std::string& handle, bool clean) {
  auto node = open_.extract(handle);
  if (node.empty()) {
    return;
  }
  auto& transaction = node.mapped();
  timers_.Cancel(transaction.idle_timer);
  const auto waiting = std::exchange(transaction.waiting, {});
  pools_.at(transaction.member)->Unpin(transaction.connection, clean);
  for (const auto& it : waiting) {
    ports_.finish(it,
                  BuildGiveUpAnswer(*it, ErrorKind::kTransactionUnknown, 0));
  }
}

void Transactions::WatchIdle(const std::string& handle) {
  auto& transaction = open_.at(handle);
  transaction.idle_timer =
      timers_.After(kIdleTimeout, [this, handle] { End(handle, false); });
}

void Transactions::DropRequest(const RequestPtr& request) {
  for (const auto& [handle, transaction] : open_) {
    const auto& waiting = transaction.waiting;
    const auto concerned =
        transaction.running == request ||
        std::find(waiting.begin(), waiting.end(), request) != waiting.end();
    if (!concerned) {
      continue;
    }
    const auto commits = transaction.running != nullptr &&
                         transaction.running->request.step == Step::kCommit;
    if (!commits) {
      End(std::string(handle), false);
    }
    return;
  }
}

void Transactions::OnInboundConnectionClosed(ConnectionId source) {
  std::vector<std::string> ended;
  for (const auto& [handle, transaction] : open_) {
    const auto commits = transaction.running != nullptr &&
                         transaction.running->request.step == Step::kCommit;
    if (transaction.source == source && !commits) {
      ended.push_back(handle);
    }
  }
  for (const auto& it : ended) {
    End(it, false);
  }
}

void Transactions::RollBackAll() {
  while (!open_.empty()) {
    End(std::string(open_.begin()->first), false);
  }
}

}  // namespace kingcuplock
