#include "kingcuplock/gateway/group.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

// An instance keeps one connection less than its even share. If all instances
// lose power at once, the members hold the old connections for seconds, and the
// spare connection leaves room for one new connection of each instance when it
// comes back.

/// Factor on the even share of a member's connections, up to which an instance
/// may open connections. The load is uneven between instances, and a member
/// refuses the connections that are too many for it.
constexpr std::int64_t kShareFactor = 2;
/// Time in ms within which every instance without a connection gets one if
/// there are more instances than connections, so that they must take turns.
/// Well below half of the shortest deadline.
constexpr Duration kMaxTurnWait{Milliseconds(100)};
/// Longest time in ms that a connection is held while instances take turns.
/// Greeting a new connection costs the member as much as a statement; in this
/// time an instance with an average load sends dozens of statements.
constexpr Duration kMaxTurnDuration{Milliseconds(1500)};
/// Number of connections to a member that an instance may always hold: one for
/// a transaction and one for single statements.
constexpr std::int64_t kMinConnections = 2;
/// Time for which a leaving primary gets new work, in percent of
/// GroupOptions::max_leaving_time. The rest allows for its entry being read
/// seconds after it was written.
constexpr int kLeavingPrimaryPercent = 50;
/// Most tasks in one queue; far more than can be served within a deadline.
constexpr std::size_t kQueueLimit = 256;
/// Assumed number of statements of one queue that run at once, until the
/// members are known.
constexpr std::int64_t kInitialQueueSlots = 2;
/// Initial estimate in ms of the time from a promotion order until the member
/// is the primary, used until a promotion was measured.
constexpr Milliseconds kInitialPromotionTime{1000};
/// Fraction (1 / N) of the time to the deadline for which a task may wait
/// without being sent to a member. Clients give up before the timeout, and a
/// client that is refused early can still retry in time.
constexpr int kSendByDivisor = 2;
/// Fraction (1 / N) of the latency target after which a read without an answer
/// is sent to another member as well.
constexpr int kHedgeDivisor = 2;
/// Fraction (1 / N) of the shortest latency target that statements may spend in
/// a queue at the member. That queue observes neither priorities nor deadlines.
constexpr int kMemberQueueDivisor = 8;
/// Time in ms after which the shortest latency target is forgotten if no other
/// task had it.
constexpr Milliseconds kTargetLifetime{5000};
/// Time in ms that a read waits for a floor from peers when this instance can't
/// get one from the primary: two times a few round trips.
constexpr Milliseconds kPeerFloorTimeout{150};

auto Contains(const std::vector<std::string>& names, std::string_view name)
    -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto SeedOf(std::string_view name) -> std::uint64_t {
  return std::hash<std::string_view>{}(name);
}

}  // namespace

Group::Group(GroupConfig config,
             GroupOptions options,
             TimerService& timers,
             GatewayOutbox& out,
             Outbox& log,
             GroupCallbacks callbacks)
    : config_(std::move(config)),
      options_(std::move(options)),
      timers_(timers),
      out_(out),
      log_(log),
      callbacks_(std::move(callbacks)),
      members_known_since_(timers.Now()),
      runner_(
          timers,
          {[this](const StatementTaskPtr& task, StatementTaskResult result) {
             FinishTask(task, std::move(result));
           },
           [this](const StatementTaskPtr& task,
                  const std::string& member,
                  RetryReason retry_reason) {
             OnRetryNeeded(task, member, retry_reason);
           },
           [this](const std::string& member, Time sent, LogPosition place) {
             NoteLeadProof(member, sent, place);
           },
           [this](const std::string& member, Duration latency) {
             if (auto* it = FindMember(member)) {
               it->latency.Add(timers_.Now(), latency);
             }
           }}),
      primary_queue_(kQueueLimit, kInitialQueueSlots),
      read_queue_(kQueueLimit, kInitialQueueSlots),
      retry_after_(SeedOf(config_.name)),
      promotion_time_(kInitialPromotionTime) {}

Group::~Group() = default;

// ---------------------------------------------------------------- members

