#include "kingcuplock/gateway/member_connection_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuplock {
namespace {

/// Time in ms to open a connection: many round trips between data centres, and
/// a quarter of the target of 800 ms for noticing and replacing a dead primary.
constexpr Milliseconds kConnectTimeout{200};
/// Silence in ms of a member with statements outstanding after which a fresh
/// connection is tried; above the slowest ordinary statement that a full queue
/// of a member delays.
constexpr Milliseconds kSilence{150};
/// Interval in ms at which silence is looked for while statements run.
constexpr Milliseconds kSilenceCheck{50};
/// First and longest pause in ms before a failed connection is tried again.
constexpr Milliseconds kFirstPause{30};
constexpr Milliseconds kLongestPause{500};
/// Time in ms for a member's greeting; it waits for a slot there.
constexpr Milliseconds kGreetingPatience{2000};
/// First and longest pause in ms before opening again after the member refused
/// a connection for its limit: it drops those of dead instances after 3 s.
constexpr Milliseconds kLimitPause{100};
constexpr Milliseconds kLongestLimitPause{800};
/// The pause in ms where instances take turns: several attempts within the time
/// in which a connection is to come free.
constexpr Milliseconds kTurnPause{30};
/// Idle time in ms after which connections beyond those kept are closed.
constexpr Milliseconds kBorrowedIdle{200};
/// Idle time in ms after which connections beyond the first are closed: others
/// may need the room, and those of an instance that loses power block it.
constexpr Milliseconds kIdleClose{1500};
/// Idle time in ms after which a connection is given back before its turn is
/// over: two gaps between the statements of an instance with an average load.
constexpr Milliseconds kTurnIdle{500};
/// Connections that the gateway's own statements may add to the limit.
constexpr std::int64_t kControlExtra = 1;

// Members answer all others without a slot.
auto TakesSlot(StatementKind kind) -> bool {
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

MemberConnectionPool::MemberConnectionPool(EndpointEntry entry,
                                           TimerService& timers,
                                           GatewayOutbox& out,
                                           MemberConnectionPoolCallbacks ports)
    : entry_(std::move(entry)),
      timers_(timers),
      out_(out),
      ports_(std::move(ports)) {}

MemberConnectionPool::~MemberConnectionPool() {
  timers_.Cancel(reopen_timer_);
  timers_.Cancel(silence_timer_);
  timers_.Cancel(idle_timer_);
  timers_.Cancel(resume_timer_);
  for (const auto& [id, link] : links_) {
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
    ReopenLater();
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
    ports_.freed();
  });
}

auto MemberConnectionPool::DropReservation(Link& link) -> void {
  if (std::exchange(link.reserved, false)) {
    flights_.NoteEnd(timers_.Now());
  }
}

// Only a statement that ran tells how long the member takes.
auto MemberConnectionPool::EndFlight(const Pending& ended,
                                     const StatementAnswer& answer) -> void {
  if (!ended.flies) {
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
  if (links_.empty()) {
    OpenOne();
  }
}

auto MemberConnectionPool::MayPin() const -> bool {
  return pinned_ < std::max<std::int64_t>(limits_.max_connections - 1, 1);
}

auto MemberConnectionPool::MayOpen(ConnectionUse connection_use) const -> bool {
  const auto extra =
      connection_use == ConnectionUse::kControl ? kControlExtra : 0;
  return !retired_ && timers_.Now() >= no_opening_before_ &&
         static_cast<std::int64_t>(links_.size()) <
             limits_.max_connections + extra;
}

auto MemberConnectionPool::HasFreeConnection(ConnectionUse connection_use) const
    -> bool {
  if (connection_use == ConnectionUse::kTransaction && !MayPin()) {
    return false;
  }
  return std::any_of(links_.begin(), links_.end(), [](const auto& it) {
    return it.second.state == State::kIdle;
  });
}

auto MemberConnectionPool::Acquire(const SessionState& session,
                                   const PreparedStatement* prepared,
                                   ConnectionUse connection_use)
    -> ConnectionId {
  if (connection_use == ConnectionUse::kTransaction && !MayPin()) {
    return 0;
  }
  ConnectionId best = 0;
  auto best_cost = 0;
  for (const auto& [id, link] : links_) {
    if (link.state != State::kIdle) {
      continue;
    }
    const auto cost = link.set_up.ReplayCost(session, prepared);
    if (best == 0 || cost < best_cost) {
      best = id;
      best_cost = cost;
    }
  }
  if (best == 0) {
    EnsureOpening(connection_use);
    return 0;
  }
  auto& link = links_.at(best);
  link.state = State::kLent;
  link.connection_use = connection_use;
  if (connection_use != ConnectionUse::kControl) {
    link.reserved = true;
    flights_.NoteStatementSent();
  }
  ++lent_;
  pinned_ += connection_use == ConnectionUse::kTransaction ? 1 : 0;
  return best;
}

auto MemberConnectionPool::EnsureOpening(ConnectionUse connection_use) -> bool {
  if (MayOpen(connection_use) && opening_ < lent_ + 1) {
    OpenOne();
  }
  return opening_ > 0;
}

auto MemberConnectionPool::ApplySessionState(ConnectionId id,
                                             const SessionState& session,
                                             const PreparedStatement* prepared)
    -> std::string {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return {};
  }
  std::vector<SessionStatement> statements;
  auto name = it->second.set_up.Replay(session, prepared, statements);
  for (auto& statement : statements) {
    RunStatement(id, std::move(statement),
                 [this, id](const StatementAnswer* answer) {
                   if (answer != nullptr && !answer->IsOk()) {
                     // What the connection has is no longer known.
                     Discard(id);
                   }
                 });
  }
  return name;
}

auto MemberConnectionPool::RunStatement(ConnectionId id,
                                        SessionStatement statement,
                                        MemberAnswerCallback callback,
                                        Duration patience,
                                        std::optional<Time> not_after) -> void {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    callback(nullptr);
    return;
  }
  const auto now = timers_.Now();
  auto& link = it->second;
  const auto flies = TakesSlot(statement.kind);
  if (flies && !std::exchange(link.reserved, false)) {
    flights_.NoteStatementSent();
  }
  link.pending.push_back({std::move(callback), now, now + patience, flies});
  out_.Add(SendStatement{id, std::move(statement), not_after});
  WatchSilence();
}

