#include "kingcuplock/gateway/member_connection_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuplock {
namespace {

/// Timeout in ms for opening a connection. It allows for many round trips
/// between data centres and takes a quarter of the 800 ms within which a dead
/// primary is to be detected and replaced.
constexpr Milliseconds kConnectTimeout{200};
/// Time in ms without any answer, while statements are outstanding, after which
/// a new connection is opened as a test. It is longer than an ordinary
/// statement takes behind a full queue at the member.
constexpr Milliseconds kSilenceTimeout{150};
/// Interval in ms of the checks for a silent member while statements run.
constexpr Milliseconds kSilenceCheckInterval{50};
/// First and longest pause in ms before opening a connection again after a
/// failure.
constexpr Milliseconds kFirstReopenPause{30};
constexpr Milliseconds kLongestReopenPause{500};
/// Timeout in ms for the answer to the hello, which waits for a slot at the
/// member.
constexpr Milliseconds kHelloTimeout{2000};
/// First and longest pause in ms before opening a connection again after the
/// member refused one because of its limit. The member drops the connections of
/// dead instances after 3 s.
constexpr Milliseconds kFirstLimitPause{100};
constexpr Milliseconds kLongestLimitPause{800};
/// The same pause in ms where instances take turns, or where tenants do. It
/// allows several attempts within the time in which a connection is to become
/// free.
constexpr Milliseconds kTurnLimitPause{30};
/// Idle time in ms after which connections beyond ConnectionLimits::max_idle
/// are closed.
constexpr Milliseconds kExtraIdleTimeout{200};
/// Idle time in ms after which connections beyond the first are closed. Other
/// instances may need them, and connections of an instance that loses power
/// stay occupied at the member.
constexpr Milliseconds kIdleTimeout{1500};
/// Idle time in ms after which a connection is closed before its turn is over:
/// two gaps between the statements of an instance with an average load.
constexpr Milliseconds kTurnIdleTimeout{500};
/// Number of connections by which the gateway's own statements may exceed the
/// limit.
constexpr std::int64_t kExtraControlConnections = 1;

// Returns whether the member needs a free slot to run the statement. It answers
// all other kinds without one.
auto NeedsSlot(StatementKind kind) -> bool {
  switch (kind) {
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
    case StatementKind::kCommit:
      return true;
    default:
      return false;
  }
}

}  // namespace

MemberConnectionPool::MemberConnectionPool(
    EndpointEntry entry,
    TimerService& timers,
    GatewayOutbox& out,
    MemberConnectionPoolCallbacks callbacks)
    : entry_(std::move(entry)),
      timers_(timers),
      out_(out),
      callbacks_(std::move(callbacks)) {}

MemberConnectionPool::~MemberConnectionPool() {
  timers_.Cancel(reopen_timer_);
  timers_.Cancel(silence_timer_);
  timers_.Cancel(idle_timer_);
  timers_.Cancel(resume_timer_);
  for (const auto& [id, connection] : connections_) {
    out_.Add(CloseStream{id});
  }
}

auto MemberConnectionPool::SetLimits(const ConnectionLimits& limits) -> void {
  const auto grown = limits.max_idle > limits_.max_idle;
  limits_ = limits;
  limits_.max_connections =
      std::max({limits.max_connections, limits.max_idle, std::int64_t{1}});
  CloseSurplus();
  if (grown) {
    ScheduleReopen();
  }
}

auto MemberConnectionPool::SetInFlightLimit(
    const ConcurrencyLimitOptions& options) -> void {
  flights_.SetOptions(options);
}

auto MemberConnectionPool::NoteWaiting() -> void {
  flights_.NoteWaiting();
  const auto resumes = flights_.PauseEndsAt(timers_.Now());
  if (!resumes || resume_timer_ != 0) {
    return;
  }
  resume_timer_ = timers_.After(*resumes - timers_.Now(), [this] {
    resume_timer_ = 0;
    callbacks_.on_connection_free();
  });
}

auto MemberConnectionPool::DropReservation(Connection& connection) -> void {
  if (std::exchange(connection.reserved_in_flight, false)) {
    flights_.NoteEnd(timers_.Now());
  }
}

// Ends the count of a statement in flight. Only the time of a statement that
// the member ran or refused as busy is used as a sample.
auto MemberConnectionPool::EndInFlight(const PendingAnswer& ended,
                                       const StatementAnswer& answer) -> void {
  if (!ended.counts_in_flight) {
    return;
  }
  const auto now = timers_.Now();
  if (answer.IsOk()) {
    flights_.NoteAnswer(now, now - ended.sent);
  } else if (answer.error == StatementError::kBusy) {
    flights_.NoteBusy(now, now - ended.sent);
  } else {
    flights_.NoteEnd(now);
  }
}

