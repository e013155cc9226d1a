#pragma once

/// Serves one database that this instance owns: admits requests, gives each
/// one answer by its deadline, and joins leadership, writes and reads.
///
/// Example:
///   DatabaseOwner owner(config, record, timing, timers, outbox, ports);
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

/// What an owner uses and reports to.
struct OwnerCallbacks {
  /// Returns whether the instance's lease is valid.
  std::function<bool()> lease_is_valid;
  /// Writes term, primary, phase and starts of terms to the ownership record.
  std::function<void(std::int64_t term,
                     const std::string& primary,
                     Phase phase,
                     const std::vector<TermStart>& term_starts,
                     std::function<void(bool)>)>
      write_record;
  /// A failover is over.
  std::function<void(const FailoverGap&)> on_failed_over;
  /// The owner stopped because it was fenced out; see
  /// GroupControllerCallbacks::on_fenced_out.
  std::function<void(std::int64_t epoch)> on_fenced_out;
};

/// Not thread safe.
class DatabaseOwner {
 public:
  DatabaseOwner(DatabaseConfig config,
                OwnerRecord record,
                TimingSettings timing,
                TimerService& timers,
                Outbox& outbox,
                OwnerCallbacks ports);
  ~DatabaseOwner();
  DatabaseOwner(const DatabaseOwner&) = delete;
  auto operator=(const DatabaseOwner&) -> DatabaseOwner& = delete;

  /// Connects to the members and raises the fence.
  void Start();

  /// Serves a request; its reply comes by the deadline at the latest.
  void SubmitRequest(const RequestPtr& request);

  /// Rolls back what was begun on an inbound connection that ended.
  void OnInboundConnectionClosed(ConnectionId source) {
    transactions_.OnInboundConnectionClosed(source);
    CheckDrained();
  }

  /// Stops serving. Requests that did not run are answered not_owner, others
  /// are in doubt.
  void Stop();

  /// Sets the members on endpoints that are leaving: they get no new reads,
  /// and a primary among them is replaced.
  void SetLeaving(std::vector<std::string> members) {
    leader_.SetLeaving(std::move(members));
  }

  /// Admits nothing more and calls `done` when no request is left.
  void Drain(std::function<void()> done);

  /// Returns the phase.
  auto phase() const -> OwnerPhase { return leader_.phase(); }

  /// Returns the term that is served.
  auto term() const -> std::int64_t { return leader_.term(); }

  /// Returns the primary, empty while there is none.
  auto primary() const -> const std::string& { return leader_.primary(); }

  /// Returns the configuration that it was made with.
  auto config() const -> const DatabaseConfig& { return config_; }

  /// Returns the number of requests that wait.
  auto QueuedRequests() const -> std::size_t {
    return runner_.QueuedRequests();
  }

  /// Handle an event; return false if the connection is not this owner's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  auto MakeTransactionPorts() -> TransactionCallbacks;
  void OnFencedOut(std::int64_t epoch);
  auto MakeLeaderPorts(OwnerCallbacks ports) -> GroupControllerCallbacks;
  void AddPool(const MemberConfig& member, Outbox& outbox);
  void OnFree(const std::string& member);
  void Admit(const RequestPtr& request);
  auto ReplicaWait() const -> Duration;
  auto JoinSameId(const RequestPtr& request) -> bool;
  void ReleaseSameId(const RequestPtr& request, const CallerAnswer& answer);
  void Finish(const RequestPtr& request, CallerAnswer answer);
  void Expire(const RequestPtr& request);
  void CheckDrained();

  DatabaseConfig config_;
  TimerService& timers_;
  MemberPools pools_;
  std::function<void(std::int64_t)> fenced_out_;
  GroupController leader_;
  RequestRunner runner_;
  ReplicaReader reader_;
  MarkerPruner pruner_;
  Transactions transactions_;
  bool transactions_first_ = false;
  std::unordered_set<RequestPtr> open_;
  /// Writes in flight by request id; later sendings of an id wait for the
  /// first one.
  struct SameId {
    RequestPtr first;
    std::vector<RequestPtr> later;
  };
  std::unordered_map<std::string, SameId> writes_;
  bool draining_ = false;
  std::function<void()> on_drained_;
};

}  // namespace kingcuplock