auto MemberConnectionPool::Release(ConnectionId id) -> void {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.state != State::kLent) {
    return;
  }
  auto& link = it->second;
  if (!link.pending.empty()) {
    link.state = State::kReturning;
    return;
  }
  DropReservation(link);
  --lent_;
  pinned_ -= link.connection_use == ConnectionUse::kTransaction ? 1 : 0;
  link.state = State::kIdle;
  link.idle_since = timers_.Now();
  ports_.freed();
  CloseSurplus();
}

auto MemberConnectionPool::Discard(ConnectionId id) -> void {
  if (links_.contains(id)) {
    out_.Add(CloseStream{id});
    Remove(id);
    ReopenLater();
  }
}

auto MemberConnectionPool::Remove(ConnectionId id) -> void {
  auto node = links_.extract(id);
  if (node.empty()) {
    return;
  }
  auto& link = node.mapped();
  const auto lent =
      link.state == State::kLent || link.state == State::kReturning;
  lent_ -= lent ? 1 : 0;
  pinned_ -= lent && link.connection_use == ConnectionUse::kTransaction ? 1 : 0;
  const auto opening =
      link.state == State::kOpening || link.state == State::kGreeting;
  opening_ -= opening ? 1 : 0;
  DropReservation(link);
  for (const auto& it : link.pending) {
    if (it.flies) {
      flights_.NoteEnd(timers_.Now());
    }
  }
  for (auto& it : link.pending) {
    it.callback(nullptr);
  }
}

