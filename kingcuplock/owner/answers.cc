#include "kingcuplock/owner/answers.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kingcuplock {

namespace {

/// Messages for callers by error: what went wrong and what the caller can do.
constexpr std::array<std::pair<ErrorKind, std::string_view>, 25> kMessages{{
    {ErrorKind::kBadFrame,
     "the frame does not fit the schema; correct it as the message "
     "says"},
    {ErrorKind::kTooLarge, "the request is too large; split it"},
    {ErrorKind::kUnknownDatabase,
     "the manifest has no such database; check the name"},
    {ErrorKind::kUnknownKind,
     "the manifest has no such request kind; check the name"},
    {ErrorKind::kWrongAccess,
     "a read kind may hold get statements only; use a write kind"},
    {ErrorKind::kBadToken,
     "the session token is damaged; use the token of the last answer "
     "or none"},
    {ErrorKind::kOverloaded,
     "the queue is longer than the request can wait; come back after "
     "retry_after_ms"},
    {ErrorKind::kNoOwner,
     "no instance owns the database right now; come back after "
     "retry_after_ms"},
    {ErrorKind::kNotOwner,
     "this instance does not own the database; ask the owner"},
    {ErrorKind::kPatienceSpent,
     "the time that the caller gave is over; ask again with the same "
     "id"},
    {ErrorKind::kPrimaryUnavailable,
     "the primary can't be reached; come back after retry_after_ms"},
    {ErrorKind::kFenced,
     "another instance owns the database now; ask again with the same "
     "id"},
    {ErrorKind::kLeaseLapsed,
     "the owner can't confirm its lease; ask again with the same id"},
    {ErrorKind::kRejectedByDatabase,
     "the database refused the transaction; change the request"},
    {ErrorKind::kRequestIdTooOld,
     "the request id is older than the manifest's marker retention; "
     "check the data, then use a new id"},
    {ErrorKind::kConnectionLost,
     "the answer of the database was lost; ask again with the same id"},
    {ErrorKind::kNotReplicated,
     "no replica confirmed the write in time; ask again with the same "
     "id"},
    {ErrorKind::kTransactionUnknown,
     "the transaction is not open any more and was not committed; "
     "begin it again"},
    {ErrorKind::kNoManifest,
     "no manifest is in force yet; come back after retry_after_ms"},
    {ErrorKind::kPositionLost,
     "the session saw data that a failover lost; begin a new session"},
    {ErrorKind::kLeaving, "the instance is about to stop; connect again"},
    {ErrorKind::kUnauthorized, "the key is not accepted; check the key file"},
    {ErrorKind::kRequestIdReused,
     "the request id was used before with another content; use a new "
     "id for a new request"},
    {ErrorKind::kIssueTimeMissing,
     "a write that must not repeat needs issued_ms; set it to the Unix "
     "time in ms of the first sending"},
    {ErrorKind::kTransactionsFull,
     "no connection is left for another transaction; come back after "
     "retry_after_ms"},
}};

}  // namespace

auto ErrorMessageFor(ErrorKind error) -> std::string_view {
  const auto it =
      std::find_if(kMessages.begin(), kMessages.end(),
                   [error](const auto& row) { return row.first == error; });
  return it == kMessages.end() ? std::string_view() : it->second;
}

namespace {

auto BuildErrorAnswer(const std::string& id, Status status, ErrorKind error)
    -> CallerAnswer {
  CallerAnswer answer;
  answer.id = id;
  answer.status = status;
  answer.error = error;
  answer.message = ErrorMessageFor(error);
  return answer;
}

}  // namespace

auto BuildNotRunAnswer(const std::string& id,
                       ErrorKind error,
                       std::int64_t retry_after_ms) -> CallerAnswer {
  auto answer = BuildErrorAnswer(id, Status::kNotRun, error);
  answer.retry_after_ms = retry_after_ms;
  return answer;
}

auto BuildFailedAnswer(const std::string& id, ErrorKind error) -> CallerAnswer {
  return BuildErrorAnswer(id, Status::kFailed, error);
}

auto BuildUnknownOutcomeAnswer(const std::string& id,
                               ErrorKind error,
                               std::int64_t retry_after_ms) -> CallerAnswer {
  auto answer = BuildErrorAnswer(id, Status::kUnknown, error);
  answer.retry_after_ms = retry_after_ms;
  answer.receipt = id;
  return answer;
}

auto BuildGiveUpAnswer(const OwnerRequest& request,
                       ErrorKind reason,
                       std::int64_t retry_after_ms) -> CallerAnswer {
  const auto may_have_run = request.in_doubt || request.at_member;
  return may_have_run
             ? BuildUnknownOutcomeAnswer(request.request.id, reason,
                                         retry_after_ms)
             : BuildNotRunAnswer(request.request.id, reason, retry_after_ms);
}

}  // namespace kingcuplock
