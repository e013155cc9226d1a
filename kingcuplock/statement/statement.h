#pragma once

/// Statements of a client's session and their answers, as exchanged between
/// clients, the gateway and members.
///
/// Example:
///   SessionStatement read{.id = "5c0e", .kind = StatementKind::kRead,
///                         .arguments = "1a4", .after = session_position};

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Operation of a statement.
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
  /// For members only: discards session values and prepared statements.
  kReset,
  /// For members only: requests a MemberReport with role, term and position.
  kStatus,
  /// For members only: stops replication to a replica until kResume.
  kPause,
  /// For members only: ends kPause.
  kResume,
  /// For members only: turns a primary of a lower term into a replica.
  kDemote,
  /// Input that is no valid statement.
  kMalformed
};

/// One statement. `arguments` is passed on unchanged, byte for byte.
struct SessionStatement {
  /// Id that the client gave the statement; empty for statements of the
  /// gateway.
  std::string id = {};
  StatementKind kind = StatementKind::kMalformed;
  /// Name of the session value or prepared statement that it refers to.
  std::string name = {};
  /// Key and data of kRead, kWrite and kExecute; the new value of kSetValue;
  /// the definition of kPrepare; the term of kPause and kDemote.
  std::string arguments = {};
  /// For kPrepare: whether the prepared statement writes.
  bool prepares_write = false;
  /// For reads and begins: position that the member's log must have reached.
  std::optional<LogPosition> after = {};
};

/// Transaction state of a session between two statements.
enum class TransactionState { kIdle, kOpen, kFailed };

/// Reason for which a statement did not succeed, grouped by its effect.
enum class StatementError {
  kNone,
  // The attempt had no effect.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kWrongMember,
  kTooManyConnections,
  // The statement did not run, or is not valid.
  kUnknownStatement,
  kUnknownDatabase,
  kUnauthorized,
  kTooLarge,
  kMalformed,
  // The statement may have run.
  kFailed,
  kTimeout,
  kUnknownOutcome,
  /// An error code that this version does not know.
  kUnrecognized
};

/// Returns whether a member that answers with `error` has not run the
/// statement.
constexpr auto MeansNotRun(StatementError error) -> bool {
  switch (error) {
    case StatementError::kBusy:
    case StatementError::kUnknownStatement:
    case StatementError::kLagging:
    case StatementError::kReadOnly:
      return true;
    default:
      return false;
  }
}

/// Returns the name of `error`, for logs.
auto ToString(StatementError error) -> std::string_view;

/// Returns the name of `kind`, for logs.
auto ToString(StatementKind kind) -> std::string_view;

/// State that a member reports about itself.
struct MemberReport {
  bool is_primary = false;
  /// Highest term that the member knows.
  std::int64_t term = 0;
  /// Last log entry that the member has received.
  LogPosition received;
  /// Term of the kPause that stopped its replication, 0 if it is not paused.
  std::int64_t paused_term = 0;
  /// Replication lag in ms.
  std::int64_t lag_ms = 0;
  /// Number of statements that are running.
  std::int64_t busy = 0;
  /// Number of open connections.
  std::int64_t connections = 0;
  /// When the member accepted the connection on which this report came, by the
  /// receiver's clock. The member has been running since then.
  Time connected_since{};

  /// Returns whether replication is stopped. A kPause for a term that the
  /// member has reached has no effect.
  auto IsPaused() const -> bool { return paused_term > term; }
};

/// Answer to one statement, or the hello that a member sends on a new
/// connection.
struct StatementAnswer {
  /// Result rows.
  std::vector<std::string> rows;
  /// kNone for success.
  StatementError error = StatementError::kNone;
  /// Signature by which the member confirms that the answer is its own; empty
  /// for answers of the gateway.
  std::string signature;
  /// Human-readable description of the error.
  std::string text;
  TransactionState state = TransactionState::kIdle;
  /// Last entry of the member's log, if the member reported it.
  std::optional<LogPosition> place;
  /// Set in answers to kStatus, kPause, kResume and kDemote.
  std::optional<MemberReport> status;

  auto IsOk() const -> bool { return error == StatementError::kNone; }

  /// Returns whether a member signed the answer. A successful answer to a read,
  /// write or commit that is not signed belongs to another statement, because
  /// an answer was lost.
  auto IsSigned() const -> bool {
    return !signature.empty() && signature != kUnsigned;
  }

  /// Signature text of answers that members do not sign.
  static constexpr std::string_view kUnsigned = "-";
};

/// First message of a client's session.
struct ClientHello {
  std::string database;
  /// Digest of the client's key, see DigestOfKey(); empty if it sent none.
  std::string key_digest;
};

/// Message by which a client ends its session in an orderly way.
struct ClientGoodbye {};

/// Received bytes that are not a valid message; the session can't continue.
struct InvalidClientInput {
  StatementError error = StatementError::kMalformed;
  std::string reason;
};

}  // namespace kingcuplock
