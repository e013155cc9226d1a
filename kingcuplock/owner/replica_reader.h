#pragma once

/// Serves reads that may be stale from replicas, within the stated age and
/// never behind the session.
///
/// Example:
///   ReplicaReader reader(config, leader, pools, timers, finish, elsewhere);
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

/// Not thread safe.
class ReplicaReader {
 public:
  /// `elsewhere` gets a request that no replica can serve after all.
  ReplicaReader(const DatabaseConfig& config,
                GroupController& leader,
                MemberPools& pools,
                TimerService& timers,
                FinishCallback finish,
                std::function<void(const RequestPtr&)> elsewhere);
  ~ReplicaReader();
  ReplicaReader(const ReplicaReader&) = delete;
  auto operator=(const ReplicaReader&) -> ReplicaReader& = delete;

  /// Takes a request if some replica may serve it, now or soon: when a slot is
  /// free, or when the replica has caught up with the session. Refuses it at
  /// once if the wait for a slot would be longer than its patience. O(members).
  auto TryServe(const RequestPtr& request) -> bool;

  /// Sends what waits for a slot. O(members) per request sent or given up.
  void SendWaiting();

  /// Looks again at what waits, and takes reads back from members that do not
  /// respond. To be called after every sample. As SendWaiting(), and O(members)
  /// per request that waits for a replica to catch up.
  void OnMemberSample();

  /// Returns the number of requests that wait.
  auto QueuedRequests() const -> std::size_t { return waiting_.size(); }

  /// Forgets a request that waits.
  void DropRequest(const RequestPtr& request);

  /// Forgets all requests.
  void Clear();

 private:
  /// What a replica can do for a request.
  enum class Chance { kNone, kSoon, kBusy, kNow };
  /// One read at one replica.
  struct Attempt {
    RequestPtr request;
    std::string member;
    Time sent{};
    bool abandoned = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// A request that waits for a replica to catch up.
  struct CatchUp {
    RequestPtr request;
    TimerId timer = 0;
  };
  /// A request that waits for a slot.
  struct SlotWait {
    RequestPtr request;
    Time since{};
  };

  auto NeedOf(const OwnerRequest& request) const -> ReadRequirements;
  auto Check() const -> ReadCheck<>;
  auto ChanceAt(const std::string& member, const OwnerRequest& request) const
      -> Chance;
  auto BestChance(const OwnerRequest& request, std::string& member) const
      -> Chance;
  void WaitForCatchUp(const RequestPtr& request);
  void WaitForSlot(const RequestPtr& request);
  auto ExpectedSlotWait() const -> Duration;
  auto MaySpill(const SlotWait& waiting) const -> bool;
  void TryCatchUps();
  void GiveUpCatchUp(const RequestPtr& request);
  void Run(const std::string& member, const RequestPtr& request);
  void OnAnswer(const AttemptPtr& attempt, const MemberAnswer* answer);
  void TakeBackSilent();

  const DatabaseConfig& config_;
  GroupController& leader_;
  MemberPools& pools_;
  TimerService& timers_;
  FinishCallback finish_;
  std::function<void(const RequestPtr&)> elsewhere_;
  std::list<CatchUp> catching_up_;
  std::list<SlotWait> waiting_;
  Duration service_{Milliseconds(1)};
  std::list<AttemptPtr> attempts_;
};

}  // namespace kingcuplock