auto MemberConnectionPool::Start() -> void {
  if (connections_.empty()) {
    OpenOne();
  }
}

auto MemberConnectionPool::MayLendToTransaction() const -> bool {
  return transaction_count_ <
         std::max<std::int64_t>(limits_.max_connections - 1, 1);
}

auto MemberConnectionPool::MayOpen(ConnectionUse connection_use) const -> bool {
  const auto extra =
      connection_use == ConnectionUse::kControl ? kExtraControlConnections : 0;
  return !retired_ && timers_.Now() >= no_opening_before_ &&
         static_cast<std::int64_t>(connections_.size()) <
             limits_.max_connections + extra;
}

auto MemberConnectionPool::HasFreeConnection(ConnectionUse connection_use,
                                             std::string_view tenant) const
    -> bool {
  if (connection_use == ConnectionUse::kTransaction &&
      !MayLendToTransaction()) {
    return false;
  }
  return std::any_of(
      connections_.begin(), connections_.end(), [tenant](const auto& it) {
        return it.second.state == State::kIdle && it.second.tenant == tenant;
      });
}

auto MemberConnectionPool::Acquire(const SessionState& session,
                                   const PreparedStatement* prepared,
                                   ConnectionUse connection_use,
                                   std::string_view tenant) -> ConnectionId {
  if (connection_use == ConnectionUse::kTransaction &&
      !MayLendToTransaction()) {
    return 0;
  }
  ConnectionId best = 0;
  auto best_cost = 0;
  for (const auto& [id, connection] : connections_) {
    const auto any_tenant = connection_use == ConnectionUse::kControl;
    if (connection.state != State::kIdle ||
        (!any_tenant && connection.tenant != tenant)) {
      continue;
    }
    const auto cost =
        connection.session_state.CountReplayStatements(session, prepared);
    const auto better =
        best == 0 ||
        (connection_use == ConnectionUse::kControl
             ? connection.accepted_since < connections_.at(best).accepted_since
             : cost < best_cost);
    if (better) {
      best = id;
      best_cost = cost;
    }
  }
  if (best == 0) {
    EnsureOpening(connection_use, tenant);
    return 0;
  }
  auto& connection = connections_.at(best);
  connection.state = State::kLent;
  connection.connection_use = connection_use;
  if (connection_use != ConnectionUse::kControl) {
    connection.reserved_in_flight = true;
    flights_.NoteStatementSent();
  }
  ++lent_count_;
  transaction_count_ += connection_use == ConnectionUse::kTransaction ? 1 : 0;
  return best;
}

auto MemberConnectionPool::AcceptedSince(ConnectionId connection) const
    -> Time {
  return connections_.at(connection).accepted_since;
}

auto MemberConnectionPool::EnsureOpening(ConnectionUse connection_use,
                                         std::string_view tenant) -> bool {
  std::int64_t opening = 0;
  std::int64_t lent = 0;
  for (const auto& [id, it] : connections_) {
    if (it.tenant == tenant) {
      opening +=
          it.state == State::kOpening || it.state == State::kHelloSent ? 1 : 0;
      lent += it.state == State::kLent || it.state == State::kReleasePending
                  ? 1
                  : 0;
    }
  }
  if (opening > lent || timers_.Now() < no_opening_before_) {
    return opening > 0;
  }
  const auto at_share =
      limits_.by_tenant &&
      static_cast<std::int64_t>(connections_.size()) >= limits_.max_idle;
  if (at_share) {
    CloseIdleOfOtherTenant(tenant);
  }
  if (MayOpen(connection_use)) {
    OpenOne(tenant);
    ++opening;
  }
  return opening > 0;
}

/// Closes the connection of another tenant that has been idle for longest, if
/// there is one.
auto MemberConnectionPool::CloseIdleOfOtherTenant(std::string_view tenant)
    -> void {
  auto longest = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second.state == State::kIdle && it->second.tenant != tenant &&
        (longest == connections_.end() ||
         it->second.idle_since < longest->second.idle_since)) {
      longest = it;
    }
  }
  if (longest != connections_.end()) {
    const auto id = longest->first;
    out_.Add(CloseStream{id});
    Remove(id);
  }
}

