#include "standin/statements/statement_group.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Time after which a replaced primary that is not isolated learns of its
/// successor and becomes a replica.
constexpr Milliseconds kReplacedPrimaryTimeout{1000};

/// Returns an answer with an error.
auto MakeError(StatementError error, TransactionState state)
    -> StatementAnswer {
  StatementAnswer answer;
  answer.error = error;
  answer.state = state;
  return answer;
}

}  // namespace

StatementGroup::StatementGroup(std::string name,
                               std::vector<std::string> members,
                               StatementGroupOptions options)
    : name_(std::move(name)),
      names_(std::move(members)),
      options_(options),
      primary_(names_.front()),
      term_(options.first_term) {
  for (const auto& it : names_) {
    members_[it].term = term_;
  }
}

// Carries out a promotion that is due, ends replaced primaries that have learnt
// of it, and replicates commits according to the lags.
auto StatementGroup::AdvanceTo(Time now) -> void {
  if (pending_promotion_ && now >= pending_promotion_->second) {
    const auto member = std::exchange(pending_promotion_, std::nullopt)->first;
    CompletePromotion(member, now);
  }
  for (auto& [name, member] : members_) {
    const auto has_learnt =
        member.replaced_at && !member.isolated &&
        now >= *member.replaced_at + kReplacedPrimaryTimeout;
    if (has_learnt) {
      EndReplacedPrimary(member);
    }
    if (member.replaced_at) {
      continue;
    }
    if (name == primary_ && member.up) {
      member.received = member.applied = commits_.size();
      continue;
    }
    const auto stalled = member.replication_paused ||
                         member.paused_term > term_ || !member.up ||
                         (!primary_.empty() && !members_.at(primary_).up);
    const auto arrived = [&](std::size_t n, Duration lag) {
      return n < commits_.size() && commits_[n].at + lag <= now;
    };
    const auto receive_lag = member.receive_lag.value_or(options_.receive_lag);
    while (!stalled && arrived(member.received, receive_lag)) {
      ++member.received;
    }
    while (member.applied < member.received &&
           arrived(member.applied, options_.apply_lag)) {
      ++member.applied;
    }
  }
}

// Returns whether a member acts as a primary, also if it has been replaced.
auto StatementGroup::IsActingPrimary(const std::string& member) const -> bool {
  return member == primary_ || members_.at(member).replaced_at.has_value();
}

auto StatementGroup::EndReplacedPrimary(Member& member) -> void {
  member.replaced_at.reset();
  member.own_log.clear();
  member.term = term_;
}

auto StatementGroup::CompletePromotion(const std::string& member, Time now)
    -> void {
  if (!members_.at(member).up || member == primary_) {
    return;
  }
  ++promotions_;
  ++term_;
  if (!options_.fenced && !primary_.empty() && members_.at(primary_).up) {
    auto& replaced = members_.at(primary_);
    replaced.replaced_at = now;
    replaced.own_log = commits_;
  }
  primary_ = member;
  members_.at(member).replaced_at.reset();
  for (auto& [name, it] : members_) {
    it.term = it.replaced_at ? it.term : term_;
  }
  const auto log_size = members_.at(member).received;
  discarded_commits_.insert(
      discarded_commits_.end(),
      commits_.begin() + static_cast<std::ptrdiff_t>(log_size), commits_.end());
  commits_.resize(log_size);
  for (auto& [name, it] : members_) {
    it.received = std::min(it.received, log_size);
    it.applied = std::min(it.applied, log_size);
    it.paused_term = 0;
  }
  members_.at(member).applied = log_size;
}

auto StatementGroup::StateOfCommit(LogPosition place, Time now)
    -> ReplicationState {
  AdvanceTo(now);
  if (options_.synchronous_replicas == 0) {
    return ReplicationState::kReplicated;
  }
  const auto it =
      std::find_if(commits_.begin(), commits_.end(),
                   [place](const auto& it) { return it.place == place; });
  if (it == commits_.end()) {
    return ReplicationState::kDiscarded;
  }
  const auto count = static_cast<std::size_t>(it - commits_.begin()) + 1;
  const auto received =
      std::any_of(members_.begin(), members_.end(), [&](const auto& member) {
        return member.first != primary_ && member.second.received >= count;
      });
  return received ? ReplicationState::kReplicated : ReplicationState::kPending;
}

auto StatementGroup::PositionAfter(std::size_t commits) const -> LogPosition {
  return commits == 0 ? LogPosition{options_.first_term, 0}
                      : commits_[commits - 1].place;
}

auto StatementGroup::HasApplied(const Member& member, LogPosition place) const
    -> bool {
  if (place.position == 0) {
    return true;
  }
  if (member.replaced_at) {
    return std::any_of(member.own_log.begin(), member.own_log.end(),
                       [place](const auto& it) { return it.place == place; });
  }
  const auto end =
      commits_.begin() + static_cast<std::ptrdiff_t>(member.applied);
  return std::any_of(commits_.begin(), end,
                     [place](const auto& it) { return it.place == place; });
}