auto Group::ComputeConnectionLimits() const -> ConnectionLimits {
  const auto instances = std::max<std::int64_t>(instance_count_, 1);
  const auto even = config_.connections / instances;
  ConnectionLimits limits;
  limits.max_connections = std::max(even * kShareFactor, kMinConnections);
  limits.max_idle = std::max<std::int64_t>(even - 1, 1);
  limits.by_tenant = connections_by_tenant_;
  if (const auto without = instances - config_.connections; without > 0) {
    limits.max_idle = keep_connected_ ? 1 : 0;
    limits.turn_duration = std::min<Duration>(
        kMaxTurnDuration, kMaxTurnWait * config_.connections / without);
  }
  return limits;
}

auto Group::SetLimits() -> void {
  for (auto& [name, member] : members_) {
    member.pool->SetLimits(ComputeConnectionLimits());
    SetInFlightLimit(member);
  }
}

auto Group::SetInFlightLimit(Member& member) -> void {
  ConcurrencyLimitOptions options;
  options.slots = member.entry.slots;
  options.instances = instance_count_;
  options.max_connections = ComputeConnectionLimits().max_connections;
  if (shortest_target_ > Duration::zero()) {
    options.queue_threshold = shortest_target_ / kMemberQueueDivisor;
  }
  member.pool->SetInFlightLimit(options);
}

auto Group::NoteLatencyTarget(Duration target) -> void {
  const auto now = timers_.Now();
  const auto known = shortest_target_ > Duration::zero() &&
                     now - shortest_target_seen_at_ < kTargetLifetime;
  if (known && target > shortest_target_) {
    return;
  }
  shortest_target_seen_at_ = now;
  if (std::exchange(shortest_target_, target) != target) {
    SetLimits();
  }
}

auto Group::SetKeepConnected(bool keep_connected) -> void {
  keep_connected_ = keep_connected;
  SetLimits();
}

auto Group::SetConfig(const GroupConfig& config, bool connections_by_tenant)
    -> void {
  config_ = config;
  connections_by_tenant_ = connections_by_tenant;
  SetInstanceCount(instance_count_);
}

auto Group::SetInstanceCount(std::int64_t instances) -> void {
  instance_count_ = instances;
  SetLimits();
  // The slots of a queue are the connections that this instance is sure to get.
  const auto share = config_.connections / std::max<std::int64_t>(instances, 1);
  primary_queue_.SetSlots(share);
  read_queue_.SetSlots(share * static_cast<std::int64_t>(members_.size()));
}

auto Group::SetMembers(std::span<const EndpointEntry> entries) -> void {
  for (auto& [name, member] : members_) {
    member.registered = false;
  }
  for (const auto& it : entries) {
    if (auto* known = FindMember(it.member)) {
      UpdateMember(*known, it);
    } else {
      AddMember(it);
    }
    if (it.leads && primary_.NoteRegisteredPrimary(it.member)) {
      OnPrimaryChanged("registered");
    }
  }
  DropUnregisteredMembers();
  SetInstanceCount(instance_count_);
  DispatchWaiting();
}

auto Group::AddMember(const EndpointEntry& entry) -> void {
  auto& member = members_[entry.member];
  member.entry = entry;
  member.leaving_since =
      entry.leaving ? std::optional<Time>(timers_.Now()) : std::nullopt;
  const auto name = entry.member;
  member.pool = std::make_shared<MemberConnectionPool>(
      entry, timers_, out_,
      MemberConnectionPoolCallbacks{guard_.Bind([this] { DispatchWaiting(); }),
                                    guard_.Bind([this, name](Reach reach) {
                                      OnReachChanged(name, reach);
                                    })});
  member.pool->SetLimits(ComputeConnectionLimits());
  SetInFlightLimit(member);
  member.pool->Start();
  log_.Log(Event::kEndpointFound, {{"group", config_.name},
                                   {"member", name},
                                   {"host", entry.host},
                                   {"port", std::to_string(entry.port)}});
}

auto Group::UpdateMember(Member& member, const EndpointEntry& entry) -> void {
  member.registered = true;
  const auto moved = member.entry.host != entry.host ||
                     member.entry.port != entry.port ||
                     member.entry.born_ms != entry.born_ms;
  const auto began_to_lead = entry.leads && !member.entry.leads;
  if (entry.leaving && !member.entry.leaving) {
    member.leaving_since = timers_.Now();
    log_.Log(Event::kEndpointLeaving,
             {{"group", config_.name}, {"member", entry.member}});
  }
  if (moved) {
    // The member was restarted or moved: nothing known of it holds any more.
    member.pool->Retire();
    AddMember(entry);
    return;
  }
  member.entry = entry;
  member.pool->SetEntry(entry);
  if (began_to_lead && primary_.member() != entry.member) {
    RequestMemberStatus(
        entry.member, 0,
        guard_.Bind([this, name = entry.member](const MemberReport* it) {
          if (it != nullptr) {
            OnMemberStatus(name, *it);
          }
        }));
  }
}