auto MemberConnectionPool::Retire() -> void {
  retired_ = true;
  timers_.Cancel(reopen_timer_);
  std::vector<ConnectionId> idle;
  for (const auto& [id, link] : links_) {
    if (link.state != State::kLent && link.state != State::kReturning) {
      idle.push_back(id);
    }
  }
  for (const auto id : idle) {
    out_.Add(CloseStream{id});
    Remove(id);
  }
}

auto MemberConnectionPool::OpenOne() -> void {
  const auto id = out_.Open(entry_.host, entry_.port, kConnectTimeout);
  links_[id].state = State::kOpening;
  ++opening_;
}

auto MemberConnectionPool::OnOpened(ConnectionId id) -> bool {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return false;
  }
  it->second.state = State::kGreeting;
  const auto now = timers_.Now();
  it->second.pending.push_back(
      {[](const StatementAnswer*) {}, now, now + kGreetingPatience});
  out_.Add(SendMemberHello{id, entry_.group, entry_.member});
  WatchSilence();
  return true;
}

auto MemberConnectionPool::OnAnswer(ConnectionId id,
                                    const StatementAnswer& answer) -> bool {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return false;
  }
  auto& link = it->second;
  if (answer.error != StatementError::kWrongMember) {
    last_heard_ = timers_.Now();
  }
  if (link.pending.empty()) {
    // An answer that nobody asked for: whose it is can't be known.
    Discard(id);
    return true;
  }
  const auto ended = std::move(link.pending.front());
  link.pending.pop_front();
  EndFlight(ended, answer);
  if (link.state == State::kGreeting) {
    OnGreeted(id, answer);
    return true;
  }
  ended.callback(&answer);
  // The callback may have closed the connection.
  const auto again = links_.find(id);
  if (again != links_.end() && again->second.state == State::kReturning &&
      again->second.pending.empty()) {
    again->second.state = State::kLent;
    Release(id);
  } else if (ended.flies) {
    // Of a transaction, which keeps its connection.
    ports_.freed();
  }
  return true;
}

auto MemberConnectionPool::OnGreeted(ConnectionId id,
                                     const StatementAnswer& answer) -> void {
  reopen_pause_ = Duration::zero();
  if (answer.error != StatementError::kWrongMember) {
    MarkReach(Reach::kReached);
  }
  if (answer.IsOk()) {
    auto& link = links_.at(id);
    link.state = State::kIdle;
    link.idle_since = timers_.Now();
    link.greeted = link.idle_since;
    limit_pause_ = Duration::zero();
    --opening_;
    ports_.freed();
    CloseSurplus();
    return;
  }
  out_.Add(CloseStream{id});
  Remove(id);
  if (answer.error == StatementError::kTooManyConnections) {
    limit_pause_ = limits_.turn_duration
                       ? Duration(kTurnPause)
                       : std::clamp<Duration>(2 * limit_pause_, kLimitPause,
                                              kLongestLimitPause);
    no_opening_before_ = timers_.Now() + limit_pause_;
    reopen_pause_ = limit_pause_;
    // Tasks that wait ask for a connection again then.
    timers_.After(limit_pause_, guard_.Bind([this] { ports_.freed(); }));
  }
  if (answer.error == StatementError::kWrongMember) {
    // Another process listens at this address now.
    MarkReach(Reach::kRefused);
  }
  ReopenLater();
}

auto MemberConnectionPool::OnClosed(ConnectionId id, Reach reason) -> bool {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return false;
  }
  const auto state = it->second.state;
  Remove(id);
  if (state == State::kOpening || state == State::kGreeting) {
    MarkReach(reason);
  }
  ReopenLater();
  return true;
}

// Only an attempt to open a connection changes the reach, up to the member's
// greeting: something else may accept connections in its place. The end of an
// open one proves nothing about the member.
auto MemberConnectionPool::MarkReach(Reach reach) -> void {
  if (std::exchange(reach_, reach) != reach) {
    ports_.reach_changed(reach);
  }
}

