#pragma once

/// One change of primary, in steps that a successor can take up: record the
/// new term, hear members, order the promotion.
///
/// Example:
///   Promotion promotion(question, timing, timers, outbox, ports);
///   promotion.Begin();

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/endpoint/member_link.h"
#include "kingcuplock/failover/candidate.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// What a promotion starts from.
struct PromotionOptions {
  /// Database concerned.
  DatabaseConfig database;
  /// Newest term begun so far.
  std::int64_t newest_term = 0;
  /// Highest place acknowledged, if this owner knows it.
  std::optional<LogPosition> acknowledged;
  /// Member that is not heard and not chosen, empty for none: a primary that
  /// answers but no longer reaches its replicas.
  std::string excluded;
  /// Member whose fresh connections failed, empty for none: heard if it
  /// answers, but not waited for.
  std::string suspected;
  /// Members on endpoints that are leaving.
  std::vector<std::string> leaving = {};
};

/// When each step ended.
struct PromotionTimes {
  Time began{};
  Time recorded{};
  Time heard{};
  Time promoted{};
};

/// What a promotion uses and reports to.
struct PromotionCallbacks {
  /// Sends a request to a member over a control link.
  std::function<void(const std::string& member,
                     const MemberRequest&,
                     Duration timeout,
                     MemberCallback)>
      call_member;
  /// Writes the ownership record with the new term, phase promoting.
  std::function<void(std::int64_t term, std::function<void(bool)>)> record;
  /// The candidate leads `term`; its log ends at `end` and holds no entry of
  /// the term yet.
  std::function<
      void(std::int64_t term, const std::string& primary, LogPosition end)>
      on_promoted;
  /// The record could not be written: this instance owns the database no more.
  std::function<void()> on_ownership_lost;
};

/// Not thread safe.
class Promotion {
 public:
  Promotion(PromotionOptions start,
            TimerService& timers,
            Outbox& outbox,
            PromotionCallbacks ports);
  Promotion(const Promotion&) = delete;
  auto operator=(const Promotion&) -> Promotion& = delete;

  /// Begins the first attempt.
  void Begin();

  /// Takes no further step.
  void Cancel() { step_ = Step::kDone; }

  /// Returns when each step of the last attempt ended.
  auto times() const -> const PromotionTimes& { return times_; }

 private:
  enum class Step { kIdle, kRecording, kHearing, kOrdering, kDone };

  void NewAttempt(std::int64_t term);
  void OnRecorded(std::int64_t term, bool written);
  void Hear(const std::string& member);
  void OnHeard(std::int64_t term,
               const std::string& member,
               const MemberAnswer* answer);
  void Consider();
  void Choose(const MemberLogReport& candidate);
  void Order();
  void OnOrdered(std::int64_t term, const MemberAnswer* answer);
  auto Question() const -> CandidateCriteria;
  void WaitAndLog();

  PromotionOptions start_;
  TimerService& timers_;
  Outbox& outbox_;
  PromotionCallbacks ports_;
  Step step_ = Step::kIdle;
  std::int64_t term_ = 0;
  MemberLogReports<> log_reports_;
  MemberLogReport candidate_;
  bool grace_over_ = false;
  int orders_ = 0;
  PromotionTimes times_;
  CallbackGuard guard_;
};

}  // namespace kingcuplock
