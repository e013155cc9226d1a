#include "standin/database/transaction_session.h"

#include <string>
#include <utility>

namespace kingcuplock {
namespace {

/// Returns a rejection with a message.
auto MakeRejection(const MemberState& member,
                   std::int64_t request_id,
                   const std::string& message) -> MemberAnswer {
  auto answer =
      DatabaseGroup::MakeAnswer(member, request_id, MemberStatus::kRejected);
  answer.message = message;
  return answer;
}

}  // namespace

auto TransactionSession::Handle(DatabaseGroup& group,
                                std::string_view name,
                                const MemberRequest& request,
                                std::int64_t now_us) -> MemberAnswer {
  switch (request.op) {
    case MemberOp::kBegin:
      ResetTransaction(true);
      return DatabaseGroup::MakeAnswer(group.member(name), request.id,
                                       MemberStatus::kDone);
    case MemberOp::kStatement:
      return RunStatement(group, name, request);
    case MemberOp::kCommit:
      return Commit(group, name, request, now_us);
    case MemberOp::kRollback:
      ResetTransaction(false);
      return DatabaseGroup::MakeAnswer(group.member(name), request.id,
                                       MemberStatus::kDone);
    default:
      return group.Handle(name, request, now_us);
  }
}

void TransactionSession::ResetTransaction(bool open) {
  open_ = open;
  statements_.clear();
  results_.clear();
}

auto TransactionSession::RunStatement(DatabaseGroup& group,
                                      std::string_view name,
                                      const MemberRequest& request)
    -> MemberAnswer {
  if (!open_) {
    return MakeRejection(group.member(name), request.id,
                         "no transaction is open on this connection");
  }
  auto preview = request;
  preview.statements = statements_;
  preview.statements.insert(preview.statements.end(),
                            request.statements.begin(),
                            request.statements.end());
  auto answer = group.RunUncommitted(name, preview);
  if (answer.status != MemberStatus::kDone) {
    return answer;
  }
  const auto previous_results = static_cast<std::ptrdiff_t>(results_.size());
  statements_ = std::move(preview.statements);
  results_ = answer.results;
  answer.results.erase(answer.results.begin(),
                       answer.results.begin() + previous_results);
  return answer;
}

auto TransactionSession::Commit(DatabaseGroup& group,
                                std::string_view name,
                                const MemberRequest& request,
                                std::int64_t now_us) -> MemberAnswer {
  auto commit = request;
  commit.op = MemberOp::kExecute;
  commit.statements = statements_;
  const auto expected = results_;
  const auto was_open = open_;
  ResetTransaction(false);
  auto& member = group.member(name);
  if (!was_open) {
    return MakeRejection(member, request.id,
                         "no transaction is open on this connection");
  }
  const auto repeated = member.markers.contains(request.request_id);
  const auto current = group.RunUncommitted(name, commit);
  if (!repeated && current.status == MemberStatus::kDone &&
      current.results != expected) {
    return MakeRejection(member, request.id,
                         "rows read by the transaction have changed");
  }
  return group.Handle(name, commit, now_us);
}

}  // namespace kingcuplock