auto MemberConnectionPool::ApplySessionState(ConnectionId id,
                                             const SessionState& session,
                                             const PreparedStatement* prepared,
                                             SessionStateCallback callback)
    -> bool {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    callback({SessionStateOutcome::kConnectionLost});
    return false;
  }
  std::vector<SessionStatement> statements;
  auto replay = std::make_shared<Replay>();
  replay->result.prepared_name =
      it->second.session_state.PlanReplay(session, prepared, statements);
  if (statements.empty()) {
    callback(replay->result);
    return false;
  }
  replay->callback = std::move(callback);
  replay->missing = statements.size();
  for (const auto& statement : statements) {
    RunStatement(id, statement,
                 [this, id, statement, replay](const StatementAnswer* answer) {
                   OnReplayAnswered(id, statement, answer, replay);
                 });
  }
  return true;
}

auto MemberConnectionPool::OnReplayAnswered(
    ConnectionId id,
    const SessionStatement& statement,
    const StatementAnswer* answer,
    const std::shared_ptr<Replay>& replay) -> void {
  auto& outcome = replay->result.outcome;
  if (answer == nullptr) {
    outcome = SessionStateOutcome::kConnectionLost;
  } else if (answer->IsOk()) {
    connections_.at(id).session_state.NoteApplied(statement);
  } else {
    outcome = SessionStateOutcome::kRefused;
    replay->unclear = replay->unclear || !MeansNotRun(answer->error);
  }
  if (--replay->missing > 0) {
    return;
  }
  if (answer != nullptr && replay->unclear) {
    // Before the callback, which may lend the connection again.
    Discard(id);
  }
  replay->callback(replay->result);
}

auto MemberConnectionPool::RunStatement(ConnectionId id,
                                        SessionStatement statement,
                                        MemberAnswerCallback callback,
                                        Duration timeout,
                                        std::optional<Time> not_after) -> void {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    callback(nullptr);
    return;
  }
  const auto now = timers_.Now();
  auto& connection = it->second;
  const auto counts_in_flight = NeedsSlot(statement.kind);
  if (counts_in_flight &&
      !std::exchange(connection.reserved_in_flight, false)) {
    flights_.NoteStatementSent();
  }
  connection.pending.push_back(
      {std::move(callback), now, now + timeout, counts_in_flight});
  out_.Add(SendStatement{id, std::move(statement), not_after});
  ScheduleSilenceCheck();
}

auto MemberConnectionPool::Release(ConnectionId id) -> void {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.state != State::kLent) {
    return;
  }
  auto& connection = it->second;
  if (!connection.pending.empty()) {
    connection.state = State::kReleasePending;
    return;
  }
  DropReservation(connection);
  --lent_count_;
  transaction_count_ -=
      connection.connection_use == ConnectionUse::kTransaction ? 1 : 0;
  connection.state = State::kIdle;
  connection.idle_since = timers_.Now();
  callbacks_.on_connection_free();
  CloseSurplus();
}

auto MemberConnectionPool::Discard(ConnectionId id) -> void {
  const auto keep_alive = weak_from_this().lock();
  if (connections_.contains(id)) {
    out_.Add(CloseStream{id});
    Remove(id);
    ScheduleReopen();
  }
}

auto MemberConnectionPool::Remove(ConnectionId id) -> void {
  auto node = connections_.extract(id);
  if (node.empty()) {
    return;
  }
  auto& connection = node.mapped();
  const auto lent = connection.state == State::kLent ||
                    connection.state == State::kReleasePending;
  lent_count_ -= lent ? 1 : 0;
  transaction_count_ -=
      lent && connection.connection_use == ConnectionUse::kTransaction ? 1 : 0;
  const auto opening = connection.state == State::kOpening ||
                       connection.state == State::kHelloSent;
  opening_count_ -= opening ? 1 : 0;
  DropReservation(connection);
  for (const auto& it : connection.pending) {
    if (it.counts_in_flight) {
      flights_.NoteEnd(timers_.Now());
    }
  }
  for (auto& it : connection.pending) {
    it.callback(nullptr);
  }
}

auto MemberConnectionPool::Retire() -> void {
  retired_ = true;
  timers_.Cancel(reopen_timer_);
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection.state != State::kLent &&
        connection.state != State::kReleasePending) {
      idle.push_back(id);
    }
  }
  for (const auto id : idle) {
    out_.Add(CloseStream{id});
    Remove(id);
  }
}

auto MemberConnectionPool::OpenOne(std::string_view tenant) -> void {
  const auto id = out_.Open(entry_.host, entry_.port, kConnectTimeout);
  connections_[id].state = State::kOpening;
  connections_[id].tenant = tenant;
  ++opening_count_;
}

