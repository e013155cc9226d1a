#pragma once

/// The transaction that is open on one connection to a stand-in member: its
/// statements run on a private view until commit, and are dropped by rollback
/// and with the connection.
///
/// Example:
///   TransactionSession session;
///   auto answer = session.Handle(group, "db-1", request, now_us);

#include <cstdint>
#include <string_view>
#include <vector>

#include "kingcuplock/schema/messages.h"
#include "standin/database/database_group.h"

namespace kingcuplock {

/// Not thread safe.
class TransactionSession {
 public:
  /// Carries out any request of the connection at member `name`; what is no
  /// step of a transaction goes to the group.
  auto Handle(DatabaseGroup& group,
              std::string_view name,
              const MemberRequest& request,
              std::int64_t now_us) -> MemberAnswer;

  /// Returns whether a transaction is open.
  auto IsOpen() const -> bool { return open_; }

  /// Returns the statements that the open transaction has run.
  auto statements() const -> const std::vector<Statement>& {
    return statements_;
  }

 private:
  void Reset(bool open);
  auto Run(DatabaseGroup& group,
           std::string_view name,
           const MemberRequest& request) -> MemberAnswer;
  auto Commit(DatabaseGroup& group,
              std::string_view name,
              const MemberRequest& request,
              std::int64_t now_us) -> MemberAnswer;

  bool open_ = false;
  std::vector<Statement> statements_;
  std::vector<StatementResult> results_;
};

}  // namespace kingcuplock
