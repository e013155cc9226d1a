#pragma once

/// Carries requests to the primary, and holds every answer back until it may
/// be given.
///
/// Example:
///   RequestRunner runner(config, epoch, leader, pools, timers, finish);
///   runner.Enqueue(request);
///   runner.SendWaiting();

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kingcuplock/admission/admission_queue.h"
#include "kingcuplock/admission/retry_after.h"
#include "kingcuplock/admission/retry_budget.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/connection_pool.h"
#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// The pools of one database's members, by member name.
using MemberPools = std::map<std::string, std::unique_ptr<ConnectionPool>>;

/// Gives a request its answer. The first answer counts.
using FinishCallback = std::function<void(const RequestPtr&, CallerAnswer)>;

/// Returns an `ok` answer built from a member's, with the token moved on.
auto BuildOkAnswer(const OwnerRequest& request,
                   const MemberAnswer& answer,
                   const std::string& member,
                   bool from_replica) -> CallerAnswer;

/// Ids whose statement was sent in the present term without an answer so far:
/// each may still be carried out. Not thread safe; O(log n) per operation.
class UnansweredWrites {
 public:
  /// Notes that a statement of `id` is sent.
  void NoteSent(const std::string& id) { ++sends_[id]; }

  /// Notes that a statement of `id` was answered for good.
  void NoteAnswered(const std::string& id) {
    const auto it = sends_.find(id);
    if (it != sends_.end() && --it->second == 0) {
      sends_.erase(it);
    }
  }

  /// Returns whether a statement of `id` may still be carried out.
  auto Contains(const std::string& id) const -> bool {
    return sends_.contains(id);
  }

  /// Forgets all: a newer term or epoch fences them.
  void Clear() { sends_.clear(); }

 private:
  std::map<std::string, int> sends_;
};

/// Not thread safe.
class RequestRunner {
 public:
  RequestRunner(const DatabaseConfig& config,
                std::int64_t epoch,
                GroupController& leader,
                MemberPools& pools,
                TimerService& timers,
                FinishCallback finish,
                std::function<void()> on_fenced_out);

  /// Adds a request for the primary. It, or a less urgent one, is refused at
  /// once if it can't be served by its deadline.
  void Enqueue(const RequestPtr& request);

  /// Sends what waits, as far as slots and connections go.
  void SendWaiting();

  /// Gives the answers that may be given now.
  void SendReadyAnswers();

  /// Takes back what the given-up primary has not been acknowledged for.
  void OnPrimaryAbandoned(const std::string& primary);

  /// Finds out what became of a write in doubt.
  void ResolveOutcome(const RequestPtr& request, OutcomeResolution resolution);

  /// Holds an `ok` answer of the primary back until it may be given.
  void AnswerOnceAcknowledged(const RequestPtr& request,
                              const MemberAnswer& answer);

  /// Returns the sends of this term that have no answer.
  auto unanswered_writes() -> UnansweredWrites& { return open_sends_; }

  /// Forgets a request that waits.
  void DropRequest(const RequestPtr& request);

  /// Forgets all requests.
  void Clear();

  /// Returns the time in ms after which a refused caller may come back.
  auto RetryAfterMs(std::int64_t priority) -> std::int64_t {
    return retry_after_.PickDelayMs(queue_.ExpectedLatency(priority));
  }

  /// Returns a time in ms after which a caller may come back, spread out.
  auto JitteredRetryMs(Duration wait) -> std::int64_t {
    return retry_after_.PickDelayMs(wait);
  }

  /// Returns how long one request holds its slot.
  auto ServiceTime() const -> Duration { return queue_.ServiceTime(); }

  /// Returns the number of requests that wait.
  auto QueuedRequests() const -> std::size_t { return queue_.Size(); }

 private:
  /// A request that was carried out and waits for its acknowledgement.
  struct Unconfirmed {
    RequestPtr request;
    CallerAnswer answer;
    std::int64_t position = 0;
    Time committed_at{};
    bool is_write = false;
  };

  void Requeue(const RequestPtr& request);
  void Refuse(const std::vector<QueuedItem<RequestPtr>>& late);
  auto PrimaryPool() -> ConnectionPool*;
  auto RefuseLost(const RequestPtr& request) -> bool;
  void Run(const RequestPtr& request);
  void OnAnswer(const RequestPtr& request,
                std::int64_t term,
                Time sent,
                const MemberAnswer* answer);
  auto BuildCall(const OwnerRequest& request) const -> MemberRequest;
  void OnAborted(const RequestPtr& request);
  void OnAbsent(const RequestPtr& request);
  void OnReused(const RequestPtr& request);
  void OnRefusedByMember(const RequestPtr& request, const MemberAnswer& answer);
  void GiveBack(const RequestPtr& request);

  const DatabaseConfig& config_;
  std::int64_t epoch_;
  GroupController& leader_;
  MemberPools& pools_;
  TimerService& timers_;
  FinishCallback finish_;
  std::function<void()> fenced_out_;
  AdmissionQueue<RequestPtr> queue_;
  RetryAfter retry_after_;
  RetryBudget retry_budget_;
  std::list<Unconfirmed> unconfirmed_;
  UnansweredWrites open_sends_;
};

}  // namespace kingcuplock
