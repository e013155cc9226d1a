#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Results of a run under load.
struct LoadResult {
  int sent = 0;
  int not_ok = 0;
  int unanswered = 0;
  std::int64_t slowest_ms = 0;
};

/// Callers that each send one write at a time to the instance that they are
/// connected to. They reconnect when an answer is marked `leaving` or when the
/// instance has stopped; the load balancer then picks an instance that accepts
/// connections.
class CallerLoad {
 public:
  CallerLoad(NodeFixture& fixture, std::size_t callers)
      : fixture_(fixture),
        callers_(callers),
        refuses_connections_(fixture.nodes(), false) {
    for (std::size_t n = 0; n < callers; ++n) {
      callers_[n].node = n % fixture.nodes();
    }
  }

  /// Sets whether the instance refuses new connections.
  void SetRefusesConnections(std::size_t node, bool refuses) {
    refuses_connections_[node] = refuses;
  }

  /// Sends writes for `duration`.
  void RunFor(Duration duration) {
    const auto until = fixture_.Now() + duration;
    while (fixture_.Now() < until) {
      for (std::size_t n = 0; n < callers_.size(); ++n) {
        SendIfReady(n);
      }
      fixture_.RunFor(Milliseconds(2));
    }
  }

  /// Waits for the pending answers and returns the results.
  auto FinishAndGetResult() -> LoadResult {
    const auto all_answered = [this] {
      TakeAnswers();
      return std::none_of(callers_.begin(), callers_.end(),
                          [](const auto& it) { return it.waits; });
    };
    fixture_.RunUntil(all_answered, Milliseconds(12'000));
    LoadResult out;
    out.sent = sent_;
    out.not_ok = not_ok_;
    out.slowest_ms = slowest_ms_;
    for (const auto& it : callers_) {
      out.unanswered += it.waits ? 1 : 0;
    }
    return out;
  }

 private:
  struct Caller {
    std::size_t node = 0;
    bool waits = false;
    Time next{};
  };

  void SendIfReady(std::size_t n) {
    TakeAnswers();
    auto& it = callers_[n];
    if (it.waits || fixture_.Now() < it.next) {
      return;
    }
    if (fixture_.IsStopped(it.node)) {
      Reconnect(it);
    }
    it.waits = true;
    ++sent_;
    const auto id = std::to_string(n) + ":" + std::to_string(sent_);
    fixture_.Send(it.node, fixture_.MakeAppendRequest(
                               id, "row" + std::to_string(n), "x"));
  }

  void TakeAnswers() {
    for (; taken_ < fixture_.answers().size(); ++taken_) {
      const auto& got = fixture_.answers()[taken_];
      auto& it = callers_[std::stoul(got.answer.id)];
      it.waits = false;
      it.next = fixture_.Now() + Milliseconds(5 + fixture_.random()() % 30);
      not_ok_ += got.answer.status == Status::kOk ? 0 : 1;
      const auto ms =
          std::chrono::duration_cast<Milliseconds>(got.answered - got.asked);
      slowest_ms_ = std::max<std::int64_t>(slowest_ms_, ms.count());
      if (got.answer.leaving) {
        Reconnect(it);
      }
    }
  }

  void Reconnect(Caller& it) {
    do {
      it.node = fixture_.random()() % fixture_.nodes();
    } while (refuses_connections_[it.node]);
  }

  NodeFixture& fixture_;
  std::vector<Caller> callers_;
  std::vector<bool> refuses_connections_;
  std::size_t taken_ = 0;
  int sent_ = 0;
  int not_ok_ = 0;
  std::int64_t slowest_ms_ = 0;
};

/// Restarts every instance, one after the other, under load.
auto RestartAllInstances(std::uint64_t seed) -> LoadResult {
  NodeFixture fixture({.seed = seed, .nodes = 5, .databases = 3});
  fixture.RunUntilServing();
  CallerLoad load(fixture, 8);
  load.RunFor(Milliseconds(200));
  for (std::size_t node = 0; node < fixture.nodes(); ++node) {
    load.SetRefusesConnections(node, true);
    fixture.StartPlannedStop(node);
    while (!fixture.IsStopped(node)) {
      load.RunFor(Milliseconds(20));
    }
    fixture.StartNode(node);
    load.SetRefusesConnections(node, false);
    load.RunFor(Milliseconds(300));
  }
  return load.FinishAndGetResult();
}

TEST_CASE("A rolling restart of five instances under load fails no request") {
  std::int64_t slowest_ms = 0;
  auto sent = 0;
  rc::check("rolling replacement", [&] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto result = RestartAllInstances(seed);
    RC_ASSERT(result.not_ok == 0);
    RC_ASSERT(result.unanswered == 0);
    RC_ASSERT(result.slowest_ms <= 1000);
    slowest_ms = std::max(slowest_ms, result.slowest_ms);
    sent += result.sent;
  });
  MESSAGE("writes: ", sent, ", slowest in ms: ", slowest_ms);
}

TEST_CASE("After a planned stop the successor takes over within 200 ms") {
  std::int64_t slowest_ms = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    NodeFixture fixture({.seed = seed, .nodes = 5});
    fixture.RunUntilServing();
    const auto owner = fixture.OwnerOf("db0");
    const auto began = fixture.Now();
    fixture.StartPlannedStop(owner);
    REQUIRE(fixture.RunUntil(
        [&] {
          const auto now = fixture.OwnerOf("db0");
          return now < fixture.nodes() && now != owner;
        },
        Milliseconds(5000)));
    const auto took =
        std::chrono::duration_cast<Milliseconds>(fixture.Now() - began);
    CHECK(took < Milliseconds(200));
    slowest_ms = std::max<std::int64_t>(slowest_ms, took.count());
  }
  MESSAGE("slowest in ms: ", slowest_ms);
}

TEST_CASE(
    "A caller that ignores `leaving` is served, then refused, never dropped") {
  NodeFixture fixture({.seed = 3, .nodes = 3});
  fixture.RunUntilServing();
  fixture.StartPlannedStop(0);
  auto served = 0;
  auto refused = 0;
  auto asked = 0;
  // One caller that ignores `leaving` in the answers.
  while (!fixture.IsStopped(0)) {
    const auto id = "stay" + std::to_string(++asked);
    const auto answer =
        fixture.SendAndWait(0, fixture.MakeAppendRequest(id, "row", "x"));
    REQUIRE(answer.leaving);
    if (answer.status == Status::kOk) {
      REQUIRE(refused == 0);
      ++served;
    } else {
      REQUIRE(answer.status == Status::kNotRun);
      REQUIRE(answer.error == ErrorKind::kLeaving);
      ++refused;
    }
    fixture.RunFor(Milliseconds(100));
  }
  CHECK(served > 0);
  CHECK(refused > 0);
  const auto& row = fixture.Primary("db0").rows.at("row");
  CHECK(std::count(row.begin(), row.end(), 'x') == served);
}

TEST_CASE(
    "A planned stop completes in time while two of three members are down") {
  NodeFixture fixture({.seed = 4, .nodes = 3});
  fixture.RunUntilServing();
  fixture.KillMember("db0-1");
  fixture.KillMember("db0-2");
  fixture.Send(0, fixture.MakeAppendRequest("w1", "row", "x"));
  fixture.RunFor(Milliseconds(500));
  fixture.StartPlannedStop(0);
  CHECK(fixture.RunUntil([&] { return fixture.IsStopped(0); },
                         Milliseconds(11'000)));
  REQUIRE(fixture.answers().size() == 1);
}

}  // namespace
}  // namespace kingcuplock