auto StatementGroup::Connect(const std::string& member,
                             std::string_view group,
                             std::string_view expected,
                             Time now,
                             std::string_view tenant) -> ConnectResult {
  AdvanceTo(now);
  if (group != name_ || expected != member) {
    return {0,
            MakeError(StatementError::kWrongMember, TransactionState::kIdle)};
  }
  const auto open =
      std::count_if(sessions_.begin(), sessions_.end(),
                    [&](const auto& it) { return it.second.member == member; });
  if (open >= options_.connections) {
    return {0, MakeError(StatementError::kTooManyConnections,
                         TransactionState::kIdle)};
  }
  const auto id = ++last_session_;
  sessions_[id].member = member;
  sessions_[id].tenant = tenant;
  StatementAnswer answer;
  answer.place = PositionAfter(members_.at(member).applied);
  return {id, answer};
}

auto StatementGroup::Close(std::int64_t session) -> void {
  sessions_.erase(session);
}

auto StatementGroup::Handle(std::int64_t id,
                            const SessionStatement& statement,
                            Time now) -> StatementAnswer {
  AdvanceTo(now);
  auto& session = sessions_.at(id);
  const auto& refuse = members_.at(session.member).refuse;
  const auto error = refuse ? refuse(statement.kind) : StatementError::kNone;
  auto answer = MeansNotRun(error) ? MakeError(error, session.state)
                                   : Run(session, statement, now);
  if (answer.IsOk() && error != StatementError::kNone) {
    answer = MakeError(error, session.state);
  }
  if (!answer.IsOk() && session.state == TransactionState::kOpen) {
    session.state = TransactionState::kFailed;
  }
  answer.state = session.state;
  const auto& member = members_.at(session.member);
  answer.place = member.replaced_at && !member.own_log.empty()
                     ? member.own_log.back().place
                     : PositionAfter(member.applied);
  if (answer.IsOk() && answer.signature.empty()) {
    answer.signature = "-";
  }
  return answer;
}

auto StatementGroup::Run(Session& session,
                         const SessionStatement& statement,
                         Time now) -> StatementAnswer {
  auto& member = members_.at(session.member);
  const auto acts_as_primary = IsActingPrimary(session.member);
  if (statement.after && !HasApplied(member, *statement.after)) {
    return MakeError(StatementError::kLagging, session.state);
  }
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      session.read_only = statement.kind == StatementKind::kBeginReadOnly;
      if (!session.read_only && !acts_as_primary) {
        return MakeError(StatementError::kReadOnly, session.state);
      }
      session.state = TransactionState::kOpen;
      session.term = member.term;
      session.writes.clear();
      return {};
    case StatementKind::kRollback:
      session.state = TransactionState::kIdle;
      session.writes.clear();
      return {};
    case StatementKind::kSetValue:
      session.values[statement.name] = statement.arguments;
      return {};
    case StatementKind::kPrepare:
      session.prepared[statement.name] = {statement.prepares_write,
                                          statement.arguments};
      return {};
    case StatementKind::kReset:
      session.values.clear();
      session.prepared.clear();
      return {};
    case StatementKind::kStatus:
    case StatementKind::kPause:
    case StatementKind::kResume:
    case StatementKind::kDemote: {
      if (statement.kind == StatementKind::kDemote) {
        Demote(session.member, std::stoll(statement.arguments));
      } else if (statement.kind == StatementKind::kPause) {
        Pause(session.member, std::stoll(statement.arguments));
      } else if (statement.kind == StatementKind::kResume) {
        member.paused_term = 0;
      }
      StatementAnswer answer;
      answer.status = MakeReport(session.member);
      return answer;
    }
    default:
      return RunAtMember(session, statement, now);
  }
}

