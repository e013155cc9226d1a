#pragma once

/// A request that the owner of its database serves.
///
/// Example:
///   auto request = std::make_shared<OwnerRequest>();
///   request->request = caller_request;
///   request->deadline = timers.Now() + patience;
///   request->reply = [](CallerAnswer answer) { Send(answer); };
///   owner.SubmitRequest(request);

#include <functional>
#include <memory>
#include <string>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/session_token.h"

namespace kingcuplock {

/// Receives the answer to a request.
using AnswerCallback = std::function<void(CallerAnswer)>;

/// How the outcome of a write is found out at the primary when it is not known
/// whether an earlier sending ran.
enum class OutcomeResolution {
  /// The request itself is sent: the database runs it, or returns the stored
  /// result if it ran before.
  kNone,
  /// The marker of its id is looked up.
  kLookup,
  /// An empty transaction is committed under its id, so that no earlier sending
  /// still in flight can run.
  kAbort,
  /// As kAbort, after kLookup found the id with other content.
  kAbortAfterReuse
};

/// One request and its state at the owner.
struct OwnerRequest {
  /// The caller's request.
  CallerRequest request;
  /// Configuration of its kind, from the manifest.
  KindConfig kind;
  /// The session token of the request, parsed.
  SessionToken token;
  /// Hash of the content of a write, stored with its marker; empty for reads.
  std::string content_hash;
  /// Inbound connection that the request came on. When it closes, the
  /// transactions begun on it are rolled back.
  ConnectionId source = 0;
  /// Identifies the caller; the queue serves callers in turn.
  std::uint64_t caller = 0;
  /// When the caller stops waiting.
  Time deadline{};
  /// Called exactly once, with the answer.
  AnswerCallback reply;
  /// Whether a member ran, or may have run, a statement of this sending of the
  /// id or of an earlier one.
  bool in_doubt = false;
  /// Whether a statement was sent to a member and has no answer yet.
  bool at_member = false;
  /// How its outcome is found out.
  OutcomeResolution resolution = OutcomeResolution::kNone;
  /// Whether `reply` was called.
  bool answered = false;
  /// Fires at the deadline.
  TimerId deadline_timer = 0;
};

/// Returns whether running the request may change data: it is a whole
/// transaction of a write kind, or the commit of an interactive transaction.
inline auto MayWrite(const OwnerRequest& request) -> bool {
  const auto step = request.request.step;
  return request.kind.access == Access::kWrite &&
         (step == Step::kSingle || step == Step::kCommit);
}

using RequestPtr = std::shared_ptr<OwnerRequest>;

}  // namespace kingcuplock
