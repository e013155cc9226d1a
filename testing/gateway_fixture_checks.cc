// Checks the clients' answers against what the members ran and committed.

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

using ClientStatements = std::vector<ClientStatement>;

/// A write whose commit was acknowledged to its client.
struct AcknowledgedWrite {
  std::size_t client = 0;
  std::string write;
  Time acknowledged_at{};
};

/// Returns whether the error promises that the statement had no effect.
auto PromisesNoEffect(StatementError error) -> bool {
  return error == StatementError::kBusy || error == StatementError::kAborted ||
         error == StatementError::kLagging ||
         error == StatementError::kReadOnly ||
         error == StatementError::kTooManyConnections;
}

auto IsWrite(const SessionStatement& it) -> bool {
  return it.kind == StatementKind::kWrite ||
         (it.kind == StatementKind::kExecute && it.prepares_write);
}

/// Returns every write whose commit was acknowledged to its client.
auto AcknowledgedWrites(const ClientStatements& statements)
    -> std::vector<AcknowledgedWrite> {
  std::vector<AcknowledgedWrite> out;
  std::map<std::size_t, std::vector<std::string>> open;
  std::map<std::size_t, bool> in_transaction;
  for (const auto& it : statements) {
    const auto kind = it.statement.kind;
    const auto ok = it.answer && it.answer->IsOk();
    if (kind == StatementKind::kBegin) {
      in_transaction[it.client] = true;
      open[it.client].clear();
    } else if (kind == StatementKind::kRollback) {
      in_transaction[it.client] = false;
    } else if (kind == StatementKind::kCommit) {
      in_transaction[it.client] = false;
      for (const auto& write : open[it.client]) {
        if (ok) {
          out.push_back({it.client, write, it.answered});
        }
      }
      open[it.client].clear();
    } else if (ok && IsWrite(it.statement)) {
      if (in_transaction[it.client]) {
        open[it.client].push_back(it.statement.id);
      } else {
        out.push_back({it.client, it.statement.id, it.answered});
      }
    }
  }
  return out;
}

/// Returns whether a read must see an acknowledged write: one acknowledged
/// before the read began or, where the data may be up to `max_age` old, earlier
/// by that.
auto MustSee(const ClientStatement& read,
             const AcknowledgedWrite& write,
             Duration max_age) -> bool {
  if (read.database == "db-primary") {
    return write.acknowledged_at < read.began;
  }
  const auto own = read.database == "db-session" && write.client == read.client;
  return write.acknowledged_at <
         read.began - (own ? Duration::zero() : max_age);
}

}  // namespace

auto GatewayFixture::CountSuccessfulStatements() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      client_statements_.begin(), client_statements_.end(),
      [](const auto& it) { return it.answer && it.answer->IsOk(); }));
}

auto GatewayFixture::FindViolations() const -> std::vector<std::string> {
  auto violations = order_violations_;
  std::map<std::string, const ClientStatement*> by_id;
  for (const auto& it : client_statements_) {
    by_id[it.statement.id] = &it;
  }
  std::map<std::string, int> commit_counts;
  std::map<std::string, std::size_t> commit_indexes;
  for (std::size_t n = 0; n < group_.commits().size(); ++n) {
    for (const auto& it : group_.commits()[n].writes) {
      ++commit_counts[it];
      commit_indexes[it] = n;
    }
  }
  for (const auto& [id, count] : commit_counts) {
    const auto statement = by_id.find(id);
    if (count > 1) {
      violations.push_back(fmt::format("{} is committed {} times", id, count));
    }
    if (statement != by_id.end() && statement->second->answer &&
        PromisesNoEffect(statement->second->answer->error)) {
      violations.push_back(fmt::format(
          "{} is committed although its client was told that it was refused",
          id));
    }
  }
  const auto acknowledged = AcknowledgedWrites(client_statements_);
  for (const auto& commit : group_.DivergentCommits()) {
    for (const auto& write : commit.writes) {
      const auto was_acknowledged =
          std::any_of(acknowledged.begin(), acknowledged.end(),
                      [&](const auto& it) { return it.write == write; });
      if (was_acknowledged) {
        violations.push_back(
            fmt::format("{} was acknowledged by a replaced primary", write));
      }
    }
  }
  for (const auto& commit : group_.DiscardedCommits()) {
    for (const auto& write : commit.writes) {
      const auto was_acknowledged =
          std::any_of(acknowledged.begin(), acknowledged.end(),
                      [&](const auto& it) { return it.write == write; });
      if (options_.group.synchronous_replicas > 0 && was_acknowledged) {
        violations.push_back(fmt::format(
            "{} was acknowledged, and the promoted member lacks it", write));
      }
    }
  }
  const Milliseconds max_age(options_.max_age_ms);
  for (const auto& run : group_.runs()) {
    const auto found = by_id.find(run.id);
    if (found == by_id.end()) {
      violations.push_back(
          fmt::format("{} ran, but no client sent it", run.id));
      continue;
    }
    const auto& sent = *found->second;
    if (run.tenant != clients_.at(sent.client).tenant) {
      violations.push_back(fmt::format(
          "{} of a client of tenant \"{}\" ran in the name of \"{}\"", run.id,
          clients_.at(sent.client).tenant, run.tenant));
    }
    if (run.values != sent.values) {
      violations.push_back(fmt::format(
          "{} ran with session values other than its client's", run.id));
    }
    if (run.kind == StatementKind::kCommit || IsWrite(sent.statement)) {
      continue;
    }
    for (const auto& write : acknowledged) {
      const auto commit = commit_indexes.find(write.write);
      if (commit != commit_indexes.end() && commit->second >= run.applied &&
          MustSee(sent, write, max_age)) {
        violations.push_back(
            fmt::format("{} at {} does not see the acknowledged write {}",
                        run.id, run.member, write.write));
      }
    }
  }
  return violations;
}

}  // namespace kingcuplock
