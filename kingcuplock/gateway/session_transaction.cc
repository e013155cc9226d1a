// The part of a session that runs statements on the connection of its open
// transaction.

#include <algorithm>
#include <utility>

#include "kingcuplock/gateway/session.h"

namespace kingcuplock {
namespace {

/// Shortest time in ms after which a transaction's statement counts as lost. It
/// is longer than an ordinary statement takes behind a full queue at a member.
constexpr Milliseconds kMinStatementTimeout{250};
/// Time in ms that a commit waits for a grant that its member still leads. It
/// covers two rounds of asking the holder of the promotion duty and the
/// members.
constexpr Milliseconds kCommitGrantTimeout{150};

}  // namespace

auto Session::RunPinned(SessionStatement statement,
                        std::optional<PreparedStatement> prepared) -> void {
  const auto* runs = prepared ? &*prepared : nullptr;
  has_writes_ = has_writes_ || IsWrite(statement, runs);
  const auto asked = pinned_.pool->ApplySessionState(
      pinned_.link, *session_state_, runs,
      guard_.Bind([this, statement = std::move(statement)](
                      const SessionStateResult& state) {
        OnPinnedStateApplied(statement, state);
      }));
  if (asked) {
    StartPinnedDeadline();
  }
}

auto Session::OnPinnedStateApplied(SessionStatement statement,
                                   const SessionStateResult& state) -> void {
  timers_.Cancel(std::exchange(pinned_deadline_, 0));
  if (!pinned_) {
    return;
  }
  if (state.outcome != SessionStateOutcome::kApplied) {
    auto pinned = std::exchange(pinned_, {});
    RollBackAndRelease(pinned.pool, pinned.link, "");
    AbortUnsent(pinned, "the session's state was not confirmed",
                "the member did not take the session's values; the transaction "
                "is rolled back, start it again");
    return;
  }
  if (statement.kind == StatementKind::kExecute) {
    statement.name = state.prepared_name;
  }
  auto* group = callbacks_.group(route_.group);
  const auto needs_grant = statement.kind == StatementKind::kCommit &&
                           has_writes_ && group != nullptr;
  if (!needs_grant) {
    SendPinned(std::move(statement), std::nullopt);
    return;
  }
  group->AwaitLead(pinned_.pool->entry().member, kCommitGrantTimeout,
                   guard_.Bind([this, statement = std::move(statement)](
                                   std::optional<Time> until) {
                     if (!pinned_) {
                       return;
                     }
                     if (until) {
                       SendPinned(statement, until);
                     } else {
                       OnCommitGrantMissing();
                     }
                   }));
}

// No grant says that the member still leads, so the commit is not sent.
auto Session::OnCommitGrantMissing() -> void {
  auto pinned = std::exchange(pinned_, {});
  pinned.pool->Discard(pinned.link);
  AbortUnsent(pinned, "no grant for the primary",
              "the primary may have been replaced; the transaction is rolled "
              "back, start it again");
}

// Answers the running statement, which was not sent, after the end of its
// transaction on the connection `pinned`.
auto Session::AbortUnsent(const PinnedConnection& pinned,
                          std::string_view why,
                          std::string text) -> void {
  log_.Log(Event::kStatementRefused, {{"request", current_.id},
                                      {"client", std::to_string(client_)},
                                      {"group", route_.group},
                                      {"member", pinned.pool->entry().member},
                                      {"transaction", begin_id_},
                                      {"outcome", std::string(why)}});
  transaction_state_ = current_.kind == StatementKind::kCommit
                           ? TransactionState::kIdle
                           : TransactionState::kFailed;
  StatementAnswer answer;
  answer.error = StatementError::kAborted;
  answer.text = std::move(text);
  Answer(std::move(answer));
}

auto Session::SendPinned(SessionStatement statement,
                         std::optional<Time> not_after) -> void {
  pinned_sent_ = timers_.Now();
  StartPinnedDeadline();
  pinned_.pool->RunStatement(
      pinned_.link, std::move(statement),
      guard_.Bind([this](const StatementAnswer* it) { OnPinnedAnswer(it); }),
      2 * Duration(Milliseconds(route_.timeout_ms)), not_after);
}

// If a statement is lost, the transaction is rolled back soon, so that the
// client can start it again. A lost commit has an unknown outcome, so its
// answer is awaited for the whole timeout.
auto Session::StartPinnedDeadline() -> void {
  const auto timeout =
      current_.kind == StatementKind::kCommit
          ? Duration(Milliseconds(route_.timeout_ms))
          : std::min<Duration>(
                Milliseconds(route_.timeout_ms),
                std::max<Duration>(Milliseconds(route_.target_ms),
                                   kMinStatementTimeout));
  pinned_deadline_ =
      timers_.After(timeout, guard_.Bind([this] { OnPinnedDeadline(); }));
}

auto Session::OnPinnedDeadline() -> void {
  if (pinned_) {
    // This calls OnPinnedAnswer() with nullptr, for a lost connection.
    pinned_.pool->Discard(pinned_.link);
  }
}

auto Session::LogPinned(const StatementAnswer* answer) -> void {
  const auto ok = answer != nullptr && answer->IsOk();
  log_.Log(
      ok ? Event::kStatementServed : Event::kStatementFailed,
      {{"request", current_.id},
       {"client", std::to_string(client_)},
       {"group", route_.group},
       {"member", pinned_.pool->entry().member},
       {"kind", std::string(ToString(current_.kind))},
       {"outcome",
        answer == nullptr ? "link_lost" : std::string(ToString(answer->error))},
       {"transaction", begin_id_},
       {"age_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                     timers_.Now() - pinned_sent_)
                                     .count())}});
}

