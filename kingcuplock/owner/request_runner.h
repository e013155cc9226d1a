#pragma once

/// Carries requests to the primary, and holds every answer back until it may
/// be given.
///
/// Example:
///   RequestRunner runner(config, epoch, leader, pools, timers, finish);
///   runner.Enqueue(request);
///   runner.Pump();

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "kingcuplock/admission/request_queue.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/connection_pool.h"
#include "kingcuplock/owner/group_leader.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// The pools of one database's members, by member name.
using MemberPools = std::map<std::string, std::unique_ptr<ConnectionPool>>;

/// Gives a request its answer. The first answer counts.
using FinishCallback = std::function<void(const RequestPtr&, CallerAnswer)>;

/// Returns an `ok` answer built from a member's, with the token moved on.
auto BuildAnswer(const OwnerRequest& request,
                 const MemberAnswer& answer,
                 const std::string& member,
                 bool from_replica) -> CallerAnswer;

/// Not thread safe.
class RequestRunner {
 public:
  RequestRunner(const DatabaseConfig& config,
                std::int64_t epoch,
                GroupLeader& leader,
                MemberPools& pools,
                TimerService& timers,
                FinishCallback finish,
                std::function<void()> fenced_out);

  /// Adds a request for the primary.
  void Enqueue(const RequestPtr& request);

  /// Sends what waits, as far as slots and connections go.
  void Pump();

  /// Gives the answers that may be given now.
  void AcknowledgeReady();

  /// Takes back what the given-up primary has not been acknowledged for.
  void GiveUpPrimary(const std::string& primary);

  /// Forgets a request that waits.
  void Forget(const RequestPtr& request);

  /// Forgets all requests.
  void Clear();

  /// Returns how long a new request of `priority` will wait.
  auto ExpectedWait(std::int64_t priority) const -> Duration;

  /// Returns the number of requests that wait.
  auto Queued() const -> std::size_t { return queue_.Size(); }

 private:
  /// A request that was carried out and waits for its acknowledgement.
  struct Unconfirmed {
    RequestPtr request;
    CallerAnswer answer;
    std::int64_t position = 0;
    Time committed_at{};
    bool is_write = false;
  };

  auto PrimaryPool() -> ConnectionPool*;
  auto RefuseLost(const RequestPtr& request) -> bool;
  void Run(const RequestPtr& request);
  void OnAnswer(const RequestPtr& request,
                std::int64_t term,
                Time sent,
                const MemberAnswer* answer);
  void OnRefusedByMember(const RequestPtr& request, const MemberAnswer& answer);
  void Confirm(const RequestPtr& request, const MemberAnswer& answer);
  void GiveBack(const RequestPtr& request);

  const DatabaseConfig& config_;
  std::int64_t epoch_;
  GroupLeader& leader_;
  MemberPools& pools_;
  TimerService& timers_;
  FinishCallback finish_;
  std::function<void()> fenced_out_;
  RequestQueue<RequestPtr> queue_;
  std::list<Unconfirmed> unconfirmed_;
};

}  // namespace kingcuplock
