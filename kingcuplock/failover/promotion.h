#pragma once

/// One change of a database's primary, in three steps: write the new term to
/// the ownership record, collect the members' log positions, and order the
/// chosen member to promote itself. If the owner fails in between, its
/// successor can resume from the record.
///
/// Example:
///   Promotion promotion(std::move(options), timers, outbox,
///                       {.call_member = ..., .record = ...,
///                        .on_promoted = ..., .on_ownership_lost = ...});
///   promotion.Begin();

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/member_client.h"
#include "kingcuplock/failover/candidate.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// The database to promote a member of, and what its owner knows about it.
struct PromotionOptions {
  /// Configuration of the database.
  DatabaseConfig database;
  /// Newest term that the owner knows to have begun.
  std::int64_t newest_term = 0;
  /// Highest acknowledged log position, if the owner knows it; see
  /// CandidateCriteria.
  std::optional<LogPosition> acknowledged;
  /// Member that is neither asked nor chosen: a primary that answers but no
  /// longer reaches its replicas. Empty for none.
  std::string excluded_member;
  /// Member that is suspected of having failed, because fresh connections to it
  /// failed. It may report but is not waited for. Empty for none.
  std::string suspected_member;
  /// Members on endpoints that are leaving; chosen only if no other qualifies.
  std::vector<std::string> leaving_members = {};
};

/// Start of a promotion and the end of each step of its last attempt.
struct PromotionTimes {
  /// Begin() was called.
  Time began{};
  /// The ownership record with the new term was written.
  Time recorded{};
  /// Enough members had reported to choose the candidate.
  Time heard{};
  /// The candidate confirmed its promotion.
  Time promoted{};
};

/// Callbacks of a Promotion. `record` and `call_member` may call back after the
/// promotion is gone.
struct PromotionCallbacks {
  /// Sends a request to a member over its control link. Calls back with the
  /// answer, or with nullptr if none arrives within `timeout`.
  std::function<void(const std::string& member,
                     const MemberRequest& request,
                     Duration timeout,
                     MemberCallback callback)>
      call_member;
  /// Writes the ownership record with the new term and the phase "promoting".
  /// Calls back with whether it was written.
  std::function<void(std::int64_t term,
                     std::function<void(bool written)> callback)>
      record;
  /// `primary` is the primary of `term` now. Its log ends at `end` and holds no
  /// entry of that term yet.
  std::function<
      void(std::int64_t term, const std::string& primary, LogPosition end)>
      on_promoted;
  /// The record could not be written, because this instance no longer owns the
  /// database.
  std::function<void()> on_ownership_lost;
};

/// Not thread safe. `timers` and `outbox` must outlive the promotion.
class Promotion {
 public:
  Promotion(PromotionOptions options,
            TimerService& timers,
            Outbox& outbox,
            PromotionCallbacks callbacks);
  Promotion(const Promotion&) = delete;
  auto operator=(const Promotion&) -> Promotion& = delete;

  /// Begins the first attempt, for the term after the newest one. A failed
  /// attempt is followed by another for a higher term, until one succeeds or
  /// the ownership is lost.
  void Begin();

  /// Stops the promotion. An order that was sent already may still take effect.
  void Cancel() { step_ = Step::kDone; }

  /// Returns the start of the promotion and the end of each step of the last
  /// attempt; steps that have not ended hold Time{} or the time of an earlier
  /// attempt.
  auto times() const -> const PromotionTimes& { return times_; }

 private:
  enum class Step {
    kIdle,
    kWritingRecord,
    kCollectingReports,
    kOrdering,
    kDone
  };

  void BeginAttempt(std::int64_t term);
  void OnRecorded(std::int64_t term, bool written);
  void RequestLogReport(const std::string& member);
  void OnLogReport(std::int64_t term,
                   const std::string& member,
                   const MemberAnswer* answer);
  void EvaluateReports();
  void AcceptCandidate(const MemberLogReport& candidate);
  void SendPromoteOrder();
  void OnPromoteAnswer(std::int64_t term, const MemberAnswer* answer);
  auto BuildCriteria() const -> CandidateCriteria;
  void ScheduleProgressCheck();

  PromotionOptions options_;
  TimerService& timers_;
  Outbox& outbox_;
  PromotionCallbacks callbacks_;
  Step step_ = Step::kIdle;
  std::int64_t term_ = 0;
  MemberLogReports<> log_reports_;
  MemberLogReport candidate_;
  bool grace_period_over_ = false;
  int sent_orders_ = 0;
  PromotionTimes times_;
  CallbackGuard guard_;
};

}  // namespace kingcuplock
