#pragma once

/// Accepts callers' requests, routes each to the instance that owns the
/// database, and sends one answer to every caller within the request's
/// patience.
///
/// Example:
///   RequestRouter router("proxy-1", timers, outbox, callbacks);
///   router.OnRequest(connection, request);

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/admission/retry_after.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Callbacks of RequestRouter.
struct RequestRouterCallbacks {
  /// Returns the active manifest, with version 0 if there is none.
  std::function<const Manifest&()> manifest;
  /// Returns the instance that owns a database, empty if unknown.
  std::function<std::string(const std::string&)> find_owner;
  /// Submits a request for a database to the owner in this process. Returns
  /// false if this instance does not own the database.
  std::function<bool(const std::string&, RequestPtr)> submit_to_local_owner;
  /// Sends a request over the link to a peer. Returns false if the link is
  /// down.
  std::function<bool(const std::string&, Forward)> send_forward;
  /// Called after each answer, with the time since the request arrived.
  std::function<
      void(const CallerRequest&, const CallerAnswer&, Duration latency)>
      on_answered;
};

/// Not thread safe.
class RequestRouter {
 public:
  /// `own_instance` is the name of this instance.
  RequestRouter(std::string own_instance,
                TimerService& timers,
                Outbox& outbox,
                RequestRouterCallbacks callbacks);

  /// Handles a request from a caller.
  void OnRequest(ConnectionId caller, CallerRequest request);

  /// Handles the end of a caller's connection. Its pending requests continue,
  /// but their answers are discarded.
  void OnCallerClosed(ConnectionId caller);

  /// Handles an owner's answer that arrived over the link to `peer`.
  void OnForwardAnswer(const std::string& peer, const ForwardAnswer& answer);

  /// Reroutes the requests that were forwarded to a peer whose link is lost. A
  /// statement within a transaction is answered as unknown instead.
  void OnPeerDown(const std::string& peer);

  /// Routes the requests that wait for an owner of `database`.
  void OnOwnerChanged(const std::string& database);

  /// Sets `leaving` in every answer from now on, so that callers change to
  /// another instance.
  void SetLeaving() { leaving_ = true; }

  /// Answers every new request with kLeaving and without running it.
  void RefuseNewRequests() { refusing_new_requests_ = true; }

  /// Answers every pending request with `reason`: a write that may have run as
  /// unknown, every other request as not_run.
  void AnswerAllPendingRequests(ErrorKind reason);

  /// Returns the time at which the last request arrived.
  auto LastRequestTime() const -> Time { return last_request_time_; }

  /// Returns the number of requests that are not answered yet.
  auto CountPendingRequests() const -> std::size_t { return pending_.size(); }

 private:
  struct PendingRequest {
    std::uint64_t id = 0;
    /// Connection of the caller, 0 once it has closed.
    ConnectionId caller = 0;
    CallerRequest request;
    KindConfig kind;
    SessionToken token;
    Time received_at{};
    Time deadline{};
    TimerId deadline_timer = 0;
    /// Instance that the request was sent to, empty while it waits.
    std::string sent_to;
    std::int64_t forward_id = 0;
    /// Whether an earlier attempt may have run.
    bool in_doubt = false;
  };
  using PendingPtr = std::shared_ptr<PendingRequest>;

  auto PickRetryDelayMs() -> std::int64_t;
  void RefuseRequest(ConnectionId caller,
                     const CallerRequest& request,
                     ErrorKind kind);
  auto ValidateRequest(ConnectionId caller,
                       const CallerRequest& request,
                       KindConfig& kind) -> bool;
  void RouteRequest(const PendingPtr& pending);
  void SubmitToLocalOwner(const PendingPtr& pending);
  void RouteAgainAfterDelay(const PendingPtr& pending);
  void WaitForOwner(const PendingPtr& pending);
  void OnOwnerAnswer(const PendingPtr& pending, CallerAnswer answer);
  auto MayRouteAgain(const PendingRequest& pending,
                     const CallerAnswer& answer) const -> bool;
  void OnDeadline(const PendingPtr& pending);
  void FinishRequest(const PendingPtr& pending, CallerAnswer answer);

  std::string own_instance_;
  TimerService& timers_;
  Outbox& outbox_;
  RequestRouterCallbacks callbacks_;
  RetryAfter retry_after_;
  bool leaving_ = false;
  bool refusing_new_requests_ = false;
  Time last_request_time_{};
  std::uint64_t last_pending_id_ = 0;
  std::int64_t last_forward_id_ = 0;
  std::unordered_map<std::uint64_t, PendingPtr> pending_;
  std::unordered_map<std::int64_t, PendingPtr> forwarded_;
  std::map<std::string, std::vector<PendingPtr>> waiting_for_owner_;
};

}  // namespace kingcuplock
