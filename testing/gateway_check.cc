// Holds what clients were told against what members ran.

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

using Said = std::vector<ClientStatement>;

/// A commit that a client was told of.
struct Acknowledged {
  std::size_t client = 0;
  std::string write;
  Time told{};
};

auto IsPromise(StatementError error) -> bool {
  return error == StatementError::kBusy || error == StatementError::kAborted ||
         error == StatementError::kLagging ||
         error == StatementError::kReadOnly ||
         error == StatementError::kTooManyConnections;
}

auto IsWrite(const SessionStatement& it) -> bool {
  return it.kind == StatementKind::kWrite ||
         (it.kind == StatementKind::kExecute && it.prepares_write);
}

/// Returns every write that its client was told is kept.
auto AcknowledgedWrites(const Said& said) -> std::vector<Acknowledged> {
  std::vector<Acknowledged> out;
  std::map<std::size_t, std::vector<std::string>> open;
  std::map<std::size_t, bool> in_transaction;
  for (const auto& it : said) {
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

auto MustSee(const ClientStatement& read,
             const Acknowledged& write,
             Duration max_age) -> bool {
  if (read.database == "db-primary") {
    return write.told < read.began;
  }
  const auto own = read.database == "db-session" && write.client == read.client;
  return write.told < read.began - (own ? Duration::zero() : max_age);
}

}  // namespace

auto GatewayFixture::CountSuccessfulStatements() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      said_.begin(), said_.end(),
      [](const auto& it) { return it.answer && it.answer->IsOk(); }));
}

auto GatewayFixture::FindViolations() const -> std::vector<std::string> {
  std::vector<std::string> broken;
  std::map<std::string, const ClientStatement*> by_id;
  for (const auto& it : said_) {
    by_id[it.statement.id] = &it;
  }
  std::map<std::string, int> times_kept;
  std::map<std::string, std::size_t> kept_at;
  for (std::size_t n = 0; n < group_.commits().size(); ++n) {
    for (const auto& it : group_.commits()[n].writes) {
      ++times_kept[it];
      kept_at[it] = n;
    }
  }
  for (const auto& [id, count] : times_kept) {
    const auto said = by_id.find(id);
    if (count > 1) {
      broken.push_back(fmt::format("{} is kept {} times", id, count));
    }
    if (said != by_id.end() && said->second->answer &&
        IsPromise(said->second->answer->error)) {
      broken.push_back(fmt::format("{} is kept though refused", id));
    }
  }
  const auto acknowledged = AcknowledgedWrites(said_);
  for (const auto& commit : group_.DivergentCommits()) {
    for (const auto& write : commit.writes) {
      const auto told =
          std::any_of(acknowledged.begin(), acknowledged.end(),
                      [&](const auto& it) { return it.write == write; });
      if (told) {
        broken.push_back(fmt::format(
            "{} is acknowledged by a primary that was replaced", write));
      }
    }
  }
  const Milliseconds max_age(options_.max_age_ms);
  for (const auto& run : group_.runs()) {
    const auto found = by_id.find(run.id);
    if (found == by_id.end()) {
      broken.push_back(fmt::format("{} ran, nobody sent it", run.id));
      continue;
    }
    const auto& said = *found->second;
    if (run.values != said.values) {
      broken.push_back(fmt::format("{} ran with other session values", run.id));
    }
    if (run.kind == StatementKind::kCommit || IsWrite(said.statement)) {
      continue;
    }
    for (const auto& write : acknowledged) {
      const auto kept = kept_at.find(write.write);
      if (kept != kept_at.end() && kept->second >= run.applied &&
          MustSee(said, write, max_age)) {
        broken.push_back(fmt::format("{} at {} does not see {}", run.id,
                                     run.member, write.write));
      }
    }
  }
  return broken;
}

}  // namespace kingcuplock
