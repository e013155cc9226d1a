#pragma once

/// One statement of a client's session and its answer, as they pass between
/// clients, the gateway and members.
///
/// Example:
///   SessionStatement read{.id = "5c0e", .kind = StatementKind::kRead,
///                  .arguments = "1a4", .after = floor};

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// What a statement does.
enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate,
  /// For members only: forgets session values and prepared statements.
  kReset,
  /// For members only: asks for role, term and log position.
  kStatus,
  /// For members only: stops a replica from receiving, until resumed.
  kPause,
  /// For members only: ends kPause.
  kResume,
  /// For members only: makes a primary of a lower term a replica.
  kDemote,
  /// Text that is none of these.
  kMalformed
};

/// One statement. `arguments` is passed on byte for byte.
struct SessionStatement {
  /// The client's id of the statement; empty for the gateway's own.
  std::string id = {};
  StatementKind kind = StatementKind::kMalformed;
  /// Session value, or prepared statement, that it names.
  std::string name = {};
  /// Key and data of reads, writes and executions; a session value's data; the
  /// shape of a prepared statement; the term of kPause and kDemote.
  std::string arguments = {};
  /// For kPrepare: whether the statement writes.
  bool prepares_write = false;
  /// Position that the member's log must hold, for reads and begins.
  std::optional<LogPosition> after = {};
};

/// Where a session stands between statements.
enum class TransactionState { kIdle, kOpen, kFailed };

/// Why a statement had no success.
enum class StatementError {
  kNone,
  // Nothing of the attempt is kept.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kWrongMember,
  kTooManyConnections,
  // It did not run, or was never valid.
  kUnknownStatement,
  kUnknownDatabase,
  kUnauthorized,
  kTooLarge,
  kMalformed,
  // It may have run.
  kFailed,
  kTimeout,
  kUnknownOutcome,
  /// A code that this version does not know.
  kUnrecognized
};

/// Returns the name of `error`, for logs.
auto ToString(StatementError error) -> std::string_view;

/// Returns the name of `kind`, for logs.
auto ToString(StatementKind kind) -> std::string_view;

/// A member's own account of itself.
struct MemberReport {
  bool is_primary = false;
  /// Newest term that it knows.
  std::int64_t term = 0;
  /// End of what it received.
  LogPosition received;
  /// Term for which kPause stopped it from receiving, 0 for none.
  std::int64_t paused_term = 0;
  std::int64_t lag_ms = 0;
  std::int64_t busy = 0;
  std::int64_t connections = 0;
};

/// The answer to one statement, or a member's greeting.
struct StatementAnswer {
  std::vector<std::string> rows;
  /// kNone for success.
  StatementError error = StatementError::kNone;
  /// What the member vouches for its answer with; empty for the gateway's own.
  std::string signature;
  /// Text for people, of an error.
  std::string text;
  TransactionState state = TransactionState::kIdle;
  /// End of the member's log, if it told.
  std::optional<LogPosition> place;
  /// Of kStatus, kPause, kResume and kDemote.
  std::optional<MemberReport> status;

  auto IsOk() const -> bool { return error == StatementError::kNone; }

  /// Returns whether a member vouches for it. A success of a read, write or
  /// commit without it belongs to another statement: an answer was lost.
  auto IsSigned() const -> bool {
    return !signature.empty() && signature != kUnsigned;
  }

  /// Signature of statements that members do not vouch for.
  static constexpr std::string_view kUnsigned = "-";
};

/// What a client opens its session with.
struct ClientHello {
  std::string database;
  std::string user;
};

/// A client ends its session in order.
struct ClientGoodbye {};

/// Bytes of a client that are no message; the session can't go on.
struct InvalidClientInput {
  StatementError error = StatementError::kMalformed;
  std::string reason;
};

}  // namespace kingcuplock
