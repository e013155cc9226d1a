#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

auto ToString(StatementError error) -> std::string_view {
  switch (error) {
    case StatementError::kNone:
      return "ok";
    case StatementError::kBusy:
      return "busy";
    case StatementError::kAborted:
      return "aborted";
    case StatementError::kLagging:
      return "lagging";
    case StatementError::kReadOnly:
      return "read_only";
    case StatementError::kWrongMember:
      return "wrong_member";
    case StatementError::kTooManyConnections:
      return "too_many_connections";
    case StatementError::kUnknownStatement:
      return "unknown_statement";
    case StatementError::kUnknownDatabase:
      return "unknown_database";
    case StatementError::kUnauthorized:
      return "unauthorized";
    case StatementError::kTooLarge:
      return "too_large";
    case StatementError::kMalformed:
      return "malformed";
    case StatementError::kFailed:
      return "failed";
    case StatementError::kTimeout:
      return "timeout";
    case StatementError::kUnknownOutcome:
      return "unknown_outcome";
    case StatementError::kUnrecognized:
      return "unrecognized";
  }
  return "unrecognized";
}

auto ToString(StatementKind kind) -> std::string_view {
  switch (kind) {
    case StatementKind::kBegin:
      return "begin";
    case StatementKind::kBeginReadOnly:
      return "begin_read_only";
    case StatementKind::kCommit:
      return "commit";
    case StatementKind::kRollback:
      return "rollback";
    case StatementKind::kRead:
      return "read";
    case StatementKind::kWrite:
      return "write";
    case StatementKind::kSetValue:
      return "set_value";
    case StatementKind::kPrepare:
      return "prepare";
    case StatementKind::kExecute:
      return "execute";
    case StatementKind::kDeallocate:
      return "deallocate";
    case StatementKind::kReset:
      return "reset";
    case StatementKind::kStatus:
      return "status";
    case StatementKind::kPause:
      return "pause";
    case StatementKind::kResume:
      return "resume";
    case StatementKind::kDemote:
      return "demote";
    case StatementKind::kMalformed:
      return "malformed";
  }
  return "malformed";
}

}  // namespace kingcuplock
