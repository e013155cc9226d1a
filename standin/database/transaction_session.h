#pragma once

/// The transaction of a connection to a stand-in member. Its statements run on
/// a private view of the rows until the commit; a rollback and the end of the
/// connection discard them.
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

/// Transaction state of one connection. Not thread safe.
class TransactionSession {
 public:
  /// Carries out a request of the connection at member `name`; requests that
  /// aren't part of a transaction go to DatabaseGroup::Handle(). Throws
  /// std::out_of_range for an unknown name. `now_us` is the time in
  /// microseconds of a monotonic clock.
  auto Handle(DatabaseGroup& group,
              std::string_view name,
              const MemberRequest& request,
              std::int64_t now_us) -> MemberAnswer;

  /// Returns whether a transaction is open.
  auto IsOpen() const -> bool { return open_; }

  /// Returns the statements that the open transaction has run so far.
  auto statements() const -> const std::vector<Statement>& {
    return statements_;
  }

 private:
  void ResetTransaction(bool open);
  auto RunStatement(DatabaseGroup& group,
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
