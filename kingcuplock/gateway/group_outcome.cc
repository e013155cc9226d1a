// Outcomes of tasks, and the belief about the primary.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/gateway/group.h"

namespace kingcuplock {
namespace {

/// Attempts of one task at most: the first, and one for each other member of a
/// group of three, and one more.
constexpr int kMaxAttempts = 4;
/// Pause in ms before a task that a member was too busy for is tried again:
/// about one statement's work.
constexpr Milliseconds kBusyPause{12};
/// Pause in ms between tries of a member that was ordered to lead.
constexpr Milliseconds kTrialPause{25};
/// Time in ms that suspecting and replacing a silent primary takes beside the
/// promotion itself.
constexpr Milliseconds kDetectionTime{400};
/// Time in ms in which a primary that took over is found.
constexpr Milliseconds kLocateTime{400};
/// Pause in ms between searches for the primary.
constexpr Milliseconds kLocatePause{150};
/// Time in ms for the primary's answer to a question for a sample before the
/// peers are asked as well.
constexpr Milliseconds kSampleHedge{40};
/// Pause in ms before the primary is asked again for a sample.
constexpr Milliseconds kSamplePause{25};
/// Time in ms for a member's status.
constexpr Milliseconds kStatusTimeout{250};
/// Time in ms after which an ordered member that does not lead is given up.
constexpr Milliseconds kPendingLimit{3000};
/// Weight of a new measurement of the promotion time, one in so many.
constexpr int kPromotionWeight = 2;

}  // namespace

auto Group::LogTask(Event event,
                    const StatementTask& task,
                    std::string_view member,
                    std::string_view outcome) -> void {
  const auto ms = [](Duration it) {
    return std::to_string(std::chrono::duration_cast<Milliseconds>(it).count());
  };
  std::vector<std::pair<std::string, std::string>> fields = {
      {"request", task.statement.id},
      {"group", config_.name},
      {"member", std::string(member)},
      {"outcome", std::string(outcome)},
      {"access", task.access == StatementAccess::kReplicaRead   ? "replica"
                 : task.access == StatementAccess::kPrimaryRead ? "primary_read"
                                                                : "write"},
      {"primary", primary_.member()},
      {"term", std::to_string(primary_.term())},
      {"attempts", std::to_string(task.attempts)},
      {"age_ms", ms(timers_.Now() - task.arrived)},
      {"left_ms", ms(task.deadline - timers_.Now())}};
  if (task.sent != Time{}) {
    fields.emplace_back("waited_ms", ms(task.sent - task.submitted));
    fields.emplace_back("member_ms", ms(timers_.Now() - task.sent));
    fields.emplace_back("in_flight",
                        std::to_string(task.load_at_send.in_flight));
    fields.emplace_back("limit",
                        fmt::format("{:.1f}", task.load_at_send.limit));
    fields.emplace_back("slots", std::to_string(task.load_at_send.slots));
  } else {
    fields.emplace_back("waited_ms", ms(timers_.Now() - task.submitted));
    fields.emplace_back("waiting", std::to_string(CountWaitingTasks()));
  }
  if (task.floor) {
    fields.emplace_back(
        "floor", fmt::format("{}.{}", task.floor->term, task.floor->position));
  }
  log_.Log(event, std::move(fields));
}

auto Group::Finish(const StatementTaskPtr& task, StatementTaskResult result)
    -> void {
  if (std::exchange(task->done, true)) {
    return;
  }
  timers_.Cancel(task->deadline_timer);
  timers_.Cancel(task->hedge_timer);
  if (primary_.IsPending() && result.member == primary_.member() &&
      task->access != StatementAccess::kReplicaRead) {
    trials_ = std::max(trials_ - 1, 0);
  }
  if (result.answer.IsOk() && task->sent != Time{}) {
    auto& queue =
        result.member == primary_.member() ? primary_queue_ : read_queue_;
    queue.NoteServiceTime(timers_.Now() - task->sent);
    ports_.task_served(task->sent - task->submitted,
                       timers_.Now() - task->sent);
  }
  auto* member = FindMember(result.member);
  if (result.answer.IsOk() && task->access == StatementAccess::kReplicaRead &&
      task->floor && member != nullptr) {
    member->places.NoteReadServed(*task->floor);
  }
  result.position_lost = task->position_lost;
  LogTask(
      result.answer.IsOk() ? Event::kStatementServed : Event::kStatementFailed,
      *task, result.member, ToString(result.answer.error));
  const auto on_finished = std::exchange(task->on_finished, nullptr);
  on_finished(std::move(result));
}

auto Group::Refuse(const StatementTaskPtr& task, std::string_view why) -> void {
  if (task->done) {
    return;
  }
  primary_queue_.Remove(task) || read_queue_.Remove(task);
  auto wait = QueueOf(*task).ExpectedLatency(task->route.priority);
  if (const auto back = ExpectedReturn();
      back && task->access != StatementAccess::kReplicaRead) {
    wait = std::max(wait, *back - timers_.Now());
  }
  StatementTaskResult result;
  result.answer.error = StatementError::kBusy;
  result.answer.text =
      fmt::format("{}; retry after {} ms", why, retry_after_.PickDelayMs(wait));
  LogTask(Event::kStatementRefused, *task, "", why);
  Finish(task, std::move(result));
}

auto Group::OnOfferBy(const StatementTaskPtr& task) -> void {
  if (task->done) {
    return;
  }
  if (!task->statement_sent && task->running_attempts == 0) {
    Refuse(task, "no member could take it in time");
    return;
  }
  task->deadline_timer =
      timers_.After(task->deadline - timers_.Now(),
                    guard_.Bind([this, task] { OnDeadline(task); }));
}

auto Group::OnDeadline(const StatementTaskPtr& task) -> void {
  if (task->done) {
    return;
  }
  if (task->running_attempts == 0) {
    Refuse(task, "no member could take it in time");
    return;
  }
  const auto writes = IsWrite(task->statement, task->prepared_ptr());
  const auto may_have_run = writes &&
                            task->opening == TransactionOpening::kNone &&
                            task->statement_sent;
  StatementTaskResult result;
  result.answer.error =
      may_have_run ? StatementError::kUnknownOutcome : StatementError::kAborted;
  result.answer.text = "the member did not answer within the route's timeout";
  Finish(task, std::move(result));
}

// ----------------------------------------------------------------- setbacks

auto Group::OnSetback(const StatementTaskPtr& task,
                      const std::string& member,
                      RetryReason setback) -> void {
  const auto at_pending = primary_.IsPending() && member == primary_.member() &&
                          task->access != StatementAccess::kReplicaRead;
  if (at_pending) {
    trials_ = std::max(trials_ - 1, 0);
    next_trial_ = timers_.Now() + kTrialPause;
    timers_.After(kTrialPause, guard_.Bind([this] { Pump(); }));
  }
  if (task->done) {
    return;
  }
  LogTask(Event::kStatementSetBack, *task, member, ToString(setback));
  if (task->running_attempts > 0) {
    // Another attempt is under way and decides.
    return;
  }
  if (setback == RetryReason::kReadOnly) {
    --task->attempts;
    NoteNotPrimary(member);
    const auto back = ExpectedReturn();
    if (back && *back > task->send_by) {
      Refuse(task, "no primary in time");
      return;
    }
    QueueOf(*task).PushFront({task->route.priority, task->client, task->send_by,
                              task, task->route.database, task->wanted_by});
    timers_.After(Duration::zero(), guard_.Bind([this] { Pump(); }));
    return;
  }
  if (setback == RetryReason::kLagging) {
    OnLagging(task, member);
    return;
  }
  if (task->access == StatementAccess::kReplicaRead) {
    task->tried_members.push_back(member);
  }
  RetryLater(task, setback);
}

auto Group::OnLagging(const StatementTaskPtr& task, const std::string& member)
    -> void {
  task->tried_members.push_back(member);
  const auto at_primary = primary_.IsUsable() && member == primary_.member();
  auto* known = FindMember(member);
  if (task->floor && known != nullptr) {
    known->places.NoteReadRefused(*task->floor, timers_.Now());
  }
  if (!at_primary) {
    --task->attempts;
    Dispatch(task);
    return;
  }
  if (task->floor && primary_.WasDiscardedByPromotion(member, *task->floor)) {
    if (task->session_position && task->floor == task->session_position) {
      task->position_lost = true;
      task->session_position.reset();
    } else {
      ages_.Clear();
    }
  }
  task->tried_members.clear();
  RetryLater(task, RetryReason::kLagging);
}

auto Group::RetryLater(const StatementTaskPtr& task, RetryReason setback)
    -> void {
  const auto moves_on = task->access == StatementAccess::kReplicaRead &&
                        !ReadOrder(*task).empty();
  if (task->attempts >= kMaxAttempts || !retries_.TryTake()) {
    if (setback == RetryReason::kFailed) {
      StatementTaskResult result;
      result.answer.error = StatementError::kAborted;
      result.answer.text = "the members failed it; nothing is kept";
      Finish(task, std::move(result));
    } else {
      Refuse(task, ToString(setback));
    }
    return;
  }
  if (moves_on && setback != RetryReason::kBusy) {
    Dispatch(task);
    return;
  }
  if (!moves_on) {
    task->tried_members.clear();
  }
  timers_.After(kBusyPause * std::max(task->attempts, 1),
                guard_.Bind([this, task] { Dispatch(task); }));
}

// ------------------------------------------------------------------ primary

auto Group::ExpectedReturn() const -> std::optional<Time> {
  const auto now = timers_.Now();
  if (primary_.IsPending()) {
    return std::max(ordered_at_ + promotion_time_, now);
  }
  if (primary_.IsLost() && now - lost_at_ < kLocateTime) {
    // The member told that another one leads; it is found by asking around.
    return now + kLocatePause;
  }
  const auto reach = ReachOf(primary_.member());
  const auto down = !primary_.IsUsable() || reach == Reach::kRefused ||
                    reach == Reach::kSilent;
  if (down) {
    return now + kDetectionTime + promotion_time_;
  }
  return std::nullopt;
}

auto Group::NoteLeadProof(const std::string& member, Time sent, LogPlace place)
    -> void {
  const auto was_pending = primary_.IsPending();
  const auto term = std::max(primary_.term(), place.term);
  if (member == primary_.member() || place.term > primary_.term()) {
    if (primary_.NoteProvedPrimary(member, term)) {
      if (was_pending && member == primary_.member()) {
        NotePromotionTime();
      }
      PrimaryChanged("led");
    }
    NoteSample(member, sent, place);
  }
}

auto Group::NotePromotionTime() -> void {
  const auto took = timers_.Now() - ordered_at_;
  promotion_time_ += (took - promotion_time_) / kPromotionWeight;
}

auto Group::NoteNotPrimary(const std::string& member) -> void {
  grants_.InvalidateGrant(member);
  if (primary_.NoteLost(member)) {
    PrimaryChanged("read_only");
  }
}

auto Group::NotePromotionOrdered(const std::string& member, std::int64_t term)
    -> void {
  const auto serves =
      site_.promotions_fenced && ReachOf(primary_.member()) == Reach::kReached;
  if (!primary_.NotePromotionOrdered(member, term, serves)) {
    return;
  }
  ordered_at_ = timers_.Now();
  next_trial_ = ordered_at_;
  PrimaryChanged("ordered");
  timers_.After(kPendingLimit, guard_.Bind([this, term] {
    const auto pending = primary_.IsPending() && primary_.term() == term;
    if (pending || primary_.successor_term() == term) {
      primary_.DropPendingPromotion();
      PrimaryChanged("did not lead in time");
    }
  }));
}

auto Group::NotePeerReport(const GroupReport& report) -> void {
  if (report.primary.empty() || FindMember(report.primary) == nullptr) {
    return;
  }
  const auto unreached =
      report.reach == Reach::kRefused || report.reach == Reach::kSilent;
  if (report.pending) {
    NotePromotionOrdered(report.primary, report.term);
  } else if (unreached) {
    if (report.primary == primary_.member()) {
      RequestMemberStatus(report.primary, 0, [](const MemberReport*) {});
    }
  } else if (primary_.NoteReportedPrimary(report.primary, report.term)) {
    PrimaryChanged("peer");
  }
}

auto Group::PrimaryChanged(std::string_view source) -> void {
  trials_ = 0;
  if (primary_.term() > newest_term_) {
    if (std::exchange(newest_term_, primary_.term()) > 0) {
      promotion_seen_ = timers_.Now();
    }
  }
  log_.Log(Event::kPrimaryBelieved,
           {{"group", config_.name},
            {"primary", primary_.member()},
            {"term", std::to_string(primary_.term())},
            {"successor", primary_.successor()},
            {"state", primary_.IsLost()      ? "lost"
                      : primary_.IsPending() ? "pending"
                                             : "leads"},
            {"source", std::string(source)}});
  ports_.primary_changed();
  if (primary_.IsLost()) {
    lost_at_ = timers_.Now();
    Locate();
  }
  timers_.After(Duration::zero(), guard_.Bind([this] { Pump(); }));
  RefuseHopeless();
}

// Tasks whose time ends before a primary can be back go at once.
auto Group::RefuseHopeless() -> void {
  const auto back = ExpectedReturn();
  if (!back) {
    return;
  }
  for (const auto& it : primary_queue_.TakeDueBefore(*back)) {
    Refuse(it.item, "no primary in time");
  }
}

auto Group::OnReachChanged(const std::string& member, Reach reach) -> void {
  const auto heard = HeardMs(member);
  log_.Log(Event::kEndpointReach, {{"group", config_.name},
                                   {"member", member},
                                   {"reach", std::string(ToString(reach))},
                                   {"heard_ms", std::to_string(heard)}});
  if (member == primary_.member()) {
    ports_.primary_changed();
    RefuseHopeless();
    const auto down = reach == Reach::kRefused || reach == Reach::kSilent;
    if (down && !primary_.successor().empty() && primary_.NoteLost(member)) {
      PrimaryChanged("successor takes over");
    }
  }
  if (reach == Reach::kReached) {
    timers_.After(Duration::zero(), guard_.Bind([this] { Pump(); }));
  }
}

auto Group::RequestMemberStatus(
    const std::string& member,
    std::int64_t pause_term,
    std::function<void(const MemberReport*)> callback) -> void {
  SessionStatement ask;
  ask.kind = pause_term == 0 ? StatementKind::kStatus : StatementKind::kPause;
  ask.arguments = pause_term == 0 ? "" : std::to_string(pause_term);
  AskMember(member, std::move(ask), std::move(callback));
}

auto Group::Demote(const std::string& member,
                   std::int64_t term,
                   std::function<void(const MemberReport*)> callback) -> void {
  AskMember(member,
            {.kind = StatementKind::kDemote, .arguments = std::to_string(term)},
            std::move(callback));
}

auto Group::AskMember(const std::string& member,
                      SessionStatement ask,
                      std::function<void(const MemberReport*)> callback)
    -> void {
  const auto it = members_.find(member);
  const auto pool = it == members_.end() ? nullptr : it->second.pool;
  const auto link = pool ? pool->Acquire({}, nullptr, ConnectionUse::kControl)
                         : ConnectionId{0};
  if (link == 0) {
    callback(nullptr);
    return;
  }
  const auto answered = std::make_shared<bool>(false);
  const auto timer = timers_.After(kStatusTimeout, [=] {
    if (!std::exchange(*answered, true)) {
      callback(nullptr);
      pool->Discard(link);
    }
  });
  pool->RunStatement(
      link, std::move(ask), [=, this](const StatementAnswer* answer) {
        if (std::exchange(*answered, true)) {
          return;
        }
        timers_.Cancel(timer);
        pool->Release(link);
        const auto told = answer != nullptr && answer->IsOk() && answer->status;
        callback(told ? &*answer->status : nullptr);
      });
}

auto Group::ResumeReplication(const std::string& member) -> void {
  const auto it = members_.find(member);
  if (it == members_.end()) {
    return;
  }
  const auto pool = it->second.pool;
  if (const auto link = pool->Acquire({}, nullptr, ConnectionUse::kControl)) {
    pool->RunStatement(link, {.kind = StatementKind::kResume},
                       [](const StatementAnswer*) {});
    pool->Release(link);
  }
}

// One question stands for all reads that wait for a floor.
auto Group::AskForSample() -> void {
  const auto reach = ReachOf(primary_.member());
  if (reach == Reach::kSilent || reach == Reach::kRefused) {
    // Another instance may reach it.
    WantFloor();
  }
  if (sampling_ || !primary_.IsUsable()) {
    return;
  }
  sampling_ = true;
  const auto member = primary_.member();
  const auto sent = timers_.Now();
  HedgeSample(sent);
  RequestMemberStatus(
      member, 0, guard_.Bind([this, member, sent](const MemberReport* it) {
        const auto led = it != nullptr && it->is_primary;
        if (led) {
          NoteLeadProof(member, sent, it->received);
        }
        // Without a grant the sample proves nothing yet.
        const auto newest = ages_.NewestSample();
        const auto proved = led && newest && newest->first >= sent;
        timers_.After(proved ? Duration::zero() : Duration(kSamplePause),
                      guard_.Bind([this] {
                        sampling_ = false;
                        Pump();
                      }));
      }));
}

// Asks the peers while the primary's answer is missing and reads wait.
auto Group::HedgeSample(Time sent) -> void {
  timers_.After(kSampleHedge, guard_.Bind([this, sent] {
    if (sampling_ && !ages_.FloorSince(sent) && read_queue_.Size() > 0) {
      WantFloor();
      HedgeSample(sent);
    }
  }));
}

auto Group::Locate() -> void {
  if (std::exchange(locating_, true)) {
    return;
  }
  for (const auto& name : MemberNames()) {
    RequestMemberStatus(name, 0,
                        guard_.Bind([this, name](const MemberReport* it) {
                          if (it != nullptr) {
                            OnLocated(name, *it);
                          }
                        }));
  }
  timers_.After(kLocatePause, guard_.Bind([this] {
    locating_ = false;
    if (primary_.IsLost()) {
      Locate();
    }
  }));
}

auto Group::OnLocated(const std::string& member, const MemberReport& status)
    -> void {
  const auto was_pending = primary_.IsPending() && member == primary_.member();
  if (!status.is_primary || !primary_.NoteProvedPrimary(member, status.term)) {
    return;
  }
  if (was_pending) {
    NotePromotionTime();
  }
  PrimaryChanged("status");
}

auto Group::MakeReport() const -> GroupReport {
  GroupReport report;
  report.group = config_.name;
  report.heard_ms = -1;
  if (!primary_.successor().empty()) {
    report.primary = primary_.successor();
    report.term = primary_.successor_term();
    report.pending = true;
    return report;
  }
  report.primary = primary_.IsUsable() ? primary_.member() : "";
  report.term = primary_.term();
  report.pending = primary_.IsPending();
  const auto it = members_.find(primary_.member());
  if (it == members_.end()) {
    return report;
  }
  report.reach = it->second.pool->reach();
  report.heard_ms = HeardMs(it->first);
  return report;
}

auto Group::HeardMs(const std::string& member) const -> std::int64_t {
  const auto it = members_.find(member);
  const auto heard =
      it == members_.end() ? std::nullopt : it->second.pool->LastHeard();
  return heard
             ? std::chrono::duration_cast<Milliseconds>(timers_.Now() - *heard)
                   .count()
             : -1;
}

}  // namespace kingcuplock
