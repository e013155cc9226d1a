#include "kingcuplock/owner/answers.h"

namespace kingcuplock {

auto RemedyOf(ErrorKind error) -> std::string_view {
  switch (error) {
    case ErrorKind::kNone:
      return "";
    case ErrorKind::kBadFrame:
      return "the frame does not fit the schema; correct it as the message "
             "says";
    case ErrorKind::kTooLarge:
      return "the request is too large; split it";
    case ErrorKind::kUnknownDatabase:
      return "the manifest has no such database; check the name";
    case ErrorKind::kUnknownKind:
      return "the manifest has no such request kind; check the name";
    case ErrorKind::kWrongAccess:
      return "a read kind may hold get statements only; use a write kind";
    case ErrorKind::kBadToken:
      return "the session token is damaged; use the token of the last answer "
             "or none";
    case ErrorKind::kOverloaded:
      return "the queue is longer than the request can wait; come back after "
             "retry_after_ms";
    case ErrorKind::kNoOwner:
      return "no instance owns the database right now; come back after "
             "retry_after_ms";
    case ErrorKind::kNotOwner:
      return "this instance does not own the database; ask the owner";
    case ErrorKind::kPatienceSpent:
      return "the time that the caller gave is over; ask again with the same "
             "id";
    case ErrorKind::kPrimaryUnavailable:
      return "the primary can't be reached; come back after retry_after_ms";
    case ErrorKind::kFenced:
      return "another instance owns the database now; ask again with the same "
             "id";
    case ErrorKind::kLeaseLapsed:
      return "the owner can't confirm its lease; ask again with the same id";
    case ErrorKind::kRejectedByDatabase:
      return "the database refused the transaction; change the request";
    case ErrorKind::kRequestIdTooOld:
      return "the request id is older than the manifest's marker retention; "
             "check the data, then use a new id";
    case ErrorKind::kConnectionLost:
      return "the answer of the database was lost; ask again with the same id";
    case ErrorKind::kNotReplicated:
      return "no replica confirmed the write in time; ask again with the same "
             "id";
    case ErrorKind::kTransactionUnknown:
      return "the transaction is not open any more and was not committed; "
             "begin it again";
    case ErrorKind::kNoManifest:
      return "no manifest is in force yet; come back after retry_after_ms";
    case ErrorKind::kPositionLost:
      return "the session saw data that a failover lost; begin a new session";
    case ErrorKind::kLeaving:
      return "the instance is about to stop; connect again";
    case ErrorKind::kUnauthorized:
      return "the key is not accepted; check the key file";
    case ErrorKind::kRequestIdReused:
      return "the request id was used before with another content; use a new "
             "id for a new request";
    case ErrorKind::kIssueTimeMissing:
      return "a write that must not repeat needs issued_ms; set it to the Unix "
             "time in ms of the first sending";
    case ErrorKind::kTransactionsFull:
      return "no connection is left for another transaction; come back after "
             "retry_after_ms";
  }
  return "";
}

namespace {

auto Build(const std::string& id, Status status, ErrorKind error)
    -> CallerAnswer {
  CallerAnswer answer;
  answer.id = id;
  answer.status = status;
  answer.error = error;
  answer.message = RemedyOf(error);
  return answer;
}

}  // namespace

auto Refusal(const std::string& id,
             ErrorKind error,
             std::int64_t retry_after_ms) -> CallerAnswer {
  auto answer = Build(id, Status::kNotRun, error);
  answer.retry_after_ms = retry_after_ms;
  return answer;
}

auto Failure(const std::string& id, ErrorKind error) -> CallerAnswer {
  return Build(id, Status::kFailed, error);
}

auto InDoubt(const std::string& id,
             ErrorKind error,
             std::int64_t retry_after_ms) -> CallerAnswer {
  auto answer = Build(id, Status::kUnknown, error);
  answer.retry_after_ms = retry_after_ms;
  answer.receipt = id;
  return answer;
}

auto GiveUp(const OwnerRequest& request,
            ErrorKind reason,
            std::int64_t retry_after_ms) -> CallerAnswer {
  const auto may_have_run = request.in_doubt || request.at_member;
  return may_have_run ? InDoubt(request.request.id, reason, retry_after_ms)
                      : Refusal(request.request.id, reason, retry_after_ms);
}

}  // namespace kingcuplock