auto Session::OnPinnedAnswer(const StatementAnswer* answer) -> void {
  timers_.Cancel(std::exchange(pinned_deadline_, 0));
  if (answer != nullptr && answer->IsOk() && !answer->IsSigned()) {
    pinned_.pool->Discard(pinned_.link);
    answer = nullptr;
  }
  LogPinned(answer);
  const auto is_commit = current_.kind == StatementKind::kCommit;
  if (answer == nullptr) {
    pinned_ = {};
    transaction_state_ =
        is_commit ? TransactionState::kIdle : TransactionState::kFailed;
    StatementAnswer lost;
    lost.error = is_commit && has_writes_ ? StatementError::kUnknownOutcome
                                          : StatementError::kAborted;
    lost.text = is_commit && has_writes_
                    ? "the member's answer to the commit was lost; read the "
                      "rows before writing again"
                    : "the connection to the member ended; the transaction is "
                      "rolled back, start it again";
    Answer(std::move(lost));
    return;
  }
  auto copy = *answer;
  const auto member = pinned_.pool->entry().member;
  auto* group = callbacks_.group(route_.group);
  if (copy.error == StatementError::kReadOnly && group != nullptr &&
      !read_only_) {
    group->NoteNotPrimary(member);
  }
  if (is_commit) {
    if (copy.IsOk() && has_writes_ && copy.place && group != nullptr) {
      group->NoteLeadProof(member, pinned_sent_, *copy.place);
      NoteWritten(copy);
    }
    ReleasePinned(copy.IsOk());
    transaction_state_ = TransactionState::kIdle;
  } else if (!copy.IsOk()) {
    ReleasePinned(true);
    transaction_state_ = TransactionState::kFailed;
  }
  Answer(std::move(copy));
}

// Gives the transaction's connection back to its pool, after a rollback unless
// the transaction was committed. `clean` says that no answer is outstanding on
// it; otherwise it is closed.
auto Session::ReleasePinned(bool clean) -> void {
  auto pinned = std::exchange(pinned_, {});
  if (!clean) {
    pinned.pool->Discard(pinned.link);
    return;
  }
  const auto committed = current_.kind == StatementKind::kCommit && busy_;
  if (committed) {
    pinned.pool->Release(pinned.link);
  } else {
    RollBackAndRelease(pinned.pool, pinned.link, "");
  }
}

}  // namespace kingcuplock
