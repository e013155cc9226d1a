#include "kingcuplock/failover/promotion.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Timeout of a status request to a member.
constexpr Milliseconds kReportTimeout{200};
/// Pause before a request that a member did not answer is sent again.
constexpr Milliseconds kRetryPause{50};
/// Time for which a promotion that has enough reports waits for more, so that
/// a better candidate can still report.
constexpr Milliseconds kReportGracePeriod{30};
/// Timeout of the order to promote.
constexpr Milliseconds kOrderTimeout{300};
/// Orders that are sent to one candidate before a new attempt begins.
constexpr int kMaxOrdersPerAttempt = 3;
/// Interval at which a promotion that is not done is logged, and its reports
/// are evaluated again because a loss may have become allowed.
constexpr Milliseconds kProgressCheckInterval{1000};

}  // namespace

Promotion::Promotion(PromotionOptions options,
                     TimerService& timers,
                     Outbox& outbox,
                     PromotionCallbacks callbacks)
    : options_(std::move(options)),
      timers_(timers),
      outbox_(outbox),
      callbacks_(std::move(callbacks)) {}

void Promotion::Begin() {
  times_.began = timers_.Now();
  BeginAttempt(options_.newest_term + 1);
  ScheduleProgressCheck();
}

void Promotion::BeginAttempt(std::int64_t term) {
  step_ = Step::kWritingRecord;
  term_ = term;
  log_reports_.BeginAttempt(term);
  grace_period_over_ = false;
  sent_orders_ = 0;
  outbox_.Log(Event::kPromotionBegan, {{"database", options_.database.name},
                                       {"term", std::to_string(term)}});
  callbacks_.record(term, guard_.Bind([this, term](bool written) {
    OnRecorded(term, written);
  }));
}

void Promotion::OnRecorded(std::int64_t term, bool written) {
  if (term != term_ || step_ != Step::kWritingRecord) {
    return;
  }
  if (!written) {
    step_ = Step::kDone;
    callbacks_.on_ownership_lost();
    return;
  }
  step_ = Step::kCollectingReports;
  times_.recorded = timers_.Now();
  for (const auto& it : options_.database.members) {
    if (it.name != options_.excluded_member) {
      RequestLogReport(it.name);
    }
  }
}

void Promotion::RequestLogReport(const std::string& member) {
  MemberRequest request;
  request.op = MemberOp::kStatus;
  callbacks_.call_member(
      member, request, kReportTimeout,
      guard_.Bind([this, member, term = term_](const MemberAnswer* answer) {
        OnLogReport(term, member, answer);
      }));
}

void Promotion::OnLogReport(std::int64_t term,
                            const std::string& member,
                            const MemberAnswer* answer) {
  if (term != term_ || step_ != Step::kCollectingReports) {
    return;
  }
  if (answer == nullptr) {
    timers_.After(kRetryPause, guard_.Bind([this, member, term] {
      if (term == term_ && step_ == Step::kCollectingReports) {
        RequestLogReport(member);
      }
    }));
    return;
  }
  const LogPosition last_entry{answer->entry_term, answer->position};
  if (log_reports_.Note(term, {member, answer->term, last_entry})) {
    EvaluateReports();
  }
}

auto Promotion::BuildCriteria() const -> CandidateCriteria {
  const auto allowed_after =
      Milliseconds(options_.database.loss_allowed_after_ms);
  const auto loss_allowed = allowed_after.count() > 0 &&
                            timers_.Now() - times_.began >= allowed_after;
  return {options_.database.members.size(), term_, options_.acknowledged,
          loss_allowed, options_.leaving_members};
}

void Promotion::EvaluateReports() {
  if (step_ != Step::kCollectingReports) {
    return;
  }
  const auto choice = log_reports_.Choose(BuildCriteria());
  if (choice.verdict == CandidateVerdict::kTermTooLow) {
    BeginAttempt(std::max(term_, log_reports_.HighestFollowedTerm()) + 1);
    return;
  }
  if (choice.verdict == CandidateVerdict::kWait) {
    return;
  }
  const auto skips_one_member =
      !options_.excluded_member.empty() || !options_.suspected_member.empty();
  const auto expected_reports =
      options_.database.members.size() - (skips_one_member ? 1 : 0);
  const auto all_reported = log_reports_.size() >= expected_reports;
  if (all_reported || grace_period_over_) {
    AcceptCandidate(choice.candidate);
    return;
  }
  timers_.After(kReportGracePeriod, guard_.Bind([this, term = term_] {
    if (term == term_) {
      grace_period_over_ = true;
      EvaluateReports();
    }
  }));
}

void Promotion::AcceptCandidate(const MemberLogReport& candidate) {
  step_ = Step::kOrdering;
  times_.heard = timers_.Now();
  candidate_ = candidate;
  SendPromoteOrder();
}

void Promotion::SendPromoteOrder() {
  ++sent_orders_;
  MemberRequest request;
  request.op = MemberOp::kPromote;
  request.term = term_;
  request.entry_term = candidate_.last_entry.term;
  request.position = candidate_.last_entry.position;
  callbacks_.call_member(
      candidate_.member, request, kOrderTimeout,
      guard_.Bind([this, term = term_](const MemberAnswer* answer) {
        OnPromoteAnswer(term, answer);
      }));
}

void Promotion::OnPromoteAnswer(std::int64_t term, const MemberAnswer* answer) {
  if (term != term_ || step_ != Step::kOrdering) {
    return;
  }
  if (answer == nullptr && sent_orders_ < kMaxOrdersPerAttempt) {
    timers_.After(kRetryPause, guard_.Bind([this, term] {
      if (term == term_ && step_ == Step::kOrdering) {
        SendPromoteOrder();
      }
    }));
    return;
  }
  if (answer == nullptr || answer->status != MemberStatus::kDone) {
    BeginAttempt(term_ + 1);
    return;
  }
  step_ = Step::kDone;
  times_.promoted = timers_.Now();
  outbox_.Log(Event::kPromotionDone, {{"database", options_.database.name},
                                      {"term", std::to_string(term_)},
                                      {"primary", candidate_.member}});
  callbacks_.on_promoted(term_, candidate_.member,
                         {answer->entry_term, answer->position});
}

void Promotion::ScheduleProgressCheck() {
  timers_.After(kProgressCheckInterval, guard_.Bind([this] {
    if (step_ == Step::kDone) {
      return;
    }
    outbox_.Log(Event::kPromotionWaits,
                {{"database", options_.database.name},
                 {"term", std::to_string(term_)},
                 {"heard", std::to_string(log_reports_.size())}});
    EvaluateReports();
    ScheduleProgressCheck();
  }));
}

}  // namespace kingcuplock
