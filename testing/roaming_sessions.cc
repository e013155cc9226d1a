#include "testing/roaming_sessions.h"

#include <algorithm>

#include "kingcuplock/session/session_token.h"

namespace kingcuplock {
namespace {

/// Name of the fixture's first database.
constexpr std::string_view kDatabase = "db0";

/// Returns whether the comma separated list `values` contains `value`.
auto Contains(const std::string& values, const std::string& value) -> bool {
  return ("," + values + ",").find("," + value + ",") != std::string::npos;
}

/// Returns whether the comma separated list `after` begins with `before`.
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
      avoided_instances_(fixture.nodes()),
      processed_answers_(fixture.answers().size()) {
  for (auto& it : sessions_) {
    ResetSession(it);
  }
}

void RoamingSessions::ResetSession(Session& session) {
  const auto rows = static_cast<std::size_t>(options_.rows);
  session.token.clear();
  session.seen.assign(rows, "");
  session.written.assign(rows, {});
}

void RoamingSessions::SetInstanceAvoided(std::size_t node, bool avoid) {
  avoided_instances_.at(node) = avoid;
}

void RoamingSessions::RunFor(Duration duration) {
  const auto until = fixture_.Now() + duration;
  while (fixture_.Now() < until) {
    for (std::size_t n = 0; n < sessions_.size(); ++n) {
      if (sessions_[n].open_request_id.empty() &&
          sessions_[n].next_request_at <= fixture_.Now()) {
        SendRequest(n);
      }
    }
    fixture_.RunFor(Milliseconds(1));
    ProcessNewAnswers();
  }
}

void RoamingSessions::WaitForOpenRequests() {
  const auto all_answered = [this] {
    ProcessNewAnswers();
    return std::all_of(sessions_.begin(), sessions_.end(), [](const auto& it) {
      return it.open_request_id.empty();
    });
  };
  fixture_.RunUntil(all_answered, Milliseconds(options_.patience_ms + 500));
}

void RoamingSessions::SendRequest(std::size_t index) {
  auto& session = sessions_[index];
  std::vector<std::size_t> usable;
  for (std::size_t n = 0; n < avoided_instances_.size(); ++n) {
    if (!avoided_instances_[n]) {
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
  const auto roll = static_cast<int>(random_() % 100);
  auto request = fixture_.MakeReadRequest(id, "stale", key);
  if (roll < options_.write_percent) {
    request = fixture_.MakeAppendRequest(id, key, id);
  } else if (roll < options_.write_percent + options_.fresh_read_percent) {
    request = fixture_.MakeReadRequest(id, "fresh", key);
  }
  request.token = session.token;
  request.patience_ms = options_.patience_ms;
  session.open_request_id = id;
  session.kind = request.kind;
  fixture_.Send(usable[random_() % usable.size()], request);
}

void RoamingSessions::ProcessNewAnswers() {
  for (; processed_answers_ < fixture_.answers().size(); ++processed_answers_) {
    const auto it = fixture_.answers()[processed_answers_];
    for (auto& session : sessions_) {
      if (!session.open_request_id.empty() &&
          session.open_request_id == it.answer.id) {
        session.open_request_id.clear();
        const auto think_ms =
            random_() % static_cast<std::uint64_t>(options_.max_think_ms + 1);
        session.next_request_at =
            fixture_.Now() + Milliseconds(static_cast<std::int64_t>(think_ms));
        OnAnswer(session, it);
      }
    }
  }
}

void RoamingSessions::OnAnswer(Session& session, const ReceivedAnswer& it) {
  if (it.answer.error == ErrorKind::kPositionLost) {
    OnPositionLost(session, it);
    return;
  }
  session.token = it.answer.token;
  if (it.answer.status == Status::kUnknown) {
    ++answer_counts_.unknown;
  } else if (it.answer.status != Status::kOk) {
    ++answer_counts_.refused;
  } else if (session.kind == "write") {
    ++answer_counts_.writes_ok;
    session.written[session.row].push_back(it.answer.id);
  } else {
    OnRead(session, it);
  }
}

void RoamingSessions::OnRead(Session& session, const ReceivedAnswer& it) {
  if (session.kind == "fresh") {
    ++answer_counts_.fresh_reads_ok;
  } else {
    ++answer_counts_.stale_reads_ok;
    answer_counts_.from_replica += it.answer.from_replica ? 1 : 0;
    stale_latencies_.push_back(it.answered - it.asked);
  }
  const auto& value = it.answer.results.at(0).value;
  auto& seen = session.seen[session.row];
  if (!IsPrefix(seen, value)) {
    ReportViolation("read '" + seen + "' before, now reads '" + value + "'",
                    it);
  }
  for (const auto& written_value : session.written[session.row]) {
    if (!Contains(value, written_value)) {
      ReportViolation("wrote " + written_value + ", now reads '" + value + "'",
                      it);
    }
  }
  seen = value;
}

// The answer is right only if the session's position is gone from the
// primary's log.
void RoamingSessions::OnPositionLost(Session& session,
                                     const ReceivedAnswer& it) {
  ++answer_counts_.position_lost;
  const auto lost =
      SessionToken::Parse(it.request.token).PositionIn(std::string(kDatabase));
  const auto& log = fixture_.Primary(std::string(kDatabase)).log;
  const auto at = static_cast<std::size_t>(lost.position) - 1;
  if (at < log.size() && log[at].term == lost.term) {
    ReportViolation(
        "the answer says that the position is lost, but the primary has it",
        it);
  }
  ResetSession(session);
}

void RoamingSessions::ReportViolation(const std::string& what,
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
