#pragma once

/// Builders of the answers that are not ok, each with its remedy.
///
/// Example:
///   reply(BuildNotRunAnswer(id, ErrorKind::kOverloaded, retry_after));

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Returns what went wrong and what the caller can do, for people.
auto ErrorMessageFor(ErrorKind error) -> std::string_view;

/// Returns a `not_run` answer. Only for requests that provably did not run.
auto BuildNotRunAnswer(const std::string& id,
                       ErrorKind error,
                       std::int64_t retry_after_ms) -> CallerAnswer;

/// Returns a `failed` answer.
auto BuildFailedAnswer(const std::string& id, ErrorKind error) -> CallerAnswer;

/// Returns an `unknown` answer with the request id as its receipt: the same
/// request with the same id and `repeated` set resolves it.
auto BuildUnknownOutcomeAnswer(const std::string& id,
                               ErrorKind error,
                               std::int64_t retry_after_ms = 0) -> CallerAnswer;

/// Returns the answer to a request that is given up: `not_run` where it is
/// proved that neither this sending nor an earlier one ran, else `unknown`.
auto BuildGiveUpAnswer(const OwnerRequest& request,
                       ErrorKind reason,
                       std::int64_t retry_after_ms) -> CallerAnswer;

}  // namespace kingcuplock
