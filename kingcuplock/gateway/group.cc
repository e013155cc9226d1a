#include "kingcuplock/gateway/group.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

// An instance keeps one connection less than its even share: when all instances
// lose power at once, members hold the old connections for seconds, and each
// instance finds room for one at its return.

/// How many times its even share of a member's connections an instance may
/// hold: load is uneven between instances, and the member refuses what is too
/// much for it.
constexpr std::int64_t kShareFactor = 2;
/// Time in ms until a connection comes free for each instance that has none,
/// where instances take turns: well within half of the shortest deadlines.
constexpr Duration kTurnWait{Milliseconds(100)};
/// Longest time in ms that one is held: a greeting costs a member as much as a
/// statement, and an instance with an average load sends dozens in between.
constexpr Duration kLongestTurn{Milliseconds(1500)};
/// CountConnections that an instance may hold in any case: one for a
/// transaction, one for single statements.
constexpr std::int64_t kLeastConnections = 2;
/// Part of the time that a leaving member may get new work, in percent, for
/// which a leaving primary does: its entry is read seconds after it was
/// written.
constexpr int kLeavingPercent = 50;
/// Tasks that one queue holds; far more than can be served within a deadline.
constexpr std::size_t kQueueLimit = 256;
/// Statements of one queue that run at once, until the members are known.
constexpr std::int64_t kQueueSlots = 2;
/// Time in ms assumed from an order until the member leads, before one was
/// measured.
constexpr Milliseconds kFirstPromotionTime{1000};
/// Part of the route's timeout for which a task may wait without being sent to
/// a member. Clients give up earlier than the timeout, and one that is refused
/// early can still come back in time.
constexpr int kOfferDivisor = 2;
/// Part of the latency target after which a read without an answer is sent to
/// another member as well.
constexpr int kHedgeDivisor = 2;
/// Part of the shortest latency target that statements may spend in a queue at
/// the member, where neither priority nor deadline counts.
constexpr int kStandingDivisor = 8;
/// Time in ms after which the shortest latency target seen is forgotten if no
/// task with it came again.
constexpr Milliseconds kTargetMemory{5000};

/// Time in ms for peers to tell a floor that this instance can't learn from the
/// primary: some round trips, twice.
constexpr Milliseconds kFloorPatience{150};

auto Contains(const std::vector<std::string>& names, std::string_view name)
    -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto SeedOf(std::string_view name) -> std::uint64_t {
  return std::hash<std::string_view>{}(name);
}

}  // namespace

Group::Group(GroupConfig config,
             GroupOptions site,
             TimerService& timers,
             GatewayOutbox& out,
             Outbox& log,
             GroupCallbacks ports)
    : config_(std::move(config)),
      site_(std::move(site)),
      timers_(timers),
      out_(out),
      log_(log),
      ports_(std::move(ports)),
      runner_(
          timers,
          {[this](const StatementTaskPtr& task, StatementTaskResult result) {
             Finish(task, std::move(result));
           },
           [this](const StatementTaskPtr& task,
                  const std::string& member,
                  RetryReason setback) { OnSetback(task, member, setback); },
           [this](const std::string& member, Time sent, LogPlace place) {
             NoteLeadProof(member, sent, place);
           },
           [this](const std::string& member, Duration latency) {
             if (auto* it = FindMember(member)) {
               it->latency.Add(timers_.Now(), latency);
             }
           }}),
      primary_queue_(kQueueLimit, kQueueSlots),
      read_queue_(kQueueLimit, kQueueSlots),
      retry_after_(SeedOf(config_.name)),
      promotion_time_(kFirstPromotionTime) {}

Group::~Group() = default;

// ---------------------------------------------------------------- members

auto Group::Limits() const -> ConnectionLimits {
  const auto instances = std::max<std::int64_t>(instances_, 1);
  const auto even = config_.connections / instances;
  ConnectionLimits limits;
  limits.max_connections = std::max(even * kShareFactor, kLeastConnections);
  limits.max_idle = std::max<std::int64_t>(even - 1, 1);
  if (const auto without = instances - config_.connections; without > 0) {
    limits.max_idle = watching_ ? 1 : 0;
    limits.turn_duration = std::min<Duration>(
        kLongestTurn, kTurnWait * config_.connections / without);
  }
  return limits;
}

auto Group::SetLimits() -> void {
  for (auto& [name, member] : members_) {
    member.pool->SetLimits(Limits());
    SetInFlightLimit(member);
  }
}

