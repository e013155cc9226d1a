#pragma once

/// Builds the answers to callers whose status is not `ok`. Each carries a
/// message that says what went wrong and what the caller can do.
///
/// Example:
///   reply(BuildNotRunAnswer(id, ErrorKind::kOverloaded, retry_after_ms));

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Returns the message for `error`: what went wrong and what the caller can do.
/// Empty for kNone. docs/ERRORS.md lists the same texts.
auto ErrorMessageFor(ErrorKind error) -> std::string_view;

/// Returns a `not_run` answer. Use it only for requests that provably did not
/// run. The caller may retry after `retry_after_ms`.
auto BuildNotRunAnswer(const std::string& id,
                       ErrorKind error,
                       std::int64_t retry_after_ms) -> CallerAnswer;

/// Returns a `failed` answer: the request was rejected and changed nothing.
auto BuildFailedAnswer(const std::string& id, ErrorKind error) -> CallerAnswer;

/// Returns an `unknown` answer: the request may have run. Its receipt is the
/// request id; the caller learns the outcome by sending the same request again
/// with the same id and `repeated` set, after `retry_after_ms`.
auto BuildUnknownOutcomeAnswer(const std::string& id,
                               ErrorKind error,
                               std::int64_t retry_after_ms = 0) -> CallerAnswer;

/// Returns the answer to a request that this owner stops working on: `not_run`
/// if it is certain that neither this sending nor an earlier one ran, else
/// `unknown`.
auto BuildGiveUpAnswer(const OwnerRequest& request,
                       ErrorKind reason,
                       std::int64_t retry_after_ms) -> CallerAnswer;

}  // namespace kingcuplock
