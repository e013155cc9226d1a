#pragma once

/// A request on its way through the owner of its database.
///
/// Example:
///   auto request = std::make_shared<OwnerRequest>(...);
///   owner.SubmitRequest(request);

#include <functional>
#include <memory>
#include <string>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/token.h"

namespace kingcuplock {

/// Gets the one answer to a request.
using AnswerCallback = std::function<void(CallerAnswer)>;

/// How the outcome of a write in doubt is settled at the primary.
enum class OutcomeResolution {
  /// Carried out, or its stored result returned.
  kNone,
  /// Its marker is looked up.
  kLookup,
  /// Its id is taken by an empty transaction, so that nothing still on its way
  /// can run.
  kAbort,
  /// As kAbort, after a look-up that found the id with another content.
  kAbortAfterReuse
};

/// State of one request at the owner.
struct OwnerRequest {
  /// The caller's request.
  CallerRequest request;
  /// Its kind in the manifest.
  KindConfig kind;
  /// The session's token.
  SessionToken token;
  /// Hash of the content, kept with the marker of a write.
  std::string content_hash;
  /// Inbound connection that the request came on; its end ends the
  /// transactions begun on it.
  ConnectionId source = 0;
  /// Tells callers apart, for a fair order between them.
  std::uint64_t caller = 0;
  /// When the caller stops waiting.
  Time deadline{};
  /// Called exactly once.
  AnswerCallback reply;
  /// Whether a statement was carried out, or may have been, by a member, for
  /// this sending of the id or an earlier one.
  bool in_doubt = false;
  /// Whether a statement is at a member right now.
  bool at_member = false;
  /// How its outcome is settled.
  OutcomeResolution resolution = OutcomeResolution::kNone;
  /// Whether the reply was given.
  bool answered = false;
  /// Fires at the deadline.
  TimerId deadline_timer = 0;
};

/// Returns whether the request may change data when it is carried out: a whole
/// transaction of a write kind, or the commit of an interactive one.
inline auto MayWrite(const OwnerRequest& request) -> bool {
  const auto step = request.request.step;
  return request.kind.access == Access::kWrite &&
         (step == Step::kSingle || step == Step::kCommit);
}

using RequestPtr = std::shared_ptr<OwnerRequest>;

}  // namespace kingcuplock
