#include "testing/roaming_session.h"

#include <algorithm>

#include "kingcuplock/session/session_token.h"

namespace kingcuplock {
namespace {

constexpr std::string_view kDatabase = "db0";

auto Contains(const std::string& values, const std::string& value) -> bool {
  return ("," + values + ",").find("," + value + ",") != std::string::npos;
}

auto IsPrefix(const std::string& before, const std::string& after) -> bool {
  return before.empty() || before == after || after.starts_with(before + ",");
}

}  // namespace

RoamingSessions::RoamingSessions(NodeFixture& fixture,
                                 const RoamingSessionsOptions& options)
    : fixture_(fixture),
      options_(options),
      random_(options.seed),
      sessions_(options.sessions),
      avoided_(fixture.nodes()),
      taken_(fixture.answers().size()) {
  for (auto& it : sessions_) {
    Begin(it);
  }
}

void RoamingSessions::Begin(Session& session) {
  const auto rows = static_cast<std::size_t>(options_.rows);
  session.token.clear();
  session.seen.assign(rows, "");
  session.written.assign(rows, {});
}

void RoamingSessions::SetInstanceAvoided(std::size_t node, bool avoid) {
  avoided_.at(node) = avoid;
}

void RoamingSessions::RunFor(Duration duration) {
  const auto until = fixture_.Now() + duration;
  while (fixture_.Now() < until) {
    for (std::size_t n = 0; n < sessions_.size(); ++n) {
      if (sessions_[n].open_id.empty() && sessions_[n].next <= fixture_.Now()) {
        Ask(n);
      }
    }
    fixture_.RunFor(Milliseconds(1));
    TakeAnswers();
  }
}

void RoamingSessions::WaitForOpenRequests() {
  const auto all_answered = [this] {
    TakeAnswers();
    return std::all_of(sessions_.begin(), sessions_.end(),
                       [](const auto& it) { return it.open_id.empty(); });
  };
  fixture_.RunUntil(all_answered, Milliseconds(options_.patience_ms + 500));
}

void RoamingSessions::Ask(std::size_t index) {
  auto& session = sessions_[index];
  std::vector<std::size_t> usable;
  for (std::size_t n = 0; n < avoided_.size(); ++n) {
    if (!avoided_[n]) {
      usable.push_back(n);
    }
  }
  if (usable.empty()) {
    return;
  }
  session.row = random_() % session.seen.size();
  const auto id =
      "s" + std::to_string(index) + "-" + std::to_string(++session.requests);
  const auto key = "row" + std::to_string(session.row);
  const auto dice = static_cast<int>(random_() % 100);
  auto request = fixture_.MakeReadRequest(id, "stale", key);
  if (dice < options_.write_percent) {
    request = fixture_.MakeAppendRequest(id, key, id);
  } else if (dice < options_.write_percent + options_.fresh_read_percent) {
    request = fixture_.MakeReadRequest(id, "fresh", key);
  }
  request.token = session.token;
  request.patience_ms = options_.patience_ms;
  session.open_id = id;
  session.kind = request.kind;
  fixture_.Send(usable[random_() % usable.size()], request);
}

void RoamingSessions::TakeAnswers() {
  for (; taken_ < fixture_.answers().size(); ++taken_) {
    const auto it = fixture_.answers()[taken_];
    for (auto& session : sessions_) {
      if (!session.open_id.empty() && session.open_id == it.answer.id) {
        session.open_id.clear();
        const auto think =
            random_() % static_cast<std::uint64_t>(options_.max_think_ms + 1);
        session.next =
            fixture_.Now() + Milliseconds(static_cast<std::int64_t>(think));
        OnAnswer(session, it);
      }
    }
  }
}

void RoamingSessions::OnAnswer(Session& session, const ReceivedAnswer& it) {
  if (it.answer.error == ErrorKind::kPositionLost) {
    OnLost(session, it);
    return;
  }
  session.token = it.answer.token;
  if (it.answer.status == Status::kUnknown) {
    ++tally_.unknown;
  } else if (it.answer.status != Status::kOk) {
    ++tally_.refused;
  } else if (session.kind == "write") {
    ++tally_.writes_ok;
    session.written[session.row].push_back(it.answer.id);
  } else {
    OnRead(session, it);
  }
}

void RoamingSessions::OnRead(Session& session, const ReceivedAnswer& it) {
  if (session.kind == "fresh") {
    ++tally_.fresh_reads_ok;
  } else {
    ++tally_.stale_reads_ok;
    tally_.from_replica += it.answer.from_replica ? 1 : 0;
    stale_latencies_.push_back(it.answered - it.asked);
  }
  const auto& value = it.answer.results.at(0).value;
  auto& seen = session.seen[session.row];
  if (!IsPrefix(seen, value)) {
    Report("saw '" + seen + "' before, now '" + value + "'", it);
  }
  for (const auto& own : session.written[session.row]) {
    if (!Contains(value, own)) {
      Report("wrote " + own + ", now reads '" + value + "'", it);
    }
  }
  seen = value;
}

/// A refusal is right only if the data is gone from the primary's log.
void RoamingSessions::OnLost(Session& session, const ReceivedAnswer& it) {
  ++tally_.position_lost;
  const auto place =
      SessionToken::Parse(it.request.token).PositionIn(std::string(kDatabase));
  const auto& log = fixture_.Primary(std::string(kDatabase)).log;
  const auto at = static_cast<std::size_t>(place.position) - 1;
  if (at < log.size() && log[at].term == place.term) {
    Report("position said to be lost, but it is there", it);
  }
  Begin(session);
}

void RoamingSessions::Report(const std::string& what,
                             const ReceivedAnswer& it) {
  violations_.push_back(it.answer.id + " at " +
                        std::to_string(it.answered.time_since_epoch().count()) +
                        " us by " + it.answer.served_by + ": " + what);
}

auto ActualDataAge(const std::vector<LogEntry>& log,
                   std::int64_t position,
                   Time answered) -> Duration {
  const auto next = static_cast<std::size_t>(position);
  if (next >= log.size()) {
    return {};
  }
  return std::max(Duration::zero(),
                  answered - Time(Duration(log[next].committed_us)));
}

}  // namespace kingcuplock
