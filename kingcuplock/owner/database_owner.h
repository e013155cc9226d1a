#pragma once

/// Serves one database that this instance owns: raises the fence, carries
/// requests to its members, acknowledges writes and changes the primary.
///
/// Example:
///   DatabaseOwner owner(config, record, timing, timers, outbox, ports);
///   owner.Start();
///   owner.Submit(request);

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/admission/request_queue.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/connection_pool.h"
#include "kingcuplock/failover/member_watch.h"
#include "kingcuplock/failover/promotion.h"
#include "kingcuplock/outcome/acknowledgement.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/routing/age_tracker.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// What an owner uses and reports to.
struct OwnerPorts {
  /// Returns whether the instance's lease is valid.
  std::function<bool()> lease_is_valid;
  /// Writes term, primary and phase to the ownership record.
  std::function<void(std::int64_t term,
                     const std::string& primary,
                     Phase phase,
                     std::function<void(bool)>)>
      write_record;
  /// A failover is over.
  std::function<void(const FailoverGap&)> failed_over;
};

/// Phase of an owner.
enum class OwnerPhase {
  kDiscovering,
  kFencing,
  kServing,
  kPromoting,
  kStopped
};

/// Returns the name of a phase, for status and logs.
auto ToString(OwnerPhase phase) -> std::string_view;

/// Not thread safe.
class DatabaseOwner {
 public:
  DatabaseOwner(DatabaseConfig config,
                OwnerRecord record,
                TimingSettings timing,
                TimerService& timers,
                Outbox& outbox,
                OwnerPorts ports);
  ~DatabaseOwner();
  DatabaseOwner(const DatabaseOwner&) = delete;
  auto operator=(const DatabaseOwner&) -> DatabaseOwner& = delete;

  /// Connects to the members and raises the fence.
  void Start();

  /// Serves a request; its reply comes by the deadline at the latest.
  void Submit(RequestPtr request);

  /// Stops serving. Requests that did not run are answered not_owner, others
  /// are in doubt.
  void Stop();

  /// Admits nothing more and calls `done` when no request is left.
  void Drain(std::function<void()> done);

  /// Returns the phase.
  auto phase() const -> OwnerPhase { return phase_; }

  /// Returns the term that is served.
  auto term() const -> std::int64_t { return term_; }

  /// Returns the primary, empty while there is none.
  auto primary() const -> const std::string& { return primary_; }

  /// Returns the number of requests that wait.
  auto Queued() const -> std::size_t { return queue_.Size(); }

  /// Handle an event; return false if the connection is not this owner's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  /// A request that was carried out and waits for its acknowledgement.
  struct Unconfirmed {
    RequestPtr request;
    CallerAnswer answer;
    std::int64_t position = 0;
    Time committed_at{};
    bool is_write = false;
  };
  struct Member {
    std::unique_ptr<MemberWatch> watch;
    std::unique_ptr<ConnectionPool> pool;
    LogPlace place;
    std::int64_t follows = 0;
    Time last_follow_order{};
  };

  // Members.
  void AddMember(const MemberConfig& member);
  void CallMember(const std::string& member,
                  const MemberRequest& request,
                  Duration timeout,
                  MemberCallback callback);
  void OnSample(const std::string& name,
                Time asked,
                const MemberAnswer& answer);
  void OnSuspected(const std::string& name);
  void Demote(const std::string& name, Member& member);
  auto PrimaryPool() -> ConnectionPool*;

  // Fence and promotion.
  void Discover();
  void OnDiscovered(std::map<std::string, MemberAnswer> heard);
  void SetPrimary(std::int64_t term, const std::string& primary);
  void Fence();
  void OnFenceRaised(std::int64_t term, const MemberAnswer* answer);
  void TryOpen();
  void BeginPromotion();
  void OnPromoted(std::int64_t term, const std::string& primary);
  void CommitRecord(std::int64_t term, const std::string& primary);
  void OnFencedOut();
  void ReportGap();

  // Requests.
  void Pump();
  void Enqueue(const RequestPtr& request);
  void PumpReplicas();
  auto TryReplica(const RequestPtr& request) -> bool;
  void RunOnReplica(const std::string& name, const RequestPtr& request);
  auto ReplicaServes(const Member& member, const OwnerRequest& request) const
      -> bool;
  void OnReplicaRead(const RequestPtr& request,
                     const std::string& name,
                     const MemberAnswer* answer);
  void RunOnPrimary(const RequestPtr& request);
  void OnPrimaryAnswer(const RequestPtr& request,
                       std::int64_t term,
                       Time sent,
                       const MemberAnswer* answer);
  void Confirm(const RequestPtr& request, const MemberAnswer& answer);
  void AcknowledgeReady();
  void Answer(const RequestPtr& request, CallerAnswer answer);
  void Expire(const RequestPtr& request);
  void GiveBack(const RequestPtr& request);
  auto BuildAnswer(const OwnerRequest& request,
                   const MemberAnswer& answer,
                   const std::string& member,
                   bool from_replica) const -> CallerAnswer;
  void CheckDrained();

  DatabaseConfig config_;
  OwnerRecord record_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  OwnerPorts ports_;

  OwnerPhase phase_ = OwnerPhase::kDiscovering;
  std::int64_t term_ = 0;
  std::string primary_;
  std::map<std::string, Member> members_;
  std::optional<Acknowledgement<>> acks_;
  std::optional<LogPlace> acknowledged_;
  std::optional<LogPlace> fence_;
  AgeTracker ages_;
  std::unique_ptr<Promotion> promotion_;
  std::unique_ptr<Promotion> retired_promotion_;
  std::optional<FailoverGap> gap_;
  Time gap_began_{};
  Time primary_since_{};

  RequestQueue<RequestPtr> queue_;
  RequestQueue<RequestPtr> replica_queue_;
  std::list<Unconfirmed> unconfirmed_;
  bool draining_ = false;
  std::function<void()> on_drained_;
  std::unordered_set<RequestPtr> open_;
  TimerId fence_timer_ = 0;
  LifeGuard guard_;
};

}  // namespace kingcuplock
