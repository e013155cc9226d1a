#include "kingcuplock/failover/promotion.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Longest wait in ms for one member's hearing.
constexpr Milliseconds kHearTimeout{200};
/// Pause in ms before a member that did not answer is heard again.
constexpr Milliseconds kHearPause{50};
/// Time in ms for which a promotion that could go on waits for more members.
constexpr Milliseconds kHearGrace{30};
/// Longest wait in ms for the candidate's answer.
constexpr Milliseconds kOrderTimeout{300};
/// Orders sent to one candidate before a new attempt begins.
constexpr int kMaxOrders = 3;
/// Interval in ms at which a waiting promotion is logged.
constexpr Milliseconds kWaitLogInterval{1000};

}  // namespace

Promotion::Promotion(PromotionOptions start,
                     TimerService& timers,
                     Outbox& outbox,
                     PromotionCallbacks ports)
    : start_(std::move(start)),
      timers_(timers),
      outbox_(outbox),
      ports_(std::move(ports)) {}

void Promotion::Begin() {
  times_.began = timers_.Now();
  NewAttempt(start_.newest_term + 1);
  WaitAndLog();
}

void Promotion::NewAttempt(std::int64_t term) {
  step_ = Step::kRecording;
  term_ = term;
  log_reports_.BeginAttempt(term);
  grace_over_ = false;
  orders_ = 0;
  outbox_.Log(Event::kPromotionBegan, {{"database", start_.database.name},
                                       {"term", std::to_string(term)}});
  ports_.record(term, guard_.Bind([this, term](bool written) {
    OnRecorded(term, written);
  }));
}

void Promotion::OnRecorded(std::int64_t term, bool written) {
  if (term != term_ || step_ != Step::kRecording) {
    return;
  }
  if (!written) {
    step_ = Step::kDone;
    ports_.on_ownership_lost();
    return;
  }
  step_ = Step::kHearing;
  times_.recorded = timers_.Now();
  for (const auto& it : start_.database.members) {
    if (it.name != start_.excluded) {
      Hear(it.name);
    }
  }
}

void Promotion::Hear(const std::string& member) {
  MemberRequest request;
  request.op = MemberOp::kStatus;
  ports_.call_member(
      member, request, kHearTimeout,
      guard_.Bind([this, member, term = term_](const MemberAnswer* answer) {
        OnHeard(term, member, answer);
      }));
}

void Promotion::OnHeard(std::int64_t term,
                        const std::string& member,
                        const MemberAnswer* answer) {
  if (term != term_ || step_ != Step::kHearing) {
    return;
  }
  if (answer == nullptr) {
    timers_.After(kHearPause, guard_.Bind([this, member, term] {
      if (term == term_ && step_ == Step::kHearing) {
        Hear(member);
      }
    }));
    return;
  }
  const LogPosition last_entry{answer->entry_term, answer->position};
  if (log_reports_.Note(term, {member, answer->term, last_entry})) {
    Consider();
  }
}

auto Promotion::Question() const -> CandidateCriteria {
  const auto allowed_after =
      Milliseconds(start_.database.loss_allowed_after_ms);
  const auto loss_allowed = allowed_after.count() > 0 &&
                            timers_.Now() - times_.began >= allowed_after;
  return {start_.database.members.size(), term_, start_.acknowledged,
          loss_allowed, start_.leaving};
}

void Promotion::Consider() {
  if (step_ != Step::kHearing) {
    return;
  }
  const auto choice = log_reports_.Choose(Question());
  if (choice.verdict == CandidateVerdict::kTermTooLow) {
    NewAttempt(std::max(term_, log_reports_.HighestFollowedTerm()) + 1);
    return;
  }
  if (choice.verdict == CandidateVerdict::kWait) {
    return;
  }
  const auto one_is_away =
      !start_.excluded.empty() || !start_.suspected.empty();
  const auto to_hear = start_.database.members.size() - (one_is_away ? 1 : 0);
  const auto all_heard = log_reports_.size() >= to_hear;
  if (all_heard || grace_over_) {
    Choose(choice.candidate);
    return;
  }
  timers_.After(kHearGrace, guard_.Bind([this, term = term_] {
    if (term == term_) {
      grace_over_ = true;
      Consider();
    }
  }));
}

void Promotion::Choose(const MemberLogReport& candidate) {
  step_ = Step::kOrdering;
  times_.heard = timers_.Now();
  candidate_ = candidate;
  Order();
}

void Promotion::Order() {
  ++orders_;
  MemberRequest request;
  request.op = MemberOp::kPromote;
  request.term = term_;
  request.entry_term = candidate_.last_entry.term;
  request.position = candidate_.last_entry.position;
  ports_.call_member(
      candidate_.member, request, kOrderTimeout,
      guard_.Bind([this, term = term_](const MemberAnswer* answer) {
        OnOrdered(term, answer);
      }));
}

void Promotion::OnOrdered(std::int64_t term, const MemberAnswer* answer) {
  if (term != term_ || step_ != Step::kOrdering) {
    return;
  }
  if (answer == nullptr && orders_ < kMaxOrders) {
    timers_.After(kHearPause, guard_.Bind([this, term] {
      if (term == term_ && step_ == Step::kOrdering) {
        Order();
      }
    }));
    return;
  }
  if (answer == nullptr || answer->status != MemberStatus::kDone) {
    NewAttempt(term_ + 1);
    return;
  }
  step_ = Step::kDone;
  times_.promoted = timers_.Now();
  outbox_.Log(Event::kPromotionDone, {{"database", start_.database.name},
                                      {"term", std::to_string(term_)},
                                      {"primary", candidate_.member}});
  ports_.on_promoted(term_, candidate_.member,
                     {answer->entry_term, answer->position});
}

void Promotion::WaitAndLog() {
  timers_.After(kWaitLogInterval, guard_.Bind([this] {
    if (step_ == Step::kDone) {
      return;
    }
    outbox_.Log(Event::kPromotionWaits,
                {{"database", start_.database.name},
                 {"term", std::to_string(term_)},
                 {"heard", std::to_string(log_reports_.size())}});
    Consider();
    WaitAndLog();
  }));
}

}  // namespace kingcuplock