auto StatementGroup::RunAtMember(Session& session,
                                 const SessionStatement& statement,
                                 Time now) -> StatementAnswer {
  const auto acts_as_primary = IsActingPrimary(session.member);
  const auto in_transaction = session.state == TransactionState::kOpen;
  if (session.state == TransactionState::kFailed) {
    return MakeError(StatementError::kMalformed, session.state);
  }
  std::string shape;
  auto writes = statement.kind == StatementKind::kWrite;
  if (statement.kind == StatementKind::kExecute) {
    const auto it = session.prepared.find(statement.name);
    if (it == session.prepared.end()) {
      return MakeError(StatementError::kUnknownStatement, session.state);
    }
    writes = it->second.first;
    shape = it->second.second;
  }
  const auto commits = statement.kind == StatementKind::kCommit;
  const auto lost_primary_role =
      in_transaction && !session.read_only &&
      (!acts_as_primary || session.term != members_.at(session.member).term) &&
      !(commits && session.writes.empty());
  if (lost_primary_role ||
      (writes && (!acts_as_primary || session.read_only))) {
    return MakeError(StatementError::kReadOnly, session.state);
  }
  Record(session, statement, shape, now);
  if (writes && in_transaction) {
    session.writes.push_back(statement.id);
  } else if (writes) {
    Commit(session.member, {statement.id}, now);
  } else if (commits) {
    session.state = TransactionState::kIdle;
    if (!session.writes.empty()) {
      Commit(session.member, std::exchange(session.writes, {}), now);
    }
  }
  StatementAnswer answer;
  answer.signature = std::string("by-").append(session.member);
  if (!writes && !commits) {
    answer.rows.push_back(std::string("row of ").append(statement.id));
  }
  return answer;
}

auto StatementGroup::Commit(const std::string& member,
                            std::vector<std::string> writes,
                            Time now) -> void {
  if (auto& it = members_.at(member); it.replaced_at) {
    const auto at =
        it.own_log.empty() ? 1 : it.own_log.back().place.position + 1;
    it.own_log.push_back({{it.term, at}, now, writes});
    divergent_commits_.push_back(it.own_log.back());
    return;
  }
  const auto position =
      commits_.empty() ? 1 : commits_.back().place.position + 1;
  commits_.push_back({{term_, position}, now, std::move(writes)});
  members_.at(member).received = members_.at(member).applied = commits_.size();
}

auto StatementGroup::Record(const Session& session,
                            const SessionStatement& statement,
                            const std::string& shape,
                            Time now) -> void {
  runs_.push_back({statement.id, session.member, statement.kind, now,
                   members_.at(session.member).applied, session.values, shape,
                   session.tenant});
}

auto StatementGroup::MakeReport(const std::string& member) const
    -> MemberReport {
  MemberReport report;
  const auto& it = members_.at(member);
  report.is_primary = IsActingPrimary(member);
  report.term = it.term;
  report.received =
      it.replaced_at
          ? (it.own_log.empty() ? PositionAfter(0) : it.own_log.back().place)
          : PositionAfter(it.received);
  report.paused_term = it.paused_term;
  return report;
}

// A primary of a lower term becomes a replica, even if the group then has no
// primary.
auto StatementGroup::Demote(const std::string& member, std::int64_t term)
    -> void {
  auto& it = members_.at(member);
  if (it.term >= term) {
    return;
  }
  if (it.replaced_at) {
    EndReplacedPrimary(it);
  } else if (member == primary_) {
    primary_.clear();
  }
}

// A pause takes effect only for a term above the newest one that the member
// knows, and never at a primary.
auto StatementGroup::Pause(const std::string& member, std::int64_t term)
    -> void {
  auto& it = members_.at(member);
  if (!IsActingPrimary(member) && term > it.term) {
    it.paused_term = term;
  }
}

auto StatementGroup::RequestPromotion(const std::string& member,
                                      std::int64_t fencing_token,
                                      Time now) -> PromotionOrderOutcome {
  AdvanceTo(now);
  if (options_.fenced && fencing_token < last_fencing_token_) {
    return PromotionOrderOutcome::kStaleFencingToken;
  }
  last_fencing_token_ = fencing_token;
  if (!members_.contains(member) || !members_.at(member).up) {
    return PromotionOrderOutcome::kNotRunning;
  }
  if (member != primary_) {
    pending_promotion_ = {member, now + options_.promotion_time};
  }
  return PromotionOrderOutcome::kAccepted;
}

auto StatementGroup::Crash(const std::string& member) -> void {
  members_.at(member).up = false;
  std::erase_if(sessions_,
                [&](const auto& it) { return it.second.member == member; });
}

auto StatementGroup::Restart(const std::string& member) -> void {
  members_.at(member).up = true;
  members_.at(member).paused_term = 0;
  if (members_.at(member).replaced_at) {
    EndReplacedPrimary(members_.at(member));
  }
}

auto StatementGroup::SetReplicationPaused(const std::string& member,
                                          bool paused) -> void {
  members_.at(member).replication_paused = paused;
}

auto StatementGroup::SetIsolated(const std::string& member, bool isolated)
    -> void {
  members_.at(member).isolated = isolated;
  members_.at(member).replication_paused = isolated;
}

auto StatementGroup::IsUp(const std::string& member) const -> bool {
  return members_.at(member).up;
}

auto StatementGroup::ActsAsPrimary(const std::string& member, Time now)
    -> bool {
  AdvanceTo(now);
  return IsActingPrimary(member);
}

auto StatementGroup::CurrentTerm(Time now) -> std::int64_t {
  AdvanceTo(now);
  return term_;
}

}  // namespace kingcuplock
