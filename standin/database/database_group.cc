#include "standin/database/database_group.h"

#include <algorithm>
#include <stdexcept>

namespace kingcuplock {
namespace {

/// Runs the statements of a transaction on the committed rows and collects
/// their changes.
class TransactionView {
 public:
  explicit TransactionView(const std::map<std::string, std::string>& rows)
      : rows_(rows) {}

  /// Runs a statement. Returns nullopt if the row to insert exists.
  auto Run(const Statement& statement) -> std::optional<StatementResult> {
    const auto current = Current(statement.key);
    StatementResult result;
    result.found = current.has_value();
    switch (statement.verb) {
      case Verb::kGet:
        result.value = current.value_or("");
        break;
      case Verb::kPut:
        changes_[statement.key] = statement.value;
        break;
      case Verb::kInsert:
        if (current) {
          return std::nullopt;
        }
        changes_[statement.key] = statement.value;
        break;
      case Verb::kAppend:
        changes_[statement.key] =
            current ? *current + "," + statement.value : statement.value;
        break;
      case Verb::kRemove:
        changes_[statement.key] = std::nullopt;
        break;
    }
    return result;
  }

  /// Runs statements in order. Returns nullopt if one fails.
  auto RunAll(const std::vector<Statement>& statements)
      -> std::optional<std::vector<StatementResult>> {
    std::vector<StatementResult> results;
    for (const auto& it : statements) {
      auto result = Run(it);
      if (!result) {
        return std::nullopt;
      }
      results.push_back(std::move(*result));
    }
    return results;
  }

  auto changes() const
      -> const std::map<std::string, std::optional<std::string>>& {
    return changes_;
  }

 private:
  auto Current(const std::string& key) const -> std::optional<std::string> {
    if (const auto it = changes_.find(key); it != changes_.end()) {
      return it->second;
    }
    if (const auto it = rows_.find(key); it != rows_.end()) {
      return it->second;
    }
    return std::nullopt;
  }

