// Part of Group: results and retries of tasks, and tracking of the primary.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/gateway/group.h"

namespace kingcuplock {
namespace {

/// Most attempts of one task: the first, one for each other member of a group
/// of three, and one more.
constexpr int kMaxAttempts = 4;
/// Pause in ms before a task is retried after a member was too busy for it:
/// about the time of one statement.
constexpr Milliseconds kBusyPause{12};
/// Pause in ms between attempts at a member whose promotion is pending.
constexpr Milliseconds kPendingAttemptPause{25};
/// Estimated time in ms to suspect a silent primary and to order its
/// replacement, without the promotion itself.
constexpr Milliseconds kDetectionTime{400};
/// Time in ms after the loss of a primary in which its successor is expected to
/// be found by asking the members.
constexpr Milliseconds kPrimarySearchTime{400};
/// Pause in ms between searches for the primary.
constexpr Milliseconds kPrimarySearchPause{150};
/// Time in ms without an answer of the primary to a request for a sample, after
/// which the peers are asked as well.
constexpr Milliseconds kSampleHedgeDelay{40};
/// Pause in ms between two requests for a sample of the primary's position.
constexpr Milliseconds kSampleRequestPause{25};
/// Time in ms after which a member's status is no longer waited for.
constexpr Milliseconds kStatusTimeout{250};
/// Time in ms after which a promotion that is still pending is given up.
constexpr Milliseconds kPendingPromotionLimit{3000};
/// Weight (1 / N) of a new measurement in the average promotion time.
constexpr int kPromotionTimeWeight = 2;

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

auto Group::FinishTask(const StatementTaskPtr& task, StatementTaskResult result)
    -> void {
  if (std::exchange(task->done, true)) {
    return;
  }
  timers_.Cancel(task->deadline_timer);
  timers_.Cancel(task->hedge_timer);
  if (primary_.IsPending() && result.member == primary_.member() &&
      task->access != StatementAccess::kReplicaRead) {
    pending_attempts_ = std::max(pending_attempts_ - 1, 0);
  }
  if (result.answer.IsOk() && task->sent != Time{}) {
    auto& queue =
        result.member == primary_.member() ? primary_queue_ : read_queue_;
    queue.NoteServiceTime(timers_.Now() - task->sent);
    callbacks_.task_served(task->sent - task->submitted,
                           timers_.Now() - task->sent);
  }
  auto* member = FindMember(result.member);
  if (result.answer.IsOk() && task->access == StatementAccess::kReplicaRead &&
      task->floor && member != nullptr) {
    member->lag_tracker.NoteReadServed(*task->floor);
  }
  result.position_lost = task->position_lost;
  LogTask(
      result.answer.IsOk() ? Event::kStatementServed : Event::kStatementFailed,
      *task, result.member, ToString(result.answer.error));
  const auto on_finished = std::exchange(task->on_finished, nullptr);
  on_finished(std::move(result));
}

auto Group::RefuseTask(const StatementTaskPtr& task, std::string_view why)
    -> void {
  if (task->done) {
    return;
  }
  primary_queue_.Remove(task) || read_queue_.Remove(task);
  auto wait = QueueOf(*task).ExpectedLatency(task->route.priority);
  if (const auto back = ExpectedPrimaryReturn();
      back && task->access != StatementAccess::kReplicaRead) {
    wait = std::max(wait, *back - timers_.Now());
  }
  StatementTaskResult result;
  result.answer.error = StatementError::kBusy;
  result.answer.text =
      fmt::format("{}; retry after {} ms", why, retry_after_.PickDelayMs(wait));
  LogTask(Event::kStatementRefused, *task, "", why);
  FinishTask(task, std::move(result));
}

auto Group::OnSendDeadline(const StatementTaskPtr& task) -> void {
  if (task->done) {
    return;
  }
  if (!task->statement_sent && task->running_attempts == 0) {
    RefuseTask(task, "no member could take it in time");
    return;
  }
  task->deadline_timer =
      timers_.After(task->deadline - timers_.Now(),
                    guard_.Bind([this, task] { OnDeadline(task); }));
}

auto Group::OnDeadline(const StatementTaskPtr& task) -> void {
  EndTask(task, task->running_attempts == 0
                    ? "no member could take it in time"
                    : "the member did not answer within the route's timeout");
}

auto Group::EndTask(const StatementTaskPtr& task, std::string_view why)
    -> void {
  if (task->done) {
    return;
  }
  if (task->running_attempts == 0) {
    RefuseTask(task, why);
    return;
  }
  const auto writes = IsWrite(task->statement, task->prepared_ptr());
  const auto may_have_run = writes &&
                            task->opening == TransactionOpening::kNone &&
                            task->statement_sent;
  StatementTaskResult result;
  result.answer.error =
      may_have_run ? StatementError::kUnknownOutcome : StatementError::kAborted;
  result.answer.text = std::string(why);
  FinishTask(task, std::move(result));
}

// ----------------------------------------------------------------- retries

auto Group::OnRetryNeeded(const StatementTaskPtr& task,
                          const std::string& member,
                          RetryReason retry_reason) -> void {
  const auto at_pending = primary_.IsPending() && member == primary_.member() &&
                          task->access != StatementAccess::kReplicaRead;
  if (at_pending) {
    pending_attempts_ = std::max(pending_attempts_ - 1, 0);
    next_pending_attempt_ = timers_.Now() + kPendingAttemptPause;
    timers_.After(kPendingAttemptPause,
                  guard_.Bind([this] { DispatchWaiting(); }));
  }
  if (task->done) {
    return;
  }
  LogTask(Event::kAttemptWithoutEffect, *task, member, ToString(retry_reason));
  const auto may_have_run = retry_reason == RetryReason::kFailed ||
                            retry_reason == RetryReason::kLinkLost;
  if (may_have_run && task->on_repeat) {
    task->on_repeat();
  }
  if (task->running_attempts > 0) {
    // Another attempt is under way; its result counts.
    return;
  }
  if (retry_reason == RetryReason::kReadOnly) {
    --task->attempts;
    NoteNotPrimary(member);
    const auto back = ExpectedPrimaryReturn();
    if (back && *back > task->send_by) {
      RefuseTask(task, "no primary in time");
      return;
    }
    QueueOf(*task).PushFront({task->route.priority,
                              task->client,
                              task->send_by,
                              task,
                              task->route.database,
                              task->wanted_by,
                              {},
                              task->tenant});
    timers_.After(Duration::zero(), guard_.Bind([this] { DispatchWaiting(); }));
    return;
  }
  if (retry_reason == RetryReason::kLagging) {
    OnLagging(task, member);
    return;
  }
  if (task->access == StatementAccess::kReplicaRead) {
    task->tried_members.push_back(member);
  }
  RetryLater(task, retry_reason);
}

auto Group::OnLagging(const StatementTaskPtr& task, const std::string& member)
    -> void {
  task->tried_members.push_back(member);
  const auto at_primary = primary_.IsUsable() && member == primary_.member();
  auto* known = FindMember(member);
  if (task->floor && known != nullptr) {
    known->lag_tracker.NoteReadRefused(*task->floor, timers_.Now());
  }
  if (!at_primary) {
    --task->attempts;
    DispatchTask(task);
    return;
  }
  // A member that leads now may have answered before that.
  const auto asked_as_primary = task->sent >= primary_changed_at_;
  if (task->floor && asked_as_primary &&
      primary_.WasDiscardedByPromotion(member, *task->floor)) {
    if (task->session_position && task->floor == task->session_position) {
      task->position_lost = true;
      task->session_position.reset();
    } else {
      age_tracker_.Clear();
    }
  }
  task->tried_members.clear();
  RetryLater(task, RetryReason::kLagging);
}

auto Group::RetryLater(const StatementTaskPtr& task, RetryReason retry_reason)
    -> void {
  const auto moves_on = task->access == StatementAccess::kReplicaRead &&
                        !RankReadMembers(*task).empty();
  if (task->attempts >= kMaxAttempts || !retry_budget_.TryTake()) {
    if (retry_reason == RetryReason::kFailed) {
      StatementTaskResult result;
      result.answer.error = StatementError::kAborted;
      result.answer.text = "the members failed it; nothing is kept";
      FinishTask(task, std::move(result));
    } else {
      RefuseTask(task, ToString(retry_reason));
    }
    return;
  }
  if (moves_on && retry_reason != RetryReason::kBusy) {
    DispatchTask(task);
    return;
  }
  if (!moves_on) {
    task->tried_members.clear();
  }
  timers_.After(kBusyPause * std::max(task->attempts, 1),
                guard_.Bind([this, task] { DispatchTask(task); }));
}

// ------------------------------------------------------------------ primary

auto Group::ExpectedPrimaryReturn() const -> std::optional<Time> {
  const auto now = timers_.Now();
  if (primary_.IsPending()) {
    return std::max(promotion_ordered_at_ + promotion_time_, now);
  }
  if (primary_.IsLost() && now - primary_lost_at_ < kPrimarySearchTime) {
    // The member refused since another one leads; SearchPrimary() finds that
    // one.
    return now + kPrimarySearchPause;
  }
  const auto reach = ReachOf(primary_.member());
  const auto down = !primary_.IsUsable() || reach == Reach::kRefused ||
                    reach == Reach::kSilent;
  if (down) {
    return now + kDetectionTime + promotion_time_;
  }
  return std::nullopt;
}

auto Group::NoteLeadProof(const std::string& member,
                          Time sent,
                          LogPosition place) -> void {
  const auto was_pending = primary_.IsPending();
  const auto term = std::max(primary_.term(), place.term);
  if (member == primary_.member() || place.term > primary_.term()) {
    if (primary_.NoteProvedPrimary(member, term)) {
      if (was_pending && member == primary_.member()) {
        NotePromotionTime();
      }
      OnPrimaryChanged("led");
    }
    AddOrKeepSample(member, sent, place);
  }
}

auto Group::NotePromotionTime() -> void {
  const auto took = timers_.Now() - promotion_ordered_at_;
  promotion_time_ += (took - promotion_time_) / kPromotionTimeWeight;
}

auto Group::NoteNotPrimary(const std::string& member) -> void {
  grant_tracker_.InvalidateGrant(member);
  if (primary_.NoteLost(member)) {
    OnPrimaryChanged("read_only");
  }
}

auto Group::NotePromotionOrdered(const std::string& member, std::int64_t term)
    -> void {
  const auto serves = options_.promotions_fenced &&
                      ReachOf(primary_.member()) == Reach::kReached;
  if (!primary_.NotePromotionOrdered(member, term, serves)) {
    return;
  }
  promotion_ordered_at_ = timers_.Now();
  next_pending_attempt_ = promotion_ordered_at_;
  OnPrimaryChanged("ordered");
  timers_.After(kPendingPromotionLimit, guard_.Bind([this, term] {
    const auto pending = primary_.IsPending() && primary_.term() == term;
    if (pending || primary_.successor_term() == term) {
      primary_.DropPendingPromotion();
      OnPrimaryChanged("did not lead in time");
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
    OnPrimaryChanged("peer");
  }
}

auto Group::OnPrimaryChanged(std::string_view source) -> void {
  pending_attempts_ = 0;
  primary_changed_at_ = timers_.Now();
  log_.Log(Event::kPrimaryViewChanged,
           {{"group", config_.name},
            {"primary", primary_.member()},
            {"term", std::to_string(primary_.term())},
            {"successor", primary_.successor()},
            {"state", primary_.IsLost()      ? "lost"
                      : primary_.IsPending() ? "pending"
                                             : "leads"},
            {"source", std::string(source)}});
  callbacks_.primary_changed();
  if (primary_.IsLost()) {
    primary_lost_at_ = timers_.Now();
    SearchPrimary();
  }
  timers_.After(Duration::zero(), guard_.Bind([this] { DispatchWaiting(); }));
  RefuseTasksWithoutPrimary();
}

/// Refuses at once the tasks that would end before a primary is expected.
auto Group::RefuseTasksWithoutPrimary() -> void {
  const auto back = ExpectedPrimaryReturn();
  if (!back) {
    return;
  }
  for (const auto& it : primary_queue_.TakeDueBefore(*back)) {
    RefuseTask(it.item, "no primary in time");
  }
}

auto Group::OnReachChanged(const std::string& member, Reach reach) -> void {
  const auto heard = TimeSinceHeardMs(member);
  log_.Log(Event::kEndpointReachabilityChanged,
           {{"group", config_.name},
            {"member", member},
            {"reach", std::string(ToString(reach))},
            {"heard_ms", std::to_string(heard)}});
  if (member == primary_.member()) {
    callbacks_.primary_changed();
    RefuseTasksWithoutPrimary();
    const auto down = reach == Reach::kRefused || reach == Reach::kSilent;
    if (down && !primary_.successor().empty() && primary_.NoteLost(member)) {
      OnPrimaryChanged("successor takes over");
    }
  }
  if (reach == Reach::kReached) {
    timers_.After(Duration::zero(), guard_.Bind([this] { DispatchWaiting(); }));
  }
}

auto Group::RequestMemberStatus(
    const std::string& member,
    std::int64_t pause_term,
    std::function<void(const MemberReport*)> callback,
    std::optional<Time> not_after) -> void {
  SessionStatement ask;
  ask.kind = pause_term == 0 ? StatementKind::kStatus : StatementKind::kPause;
  ask.arguments = pause_term == 0 ? "" : std::to_string(pause_term);
  RequestMemberReport(member, std::move(ask), std::move(callback), not_after);
}

auto Group::Demote(const std::string& member,
                   std::int64_t term,
                   std::function<void(const MemberReport*)> callback) -> void {
  RequestMemberReport(
      member,
      {.kind = StatementKind::kDemote, .arguments = std::to_string(term)},
      std::move(callback));
}

auto Group::RequestMemberReport(
    const std::string& member,
    SessionStatement ask,
    std::function<void(const MemberReport*)> callback,
    std::optional<Time> not_after) -> void {
  const auto it = members_.find(member);
  const auto pool = it == members_.end() ? nullptr : it->second.pool;
  const auto late = not_after && timers_.Now() >= *not_after;
  const auto link = pool && !late
                        ? pool->Acquire({}, nullptr, ConnectionUse::kControl)
                        : ConnectionId{0};
  if (link == 0) {
    callback(nullptr);
    return;
  }
  const auto connected_since = pool->AcceptedSince(link);
  const auto answered = std::make_shared<bool>(false);
  const auto timer = timers_.After(kStatusTimeout, [=] {
    if (!std::exchange(*answered, true)) {
      callback(nullptr);
      pool->Discard(link);
    }
  });
  pool->RunStatement(
      link, std::move(ask),
      [=, this](const StatementAnswer* answer) {
        if (std::exchange(*answered, true)) {
          return;
        }
        timers_.Cancel(timer);
        pool->Release(link);
        if (answer == nullptr || !answer->IsOk() || !answer->status) {
          callback(nullptr);
          return;
        }
        auto report = *answer->status;
        report.connected_since = connected_since;
        callback(&report);
      },
      MemberConnectionPool::kDefaultAnswerTimeout, not_after);
}

auto Group::ResumeReplication(const std::string& member,
                              Time not_after,
                              std::function<void(const MemberReport*)> callback)
    -> void {
  RequestMemberReport(member, {.kind = StatementKind::kResume},
                      std::move(callback), not_after);
}

/// Requests a sample of the primary's position, from the primary and, if that
/// is out of reach, from the peers. One request serves all reads that wait for
/// a floor.
auto Group::RequestSample() -> void {
  const auto reach = ReachOf(primary_.member());
  if (reach == Reach::kSilent || reach == Reach::kRefused) {
    // Another instance may reach the primary.
    RequestFloorFromPeers();
  }
  if (sample_requested_ || !primary_.IsUsable()) {
    return;
  }
  sample_requested_ = true;
  const auto member = primary_.member();
  const auto sent = timers_.Now();
  RequestSampleFromPeersIfLate(sent);
  RequestMemberStatus(
      member, 0, guard_.Bind([this, member, sent](const MemberReport* it) {
        const auto led = it != nullptr && it->is_primary;
        if (led) {
          NoteLeadProof(member, sent, it->received);
        }
        // Without a grant the sample can't be used as a floor yet.
        const auto newest = age_tracker_.NewestSample();
        const auto proved = led && newest && newest->first >= sent;
        timers_.After(proved ? Duration::zero() : Duration(kSampleRequestPause),
                      guard_.Bind([this] {
                        sample_requested_ = false;
                        DispatchWaiting();
                      }));
      }));
}

/// Asks the peers for a sample, repeatedly, while the primary has not answered
/// and reads wait.
auto Group::RequestSampleFromPeersIfLate(Time sent) -> void {
  timers_.After(kSampleHedgeDelay, guard_.Bind([this, sent] {
    if (sample_requested_ && !age_tracker_.FloorSince(sent) &&
        read_queue_.Size() > 0) {
      RequestFloorFromPeers();
      RequestSampleFromPeersIfLate(sent);
    }
  }));
}

auto Group::SearchPrimary() -> void {
  if (std::exchange(searching_primary_, true)) {
    return;
  }
  for (const auto& name : MemberNames()) {
    RequestMemberStatus(name, 0,
                        guard_.Bind([this, name](const MemberReport* it) {
                          if (it != nullptr) {
                            OnMemberStatus(name, *it);
                          }
                        }));
  }
  timers_.After(kPrimarySearchPause, guard_.Bind([this] {
    searching_primary_ = false;
    if (primary_.IsLost()) {
      SearchPrimary();
    }
  }));
}

auto Group::OnMemberStatus(const std::string& member,
                           const MemberReport& status) -> void {
  const auto was_pending = primary_.IsPending() && member == primary_.member();
  if (!status.is_primary || !primary_.NoteProvedPrimary(member, status.term)) {
    return;
  }
  if (was_pending) {
    NotePromotionTime();
  }
  OnPrimaryChanged("status");
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
  report.heard_ms = TimeSinceHeardMs(it->first);
  return report;
}

auto Group::TimeSinceHeardMs(const std::string& member) const -> std::int64_t {
  const auto it = members_.find(member);
  const auto heard =
      it == members_.end() ? std::nullopt : it->second.pool->LastHeard();
  return heard
             ? std::chrono::duration_cast<Milliseconds>(timers_.Now() - *heard)
                   .count()
             : -1;
}

}  // namespace kingcuplock
