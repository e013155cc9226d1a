// The part of GroupController that discovers the primary, raises the epoch
// there and promotes members.

#include <algorithm>
#include <memory>
#include <utility>

#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/group_controller_timing.h"

namespace kingcuplock {
namespace {

/// Pause in ms before the epoch is raised again when the primary did not
/// answer.
constexpr Milliseconds kRaiseEpochRetryPause{50};

auto MemberNames(const DatabaseConfig& config) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& it : config.members) {
    names.push_back(it.name);
  }
  return names;
}

}  // namespace

void GroupController::Discover() {
  phase_ = OwnerPhase::kDiscovering;
  auto answers = std::make_shared<std::map<std::string, MemberAnswer>>();
  for (const auto& [name, member] : members_) {
    MemberRequest request;
    request.op = MemberOp::kStatus;
    CallMember(name, request, internal::kControlTimeout,
               [answers, name = name](const MemberAnswer* answer) {
                 if (answer != nullptr) {
                   (*answers)[name] = *answer;
                 }
               });
  }
  timers_.After(internal::kControlTimeout,
                guard_.Bind([this, answers] { OnDiscovered(*answers); }));
}

void GroupController::OnDiscovered(
    const std::map<std::string, MemberAnswer>& answers) {
  std::string best;
  std::int64_t newest = 0;
  for (const auto& [name, answer] : answers) {
    newest = std::max(newest, answer.term);
    const auto leads = answer.role == MemberRole::kPrimary;
    if (leads && (best.empty() || answer.term > answers.at(best).term)) {
      best = name;
    }
  }
  if (answers.size() + 1 < members_.size() || answers.empty()) {
    Discover();
    return;
  }
  if (best.empty() || answers.at(best).term < newest) {
    // The primary of the newest term did not answer.
    term_ = std::max(term_, newest);
    BeginPromotion();
    return;
  }
  SetPrimary(answers.at(best).term, best);
  if (term_ > 1) {
    // The record that told where earlier terms began is gone, but sessions may
    // still hold tokens of those terms.
    term_history_.NoteUnknownTermStart(term_);
  }
  WriteRecord();
  RaiseEpoch();
}

void GroupController::SetPrimary(std::int64_t term,
                                 const std::string& primary) {
  term_ = term;
  primary_ = primary;
  primary_since_ = timers_.Now();
  fence_place_.reset();
  acknowledgement_.emplace(MemberNames(config_), primary, term,
                           config_.acknowledgement);
  for (auto& [name, member] : members_) {
    member.monitor->SetPrimary(name == primary);
  }
  phase_ = OwnerPhase::kFencing;
}

void GroupController::RaiseEpoch() {
  MemberRequest request;
  request.op = MemberOp::kRaiseEpoch;
  request.epoch = record_.epoch;
  request.term = term_;
  CallMember(primary_, request, internal::kControlTimeout,
             [this, term = term_](const MemberAnswer* answer) {
               OnEpochRaised(term, answer);
             });
}

void GroupController::OnEpochRaised(std::int64_t term,
                                    const MemberAnswer* answer) {
  if (term != term_ || phase_ != OwnerPhase::kFencing) {
    return;
  }
  if (answer == nullptr) {
    timers_.After(kRaiseEpochRetryPause, guard_.Bind([this, term] {
      if (term == term_ && phase_ == OwnerPhase::kFencing) {
        RaiseEpoch();
      }
    }));
    return;
  }
  if (answer->status == MemberStatus::kFenced) {
    callbacks_.on_fenced_out(answer->epoch);
    return;
  }
  if (answer->status != MemberStatus::kDone) {
    BeginPromotion();
    return;
  }
  fence_place_ = LogPosition{answer->entry_term, answer->position};
  fence_raised_at_ = timers_.Now();
  outbox_.Log(Event::kEpochRaised,
              {{"database", config_.name},
               {"epoch", std::to_string(record_.epoch)},
               {"position", std::to_string(answer->position)}});
  for (auto& [name, member] : members_) {
    if (name != primary_ && member.follows != 0 && member.follows < term_) {
      Demote(name, member);
    }
  }
  TryOpenWrites();
}

