#pragma once

/// A request on its way through the owner of its database.
///
/// Example:
///   auto request = std::make_shared<OwnerRequest>(...);
///   owner.Submit(request);

#include <functional>
#include <memory>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/token.h"

namespace kingcuplock {

/// Gets the one answer to a request.
using AnswerCallback = std::function<void(CallerAnswer)>;

/// State of one request at the owner.
struct OwnerRequest {
  /// The caller's request.
  CallerRequest request;
  /// Its kind in the manifest.
  KindConfig kind;
  /// The session's token.
  SessionToken token;
  /// When the caller stops waiting.
  Time deadline{};
  /// Called exactly once.
  AnswerCallback reply;
  /// Whether a statement was carried out, or may have been, by a member.
  bool in_doubt = false;
  /// Whether a statement is at a member right now.
  bool at_member = false;
  /// Whether the reply was given.
  bool answered = false;
  /// Fires at the deadline.
  TimerId deadline_timer = 0;
};

using RequestPtr = std::shared_ptr<OwnerRequest>;

}  // namespace kingcuplock
