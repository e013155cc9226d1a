#pragma once

/// Queues requests for the primary, sends them, and holds each answer back
/// until the lease and the acknowledgement mode of the group allow it. Reads
/// are held back as well, so that no session sees what a failover could still
/// lose.
///
/// Example:
///   RequestRunner runner(config, epoch, controller, pools, timers, finish,
///                        on_fenced_out);
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

/// Connection pools of the members of one database, by member name.
using MemberPools = std::map<std::string, std::unique_ptr<ConnectionPool>>;

/// Answers a request. Later answers to the same request are ignored.
using FinishCallback = std::function<void(const RequestPtr&, CallerAnswer)>;

/// Returns the `ok` answer to `request` from the answer of `member`. Its
/// session token is advanced to the log place of that answer.
auto BuildOkAnswer(const OwnerRequest& request,
                   const MemberAnswer& answer,
                   const std::string& member,
                   bool from_replica) -> CallerAnswer;

/// Ids of the writes that were sent to the primary in the current term and have
/// no answer yet: each may still run. Not thread safe. O(log n) per
/// operation.
class UnansweredWrites {
 public:
  /// Notes that the write `id` is sent.
  void NoteSent(const std::string& id) { ++sends_[id]; }

  /// Notes that the primary answered one sending of `id`.
  void NoteAnswered(const std::string& id) {
    const auto it = sends_.find(id);
    if (it != sends_.end() && --it->second == 0) {
      sends_.erase(it);
    }
  }

  /// Returns whether a sending of `id` may still run.
  auto Contains(const std::string& id) const -> bool {
    return sends_.contains(id);
  }

  /// Removes all ids. Only for a newer term or epoch, which fences out what was
  /// sent before.
  void Clear() { sends_.clear(); }

 private:
  /// Sendings without an answer, by request id.
  std::map<std::string, int> sends_;
};

/// Runs the requests of one database at its primary. Not thread safe.
class RequestRunner {
 public:
  RequestRunner(const DatabaseConfig& config,
                std::int64_t epoch,
                GroupController& controller,
                MemberPools& pools,
                TimerService& timers,
                FinishCallback finish,
                std::function<void()> on_fenced_out);

  /// Adds a request to the queue for the primary. If the queue is full or would
  /// not reach a request by its deadline, that request or less urgent ones are
  /// answered as overloaded at once.
  void Enqueue(const RequestPtr& request);

  /// Sends queued requests, as far as slots and connections are free.
  void SendWaiting();

  /// Sends the held answers that may be given now.
  void SendReadyAnswers();

  /// Closes the connections to a primary that is being replaced, and queues the
  /// requests again whose answers were held back.
  void OnPrimaryAbandoned(const std::string& primary);

  /// Queues a write with unknown outcome again, to find the outcome out in the
  /// given way.
  void ResolveOutcome(const RequestPtr& request, OutcomeResolution resolution);

  /// Takes an `ok` answer of the primary, and sends it to the caller once the
  /// group allows it. A read whose answer is behind its session is refused.
  void AnswerOnceAcknowledged(const RequestPtr& request,
                              const MemberAnswer& answer);

  /// Returns the writes of the current term that were sent and not answered.
  auto unanswered_writes() -> UnansweredWrites& { return unanswered_writes_; }

  /// Removes a request that is queued or whose answer is held back.
  void DropRequest(const RequestPtr& request);

  /// Removes all requests.
  void DropAllRequests();

  /// Returns the time in ms, with jitter, after which a refused caller may
  /// retry: the expected time to serve the queue up to `priority`.
  auto RetryAfterMs(std::int64_t priority) -> std::int64_t {
    return retry_after_.PickDelayMs(queue_.ExpectedLatency(priority));
  }

  /// Returns `wait` in ms with jitter added, so that callers don't all retry at
  /// once.
  auto JitteredRetryMs(Duration wait) -> std::int64_t {
    return retry_after_.PickDelayMs(wait);
  }

  /// Returns how long one request holds its slot, a moving average.
  auto ServiceTime() const -> Duration { return queue_.ServiceTime(); }

  /// Returns the number of requests in the queue.
  auto QueuedRequests() const -> std::size_t { return queue_.Size(); }

 private:
  /// A request that ran, with the answer that is held back.
  struct HeldAnswer {
    RequestPtr request;
    CallerAnswer answer;
    std::int64_t position = 0;
    Time committed_at{};
    bool is_write = false;
  };

  void Requeue(const RequestPtr& request);
  void RefuseOverloaded(const std::vector<QueuedItem<RequestPtr>>& late);
  auto PrimaryPool() -> ConnectionPool*;
  auto RefuseIfPositionLost(const RequestPtr& request) -> bool;
  void SendToPrimary(const RequestPtr& request);
  void OnAnswer(const RequestPtr& request,
                std::int64_t term,
                Time sent,
                const MemberAnswer* answer);
  auto BuildMemberRequest(const OwnerRequest& request) const -> MemberRequest;
  void OnAborted(const RequestPtr& request);
  void OnMarkerAbsent(const RequestPtr& request);
  void OnRequestIdReused(const RequestPtr& request);
  void OnRefusedByMember(const RequestPtr& request, const MemberAnswer& answer);
  void RetryOrAnswerUnknown(const RequestPtr& request);

  const DatabaseConfig& config_;
  std::int64_t epoch_;
  GroupController& controller_;
  MemberPools& pools_;
  TimerService& timers_;
  FinishCallback finish_;
  std::function<void()> on_fenced_out_;
  AdmissionQueue<RequestPtr> queue_;
  RetryAfter retry_after_;
  RetryBudget retry_budget_;
  std::list<HeldAnswer> held_answers_;
  UnansweredWrites unanswered_writes_;
};

}  // namespace kingcuplock
