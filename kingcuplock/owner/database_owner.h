#pragma once

/// Serves one database that this instance owns. Admits requests, routes each to
/// the primary or a replica, and answers it exactly once by its deadline. Owns
/// the parts that control the group, run requests and transactions, read from
/// replicas and prune markers.
///
/// Example:
///   DatabaseOwner owner(config, record, timing, timers, outbox, callbacks);
///   owner.Start();
///   owner.SubmitRequest(request);

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/marker_pruner.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/owner/replica_reader.h"
#include "kingcuplock/owner/request_runner.h"
#include "kingcuplock/owner/transactions.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {

/// Callbacks of an owner to the instance that runs it.
struct OwnerCallbacks {
  /// Returns whether the instance's lease is valid.
  std::function<bool()> lease_is_valid;
  /// Writes term, primary, phase and the starts of terms to the ownership
  /// record, then calls back with whether it was written.
  std::function<void(std::int64_t term,
                     const std::string& primary,
                     Phase phase,
                     const std::vector<TermStart>& term_starts,
                     std::function<void(bool)>)>
      write_record;
  /// Called when a failover has ended and writes are open again.
  std::function<void(const FailoverGap&)> on_failed_over;
  /// Called when the owner has stopped because the database belongs to a newer
  /// owner; see GroupControllerCallbacks::on_fenced_out.
  std::function<void(std::int64_t epoch)> on_fenced_out;
};

/// Serves one database. Not thread safe.
class DatabaseOwner {
 public:
  DatabaseOwner(DatabaseConfig config,
                OwnerRecord record,
                TimingSettings timing,
                TimerService& timers,
                Outbox& outbox,
                OwnerCallbacks callbacks);
  ~DatabaseOwner();
  DatabaseOwner(const DatabaseOwner&) = delete;
  auto operator=(const DatabaseOwner&) -> DatabaseOwner& = delete;

  /// Connects to the members and raises the epoch at the primary, which fences
  /// out earlier owners.
  void Start();

  /// Serves a request. Calls its `reply` exactly once, at the deadline at the
  /// latest.
  void SubmitRequest(const RequestPtr& request);

  /// Rolls back the transactions begun on `source`, an inbound connection that
  /// has closed.
  void OnInboundConnectionClosed(ConnectionId source) {
    transactions_.OnInboundConnectionClosed(source);
    CheckDrained();
  }

  /// Stops serving. Requests that did not run are answered `not_run` with error
  /// not_owner, all others `unknown` with error fenced.
  void Stop();

  /// Sets the members whose endpoint is about to stop. They get no new reads,
  /// and a primary among them is replaced.
  void SetLeaving(std::vector<std::string> members) {
    controller_.SetLeaving(std::move(members));
  }

  /// Admits no new requests, except steps of open transactions, and calls
  /// `done` once no request and no transaction is left.
  void Drain(std::function<void()> done);

  /// Returns the phase that the group is in.
  auto phase() const -> OwnerPhase { return controller_.phase(); }

  /// Returns the newest term known.
  auto term() const -> std::int64_t { return controller_.term(); }

  /// Returns the primary, empty while there is none.
  auto primary() const -> const std::string& { return controller_.primary(); }

  /// Returns the configuration passed to the constructor.
  auto config() const -> const DatabaseConfig& { return config_; }

  /// Returns the number of requests that wait for the primary.
  auto QueuedRequests() const -> std::size_t {
    return runner_.QueuedRequests();
  }

  /// Handle an event of a connection to a member. Return false if the
  /// connection is not this owner's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  auto MakeTransactionCallbacks() -> TransactionCallbacks;
  void OnFencedOut(std::int64_t epoch);
  auto MakeControllerCallbacks(OwnerCallbacks callbacks)
      -> GroupControllerCallbacks;
  void AddPool(const MemberConfig& member, Outbox& outbox);
  void OnMemberFree(const std::string& member);
  void RouteRequest(const RequestPtr& request);
  auto ExpectedReplicaTime() const -> Duration;
  auto WaitForSameId(const RequestPtr& request) -> bool;
  void ResumeSameId(const RequestPtr& request, const CallerAnswer& answer);
  void AnswerRequest(const RequestPtr& request, CallerAnswer answer);
  void OnDeadline(const RequestPtr& request);
  void CheckDrained();

  DatabaseConfig config_;
  TimerService& timers_;
  MemberPools pools_;
  std::function<void(std::int64_t)> on_fenced_out_;
  GroupController controller_;
  RequestRunner runner_;
  ReplicaReader replica_reader_;
  MarkerPruner pruner_;
  Transactions transactions_;
  /// Whether transactions went before single requests for the last free slot.
  bool transactions_first_ = false;
  /// Requests without an answer so far.
  std::unordered_set<RequestPtr> unanswered_;
  /// Sendings of one request id: while the first is in flight, later ones wait
  /// for it.
  struct SameIdWrites {
    RequestPtr first;
    std::vector<RequestPtr> later;
  };
  /// Writes in flight, by request id.
  std::unordered_map<std::string, SameIdWrites> writes_in_flight_;
  bool draining_ = false;
  std::function<void()> on_drained_;
};

}  // namespace kingcuplock
