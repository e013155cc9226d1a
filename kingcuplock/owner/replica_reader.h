#pragma once

/// Serves reads that may be stale from replicas, within the stated age and
/// never behind the session.
///
/// Example:
///   ReplicaReader reader(config, leader, pools, timers, finish, elsewhere);
///   if (!reader.TryServe(request)) { runner.Enqueue(request); }

#include <functional>
#include <string>

#include "kingcuplock/admission/request_queue.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/group_leader.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/owner/request_runner.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// Not thread safe.
class ReplicaReader {
 public:
  /// `elsewhere` gets a request that no replica can serve after all.
  ReplicaReader(const DatabaseConfig& config,
                GroupLeader& leader,
                MemberPools& pools,
                TimerService& timers,
                FinishCallback finish,
                std::function<void(const RequestPtr&)> elsewhere);

  /// Takes a request if some replica may serve it, now or when a slot is free.
  auto TryServe(const RequestPtr& request) -> bool;

  /// Sends what waits for a slot.
  void Pump();

  /// Returns the number of requests that wait.
  auto Queued() const -> std::size_t { return queue_.Size(); }

  /// Forgets a request that waits.
  void Forget(const RequestPtr& request);

  /// Forgets all requests.
  void Clear();

 private:
  auto MayServe(const std::string& member, const OwnerRequest& request) const
      -> bool;
  void Run(const std::string& member, const RequestPtr& request);
  void OnAnswer(const RequestPtr& request,
                const std::string& member,
                const MemberAnswer* answer);
  auto Fits(const OwnerRequest& request, const MemberAnswer& answer) const
      -> bool;

  const DatabaseConfig& config_;
  GroupLeader& leader_;
  MemberPools& pools_;
  TimerService& timers_;
  FinishCallback finish_;
  std::function<void(const RequestPtr&)> elsewhere_;
  RequestQueue<RequestPtr> queue_;
};

}  // namespace kingcuplock