auto Group::DropUnregisteredMembers() -> void {
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second.registered) {
      ++it;
      continue;
    }
    log_.Log(Event::kEndpointGone,
             {{"group", config_.name}, {"member", it->first}});
    it->second.pool->Retire();
    members_known_since_ = timers_.Now();
    if (primary_.NoteLost(it->first)) {
      OnPrimaryChanged("unregistered");
    }
    it = members_.erase(it);
  }
}

auto Group::FindMember(std::string_view member) -> Member* {
  const auto it = members_.find(member);
  return it == members_.end() ? nullptr : &it->second;
}

auto Group::PrimaryMember() -> Member* {
  auto* member = primary_.IsUsable() ? FindMember(primary_.member()) : nullptr;
  if (member == nullptr || !member->leaving_since) {
    return member;
  }
  const auto leaving_for = timers_.Now() - *member->leaving_since;
  return leaving_for < options_.max_leaving_time * kLeavingPrimaryPercent / 100
             ? member
             : nullptr;
}

auto Group::FindEntry(std::string_view member) const -> const EndpointEntry* {
  const auto it = members_.find(member);
  return it == members_.end() ? nullptr : &it->second.entry;
}

auto Group::MemberNames() const -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    names.push_back(name);
  }
  return names;
}

auto Group::ReachOf(std::string_view member) const -> Reach {
  const auto it = members_.find(member);
  return it == members_.end() ? Reach::kUntried : it->second.pool->reach();
}

auto Group::LacksReachablePrimary() const -> bool {
  const auto reach = ReachOf(primary_.member());
  return !primary_.IsUsable() || reach == Reach::kRefused ||
         reach == Reach::kSilent;
}

auto Group::CountWaitingTasks() const -> std::size_t {
  return primary_queue_.Size() + read_queue_.Size();
}

auto Group::AddMemberGauges(std::vector<MemberGauge>& out) const -> void {
  for (const auto& [name, member] : members_) {
    out.push_back({config_.name, name,
                   member.pool->in_flight_limit().in_flight(),
                   member.pool->in_flight_limit().limit(), member.entry.slots,
                   member.pool->Size()});
  }
}

auto Group::CountConnections() const -> std::size_t {
  std::size_t n = 0;
  for (const auto& [name, member] : members_) {
    n += member.pool->Size();
  }
  return n;
}

template <typename Handler>
auto Group::HandledByAnyPool(Handler handle) -> bool {
  return std::any_of(members_.begin(), members_.end(),
                     [&](auto& it) { return handle(*it.second.pool); });
}

auto Group::OnOpened(ConnectionId link) -> bool {
  return HandledByAnyPool(
      [&](MemberConnectionPool& it) { return it.OnOpened(link); });
}

auto Group::OnAnswer(ConnectionId link, const StatementAnswer& answer) -> bool {
  return HandledByAnyPool(
      [&](MemberConnectionPool& it) { return it.OnAnswer(link, answer); });
}

auto Group::OnClosed(ConnectionId link, Reach reason) -> bool {
  return HandledByAnyPool(
      [&](MemberConnectionPool& it) { return it.OnClosed(link, reason); });
}

auto Group::OnNotSent(ConnectionId link) -> bool {
  return HandledByAnyPool(
      [&](MemberConnectionPool& it) { return it.OnNotSent(link); });
}

// --------------------------------------------------------------- dispatch

auto Group::Submit(const StatementTaskPtr& task) -> void {
  retry_budget_.NoteRequest();
  task->submitted = timers_.Now();
  const Duration target = Milliseconds(task->route.target_ms);
  NoteLatencyTarget(target);
  task->wanted_by = timers_.Now() + target;
  const auto patience = (task->deadline - timers_.Now()) / kSendByDivisor;
  task->send_by = timers_.Now() + patience;
  task->deadline_timer = timers_.After(
      patience, guard_.Bind([this, task] { OnSendDeadline(task); }));
  const auto may_hedge = task->opening == TransactionOpening::kNone &&
                         task->access != StatementAccess::kWrite;
  if (may_hedge) {
    task->hedge_timer =
        timers_.After(Milliseconds(task->route.target_ms) / kHedgeDivisor,
                      guard_.Bind([this, task] { HedgeRead(task); }));
  }
  DispatchTask(task);
}

