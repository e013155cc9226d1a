#pragma once

/// Serves reads that may be stale from replicas. An answer is never older than
/// the kind's `max_age_ms` and never behind what the session has seen.
///
/// Example:
///   ReplicaReader reader(config, controller, pools, timers, finish,
///                        fall_back);
///   if (!reader.TryServe(request)) { runner.Enqueue(request); }

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/owner/request_runner.h"
#include "kingcuplock/routing/read_check.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// Serves the reads of one database at its replicas. Not thread safe.
class ReplicaReader {
 public:
  /// `fall_back` is called with a request taken by TryServe() that no replica
  /// can serve after all.
  ReplicaReader(const DatabaseConfig& config,
                GroupController& controller,
                MemberPools& pools,
                TimerService& timers,
                FinishCallback finish,
                std::function<void(const RequestPtr&)> fall_back);
  ~ReplicaReader();
  ReplicaReader(const ReplicaReader&) = delete;
  auto operator=(const ReplicaReader&) -> ReplicaReader& = delete;

  /// Takes a read that may be stale if a replica can serve it now, or soon:
  /// once a slot is free or the replica has caught up with the session. Answers
  /// it as overloaded at once if the expected wait for a slot ends after its
  /// deadline. While the primary can't serve requests, waits for any replica.
  /// Returns false if the request is not taken. O(members).
  auto TryServe(const RequestPtr& request) -> bool;

  /// Sends the requests that wait for a slot, as far as slots are free.
  /// O(members) per request sent or passed on.
  void SendWaiting();

  /// Checks the waiting requests again, and retries the reads sent to members
  /// that do not respond. Call it after every sample of a member. Costs as much
  /// as SendWaiting(), and O(members) per request that waits for a replica to
  /// catch up.
  void OnMemberSample();

  /// Returns the number of requests that wait for a slot.
  auto QueuedRequests() const -> std::size_t {
    return waiting_for_slot_.size();
  }

  /// Removes a request that waits.
  void DropRequest(const RequestPtr& request);

  /// Removes all requests that wait.
  void DropAllRequests();

 private:
  /// Whether a replica can serve a request; the best comes last.
  enum class Availability {
    /// It can't.
    kNone,
    /// Once it has caught up with the session.
    kSoon,
    /// Once a slot is free.
    kBusy,
    /// At once.
    kNow
  };
  /// A read that was sent to a replica.
  struct Attempt {
    RequestPtr request;
    std::string member;
    Time sent{};
    /// Whether the member stopped responding, so that its answer is ignored.
    bool abandoned = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// A request that waits for a replica to catch up.
  struct CatchUpWait {
    RequestPtr request;
    TimerId timer = 0;
  };
  /// A request that waits for a slot.
  struct SlotWait {
    RequestPtr request;
    Time since{};
  };

  auto ReadRequirementsOf(const OwnerRequest& request) const
      -> ReadRequirements;
  auto MakeReadCheck() const -> ReadCheck<>;
  auto AvailabilityAt(const std::string& member,
                      const OwnerRequest& request) const -> Availability;
  /// Stores the member with the best availability in `member`, the least loaded
  /// of equals; empty if all are kNone.
  auto BestAvailability(const OwnerRequest& request, std::string& member) const
      -> Availability;
  void WaitForCatchUp(const RequestPtr& request);
  void WaitForSlot(const RequestPtr& request);
  auto ExpectedSlotWait() const -> Duration;
  auto MayUsePrimary(const SlotWait& waiting) const -> bool;
  void RetryCatchUpWaits();
  void OnCatchUpTimeout(const RequestPtr& request);
  void SendRead(const std::string& member, const RequestPtr& request);
  void OnAnswer(const AttemptPtr& attempt, const MemberAnswer* answer);
  void RetryUnresponsive();

  const DatabaseConfig& config_;
  GroupController& controller_;
  MemberPools& pools_;
  TimerService& timers_;
  FinishCallback finish_;
  std::function<void(const RequestPtr&)> fall_back_;
  std::list<CatchUpWait> waiting_to_catch_up_;
  std::list<SlotWait> waiting_for_slot_;
  /// How long one read holds its slot, a moving average.
  Duration service_time_{Milliseconds(1)};
  std::list<AttemptPtr> attempts_;
};

}  // namespace kingcuplock