auto MemberConnectionPool::ReopenLater() -> void {
  if (retired_ || !links_.empty() || reopening_) {
    return;
  }
  reopening_ = true;
  const auto pause = reopen_pause_;
  reopen_pause_ = std::clamp<Duration>(2 * pause, kFirstPause, kLongestPause);
  reopen_timer_ = timers_.After(pause, [this] {
    reopening_ = false;
    if (retired_ || !links_.empty()) {
      return;
    }
    if (limits_.max_idle > 0 || reach_ != Reach::kReached) {
      OpenOne();
    } else {
      // Tasks that wait ask for a connection again.
      ports_.freed();
    }
  });
}

// Returns whether an idle connection goes while the pool has `left`.
auto MemberConnectionPool::IsSurplus(const Link& link, std::int64_t left) const
    -> bool {
  const auto now = timers_.Now();
  const auto idle = now - link.idle_since;
  if (retired_ || left > limits_.max_connections) {
    return true;
  }
  if (limits_.turn_duration) {
    const auto over = now - link.greeted >= *limits_.turn_duration;
    return left > limits_.max_idle && (over || idle >= kTurnIdle);
  }
  return (left > 1 && idle > kIdleClose) ||
         (left > limits_.max_idle && idle > kBorrowedIdle);
}

auto MemberConnectionPool::CloseSurplus() -> void {
  std::vector<ConnectionId> surplus;
  auto left = static_cast<std::int64_t>(links_.size());
  for (const auto& [id, link] : links_) {
    if (link.state == State::kIdle && IsSurplus(link, left)) {
      surplus.push_back(id);
      --left;
    }
  }
  for (const auto id : surplus) {
    out_.Add(CloseStream{id});
    Remove(id);
  }
  CloseIdleLater();
}

// Where instances take turns, others wait for what this one does not use.
auto MemberConnectionPool::CloseIdleLater() -> void {
  if (!limits_.turn_duration || idle_timer_ != 0) {
    return;
  }
  std::optional<Time> due;
  for (const auto& [id, link] : links_) {
    if (link.state == State::kIdle) {
      const auto over = std::min<Time>(link.greeted + *limits_.turn_duration,
                                       link.idle_since + kTurnIdle);
      due = std::min(due.value_or(over), over);
    }
  }
  const auto surplus =
      static_cast<std::int64_t>(links_.size()) > limits_.max_idle;
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
  for (const auto& [id, link] : links_) {
    if (!link.pending.empty()) {
      const auto sent = link.pending.front().sent;
      oldest = std::min(oldest.value_or(sent), sent);
    }
  }
  return oldest;
}

auto MemberConnectionPool::WatchSilence() -> void {
  if (silence_timer_ == 0) {
    silence_timer_ = timers_.After(kSilenceCheck, [this] { CheckSilence(); });
  }
}

auto MemberConnectionPool::DiscardOverdue() -> void {
  std::vector<ConnectionId> overdue;
  for (const auto& [id, link] : links_) {
    if (!link.pending.empty() &&
        link.pending.front().lost_at <= timers_.Now()) {
      overdue.push_back(id);
    }
  }
  for (const auto id : overdue) {
    if (links_.at(id).state == State::kGreeting) {
      MarkReach(Reach::kSilent);
    }
    Discard(id);
  }
}

auto MemberConnectionPool::CheckSilence() -> void {
  silence_timer_ = 0;
  DiscardOverdue();
  const auto oldest = OldestUnanswered();
  if (!oldest) {
    return;
  }
  const auto now = timers_.Now();
  const auto quiet_since = std::max(*oldest, last_heard_.value_or(*oldest));
  if (now - quiet_since >= kSilence && opening_ == 0 && !retired_) {
    OpenOne();
  }
  WatchSilence();
}

}  // namespace kingcuplock