auto Group::SetInFlightLimit(Member& member) -> void {
  ConcurrencyLimitOptions options;
  options.slots = member.entry.slots;
  options.instances = instances_;
  options.max_connections = Limits().max_connections;
  if (shortest_target_ > Duration::zero()) {
    options.queue_threshold = shortest_target_ / kStandingDivisor;
  }
  member.pool->SetInFlightLimit(options);
}

auto Group::NoteTarget(Duration target) -> void {
  const auto now = timers_.Now();
  const auto known = shortest_target_ > Duration::zero() &&
                     now - shortest_seen_ < kTargetMemory;
  if (known && target > shortest_target_) {
    return;
  }
  shortest_seen_ = now;
  if (std::exchange(shortest_target_, target) != target) {
    SetLimits();
  }
}

auto Group::SetKeepConnected(bool watching) -> void {
  watching_ = watching;
  SetLimits();
}

auto Group::SetConfig(const GroupConfig& config) -> void {
  config_ = config;
  SetInstanceCount(instances_);
}

auto Group::SetInstanceCount(std::int64_t instances) -> void {
  instances_ = instances;
  SetLimits();
  // A queue is served by as many connections as this instance can count on.
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
      PrimaryChanged("registered");
    }
  }
  DropUnregistered();
  SetInstanceCount(instances_);
  Pump();
}

auto Group::AddMember(const EndpointEntry& entry) -> void {
  auto& member = members_[entry.member];
  member.entry = entry;
  member.leaving_since =
      entry.leaving ? std::optional<Time>(timers_.Now()) : std::nullopt;
  const auto name = entry.member;
  member.pool = std::make_shared<MemberConnectionPool>(
      entry, timers_, out_,
      MemberConnectionPoolCallbacks{guard_.Bind([this] { Pump(); }),
                                    guard_.Bind([this, name](Reach reach) {
                                      OnReachChanged(name, reach);
                                    })});
  member.pool->SetLimits(Limits());
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
    // A new run of the member, or another place: nothing known of it holds.
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
            OnLocated(name, *it);
          }
        }));
  }
}

