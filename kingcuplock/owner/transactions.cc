#include "kingcuplock/owner/transactions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "kingcuplock/outcome/content_hash.h"
#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Longest wait in ms for the primary's answer to one step.
constexpr Milliseconds kStepTimeout{1000};
/// Time in ms without a step after which a transaction is rolled back.
constexpr Milliseconds kIdleTimeout{5000};
/// Time in ms after which a caller may retry when no transaction can be begun.
constexpr std::int64_t kBeginRetryMs = 200;

auto MemberOpOf(Step step) -> MemberOp {
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
                           GroupController& controller,
                           MemberPools& pools,
                           UnansweredWrites& unanswered_writes,
                           TimerService& timers,
                           TransactionCallbacks callbacks)
    : epoch_(epoch),
      controller_(controller),
      pools_(pools),
      unanswered_writes_(unanswered_writes),
      timers_(timers),
      callbacks_(std::move(callbacks)) {}

Transactions::~Transactions() {
  for (const auto& [handle, transaction] : open_) {
    timers_.Cancel(transaction.idle_timer);
  }
}

void Transactions::SubmitRequest(const RequestPtr& request) {
  const auto step = request->request.step;
  if (step == Step::kBegin) {
    BeginTransaction(request);
    return;
  }
  const auto it = open_.find(request->request.transaction);
  if (it != open_.end()) {
    it->second.waiting.push_back(request);
    SendNextStep(it->first);
  } else if (step == Step::kCommit) {
    callbacks_.resolve_outcome(request);
  } else {
    callbacks_.finish(
        request,
        BuildGiveUpAnswer(*request, ErrorKind::kTransactionUnknown, 0));
  }
}

void Transactions::BeginTransaction(const RequestPtr& request) {
  if (!controller_.IsServing()) {
    callbacks_.finish(
        request, BuildGiveUpAnswer(*request, ErrorKind::kPrimaryUnavailable,
                                   kBeginRetryMs));
    return;
  }
  auto& pool = *pools_.at(controller_.primary());
  if (!pool.CanPinConnection()) {
    callbacks_.finish(request,
                      BuildGiveUpAnswer(*request, ErrorKind::kTransactionsFull,
                                        kBeginRetryMs));
    return;
  }
  const auto handle = NewHandle(request);
  auto& transaction = open_[handle];
  transaction.member = controller_.primary();
  transaction.term = controller_.term();
  transaction.connection = pool.PinConnection();
  transaction.source = request->source;
  transaction.waiting.push_back(request);
  SendNextStep(handle);
}

// The hash keeps a caller from addressing another caller's transaction by
// mistake.
auto Transactions::NewHandle(const RequestPtr& request) -> std::string {
  auto seed = request->request;
  seed.transaction = request->request.id;
  return fmt::format("{}.{}.{}", epoch_, ++last_handle_,
                     HashRequestContent(seed));
}

void Transactions::SendWaiting() {
  std::vector<std::string> handles;
  for (const auto& [handle, transaction] : open_) {
    if (!transaction.waiting.empty()) {
      handles.push_back(handle);
    }
  }
  for (const auto& it : handles) {
    SendNextStep(it);
  }
}

// Sends the next step if none is at the member and a slot is free.
void Transactions::SendNextStep(const std::string& handle) {
  const auto it = open_.find(handle);
  if (it == open_.end()) {
    return;
  }
  auto& transaction = it->second;
  const auto& pool = *pools_.at(transaction.member);
  if (transaction.running || transaction.waiting.empty() ||
      !pool.HasFreeSlot()) {
    return;
  }
  const auto request = transaction.waiting.front();
  transaction.waiting.pop_front();
  if (request->answered) {
    SendNextStep(handle);
    return;
  }
  SendStep(handle, request, MemberOpOf(request->request.step));
}

auto Transactions::BuildMemberRequest(const OwnerRequest& request,
                                      MemberOp op) const -> MemberRequest {
  MemberRequest call;
  call.op = op;
  call.epoch = epoch_;
  call.term = controller_.term();
  if (op == MemberOp::kStatement) {
    call.statements = request.request.statements;
  } else if (op == MemberOp::kCommit) {
    call.request_id = request.request.id;
    call.issued_ms = request.request.issued_ms;
    call.content_hash = request.content_hash;
  }
  return call;
}