  const std::map<std::string, std::string>& rows_;
  std::map<std::string, std::optional<std::string>> changes_;
};

/// Applies the member's last log entry to its rows, markers and epoch.
void ApplyEntry(MemberState& member, const LogEntry& entry) {
  for (const auto& [key, value] : entry.rows) {
    if (value) {
      member.rows[key] = *value;
    } else {
      member.rows.erase(key);
    }
  }
  if (entry.epoch != 0) {
    member.epoch = entry.epoch;
  }
  member.pruned_before_ms =
      std::max(member.pruned_before_ms, entry.prune_before_ms);
  std::erase_if(member.markers, [&](const auto& it) {
    return it.second.issued_ms < entry.prune_before_ms;
  });
  if (!entry.marker.empty()) {
    member.markers[entry.marker] = {
        static_cast<std::int64_t>(member.log.size()), entry.issued_ms,
        entry.content_hash, entry.results};
  }
}

void AppendEntry(MemberState& member, LogEntry entry) {
  member.log.push_back(std::move(entry));
  ApplyEntry(member, member.log.back());
}

/// Shortens the log to `size` entries and rebuilds the rest of the state from
/// it.
void TruncateLog(MemberState& member, std::size_t size) {
  auto log = std::move(member.log);
  log.resize(size);
  member.log.clear();
  member.rows.clear();
  member.markers.clear();
  member.epoch = 0;
  member.pruned_before_ms = 0;
  for (auto& it : log) {
    AppendEntry(member, std::move(it));
  }
}

/// Returns the number of leading entries that both logs have in common.
auto CommonPrefixLength(const MemberState& a, const MemberState& b)
    -> std::size_t {
  const auto first_difference = std::mismatch(
      a.log.begin(), a.log.end(), b.log.begin(), b.log.end(),
      [](const auto& x, const auto& y) { return x.serial == y.serial; });
  return static_cast<std::size_t>(first_difference.first - a.log.begin());
}

/// Returns the term of the last log entry, 0 if there is none.
auto LastTerm(const MemberState& member) -> std::int64_t {
  return member.log.empty() ? 0 : member.log.back().term;
}

/// Returns why a request that needs the primary can't run at `member`, kDone if
/// it can.
auto CheckPrimary(const MemberState& member, const MemberRequest& request)
    -> MemberStatus {
  if (member.role != MemberRole::kPrimary) {
    return MemberStatus::kNotPrimary;
  }
  if (request.term != 0 && request.term != member.term) {
    return MemberStatus::kStaleTerm;
  }
  return MemberStatus::kDone;
}

/// Returns the answer to a request with an insert of a row that exists.
auto RejectExistingRow(const MemberState& member, std::int64_t request_id)
    -> MemberAnswer {
  auto answer =
      DatabaseGroup::MakeAnswer(member, request_id, MemberStatus::kRejected);
  answer.message = "a row to insert exists";
  return answer;
}

}  // namespace

DatabaseGroup::DatabaseGroup(const std::vector<std::string>& names) {
  for (const auto& it : names) {
    MemberState member;
    member.name = it;
    member.primary = names.front();
    members_.push_back(std::move(member));
  }
  members_.front().role = MemberRole::kPrimary;
}

auto DatabaseGroup::Handle(std::string_view name,
                           const MemberRequest& request,
                           std::int64_t now_us) -> MemberAnswer {
  auto& target = member(name);
  switch (request.op) {
    case MemberOp::kStatus:
    case MemberOp::kAwaitPosition:
      return MakeAnswer(target, request.id, MemberStatus::kDone);
    case MemberOp::kRead:
      return Read(target, request);
    case MemberOp::kExecute:
      return Execute(target, request, now_us);
    case MemberOp::kRaiseEpoch:
      return RaiseEpoch(target, request, now_us);
    case MemberOp::kLookup:
      return Lookup(target, request);
    case MemberOp::kPromote:
      return Promote(target, request);
    case MemberOp::kFollow:
      return Follow(target, request);
    case MemberOp::kPrune:
      return Prune(target, request, now_us);
    case MemberOp::kBegin:
    case MemberOp::kStatement:
    case MemberOp::kCommit:
    case MemberOp::kRollback:
      break;
  }
  return MakeAnswer(target, request.id, MemberStatus::kRejected);
}

auto DatabaseGroup::MakeAnswer(const MemberState& member,
                               std::int64_t request_id,
                               MemberStatus status) -> MemberAnswer {
  MemberAnswer answer;
  answer.id = request_id;
  answer.status = status;
  answer.term = member.term;
  answer.entry_term = LastTerm(member);
  answer.position = static_cast<std::int64_t>(member.log.size());
  answer.role = member.role;
  answer.epoch = member.epoch;
  return answer;
}

auto DatabaseGroup::Execute(MemberState& member,
                            const MemberRequest& request,
                            std::int64_t now_us) -> MemberAnswer {
  const auto status = CheckPrimary(member, request);
  if (status != MemberStatus::kDone) {
    return MakeAnswer(member, request.id, status);
  }
  if (request.epoch != member.epoch) {
    return MakeAnswer(member, request.id, MemberStatus::kFenced);
  }
  if (!request.request_id.empty() &&
      member.markers.contains(request.request_id)) {
    return Lookup(member, request);
  }
  if (!request.request_id.empty() &&
      request.issued_ms < member.pruned_before_ms) {
    return MakeAnswer(member, request.id, MemberStatus::kExpired);
  }
  TransactionView view(member.rows);
  const auto results = view.RunAll(request.statements);
  if (!results) {
    return RejectExistingRow(member, request.id);
  }
  LogEntry entry;
  entry.results = *results;
  entry.rows.assign(view.changes().begin(), view.changes().end());
  entry.marker = request.request_id;
  entry.issued_ms = request.issued_ms;
  entry.content_hash = request.content_hash;
  Commit(member, std::move(entry), now_us);
  auto answer = MakeAnswer(member, request.id, MemberStatus::kDone);
  answer.results = *results;
  return answer;
}

auto DatabaseGroup::RunUncommitted(std::string_view name,
                                   const MemberRequest& request)
    -> MemberAnswer {
  const auto& target = member(name);
  const auto status = CheckPrimary(target, request);
  if (status != MemberStatus::kDone) {
    return MakeAnswer(target, request.id, status);
  }
  const auto results = TransactionView(target.rows).RunAll(request.statements);
  if (!results) {
    return RejectExistingRow(target, request.id);
  }
  auto answer = MakeAnswer(target, request.id, MemberStatus::kDone);
  answer.results = *results;
  return answer;
}

auto DatabaseGroup::Read(const MemberState& member,
                         const MemberRequest& request) const -> MemberAnswer {
  auto answer = MakeAnswer(member, request.id, MemberStatus::kDone);
  TransactionView view(member.rows);
  for (const auto& it : request.statements) {
    if (it.verb != Verb::kGet) {
      answer.status = MemberStatus::kRejected;
      answer.message = "a read runs get statements only";
      answer.results.clear();
      return answer;
    }
    answer.results.push_back(*view.Run(it));
  }
  return answer;
}

auto DatabaseGroup::RaiseEpoch(MemberState& member,
                               const MemberRequest& request,
                               std::int64_t now_us) -> MemberAnswer {
  const auto status = CheckPrimary(member, request);
  if (status != MemberStatus::kDone) {
    return MakeAnswer(member, request.id, status);
  }
  if (request.epoch < member.epoch) {
    return MakeAnswer(member, request.id, MemberStatus::kFenced);
  }
  if (request.epoch > member.epoch || LastTerm(member) != member.term) {
    LogEntry entry;
    entry.epoch = request.epoch;
    Commit(member, std::move(entry), now_us);
  }
  return MakeAnswer(member, request.id, MemberStatus::kDone);
}

auto DatabaseGroup::Prune(MemberState& member,
                          const MemberRequest& request,
                          std::int64_t now_us) -> MemberAnswer {
  const auto status = CheckPrimary(member, request);
  if (status != MemberStatus::kDone) {
    return MakeAnswer(member, request.id, status);
  }
  if (request.epoch != member.epoch) {
    return MakeAnswer(member, request.id, MemberStatus::kFenced);
  }
  LogEntry entry;
  entry.prune_before_ms = request.issued_ms;
  Commit(member, std::move(entry), now_us);
  return MakeAnswer(member, request.id, MemberStatus::kDone);
}

auto DatabaseGroup::Lookup(const MemberState& member,
                           const MemberRequest& request) const -> MemberAnswer {
  const auto status = CheckPrimary(member, request);
  if (status != MemberStatus::kDone) {
    return MakeAnswer(member, request.id, status);
  }
  if (request.epoch != member.epoch) {
    return MakeAnswer(member, request.id, MemberStatus::kFenced);
  }
  const auto it = member.markers.find(request.request_id);
  if (it == member.markers.end()) {
    const auto pruned = request.issued_ms < member.pruned_before_ms;
    return MakeAnswer(member, request.id,
                      pruned ? MemberStatus::kExpired : MemberStatus::kAbsent);
  }
  if (it->second.content_hash != request.content_hash) {
    return MakeAnswer(member, request.id, MemberStatus::kReused);
  }
  auto answer = MakeAnswer(member, request.id, MemberStatus::kDone);
  answer.position = it->second.position;
  answer.results = it->second.results;
  answer.replayed = true;
  return answer;
}

auto DatabaseGroup::Promote(MemberState& member, const MemberRequest& request)
    -> MemberAnswer {
  if (member.role == MemberRole::kPrimary && member.term == request.term) {
    return MakeAnswer(member, request.id, MemberStatus::kDone);
  }
  if (request.term <= member.term) {
    return MakeAnswer(member, request.id, MemberStatus::kStaleTerm);
  }
  const std::pair<std::int64_t, std::int64_t> own_log_end{
      LastTerm(member), static_cast<std::int64_t>(member.log.size())};
  if (own_log_end < std::pair{request.entry_term, request.position}) {
    return MakeAnswer(member, request.id, MemberStatus::kBehind);
  }
  member.role = MemberRole::kPrimary;
  member.term = request.term;
  member.primary = member.name;
  member.must_rejoin = false;
  return MakeAnswer(member, request.id, MemberStatus::kDone);
}

auto DatabaseGroup::Follow(MemberState& member, const MemberRequest& request)
    -> MemberAnswer {
  const auto leads_term =
      member.role == MemberRole::kPrimary && member.term == request.term;
  if (request.term < member.term || leads_term) {
    return MakeAnswer(member, request.id, MemberStatus::kStaleTerm);
  }
  if (member.term != request.term || member.primary != request.primary) {
    member.must_rejoin = true;
  }
  member.role = MemberRole::kReplica;
  member.term = request.term;
  member.primary = request.primary;
  return MakeAnswer(member, request.id, MemberStatus::kDone);
}

void DatabaseGroup::Commit(MemberState& member,
                           LogEntry entry,
                           std::int64_t now_us) {
  entry.term = member.term;
  entry.serial = ++last_serial_;
  entry.committed_us = now_us;
  AppendEntry(member, std::move(entry));
}

void DatabaseGroup::Replicate(std::int64_t now_us) {
  for (auto& it : members_) {
    if (it.role == MemberRole::kReplica) {
      ReplicateTo(it, now_us);
    }
  }
}

void DatabaseGroup::ReplicateTo(MemberState& replica, std::int64_t now_us) {
  const auto* source = FindMember(replica.primary);
  const auto reachable = [](const MemberState& it) {
    return it.alive && !it.paused && !it.isolated;
  };
  if (source == nullptr || !reachable(replica) || !reachable(*source)) {
    return;
  }
  if (source->role != MemberRole::kPrimary || source->term != replica.term) {
    return;
  }
  if (replica.must_rejoin) {
    const auto prefix = CommonPrefixLength(replica, *source);
    if (prefix < replica.log.size()) {
      TruncateLog(replica, prefix);
    }
    replica.must_rejoin = false;
  }
  while (replica.log.size() < source->log.size()) {
    const auto& next = source->log[replica.log.size()];
    if (next.committed_us + replica.lag_us > now_us) {
      return;
    }
    AppendEntry(replica, next);
  }
}

auto DatabaseGroup::FindMember(std::string_view name) -> MemberState* {
  const auto it =
      std::find_if(members_.begin(), members_.end(),
                   [name](const auto& member) { return member.name == name; });
  return it == members_.end() ? nullptr : &*it;
}

auto DatabaseGroup::member(std::string_view name) -> MemberState& {
  auto* found = FindMember(name);
  if (found == nullptr) {
    throw std::out_of_range("no member named " + std::string(name));
  }
  return *found;
}

}  // namespace kingcuplock
