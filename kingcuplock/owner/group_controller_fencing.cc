// The part of GroupController that finds the primary, raises the fence and
// promotes.

#include <algorithm>
#include <memory>
#include <utility>

#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/group_controller_timing.h"

namespace kingcuplock {
namespace {

/// Pause in ms before a fence is tried again.
constexpr Milliseconds kFencePause{50};

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
  auto heard = std::make_shared<std::map<std::string, MemberAnswer>>();
  for (const auto& [name, member] : members_) {
    MemberRequest request;
    request.op = MemberOp::kStatus;
    CallMember(name, request, internal::kControlTimeout,
               [heard, name = name](const MemberAnswer* answer) {
                 if (answer != nullptr) {
                   (*heard)[name] = *answer;
                 }
               });
  }
  timers_.After(internal::kControlTimeout,
                guard_.Bind([this, heard] { OnDiscovered(*heard); }));
}

void GroupController::OnDiscovered(
    const std::map<std::string, MemberAnswer>& heard) {
  std::string best;
  std::int64_t newest = 0;
  for (const auto& [name, answer] : heard) {
    newest = std::max(newest, answer.term);
    const auto leads = answer.role == MemberRole::kPrimary;
    if (leads && (best.empty() || answer.term > heard.at(best).term)) {
      best = name;
    }
  }
  if (heard.size() + 1 < members_.size() || heard.empty()) {
    Discover();
    return;
  }
  if (best.empty() || heard.at(best).term < newest) {
    // The primary of the newest term is not among those heard.
    term_ = std::max(term_, newest);
    BeginPromotion();
    return;
  }
  SetPrimary(heard.at(best).term, best);
  if (term_ > 1) {
    // Tokens of earlier terms were issued under a record that is gone.
    history_.NoteUnknown(term_);
  }
  CommitRecord();
  Fence();
}

void GroupController::SetPrimary(std::int64_t term,
                                 const std::string& primary) {
  term_ = term;
  primary_ = primary;
  primary_since_ = timers_.Now();
  fence_.reset();
  acks_.emplace(MemberNames(config_), primary, term, config_.acknowledgement);
  for (auto& [name, member] : members_) {
    member.watch->SetPrimary(name == primary);
  }
  phase_ = OwnerPhase::kFencing;
}

void GroupController::Fence() {
  MemberRequest request;
  request.op = MemberOp::kRaiseEpoch;
  request.epoch = record_.epoch;
  request.term = term_;
  CallMember(primary_, request, internal::kControlTimeout,
             [this, term = term_](const MemberAnswer* answer) {
               OnFenceRaised(term, answer);
             });
}

void GroupController::OnFenceRaised(std::int64_t term,
                                    const MemberAnswer* answer) {
  if (term != term_ || phase_ != OwnerPhase::kFencing) {
    return;
  }
  if (answer == nullptr) {
    timers_.After(kFencePause, guard_.Bind([this, term] {
      if (term == term_ && phase_ == OwnerPhase::kFencing) {
        Fence();
      }
    }));
    return;
  }
  if (answer->status == MemberStatus::kFenced) {
    ports_.on_fenced_out(answer->epoch);
    return;
  }
  if (answer->status != MemberStatus::kDone) {
    BeginPromotion();
    return;
  }
  fence_ = LogPlace{answer->entry_term, answer->position};
  fence_raised_at_ = timers_.Now();
  outbox_.Log(Event::kFenceRaised,
              {{"database", config_.name},
               {"epoch", std::to_string(record_.epoch)},
               {"position", std::to_string(answer->position)}});
  for (auto& [name, member] : members_) {
    if (name != primary_ && member.follows != 0 && member.follows < term_) {
      Demote(name, member);
    }
  }
  TryOpen();
}

void GroupController::TryOpen() {
  if (phase_ != OwnerPhase::kFencing || !fence_) {
    return;
  }
  if (!acks_->Allows(fence_->position, fence_raised_at_,
                     ports_.lease_is_valid())) {
    return;
  }
  phase_ = OwnerPhase::kServing;
  acknowledged_ = fence_;
  outbox_.Log(Event::kWritesOpen, {{"database", config_.name},
                                   {"term", std::to_string(term_)},
                                   {"primary", primary_}});
  ReportGap();
  ports_.on_writes_opened();
}

void GroupController::ReportGap() {
  if (!gap_ || !promotion_) {
    gap_.reset();
    return;
  }
  const auto& times = promotion_->times();
  gap_->term = term_;
  gap_->record_us = internal::MicrosecondsBetween(times.began, times.recorded);
  gap_->hear_us = internal::MicrosecondsBetween(times.recorded, times.heard);
  gap_->promote_us = internal::MicrosecondsBetween(times.heard, times.promoted);
  gap_->open_us = internal::MicrosecondsBetween(times.promoted, timers_.Now());
  ports_.on_failed_over(*gap_);
  gap_.reset();
}

void GroupController::BeginPromotion() {
  ReplacePrimary("", "");
}

void GroupController::ReplacePrimary(const std::string& suspected,
                                     const std::string& excluded) {
  PromotionStart start{config_,  term_,     acknowledged_,
                       excluded, suspected, leaving_};
  phase_ = OwnerPhase::kPromoting;
  fence_.reset();
  replication_.Reset();
  ports_.on_primary_abandoned(std::exchange(primary_, {}));
  retired_promotion_ = std::move(promotion_);
  promotion_ = std::make_unique<Promotion>(std::move(start), timers_, outbox_,
                                           MakePromotionPorts());
  promotion_->Begin();
}

auto GroupController::MakePromotionPorts() -> PromotionPorts {
  PromotionPorts ports;
  ports.call = [this](const std::string& member, const MemberRequest& request,
                      Duration timeout, MemberCallback callback) {
    CallMember(member, request, timeout, std::move(callback));
  };
  ports.record = [this](std::int64_t term, std::function<void(bool)> written) {
    ports_.write_record(term, "", Phase::kPromoting, history_.ToRecord(),
                        std::move(written));
  };
  ports.done = [this](std::int64_t term, const std::string& primary,
                      LogPlace end) { OnPromoted(term, primary, end); };
  ports.failed = [this] { ports_.on_fenced_out(0); };
  return ports;
}

void GroupController::OnPromoted(std::int64_t term,
                                 const std::string& primary,
                                 LogPlace end) {
  if (end.term > 1 && !history_.Knows(end.term)) {
    // An owner that died before it wrote the record may have served this term.
    history_.NoteUnknown(end.term);
  }
  history_.Note(term, end.position + 1);
  SetPrimary(term, primary);
  for (auto& [name, member] : members_) {
    if (name != primary) {
      member.last_follow_order.reset();
      Demote(name, member);
    }
  }
  Fence();
  CommitRecord();
}

void GroupController::CommitRecord() {
  ports_.write_record(term_, primary_, Phase::kServing, history_.ToRecord(),
                      [](bool) {});
}

}  // namespace kingcuplock