auto Group::Cancel(const StatementTaskPtr& task) -> void {
  if (std::exchange(task->done, true)) {
    return;
  }
  timers_.Cancel(task->deadline_timer);
  timers_.Cancel(task->hedge_timer);
  primary_queue_.Remove(task) || read_queue_.Remove(task);
}

auto Group::DispatchTask(const StatementTaskPtr& task) -> void {
  if (task->done) {
    return;
  }
  if (task->access != StatementAccess::kReplicaRead) {
    DispatchToPrimary(task);
  } else if (SetReadFloor(task)) {
    DispatchRead(task);
  } else if (const auto back = ExpectedPrimaryReturn();
             back && *back > task->send_by &&
             !grant_tracker_.HasPendingRequest()) {
    RefuseTask(task, "no primary tells how fresh replicas are");
  } else {
    Enqueue(read_queue_, task);
    timers_.After(kPeerFloorTimeout,
                  guard_.Bind([this, task] { RefuseWithoutFloor(task); }));
  }
}

/// Refuses a task if the peers that were asked know no floor either and no
/// primary is expected in time.
auto Group::RefuseWithoutFloor(const StatementTaskPtr& task) -> void {
  const auto back = ExpectedPrimaryReturn();
  if (!task->done && task->running_attempts == 0 && back &&
      *back > task->send_by && !SetReadFloor(task)) {
    RefuseTask(task, "no primary tells how fresh replicas are");
  }
}

/// Sets the floor of a read. If no sample of the primary's position is recent
/// enough to derive it, requests one and returns false.
auto Group::SetReadFloor(const StatementTaskPtr& task) -> bool {
  const auto not_before = task->arrived - Milliseconds(task->route.max_age_ms);
  const auto floor = age_tracker_.FloorSince(not_before);
  if (!floor) {
    RequestSample();
    return false;
  }
  task->floor = task->session_position
                    ? std::max(*floor, *task->session_position)
                    : *floor;
  return true;
}

auto Group::RankReadMembers(const StatementTask& task) const
    -> std::vector<std::string> {
  std::vector<ReadCandidate> candidates;
  for (const auto& [name, member] : members_) {
    const auto reach = member.pool->reach();
    const auto is_primary = primary_.IsUsable() && name == primary_.member();
    if (task.floor && !is_primary &&
        !member.lag_tracker.MayServeRead(*task.floor, timers_.Now())) {
      continue;
    }
    if (member.entry.leaving || reach == Reach::kRefused ||
        reach == Reach::kSilent || Contains(task.tried_members, name)) {
      continue;
    }
    candidates.push_back({name, member.entry.data_centre, is_primary,
                          member.pool->LentCount(), member.entry.slots,
                          member.latency.At(timers_.Now())});
  }
  return RankMembersForRead(candidates, options_.data_centre,
                            Milliseconds(task.route.target_ms));
}

auto Group::DispatchRead(const StatementTaskPtr& task) -> void {
  const auto order = RankReadMembers(*task);
  if (OnlyPrimaryCanServe(order)) {
    DispatchToPrimary(task);
  } else if (!StartRead(task, order)) {
    Enqueue(read_queue_, task);
  }
}

/// Returns whether no replica can serve a read. `order` is the result of
/// RankReadMembers().
auto Group::OnlyPrimaryCanServe(std::span<const std::string> order) const
    -> bool {
  return order.empty() ||
         (order.size() == 1 && order.front() == primary_.member());
}

/// Starts a read at the first member of `order` that has a free connection, and
/// opens connections to the members before it; just one where instances take
/// turns.
auto Group::StartRead(const StatementTaskPtr& task,
                      std::span<const std::string> order) -> bool {
  if (connections_by_tenant_) {
    return StartReadOfTenant(task, order);
  }
  const auto one_only = ComputeConnectionLimits().turn_duration.has_value();
  auto prepared = false;
  for (const auto& it : order) {
    auto& member = members_.at(it);
    if (!MayStart(*task, read_queue_, member)) {
      continue;
    }
    if (member.pool->HasFreeConnection(task->connection_use())) {
      if (TryStartAttempt(task, member)) {
        return true;
      }
    } else if (!prepared || !one_only) {
      prepared =
          member.pool->EnsureOpening(ConnectionUse::kStatement) || prepared;
    }
  }
  return false;
}

