#include "standin/database/transaction_session.h"

#include <string>
#include <utility>

namespace kingcuplock {
namespace {

auto Rejected(const MemberState& member,
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
      Reset(true);
      return DatabaseGroup::MakeAnswer(group.member(name), request.id,
                                       MemberStatus::kDone);
    case MemberOp::kStatement:
      return Run(group, name, request);
    case MemberOp::kCommit:
      return Commit(group, name, request, now_us);
    case MemberOp::kRollback:
      Reset(false);
      return DatabaseGroup::MakeAnswer(group.member(name), request.id,
                                       MemberStatus::kDone);
    default:
      return group.Handle(name, request, now_us);
  }
}

void TransactionSession::Reset(bool open) {
  open_ = open;
  statements_.clear();
  results_.clear();
}

auto TransactionSession::Run(DatabaseGroup& group,
                             std::string_view name,
                             const MemberRequest& request) -> MemberAnswer {
  if (!open_) {
    return Rejected(group.member(name), request.id,
                    "no transaction is open on this connection");
  }
  auto trial = request;
  trial.statements = statements_;
  trial.statements.insert(trial.statements.end(), request.statements.begin(),
                          request.statements.end());
  auto answer = group.RunUncommitted(name, trial);
  if (answer.status != MemberStatus::kDone) {
    return answer;
  }
  const auto seen = static_cast<std::ptrdiff_t>(results_.size());
  statements_ = std::move(trial.statements);
  results_ = answer.results;
  answer.results.erase(answer.results.begin(), answer.results.begin() + seen);
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
  Reset(false);
  auto& member = group.member(name);
  if (!was_open) {
    return Rejected(member, request.id,
                    "no transaction is open on this connection");
  }
  const auto replay = member.markers.contains(request.request_id);
  const auto now = group.RunUncommitted(name, commit);
  if (!replay && now.status == MemberStatus::kDone && now.results != expected) {
    return Rejected(member, request.id,
                    "rows read by the transaction have changed");
  }
  return group.Handle(name, commit, now_us);
}

}  // namespace kingcuplock
