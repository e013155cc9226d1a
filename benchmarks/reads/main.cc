/// Measures, on virtual time, which share of the reads that may be stale is
/// served by replicas, how fast, and whether any broke a promise.
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

/// Time of one run, and when its fault begins and ends.
constexpr Milliseconds kRunTime{16'000};
constexpr Milliseconds kFaultAt{4'000};
constexpr Milliseconds kFaultEnds{10'000};
/// Time in microseconds that a member takes for a statement.
constexpr std::int64_t kServiceUs = 5000;
/// Rows that are written and read.
constexpr std::size_t kRows = 400;
constexpr std::int64_t kPatienceMs = 2000;
/// Requests at the primary, as parts of one member's capacity.
constexpr double kWriteLoad = 0.15;
constexpr double kFreshLoad = 0.10;
/// Ways back from the member to the caller, in ms; not part of the age.
constexpr Milliseconds kWayBack{5};

struct Deployment {
  std::string name;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t one_way_us = 0;
  std::int64_t age_ms = 0;
};

const std::array<Deployment, 2> kDeployments{
    Deployment{"hamsukhan", 2, 16, 500, 5000},
    Deployment{"siam", 5, 50, 1000, 10'000}};

/// One situation: stale reads as a part of both replicas' capacity, the lag of
/// both as a part of the age, or in ms from 1 on, and what breaks and is
/// mended.
struct Scenario {
  std::string name;
  double load = 0.4;
  double lag = 0;
  std::function<void(NodeFixture&)> breaks = [](NodeFixture&) {};
  std::function<void(NodeFixture&)> mends = [](NodeFixture&) {};
};

auto Replica(NodeFixture& fixture) -> std::string {
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
                 [](auto& it) { it.PauseMember(Replica(it), true); },
                 [](auto& it) { it.PauseMember("db0-2", false); }});
  out.push_back({"one replica killed", 0.4, 0,
                 [](auto& it) { it.KillMember(Replica(it)); },
                 [](auto& it) { it.ReviveMember("db0-2"); }});
  out.push_back({"primary killed", 0.4, 0,
                 [](auto& it) { it.KillMember("db0-1"); },
                 [](auto& it) { it.ReviveMember("db0-1"); }});
  out.push_back({"owner killed", 0.4, 0,
                 [](auto& it) { it.KillNode(it.OwnerOf("db0")); }});
  return out;
}

struct Result {
  int asked = 0;
  int ok = 0;
  int from_replica = 0;
  int too_old = 0;
  int behind = 0;
  int reachable = 0;
  int reachable_from_replica = 0;
  std::vector<double> latencies_ms;
  int fresh_asked = 0;
  std::vector<double> fresh_latencies_ms;
  std::map<std::string, int> by_member;
};

/// Open-loop callers of one run.
class Load {
 public:
  Load(NodeFixture& fixture,
       const Deployment& deployment,
       double stale_load,
       double think_s)
      : fixture_(fixture), taken_(fixture.answers().size()) {
    // A slot is taken for the way to the member and back as well.
    const auto held_us =
        static_cast<double>(kServiceUs + deployment.one_way_us);
    const auto capacity = 1e6 * static_cast<double>(deployment.slots) / held_us;
    rates_ = {2 * stale_load * capacity, kWriteLoad * capacity,
              kFreshLoad * capacity};
    tokens_.resize(static_cast<std::size_t>(
        think_s * (rates_[0] + rates_[1] + rates_[2])));
  }

  /// Returns ids of stale reads that some replica could serve when sent.
  auto reachable() const -> const std::set<std::string>& { return reachable_; }

  void RunFor(Duration duration) {
    const auto until = fixture_.Now() + duration;
    const auto total = rates_[0] + rates_[1] + rates_[2];
    std::exponential_distribution<double> gap(total / 1e6);
    while (fixture_.Now() < until) {
      fixture_.RunFor(
          Duration(1 + static_cast<std::int64_t>(gap(fixture_.random()))));
      TakeTokens();
      SendOne(total);
    }
  }

 private:
  void SendOne(double total) {
    std::uniform_real_distribution<double> dice(0, total);
    const auto n = dice(fixture_.random());
    const auto session = fixture_.random()() % tokens_.size();
    const auto id = fmt::format("{}-{}", session, ++last_);
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

  auto IsReachable(const CallerRequest& request) -> bool {
    const auto seen =
        SessionToken::Parse(request.token).PositionIn("db0").position;
    const auto& members = fixture_.group("db0").members();
    return std::any_of(members.begin(), members.end(), [&](const auto& it) {
      return it.role == MemberRole::kReplica && it.alive && !it.paused &&
             static_cast<std::int64_t>(it.log.size()) >= seen;
    });
  }

  void TakeTokens() {
    for (; taken_ < fixture_.answers().size(); ++taken_) {
      const auto& answer = fixture_.answers()[taken_].answer;
      tokens_[static_cast<std::size_t>(std::stoul(answer.id))] =
          answer.error == ErrorKind::kPositionLost ? "" : answer.token;
    }
  }

  NodeFixture& fixture_;
  std::vector<std::string> tokens_;
  std::set<std::string> reachable_;
  std::size_t taken_;
  std::array<double, 3> rates_{};
  int last_ = 0;
};

auto LatencyMs(const ReceivedAnswer& it) -> double {
  return std::chrono::duration<double, std::milli>(it.answered - it.asked)
      .count();
}

void CountFresh(const ReceivedAnswer& it, Result& out) {
  if (it.request.kind != "fresh") {
    return;
  }
  ++out.fresh_asked;
  if (it.answer.status == Status::kOk) {
    out.fresh_latencies_ms.push_back(LatencyMs(it));
  }
}

void Count(NodeFixture& fixture,
           const Deployment& deployment,
           const std::set<std::string>& reachable,
           Result& out) {
  const auto& log = fixture.Primary("db0").log;
  for (const auto& it : fixture.answers()) {
    if (it.request.kind != "stale") {
      CountFresh(it, out);
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
      out.reachable_from_replica += it.answer.from_replica ? 1 : 0;
    }
    const auto age = ActualDataAge(log, it.answer.position, it.answered);
    out.too_old += age > Milliseconds(deployment.age_ms) + kWayBack ? 1 : 0;
    const auto seen =
        SessionToken::Parse(it.request.token).PositionIn("db0").position;
    out.behind += it.answer.position < seen ? 1 : 0;
    out.latencies_ms.push_back(LatencyMs(it));
  }
}

void RunOnce(const Deployment& deployment,
             const Scenario& scenario,
             std::uint64_t seed,
             double think_s,
             Result& out) {
  NodeFixtureOptions options;
  options.seed = seed;
  options.nodes = 5;
  options.slots = deployment.slots;
  options.connections = deployment.connections;
  options.max_delay_us = deployment.one_way_us;
  options.service_us = kServiceUs;
  options.stale_age_ms = deployment.age_ms;
  // With both replicas lagging, writes that wait for one would tell nothing.
  options.acknowledgement = scenario.lag > 0 && scenario.lag < 1
                                ? AcknowledgementMode::kPrimary
                                : AcknowledgementMode::kReplicated;
  NodeFixture fixture(options);
  fixture.RunUntilServing();
  const auto unit =
      scenario.lag < 1 ? static_cast<double>(deployment.age_ms) : 1.0;
  const auto lag = static_cast<std::int64_t>(scenario.lag * unit);
  fixture.SetLag("db0-2", Milliseconds(lag));
  fixture.SetLag("db0-3", Milliseconds(lag));
  Load load(fixture, deployment, scenario.load, think_s);
  load.RunFor(kFaultAt);
  scenario.breaks(fixture);
  load.RunFor(kFaultEnds - kFaultAt);
  scenario.mends(fixture);
  load.RunFor(kRunTime - kFaultEnds);
  fixture.RunFor(Milliseconds(kPatienceMs + 500));
  Count(fixture, deployment, load.reachable(), out);
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

void Print(const Deployment& deployment,
           const Scenario& scenario,
           const Result& it) {
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
      percent(it.reachable_from_replica, it.reachable),
      Quantile(it.latencies_ms, 0.5), Quantile(it.latencies_ms, 0.99),
      percent(static_cast<int>(it.fresh_latencies_ms.size()), it.fresh_asked),
      Quantile(it.fresh_latencies_ms, 0.5),
      Quantile(it.fresh_latencies_ms, 0.99), it.too_old, it.behind, members);
  std::fflush(stdout);
}

void RunAll(std::uint64_t seeds, double think_s, const std::string& only) {
  for (const auto& deployment : kDeployments) {
    for (const auto& scenario : MakeScenarios()) {
      if (!only.empty() && scenario.name.find(only) == std::string::npos) {
        continue;
      }
      Result result;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RunOnce(deployment, scenario, seed, think_s, result);
      }
      Print(deployment, scenario, result);
    }
  }
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app("Share of stale reads served by replicas, on virtual time");
  std::uint64_t seeds = 1;
  double think_s = 10;
  std::string only;
  app.add_option("--seeds", seeds, "Runs per scenario, from seed 1");
  app.add_option("--think", think_s,
                 "Mean time in s between two requests of a session");
  app.add_option("--only", only, "Part of the name of the scenarios to run");
  CLI11_PARSE(app, argc, argv);
  kingcuplock::RunAll(seeds, think_s, only);
  return 0;
}