/// Starts a read at the first member of `order` where the read's tenant has a
/// free connection. If there is none, opens one at the first member that admits
/// the read.
auto Group::StartReadOfTenant(const StatementTaskPtr& task,
                              std::span<const std::string> order) -> bool {
  const auto connection_use = task->connection_use();
  MemberConnectionPool* first = nullptr;
  for (const auto& it : order) {
    auto& member = members_.at(it);
    if (!MayStart(*task, read_queue_, member)) {
      continue;
    }
    if (member.pool->HasFreeConnection(connection_use, task->tenant)) {
      if (TryStartAttempt(task, member)) {
        return true;
      }
    } else if (first == nullptr) {
      first = member.pool.get();
    }
  }
  if (first != nullptr) {
    first->EnsureOpening(connection_use, task->tenant);
  }
  return false;
}

auto Group::MayUsePrimary() const -> bool {
  if (!primary_.IsUsable()) {
    return false;
  }
  return !primary_.IsPending() ||
         (pending_attempts_ == 0 && timers_.Now() >= next_pending_attempt_);
}

auto Group::DispatchToPrimary(const StatementTaskPtr& task) -> void {
  auto* member = PrimaryMember();
  const auto tried_all =
      member == nullptr || Contains(task->tried_members, member->entry.member);
  if (task->access == StatementAccess::kReplicaRead && tried_all) {
    // Every member refused the read; one may catch up within moments.
    RetryLater(task, RetryReason::kBusy);
    return;
  }
  if (member != nullptr && MayUsePrimary() && primary_queue_.Size() == 0 &&
      MayStart(*task, primary_queue_, *member) &&
      TryStartAttempt(task, *member)) {
    return;
  }
  const auto back = ExpectedPrimaryReturn();
  if (back && *back > task->send_by) {
    RefuseTask(task, "no primary in time");
    return;
  }
  Enqueue(primary_queue_, task);
  DispatchWaiting();
}

/// Returns whether the member's limit on statements in flight admits the task.
/// If not, the task has to wait in `queue`, and the queue is served again once
/// the limit admits it.
auto Group::MayStart(const StatementTask& task,
                     const Queue& queue,
                     Member& member) -> bool {
  if (member.pool->MayStart(queue.IsAboveLowestPriority(task.route.priority))) {
    return true;
  }
  member.pool->NoteWaiting();
  return false;
}

auto Group::TryStartAttempt(const StatementTaskPtr& task, Member& member)
    -> bool {
  if (task->access != StatementAccess::kReplicaRead &&
      !options_.promotions_fenced) {
    task->granted_until = LeadsUntil(member.entry.member);
    if (!task->granted_until) {
      return false;
    }
  }
  const auto link = member.pool->Acquire(*task->session, task->prepared_ptr(),
                                         task->connection_use(), task->tenant);
  if (link == 0) {
    return false;
  }
  task->sent = timers_.Now();
  task->load_at_send = {member.pool->in_flight_limit().in_flight(),
                        member.pool->in_flight_limit().limit(),
                        member.entry.slots};
  if (task->access == StatementAccess::kReplicaRead && task->floor) {
    member.lag_tracker.NoteReadSent(*task->floor, task->sent);
  }
  const auto at_pending = primary_.IsPending() &&
                          member.entry.member == primary_.member() &&
                          task->access != StatementAccess::kReplicaRead;
  pending_attempts_ += at_pending ? 1 : 0;
  runner_.Start(task, member.pool, link);
  return true;
}

auto Group::QueueOf(const StatementTask& task) -> Queue& {
  return task.access == StatementAccess::kReplicaRead ? read_queue_
                                                      : primary_queue_;
}

auto Group::Enqueue(Queue& queue, const StatementTaskPtr& task) -> void {
  const auto shed = queue.Push({task->route.priority,
                                task->client,
                                task->send_by,
                                task,
                                task->route.database,
                                task->wanted_by,
                                {},
                                task->tenant},
                               timers_.Now());
  for (const auto& it : shed) {
    RefuseTask(it.item, "the queue is longer than the deadline");
  }
}