auto MemberConnectionPool::OnOpened(ConnectionId id) -> bool {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  it->second.state = State::kHelloSent;
  const auto now = timers_.Now();
  it->second.pending.push_back(
      {[](const StatementAnswer*) {}, now, now + kHelloTimeout});
  out_.Add(SendMemberHello{id, entry_.group, entry_.member, it->second.tenant});
  ScheduleSilenceCheck();
  return true;
}

auto MemberConnectionPool::OnAnswer(ConnectionId id,
                                    const StatementAnswer& answer) -> bool {
  const auto keep_alive = weak_from_this().lock();
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  auto& connection = it->second;
  if (answer.error != StatementError::kWrongMember) {
    last_heard_ = timers_.Now();
  }
  if (connection.pending.empty()) {
    // No statement waits for an answer, so this one can't be matched.
    Discard(id);
    return true;
  }
  const auto ended = std::move(connection.pending.front());
  connection.pending.pop_front();
  EndInFlight(ended, answer);
  if (connection.state == State::kHelloSent) {
    OnHelloAnswered(id, answer);
    return true;
  }
  ended.callback(&answer);
  // The callback may have closed the connection.
  const auto again = connections_.find(id);
  if (again != connections_.end() &&
      again->second.state == State::kReleasePending &&
      again->second.pending.empty()) {
    again->second.state = State::kLent;
    Release(id);
  } else if (ended.counts_in_flight) {
    // A transaction keeps its connection, but another statement may start.
    callbacks_.on_connection_free();
  }
  return true;
}

auto MemberConnectionPool::OnHelloAnswered(ConnectionId id,
                                           const StatementAnswer& answer)
    -> void {
  reopen_pause_ = Duration::zero();
  if (answer.error != StatementError::kWrongMember) {
    SetReach(Reach::kReached);
  }
  if (answer.IsOk()) {
    auto& connection = connections_.at(id);
    connection.state = State::kIdle;
    connection.idle_since = timers_.Now();
    connection.accepted_since = connection.idle_since;
    limit_pause_ = Duration::zero();
    --opening_count_;
    callbacks_.on_connection_free();
    CloseSurplus();
    return;
  }
  out_.Add(CloseStream{id});
  Remove(id);
  if (answer.error == StatementError::kTooManyConnections) {
    limit_pause_ =
        limits_.turn_duration || limits_.by_tenant
            ? Duration(kTurnLimitPause)
            : std::clamp<Duration>(2 * limit_pause_, kFirstLimitPause,
                                   kLongestLimitPause);
    no_opening_before_ = timers_.Now() + limit_pause_;
    reopen_pause_ = limit_pause_;
    // Tasks that wait then ask for a connection again.
    timers_.After(limit_pause_,
                  guard_.Bind([this] { callbacks_.on_connection_free(); }));
  }
  if (answer.error == StatementError::kWrongMember) {
    // Another process listens at this address.
    SetReach(Reach::kRefused);
  }
  ScheduleReopen();
}

auto MemberConnectionPool::OnClosed(ConnectionId id, Reach reason) -> bool {
  const auto keep_alive = weak_from_this().lock();
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  const auto state = it->second.state;
  Remove(id);
  if (state == State::kOpening || state == State::kHelloSent) {
    SetReach(reason);
  }
  ScheduleReopen();
  return true;
}

auto MemberConnectionPool::OnNotSent(ConnectionId id) -> bool {
  const auto keep_alive = weak_from_this().lock();
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  if (!it->second.pending.empty()) {
    const auto ended = std::move(it->second.pending.back());
    it->second.pending.pop_back();
    if (ended.counts_in_flight) {
      flights_.NoteEnd(timers_.Now());
    }
    StatementAnswer answer;
    answer.error = StatementError::kAborted;
    answer.text = "it was not sent in time and has not run; send it again";
    ended.callback(&answer);
  }
  Discard(id);
  return true;
}

// Sets the member's reachability. Only an attempt to open a connection changes
// it. The attempt succeeds once the member has answered the hello, as
// another process may accept connections at its address. The end of an open
// connection proves nothing about the member.
auto MemberConnectionPool::SetReach(Reach reach) -> void {
  if (std::exchange(reach_, reach) != reach) {
    callbacks_.on_reach_changed(reach);
  }
}