void Transactions::SendStep(const std::string& handle,
                            const RequestPtr& request,
                            MemberOp op) {
  auto& transaction = open_.at(handle);
  timers_.Cancel(transaction.idle_timer);
  transaction.running = request;
  request->at_member = true;
  if (op == MemberOp::kCommit) {
    unanswered_writes_.NoteSent(request->request.id);
  }
  const auto sent =
      pools_.at(transaction.member)
          ->RunPinned(transaction.connection, BuildMemberRequest(*request, op),
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
    unanswered_writes_.NoteAnswered(request->request.id);
  }
  EndTransaction(handle, false);
  callbacks_.finish(
      request, BuildGiveUpAnswer(*request, ErrorKind::kTransactionUnknown, 0));
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
    OnAnswerLost(handle, request, op);
    return;
  }
  if (op == MemberOp::kCommit) {
    unanswered_writes_.NoteAnswered(request->request.id);
    OnCommitted(handle, request, *answer);
    return;
  }
  if (it == open_.end()) {
    callbacks_.finish(
        request,
        BuildGiveUpAnswer(*request, ErrorKind::kTransactionUnknown, 0));
    return;
  }
  const auto valid = controller_.IsServing() &&
                     it->second.term == controller_.term() &&
                     answer->term == controller_.term();
  if (!valid || answer->status != MemberStatus::kDone) {
    // It is not known what the statement did before it was refused: roll back.
    EndTransaction(handle, false);
    const auto refused = answer->status == MemberStatus::kRejected;
    callbacks_.finish(
        request, refused ? BuildFailedAnswer(request->request.id,
                                             ErrorKind::kRejectedByDatabase)
                         : BuildGiveUpAnswer(
                               *request, ErrorKind::kTransactionUnknown, 0));
    return;
  }
  if (op == MemberOp::kBegin && !request->request.statements.empty()) {
    SendStep(handle, request, MemberOp::kStatement);
    return;
  }
  AnswerStep(handle, request, *answer);
}

void Transactions::OnCommitted(const std::string& handle,
                               const RequestPtr& request,
                               const MemberAnswer& answer) {
  const auto term = controller_.term();
  const auto done = answer.status == MemberStatus::kDone;
  EndTransaction(handle, done);
  if (done && answer.term == term && controller_.IsServing()) {
    callbacks_.answer_once_acknowledged(request, answer);
    return;
  }
  if (answer.status == MemberStatus::kRejected) {
    callbacks_.finish(
        request,
        BuildFailedAnswer(request->request.id, ErrorKind::kRejectedByDatabase));
    return;
  }
  request->in_doubt |= done;
  callbacks_.resolve_outcome(request);
  if (answer.status == MemberStatus::kFenced) {
    callbacks_.on_fenced_out();
  }
}

void Transactions::AnswerStep(const std::string& handle,
                              const RequestPtr& request,
                              const MemberAnswer& answer) {
  const auto& member = open_.at(handle).member;
  auto out = BuildOkAnswer(*request, answer, member, false);
  // Nothing is committed yet, so the session's token does not advance.
  out.token = request->request.token;
  out.transaction = handle;
  if (request->request.step == Step::kRollback) {
    EndTransaction(handle, true);
  } else {
    StartIdleTimer(handle);
  }
  callbacks_.finish(request, std::move(out));
  SendNextStep(handle);
}

void Transactions::OnAnswerLost(const std::string& handle,
                                const RequestPtr& request,
                                MemberOp op) {
  request->in_doubt = true;
  EndTransaction(handle, false);
  if (request->answered) {
    return;
  }
  if (op == MemberOp::kCommit) {
    callbacks_.resolve_outcome(request);
    return;
  }
  callbacks_.finish(
      request, BuildGiveUpAnswer(*request, ErrorKind::kTransactionUnknown, 0));
}

void Transactions::EndTransaction(const std::string& handle, bool clean) {
  auto node = open_.extract(handle);
  if (node.empty()) {
    return;
  }
  auto& transaction = node.mapped();
  timers_.Cancel(transaction.idle_timer);
  const auto waiting = std::exchange(transaction.waiting, {});
  pools_.at(transaction.member)->UnpinConnection(transaction.connection, clean);
  for (const auto& it : waiting) {
    callbacks_.finish(
        it, BuildGiveUpAnswer(*it, ErrorKind::kTransactionUnknown, 0));
  }
}

void Transactions::StartIdleTimer(const std::string& handle) {
  auto& transaction = open_.at(handle);
  transaction.idle_timer = timers_.After(
      kIdleTimeout, [this, handle] { EndTransaction(handle, false); });
}

void Transactions::DropRequest(const RequestPtr& request) {
  for (const auto& [handle, transaction] : open_) {
    const auto& waiting = transaction.waiting;
    const auto has_request =
        transaction.running == request ||
        std::find(waiting.begin(), waiting.end(), request) != waiting.end();
    if (!has_request) {
      continue;
    }
    const auto commit_is_running =
        transaction.running != nullptr &&
        transaction.running->request.step == Step::kCommit;
    if (!commit_is_running) {
      EndTransaction(std::string(handle), false);
    }
    return;
  }
}

void Transactions::OnInboundConnectionClosed(ConnectionId source) {
  std::vector<std::string> ended;
  for (const auto& [handle, transaction] : open_) {
    const auto commit_is_running =
        transaction.running != nullptr &&
        transaction.running->request.step == Step::kCommit;
    if (transaction.source == source && !commit_is_running) {
      ended.push_back(handle);
    }
  }
  for (const auto& it : ended) {
    EndTransaction(it, false);
  }
}

void Transactions::RollBackAll() {
  while (!open_.empty()) {
    EndTransaction(std::string(open_.begin()->first), false);
  }
}

}  // namespace kingcuplock