auto Group::DispatchWaiting() -> void {
  if (std::exchange(dispatching_waiting_, true)) {
    return;
  }
  DispatchWaitingForPrimary();
  DispatchWaitingReads();
  dispatching_waiting_ = false;
}

auto Group::DispatchWaitingForPrimary() -> void {
  auto* member = PrimaryMember();
  std::vector<Queue::Entry> late;
  while (member != nullptr && MayUsePrimary() && primary_queue_.Size() > 0) {
    const auto next =
        primary_queue_.PopIf(timers_.Now(), late, [&](const Queue::Entry& it) {
          const auto connection_use = it.item->connection_use();
          if (!MayStart(*it.item, primary_queue_, *member)) {
            return false;
          }
          const auto& tenant = it.item->tenant;
          if (!member->pool->HasFreeConnection(connection_use, tenant)) {
            // Opens another connection if the limits allow.
            member->pool->EnsureOpening(connection_use, tenant);
            return false;
          }
          return true;
        });
    if (!next) {
      break;
    }
    if (next->item->done) {
      continue;
    }
    if (!TryStartAttempt(next->item, *member)) {
      primary_queue_.PushFront(*next);
      break;
    }
    member = PrimaryMember();
  }
  for (const auto& it : late) {
    RefuseTask(it.item, "the deadline is too near");
  }
}

/// Starts the waiting reads whose tenants have free connections. A read that
/// waits for a connection of its tenant does not hold up the others.
auto Group::DispatchWaitingReadsByTenant() -> void {
  std::vector<Queue::Entry> late;
  StatementTaskPtr for_primary;
  for (auto n = read_queue_.Size(); n > 0; --n) {
    auto floor_missing = false;
    const auto next =
        read_queue_.PopIf(timers_.Now(), late, [&](const Queue::Entry& it) {
          const auto& task = it.item;
          for_primary = nullptr;
          if (task->done) {
            return true;
          }
          if (floor_missing || !SetReadFloor(task)) {
            floor_missing = true;
            return false;
          }
          const auto order = RankReadMembers(*task);
          if (OnlyPrimaryCanServe(order)) {
            for_primary = task;
            return true;
          }
          return StartReadOfTenant(task, order);
        });
    if (!next) {
      break;
    }
    if (for_primary) {
      DispatchToPrimary(std::exchange(for_primary, nullptr));
    }
  }
  for (const auto& it : late) {
    RefuseTask(it.item, "the deadline is too near");
  }
}

auto Group::DispatchWaitingReads() -> void {
  if (connections_by_tenant_) {
    DispatchWaitingReadsByTenant();
    return;
  }
  std::vector<Queue::Entry> late;
  for (auto n = read_queue_.Size(); n > 0; --n) {
    auto next = read_queue_.Pop(timers_.Now(), late);
    if (!next || next->item->done) {
      continue;
    }
    const auto task = next->item;
    if (!SetReadFloor(task)) {
      read_queue_.PushFront(std::move(*next));
      break;
    }
    const auto order = RankReadMembers(*task);
    if (OnlyPrimaryCanServe(order)) {
      DispatchToPrimary(task);
    } else if (!StartRead(task, order)) {
      read_queue_.PushFront(std::move(*next));
      break;
    }
  }
  for (const auto& it : late) {
    RefuseTask(it.item, "the deadline is too near");
  }
}

auto Group::HedgeRead(const StatementTaskPtr& task) -> void {
  task->hedge_timer = 0;
  if (task->done || !task->statement_sent || task->running_attempts == 0 ||
      !retry_budget_.TryTake()) {
    return;
  }
  if (task->on_repeat) {
    task->on_repeat();
  }
  if (task->access == StatementAccess::kReplicaRead && !SetReadFloor(task)) {
    return;
  }
  if (task->access != StatementAccess::kReplicaRead) {
    auto* member = PrimaryMember();
    if (member != nullptr && MayUsePrimary() && member->pool->MayStart(false)) {
      TryStartAttempt(task, *member);
    }
    return;
  }
  for (const auto& it : RankReadMembers(*task)) {
    // Another connection to the same member will do, since the fault may lie
    // in the silent connection alone.
    auto& member = members_.at(it);
    if (member.pool->MayStart(false) && TryStartAttempt(task, member)) {
      return;
    }
  }
}

}  // namespace kingcuplock