auto MemberConnectionPool::ScheduleReopen() -> void {
  if (retired_ || !connections_.empty() || reopening_) {
    return;
  }
  reopening_ = true;
  const auto pause = reopen_pause_;
  reopen_pause_ =
      std::clamp<Duration>(2 * pause, kFirstReopenPause, kLongestReopenPause);
  reopen_timer_ = timers_.After(pause, [this] {
    reopening_ = false;
    if (retired_ || !connections_.empty()) {
      return;
    }
    if (limits_.max_idle > 0 || reach_ != Reach::kReached) {
      OpenOne();
    } else {
      // Tasks that wait ask for a connection again.
      callbacks_.on_connection_free();
    }
  });
}

// Returns whether an idle connection is to be closed, given that `left`
// connections remain in the pool.
auto MemberConnectionPool::IsSurplus(const Connection& connection,
                                     std::int64_t left) const -> bool {
  const auto now = timers_.Now();
  const auto idle = now - connection.idle_since;
  if (retired_ || left > limits_.max_connections) {
    return true;
  }
  if (limits_.turn_duration) {
    const auto over = now - connection.accepted_since >= *limits_.turn_duration;
    return left > limits_.max_idle && (over || idle >= kTurnIdleTimeout);
  }
  return (left > 1 && idle > kIdleTimeout) ||
         (left > limits_.max_idle && idle > kExtraIdleTimeout);
}

auto MemberConnectionPool::CloseSurplus() -> void {
  std::vector<ConnectionId> surplus;
  auto left = static_cast<std::int64_t>(connections_.size());
  for (const auto& [id, connection] : connections_) {
    if (connection.state == State::kIdle && IsSurplus(connection, left)) {
      surplus.push_back(id);
      --left;
    }
  }
  for (const auto id : surplus) {
    out_.Add(CloseStream{id});
    Remove(id);
  }
  ScheduleIdleClose();
}

// Sets a timer for the next connection whose turn ends or that is idle for too
// long. Needed only where instances or tenants take turns, as other instances
// then wait for connections that this one does not use.
auto MemberConnectionPool::ScheduleIdleClose() -> void {
  if ((!limits_.turn_duration && !limits_.by_tenant) || idle_timer_ != 0) {
    return;
  }
  std::optional<Time> due;
  for (const auto& [id, connection] : connections_) {
    if (connection.state == State::kIdle) {
      const auto over =
          limits_.turn_duration
              ? std::min<Time>(
                    connection.accepted_since + *limits_.turn_duration,
                    connection.idle_since + kTurnIdleTimeout)
              : connection.idle_since + kExtraIdleTimeout + Milliseconds(1);
      due = std::min(due.value_or(over), over);
    }
  }
  const auto surplus =
      static_cast<std::int64_t>(connections_.size()) > limits_.max_idle;
  if (!due || !surplus) {
    return;
  }
  idle_timer_ = timers_.After(*due - timers_.Now(), [this] {
    idle_timer_ = 0;
    CloseSurplus();
  });
}

auto MemberConnectionPool::OldestUnanswered() const -> std::optional<Time> {
  std::optional<Time> oldest;
  for (const auto& [id, connection] : connections_) {
    if (!connection.pending.empty()) {
      const auto sent = connection.pending.front().sent;
      oldest = std::min(oldest.value_or(sent), sent);
    }
  }
  return oldest;
}

auto MemberConnectionPool::ScheduleSilenceCheck() -> void {
  if (silence_timer_ == 0) {
    silence_timer_ =
        timers_.After(kSilenceCheckInterval, [this] { CheckForSilence(); });
  }
}

auto MemberConnectionPool::DiscardOverdue() -> void {
  std::vector<ConnectionId> overdue;
  for (const auto& [id, connection] : connections_) {
    if (!connection.pending.empty() &&
        connection.pending.front().deadline <= timers_.Now()) {
      overdue.push_back(id);
    }
  }
  for (const auto id : overdue) {
    if (connections_.at(id).state == State::kHelloSent) {
      SetReach(Reach::kSilent);
    }
    Discard(id);
  }
}

auto MemberConnectionPool::CheckForSilence() -> void {
  const auto keep_alive = weak_from_this().lock();
  silence_timer_ = 0;
  DiscardOverdue();
  const auto oldest = OldestUnanswered();
  if (!oldest) {
    return;
  }
  const auto now = timers_.Now();
  const auto quiet_since = std::max(*oldest, last_heard_.value_or(*oldest));
  if (now - quiet_since >= kSilenceTimeout && opening_count_ == 0 &&
      !retired_) {
    OpenOne();
  }
  ScheduleSilenceCheck();
}

}  // namespace kingcuplock
