/// Measures, on virtual time, which share of the reads that accept stale data
/// is served by replicas and how fast, and counts answers that are older than
/// the accepted age ("too old") or than what the session has seen ("behind").
///
/// Example:
///   build/benchmarks/reads/kcl_reads_benchmark --seeds 3

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/session/session_token.h"
#include "testing/node_fixture.h"
#include "testing/roaming_sessions.h"

namespace kingcuplock {
namespace {

/// Length of one run, and the start and end of its fault.
constexpr Milliseconds kRunTime{16'000};
constexpr Milliseconds kFaultStart{4'000};
constexpr Milliseconds kFaultEnd{10'000};
/// Time that a member takes for a statement.
constexpr std::int64_t kServiceTimeUs = 5000;
/// Number of rows that are written and read.
constexpr std::size_t kRows = 400;
constexpr std::int64_t kPatienceMs = 2000;
/// Writes and fresh reads, which go to the primary, as shares of one member's
/// capacity.
constexpr double kWriteLoadShare = 0.15;
constexpr double kFreshLoadShare = 0.10;
/// Time for the answer's way from the member to the caller, in which the data
/// ages further; it does not count against the accepted age.
constexpr Milliseconds kAnswerDelayAllowance{5};

/// Sizes of one deployment. Statement slots and connections are those of each
/// member; `max_age_ms` is the age that stale reads accept.
struct Deployment {
  std::string name;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t one_way_delay_us = 0;
  std::int64_t max_age_ms = 0;
};

const std::array<Deployment, 2> kDeployments{
    Deployment{"hamsukhan", 2, 16, 500, 5000},
    Deployment{"siam", 5, 50, 1000, 10'000}};

/// A load and a fault.
struct Scenario {
  std::string name;
  /// Stale reads as a share of the capacity of both replicas.
  double load = 0.4;
  /// Lag of both replicas: below 1 as a share of the accepted age, else in ms.
  double lag = 0;
  std::function<void(NodeFixture&)> inject_fault = [](NodeFixture&) {};
  std::function<void(NodeFixture&)> repair_fault = [](NodeFixture&) {};
};

/// Returns the replica that a fault hits: db0-2, or db0-3 if that is the
/// primary.
auto ReplicaToBreak(NodeFixture& fixture) -> std::string {
  return fixture.Primary("db0").name == "db0-2" ? "db0-3" : "db0-2";
}

auto MakeScenarios() -> std::vector<Scenario> {
  std::vector<Scenario> out;
  out.push_back({"steady", 0.4, 0});
  out.push_back({"lag 20% of age", 0.4, 0.2});
  out.push_back({"lag 80% of age", 0.4, 0.8});
  out.push_back({"lag 20 ms", 0.4, 20});
  out.push_back({"95% of capacity", 0.95, 0});
  out.push_back({"150% of capacity", 1.5, 0});
  out.push_back({"one replica stalled", 0.4, 0,
                 [](auto& it) { it.PauseMember(ReplicaToBreak(it), true); },
                 [](auto& it) { it.PauseMember("db0-2", false); }});
  out.push_back({"one replica killed", 0.4, 0,
                 [](auto& it) { it.KillMember(ReplicaToBreak(it)); },
                 [](auto& it) { it.ReviveMember("db0-2"); }});
  out.push_back({"primary killed", 0.4, 0,
                 [](auto& it) { it.KillMember("db0-1"); },
                 [](auto& it) { it.ReviveMember("db0-1"); }});
  out.push_back({"owner killed", 0.4, 0,
                 [](auto& it) { it.KillNode(it.OwnerOf("db0")); }});
  return out;
}

/// Counts and latencies of stale reads and, as `fresh_...`, of fresh reads.
struct ReadResult {
  int asked = 0;
  int ok = 0;
  int from_replica = 0;
  /// Answers older than the accepted age.
  int too_old = 0;
  /// Answers from before the position that the session had seen.
  int behind = 0;
  /// Successful reads that some replica could serve when they were sent.
  int reachable = 0;
  int reachable_served_by_replica = 0;
  std::vector<double> latencies_ms;
  int fresh_asked = 0;
  std::vector<double> fresh_latencies_ms;
  std::map<std::string, int> by_member;
};

/// Callers of one run, who send at a fixed mean rate whether answers come or
/// not. Each session keeps the token of its last answer.
class OpenLoopCallers {
 public:
  OpenLoopCallers(NodeFixture& fixture,
                  const Deployment& deployment,
                  double stale_load,
                  double mean_think_s)
      : fixture_(fixture), answers_handled_(fixture.answers().size()) {
    // A slot is also in use while the messages travel to the member and back.
    const auto held_us =
        static_cast<double>(kServiceTimeUs + deployment.one_way_delay_us);
    const auto capacity = 1e6 * static_cast<double>(deployment.slots) / held_us;
    rates_ = {2 * stale_load * capacity, kWriteLoadShare * capacity,
              kFreshLoadShare * capacity};
    tokens_.resize(static_cast<std::size_t>(
        mean_think_s * (rates_[0] + rates_[1] + rates_[2])));
  }

  /// Returns the ids of the stale reads that some replica could serve when they
  /// were sent.
  auto reachable() const -> const std::set<std::string>& { return reachable_; }

  void RunFor(Duration duration) {
    const auto until = fixture_.Now() + duration;
    const auto total = rates_[0] + rates_[1] + rates_[2];
    std::exponential_distribution<double> gap(total / 1e6);
    while (fixture_.Now() < until) {
      fixture_.RunFor(
          Duration(1 + static_cast<std::int64_t>(gap(fixture_.random()))));
      UpdateTokens();
      SendRandomRequest(total);
    }
  }

 private:
  void SendRandomRequest(double total) {
    std::uniform_real_distribution<double> uniform(0, total);
    const auto n = uniform(fixture_.random());
    const auto session = fixture_.random()() % tokens_.size();
    const auto id = fmt::format("{}-{}", session, ++last_id_);
    const auto key = fmt::format("row{}", fixture_.random()() % kRows);
    auto request =
        fixture_.MakeReadRequest(id, n < rates_[0] ? "stale" : "fresh", key);
    if (n >= rates_[0] && n < rates_[0] + rates_[1]) {
      request = fixture_.MakeAppendRequest(id, key, "");
      request.statements = {{Verb::kPut, key, id}};
    }
    request.token = tokens_[session];
    request.patience_ms = kPatienceMs;
    auto node = fixture_.random()() % fixture_.nodes();
    while (!fixture_.IsAlive(node)) {
      node = (node + 1) % fixture_.nodes();
    }
    if (request.kind == "stale" && IsReachable(request)) {
      reachable_.insert(id);
    }
    fixture_.Send(node, request);
  }

  /// Whether a running replica has the position that the session has seen.
  auto IsReachable(const CallerRequest& request) -> bool {
    const auto seen =
        SessionToken::Parse(request.token).PositionIn("db0").position;
    const auto& members = fixture_.group("db0").members();
    return std::any_of(members.begin(), members.end(), [&](const auto& it) {
      return it.role == MemberRole::kReplica && it.alive && !it.paused &&
             static_cast<std::int64_t>(it.log.size()) >= seen;
    });
  }

  /// Keeps the tokens of new answers. A request id starts with the number of
  /// its session.
  void UpdateTokens() {
    for (; answers_handled_ < fixture_.answers().size(); ++answers_handled_) {
      const auto& answer = fixture_.answers()[answers_handled_].answer;
      tokens_[static_cast<std::size_t>(std::stoul(answer.id))] =
          answer.error == ErrorKind::kPositionLost ? "" : answer.token;
    }
  }

  NodeFixture& fixture_;
  std::vector<std::string> tokens_;
  std::set<std::string> reachable_;
  std::size_t answers_handled_;
  std::array<double, 3> rates_{};
  int last_id_ = 0;
};

auto LatencyMs(const ReceivedAnswer& it) -> double {
  return std::chrono::duration<double, std::milli>(it.answered - it.asked)
      .count();
}

void CountFreshRead(const ReceivedAnswer& it, ReadResult& out) {
  if (it.request.kind != "fresh") {
    return;
  }
  ++out.fresh_asked;
  if (it.answer.status == Status::kOk) {
    out.fresh_latencies_ms.push_back(LatencyMs(it));
  }
}

void CountAnswers(NodeFixture& fixture,
                  const Deployment& deployment,
                  const std::set<std::string>& reachable,
                  ReadResult& out) {
  const auto& log = fixture.Primary("db0").log;
  for (const auto& it : fixture.answers()) {
    if (it.request.kind != "stale") {
      CountFreshRead(it, out);
      continue;
    }
    ++out.asked;
    if (it.answer.status != Status::kOk) {
      continue;
    }
    ++out.ok;
    ++out.by_member[it.answer.served_by];
    out.from_replica += it.answer.from_replica ? 1 : 0;
    if (reachable.contains(it.answer.id)) {
      ++out.reachable;
      out.reachable_served_by_replica += it.answer.from_replica ? 1 : 0;
    }
    const auto age = ActualDataAge(log, it.answer.position, it.answered);
    out.too_old +=
        age > Milliseconds(deployment.max_age_ms) + kAnswerDelayAllowance ? 1
                                                                          : 0;
    const auto seen =
        SessionToken::Parse(it.request.token).PositionIn("db0").position;
    out.behind += it.answer.position < seen ? 1 : 0;
    out.latencies_ms.push_back(LatencyMs(it));
  }
}

void RunOnce(const Deployment& deployment,
             const Scenario& scenario,
             std::uint64_t seed,
             double mean_think_s,
             ReadResult& out) {
  NodeFixtureOptions options;
  options.seed = seed;
  options.nodes = 5;
  options.slots = deployment.slots;
  options.connections = deployment.connections;
  options.max_delay_us = deployment.one_way_delay_us;
  options.service_us = kServiceTimeUs;
  options.stale_age_ms = deployment.max_age_ms;
  // While both replicas lag, a write that waits for a replica would only
  // measure the lag, so writes wait for the primary alone.
  options.acknowledgement = scenario.lag > 0 && scenario.lag < 1
                                ? AcknowledgementMode::kPrimary
                                : AcknowledgementMode::kReplicated;
  NodeFixture fixture(options);
  fixture.RunUntilServing();
  const auto unit =
      scenario.lag < 1 ? static_cast<double>(deployment.max_age_ms) : 1.0;
  const auto lag = static_cast<std::int64_t>(scenario.lag * unit);
  fixture.SetLag("db0-2", Milliseconds(lag));
  fixture.SetLag("db0-3", Milliseconds(lag));
  OpenLoopCallers callers(fixture, deployment, scenario.load, mean_think_s);
  callers.RunFor(kFaultStart);
  scenario.inject_fault(fixture);
  callers.RunFor(kFaultEnd - kFaultStart);
  scenario.repair_fault(fixture);
  callers.RunFor(kRunTime - kFaultEnd);
  fixture.RunFor(Milliseconds(kPatienceMs + 500));
  CountAnswers(fixture, deployment, callers.reachable(), out);
}

auto Quantile(std::vector<double> values, double q) -> double {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      values.begin() +
      static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

void PrintScenario(const Deployment& deployment,
                   const Scenario& scenario,
                   const ReadResult& it) {
  const auto percent = [](int part, int whole) {
    return whole == 0 ? 0.0 : 100.0 * part / whole;
  };
  std::string members;
  for (const auto& [name, n] : it.by_member) {
    members += fmt::format(" {}={}", name, n);
  }
  fmt::print(
      "{:10} {:20} asked {:6} ok {:6.2f}% replicas {:6.2f}% of reachable "
      "{:6.2f}% p50 {:6.1f} ms "
      "p99 {:7.1f} ms fresh ok {:6.2f}% p50 {:5.1f} p99 {:6.1f} too old {} "
      "behind {} |{}\n",
      deployment.name, scenario.name, it.asked, percent(it.ok, it.asked),
      percent(it.from_replica, it.ok),
      percent(it.reachable_served_by_replica, it.reachable),
      Quantile(it.latencies_ms, 0.5), Quantile(it.latencies_ms, 0.99),
      percent(static_cast<int>(it.fresh_latencies_ms.size()), it.fresh_asked),
      Quantile(it.fresh_latencies_ms, 0.5),
      Quantile(it.fresh_latencies_ms, 0.99), it.too_old, it.behind, members);
  std::fflush(stdout);
}

void RunAll(std::uint64_t seeds,
            double mean_think_s,
            const std::string& name_filter) {
  for (const auto& deployment : kDeployments) {
    for (const auto& scenario : MakeScenarios()) {
      if (!name_filter.empty() &&
          scenario.name.find(name_filter) == std::string::npos) {
        continue;
      }
      ReadResult result;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RunOnce(deployment, scenario, seed, mean_think_s, result);
      }
      PrintScenario(deployment, scenario, result);
    }
  }
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app("Share of stale reads that replicas serve, on virtual time");
  std::uint64_t seeds = 1;
  double mean_think_s = 10;
  std::string name_filter;
  app.add_option("--seeds", seeds, "Runs per scenario, from seed 1");
  app.add_option("--think", mean_think_s,
                 "Mean time in s between two requests of a session");
  app.add_option("--only", name_filter,
                 "Run only scenarios whose name contains this");
  CLI11_PARSE(app, argc, argv);
  kingcuplock::RunAll(seeds, mean_think_s, name_filter);
  return 0;
}
