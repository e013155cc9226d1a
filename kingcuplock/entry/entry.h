#pragma once

/// Takes callers' requests, finds each database's owner and gives every caller
/// one answer within its patience.
///
/// Example:
///   RequestRouter entry(timers, outbox, ports);
///   entry.OnRequest(connection, request);

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

/// What an entry uses and reports to.
struct RequestRouterCallbacks {
  /// Returns the manifest in force, version 0 for none.
  std::function<const Manifest&()> manifest;
  /// Returns the owner of a database, empty when unknown.
  std::function<std::string(const std::string&)> find_owner;
  /// Submits to the owner in this process. False if it is not the owner.
  std::function<bool(const std::string&, RequestPtr)> submit_to_local_owner;
  /// Sends over a peer link. False if the link is not up.
  std::function<bool(const std::string&, Forward)> forward;
  /// An answer was given to a caller, `latency` after its request.
  std::function<
      void(const CallerRequest&, const CallerAnswer&, Duration latency)>
      on_answered;
};

/// Not thread safe.
class RequestRouter {
 public:
  RequestRouter(std::string self,
                TimerService& timers,
                Outbox& outbox,
                RequestRouterCallbacks ports);

  /// Takes a request from a caller.
  void OnRequest(ConnectionId caller, CallerRequest request);

  /// Forgets a caller; requests that run go on, their answers are dropped.
  void OnCallerClosed(ConnectionId caller);

  /// Takes an owner's answer from a peer link.
  void OnForwardAnswer(const std::string& peer, const ForwardAnswer& answer);

  /// Sends again, or gives up, what was forwarded to a lost peer.
  void OnPeerDown(const std::string& peer);

  /// Sends what waits for an owner of `database`.
  void OnOwnerChanged(const std::string& database);

  /// Marks every answer from now on, so that callers go to another instance.
  void SetLeaving() { leaving_ = true; }

  /// Refuses every new request as kLeaving; it did not run.
  void RefuseNewRequests() { refusing_ = true; }

  /// Answers every request at hand: not_run where it can't have run, otherwise
  /// in doubt, with `reason`.
  void AnswerAllPendingRequests(ErrorKind reason);

  /// Returns when the last request arrived.
  auto LastRequestTime() const -> Time { return last_request_; }

  /// Returns the number of requests without an answer.
  auto CountPendingRequests() const -> std::size_t { return pending_.size(); }

 private:
  struct PendingRequest {
    std::uint64_t id = 0;
    ConnectionId caller = 0;
    CallerRequest request;
    KindConfig kind;
    SessionToken token;
    Time began{};
    Time deadline{};
    TimerId deadline_timer = 0;
    std::string sent_to;
    std::int64_t forward_id = 0;
    bool in_doubt = false;
  };
  using PendingPtr = std::shared_ptr<PendingRequest>;

  auto RetryMs() -> std::int64_t;
  void Refuse(ConnectionId caller,
              const CallerRequest& request,
              ErrorKind kind);
  auto Resolve(ConnectionId caller,
               const CallerRequest& request,
               KindConfig& kind) -> bool;
  void Route(const PendingPtr& pending);
  void RouteHere(const PendingPtr& pending);
  void RouteSoon(const PendingPtr& pending);
  void Hold(const PendingPtr& pending);
  void OnOwnerAnswer(const PendingPtr& pending, CallerAnswer answer);
  auto MayAskAgain(const PendingRequest& pending,
                   const CallerAnswer& answer) const -> bool;
  void OnDeadline(const PendingPtr& pending);
  void Finish(const PendingPtr& pending, CallerAnswer answer);

  std::string self_;
  TimerService& timers_;
  Outbox& outbox_;
  RequestRouterCallbacks ports_;
  RetryAfter retry_after_;
  bool leaving_ = false;
  bool refusing_ = false;
  Time last_request_{};
  std::uint64_t last_id_ = 0;
  std::int64_t last_forward_ = 0;
  std::unordered_map<std::uint64_t, PendingPtr> pending_;
  std::unordered_map<std::int64_t, PendingPtr> forwarded_;
  std::map<std::string, std::vector<PendingPtr>> held_;
};

}  // namespace kingcuplock