void GroupController::TryOpenWrites() {
  if (phase_ != OwnerPhase::kFencing || !fence_place_) {
    return;
  }
  if (!acknowledgement_->MayAcknowledge(fence_place_->position,
                                        fence_raised_at_,
                                        callbacks_.lease_is_valid())) {
    return;
  }
  phase_ = OwnerPhase::kServing;
  acknowledged_ = fence_place_;
  outbox_.Log(Event::kWritesOpen, {{"database", config_.name},
                                   {"term", std::to_string(term_)},
                                   {"primary", primary_}});
  ReportFailover();
  callbacks_.on_writes_opened();
}

void GroupController::ReportFailover() {
  if (!failover_gap_ || !promotion_) {
    failover_gap_.reset();
    return;
  }
  const auto& times = promotion_->times();
  failover_gap_->term = term_;
  failover_gap_->record_us =
      internal::MicrosecondsBetween(times.began, times.recorded);
  failover_gap_->hear_us =
      internal::MicrosecondsBetween(times.recorded, times.heard);
  failover_gap_->promote_us =
      internal::MicrosecondsBetween(times.heard, times.promoted);
  failover_gap_->open_us =
      internal::MicrosecondsBetween(times.promoted, timers_.Now());
  callbacks_.on_failed_over(*failover_gap_);
  failover_gap_.reset();
}

void GroupController::BeginPromotion() {
  ReplacePrimary("", "");
}

void GroupController::ReplacePrimary(const std::string& suspected,
                                     const std::string& excluded) {
  PromotionOptions start{config_,  term_,     acknowledged_,
                         excluded, suspected, leaving_members_};
  phase_ = OwnerPhase::kPromoting;
  fence_place_.reset();
  replication_watch_.Reset();
  callbacks_.on_primary_abandoned(std::exchange(primary_, {}));
  previous_promotion_ = std::move(promotion_);
  promotion_ = std::make_unique<Promotion>(std::move(start), timers_, outbox_,
                                           MakePromotionCallbacks());
  promotion_->Begin();
}

auto GroupController::MakePromotionCallbacks() -> PromotionCallbacks {
  PromotionCallbacks callbacks;
  callbacks.call_member = [this](const std::string& member,
                                 const MemberRequest& request, Duration timeout,
                                 MemberCallback callback) {
    CallMember(member, request, timeout, std::move(callback));
  };
  callbacks.record = [this](std::int64_t term,
                            std::function<void(bool)> written) {
    callbacks_.write_record(term, "", Phase::kPromoting,
                            term_history_.ToRecord(), std::move(written));
  };
  callbacks.on_promoted = [this](std::int64_t term, const std::string& primary,
                                 LogPosition end) {
    OnPromoted(term, primary, end);
  };
  callbacks.on_ownership_lost = [this] { callbacks_.on_fenced_out(0); };
  return callbacks;
}

void GroupController::OnPromoted(std::int64_t term,
                                 const std::string& primary,
                                 LogPosition end) {
  if (end.term > 1 && !term_history_.HasStartOfTerm(end.term)) {
    // An owner that failed before it wrote the record may have served this
    // term.
    term_history_.NoteUnknownTermStart(end.term);
  }
  term_history_.NoteTermStart(term, end.position + 1);
  SetPrimary(term, primary);
  for (auto& [name, member] : members_) {
    if (name != primary) {
      member.last_told_to_follow.reset();
      Demote(name, member);
    }
  }
  RaiseEpoch();
  WriteRecord();
}

void GroupController::WriteRecord() {
  callbacks_.write_record(term_, primary_, Phase::kServing,
                          term_history_.ToRecord(), [](bool) {});
}

}  // namespace kingcuplock