auto Group::DropUnregistered() -> void {
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second.registered) {
      ++it;
      continue;
    }
    log_.Log(Event::kEndpointGone,
             {{"group", config_.name}, {"member", it->first}});
    it->second.pool->Retire();
    if (primary_.NoteLost(it->first)) {
      PrimaryChanged("unregistered");
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
  return leaving_for < site_.leaving * kLeavingPercent / 100 ? member : nullptr;
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
auto Group::AnyPool(Handler handle) -> bool {
  return std::any_of(members_.begin(), members_.end(),
                     [&](auto& it) { return handle(*it.second.pool); });
}

auto Group::OnOpened(ConnectionId link) -> bool {
  return AnyPool([&](MemberConnectionPool& it) { return it.OnOpened(link); });
}

auto Group::OnAnswer(ConnectionId link, const StatementAnswer& answer) -> bool {
  return AnyPool(
      [&](MemberConnectionPool& it) { return it.OnAnswer(link, answer); });
}

auto Group::OnClosed(ConnectionId link, Reach reason) -> bool {
  return AnyPool(
      [&](MemberConnectionPool& it) { return it.OnClosed(link, reason); });
}

// --------------------------------------------------------------- dispatch

auto Group::Submit(const StatementTaskPtr& task) -> void {
  retries_.NoteRequest();
  task->submitted = timers_.Now();
  const Duration target = Milliseconds(task->route.target_ms);
  NoteTarget(target);
  task->wanted_by = timers_.Now() + target;
  const auto patience = (task->deadline - timers_.Now()) / kOfferDivisor;
  task->send_by = timers_.Now() + patience;
  task->deadline_timer =
      timers_.After(patience, guard_.Bind([this, task] { OnOfferBy(task); }));
  const auto may_hedge = task->opening == TransactionOpening::kNone &&
                         task->access != StatementAccess::kWrite;
  if (may_hedge) {
    task->hedge_timer =
        timers_.After(Milliseconds(task->route.target_ms) / kHedgeDivisor,
                      guard_.Bind([this, task] { Hedge(task); }));
  }
  Dispatch(task);
}

auto Group::Cancel(const StatementTaskPtr& task) -> void {
  if (std::exchange(task->done, true)) {
    return;
  }
  timers_.Cancel(task->deadline_timer);
  timers_.Cancel(task->hedge_timer);
  primary_queue_.Remove(task) || read_queue_.Remove(task);
}

auto Group::Dispatch(const StatementTaskPtr& task) -> void {
  if (task->done) {
    return;
  }
  if (task->access != StatementAccess::kReplicaRead) {
    DispatchToPrimary(task);
  } else if (PickFloor(task)) {
    DispatchRead(task);
  } else if (const auto back = ExpectedReturn();
             back && *back > task->send_by && !grants_.HasPendingRequest()) {
    Refuse(task, "no primary tells how fresh replicas are");
  } else {
    Enqueue(read_queue_, task);
    timers_.After(kFloorPatience,
                  guard_.Bind([this, task] { RefuseWithoutFloor(task); }));
  }
}

// The peers that were asked know no floor either.
auto Group::RefuseWithoutFloor(const StatementTaskPtr& task) -> void {
  const auto back = ExpectedReturn();
  if (!task->done && task->running_attempts == 0 && back &&
      *back > task->send_by && !PickFloor(task)) {
    Refuse(task, "no primary tells how fresh replicas are");
  }
}

// Returns false when no sample of the primary is young enough to say what a
// replica must have, and asks for one.
auto Group::PickFloor(const StatementTaskPtr& task) -> bool {
  const auto not_before = task->arrived - Milliseconds(task->route.max_age_ms);
  const auto floor = ages_.FloorSince(not_before);
  if (!floor) {
    AskForSample();
    return false;
  }
  task->floor = task->session_position
                    ? std::max(*floor, *task->session_position)
                    : *floor;
  return true;
}

auto Group::ReadOrder(const StatementTask& task) const
    -> std::vector<std::string> {
  std::vector<ReadCandidate> views;
  for (const auto& [name, member] : members_) {
    const auto reach = member.pool->reach();
    const auto is_primary = primary_.IsUsable() && name == primary_.member();
    if (task.floor && !is_primary &&
        !member.places.MayServeRead(*task.floor, timers_.Now())) {
      continue;
    }
    if (member.entry.leaving || reach == Reach::kRefused ||
        reach == Reach::kSilent || Contains(task.tried_members, name)) {
      continue;
    }
    views.push_back({name, member.entry.data_centre, is_primary,
                     member.pool->LentCount(), member.entry.slots,
                     member.latency.At(timers_.Now())});
  }
  return RankMembersForRead(views, site_.data_centre,
                            Milliseconds(task.route.target_ms));
}

auto Group::DispatchRead(const StatementTaskPtr& task) -> void {
  const auto order = ReadOrder(*task);
  if (IsForPrimary(order)) {
    DispatchToPrimary(task);
  } else if (!StartRead(task, order)) {
    Enqueue(read_queue_, task);
  }
}

// Whether no replica can serve a read.
auto Group::IsForPrimary(std::span<const std::string> order) const -> bool {
  return order.empty() ||
         (order.size() == 1 && order.front() == primary_.member());
}

// Takes the first member that has a free connection and opens more to those
// passed over: one only where instances take turns.
auto Group::StartRead(const StatementTaskPtr& task,
                      std::span<const std::string> order) -> bool {
  const auto one_only = Limits().turn_duration.has_value();
  auto prepared = false;
  for (const auto& it : order) {
    auto& member = members_.at(it);
    if (!MayStart(*task, read_queue_, member)) {
      continue;
    }
    if (member.pool->HasFreeConnection(task->connection_use())) {
      if (TryStart(task, member)) {
        return true;
      }
    } else if (!prepared || !one_only) {
      prepared =
          member.pool->EnsureOpening(ConnectionUse::kStatement) || prepared;
    }
  }
  return false;
}

auto Group::MayUsePrimary() const -> bool {
  if (!primary_.IsUsable()) {
    return false;
  }
  return !primary_.IsPending() ||
         (trials_ == 0 && timers_.Now() >= next_trial_);
}

auto Group::DispatchToPrimary(const StatementTaskPtr& task) -> void {
  auto* member = PrimaryMember();
  const auto tried_all =
      member == nullptr || Contains(task->tried_members, member->entry.member);
  if (task->access == StatementAccess::kReplicaRead && tried_all) {
    // Every member refused; one may have caught up a moment later.
    RetryLater(task, RetryReason::kBusy);
    return;
  }
  if (member != nullptr && MayUsePrimary() && primary_queue_.Size() == 0 &&
      MayStart(*task, primary_queue_, *member) && TryStart(task, *member)) {
    return;
  }
  const auto back = ExpectedReturn();
  if (back && *back > task->send_by) {
    Refuse(task, "no primary in time");
    return;
  }
  Enqueue(primary_queue_, task);
  Pump();
}

// Returns whether the member's limit on statements in flight has room. A task
// that may not start is to wait in `queue`.
auto Group::MayStart(const StatementTask& task,
                     const Queue& queue,
                     Member& member) -> bool {
  if (member.pool->MayStart(queue.IsAboveLowestPriority(task.route.priority))) {
    return true;
  }
  member.pool->NoteWaiting();
  return false;
}

auto Group::TryStart(const StatementTaskPtr& task, Member& member) -> bool {
  if (task->access != StatementAccess::kReplicaRead &&
      !site_.promotions_fenced) {
    task->granted_until = LeadsUntil(member.entry.member);
    if (!task->granted_until) {
      return false;
    }
  }
  const auto link = member.pool->Acquire(*task->session, task->prepared_ptr(),
                                         task->connection_use());
  if (link == 0) {
    return false;
  }
  task->sent = timers_.Now();
  task->load_at_send = {member.pool->in_flight_limit().in_flight(),
                        member.pool->in_flight_limit().limit(),
                        member.entry.slots};
  if (task->access == StatementAccess::kReplicaRead && task->floor) {
    member.places.NoteReadSent(*task->floor, task->sent);
  }
  const auto at_pending = primary_.IsPending() &&
                          member.entry.member == primary_.member() &&
                          task->access != StatementAccess::kReplicaRead;
  trials_ += at_pending ? 1 : 0;
  runner_.Start(task, member.pool, link);
  return true;
}

auto Group::QueueOf(const StatementTask& task) -> Queue& {
  return task.access == StatementAccess::kReplicaRead ? read_queue_
                                                      : primary_queue_;
}

auto Group::Enqueue(Queue& queue, const StatementTaskPtr& task) -> void {
  const auto shed =
      queue.Push({task->route.priority, task->client, task->send_by, task,
                  task->route.database, task->wanted_by},
                 timers_.Now());
  for (const auto& it : shed) {
    Refuse(it.item, "the queue is longer than the deadline");
  }
}

auto Group::Pump() -> void {
  if (std::exchange(pumping_, true)) {
    return;
  }
  PumpPrimary();
  PumpReads();
  pumping_ = false;
}

auto Group::PumpPrimary() -> void {
  auto* member = PrimaryMember();
  std::vector<Queue::Entry> late;
  while (member != nullptr && MayUsePrimary() && primary_queue_.Size() > 0) {
    const auto next =
        primary_queue_.PopIf(timers_.Now(), late, [&](const Queue::Entry& it) {
          const auto connection_use = it.item->connection_use();
          if (!MayStart(*it.item, primary_queue_, *member)) {
            return false;
          }
          if (!member->pool->HasFreeConnection(connection_use)) {
            // Asks for another connection if the share has room.
            member->pool->EnsureOpening(connection_use);
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
    if (!TryStart(next->item, *member)) {
      primary_queue_.PushFront(*next);
      break;
    }
    member = PrimaryMember();
  }
  for (const auto& it : late) {
    Refuse(it.item, "the deadline is too near");
  }
}

auto Group::PumpReads() -> void {
  std::vector<Queue::Entry> late;
  for (auto n = read_queue_.Size(); n > 0; --n) {
    auto next = read_queue_.Pop(timers_.Now(), late);
    if (!next || next->item->done) {
      continue;
    }
    const auto task = next->item;
    if (!PickFloor(task)) {
      read_queue_.PushFront(std::move(*next));
      break;
    }
    const auto order = ReadOrder(*task);
    if (IsForPrimary(order)) {
      DispatchToPrimary(task);
    } else if (!StartRead(task, order)) {
      read_queue_.PushFront(std::move(*next));
      break;
    }
  }
  for (const auto& it : late) {
    Refuse(it.item, "the deadline is too near");
  }
}

auto Group::Hedge(const StatementTaskPtr& task) -> void {
  task->hedge_timer = 0;
  if (task->done || !task->statement_sent || task->running_attempts == 0 ||
      !retries_.TryTake()) {
    return;
  }
  if (task->access == StatementAccess::kReplicaRead && !PickFloor(task)) {
    return;
  }
  if (task->access != StatementAccess::kReplicaRead) {
    auto* member = PrimaryMember();
    if (member != nullptr && MayUsePrimary() && member->pool->MayStart(false)) {
      TryStart(task, *member);
    }
    return;
  }
  for (const auto& it : ReadOrder(*task)) {
    // Any other connection may do: the silent one can be at fault alone.
    auto& member = members_.at(it);
    if (member.pool->MayStart(false) && TryStart(task, member)) {
      return;
    }
  }
}

}  // namespace kingcuplock
