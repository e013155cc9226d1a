#include <doctest/doctest.h>

#include <string>

#include "testing/node_fixture.h"
#include "testing/write_workload.h"

namespace kingcuplock {
namespace {

/// Time for which a test writes before it causes a failure.
constexpr Milliseconds kWarmUpDuration{300};

auto PhaseOf(NodeFixture& fixture, std::size_t node) -> std::string {
  return fixture.StatusOf(node).databases.at(0).phase;
}

TEST_CASE("A silent connection is replaced and the primary stays") {
  NodeFixture fixture({.seed = 1, .nodes = 2});
  fixture.RunUntilServing();
  WriteWorkload history(fixture);
  for (auto n = 0; n < 5; ++n) {
    fixture.SilenceOpenConnections("db0-1");
    history.SendWritesFor(0, Milliseconds(1000));
  }
  CHECK(history.WriteUntilAcknowledged(0, Milliseconds(1000)));
  CHECK(fixture.Primary("db0").term == 1);
  CHECK(history.FindViolations() == "");
}

TEST_CASE("A primary that pauses for 100 ms or 200 ms is not replaced") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto pause = Milliseconds(seed % 2 == 0 ? 100 : 200);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    WriteWorkload history(fixture);
    for (auto n = 0; n < 30; ++n) {
      fixture.PauseMember("db0-1", true);
      history.SendWritesFor(0, pause);
      fixture.PauseMember("db0-1", false);
      history.SendWritesFor(0, Milliseconds(50 + fixture.random()() % 200));
    }
    CHECK(fixture.Primary("db0").term == 1);
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("A paused primary is replaced, and demoted when it runs again") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    WriteWorkload history(fixture);
    history.SendWritesFor(0, kWarmUpDuration);
    fixture.PauseMember("db0-1", true);
    CHECK(history.WriteUntilAcknowledged(0, Milliseconds(2000)));
    fixture.PauseMember("db0-1", false);
    history.SendWritesFor(0, Milliseconds(1000));
    fixture.RunFor(Milliseconds(2500));
    CHECK(fixture.group("db0").member("db0-1").role == MemberRole::kReplica);
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("A primary cut off from its replicas is replaced") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    WriteWorkload history(fixture);
    history.SendWritesFor(0, kWarmUpDuration);
    fixture.IsolateMember("db0-1", true);
    CHECK(history.WriteUntilAcknowledged(0, Milliseconds(10'000)));
    CHECK(fixture.Primary("db0").name != "db0-1");
    fixture.IsolateMember("db0-1", false);
    history.SendWritesFor(0, Milliseconds(1000));
    fixture.RunFor(Milliseconds(2500));
    CHECK(fixture.group("db0").member("db0-1").role == MemberRole::kReplica);
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("Writes resume if the owner of a cut-off primary fails as well") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    const auto owner = fixture.OwnerOf("db0");
    WriteWorkload history(fixture);
    history.SendWritesFor(1 - owner, kWarmUpDuration);
    fixture.IsolateMember("db0-1", true);
    history.SendWritesFor(1 - owner, Milliseconds(seed * 100));
    fixture.KillNode(owner);
    CHECK(history.WriteUntilAcknowledged(1 - owner, Milliseconds(10'000)));
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("Replicas that lag for seconds cause few changes of the primary") {
  NodeFixture fixture({.seed = 1, .nodes = 2});
  fixture.RunUntilServing();
  WriteWorkload history(fixture);
  for (const auto* name : {"db0-1", "db0-2", "db0-3"}) {
    fixture.SetLag(name, Milliseconds(4000));
  }
  for (auto n = 0; n < 20; ++n) {
    history.SendWritesFor(0, Milliseconds(2000));
    fixture.RunFor(Milliseconds(5000));
  }
  const auto term = fixture.Primary("db0").term;
  CHECK(term <= 4);
  for (auto n = 0; n < 5; ++n) {
    history.SendWritesFor(0, Milliseconds(2000));
    fixture.RunFor(Milliseconds(5000));
  }
  CHECK(fixture.Primary("db0").term == term);
  CHECK(history.FindViolations() == "");
}

TEST_CASE("A successor resumes a promotion at every step") {
  for (auto step_ms = 0; step_ms <= 160; ++step_ms) {
    CAPTURE(step_ms);
    NodeFixture fixture({.seed = 100 + static_cast<std::uint64_t>(step_ms),
                         .nodes = 3,
                         .max_delay_us = 2000});
    fixture.RunUntilServing();
    const auto owner = fixture.OwnerOf("db0");
    const auto other = (owner + 1) % fixture.nodes();
    WriteWorkload history(fixture);
    history.SendWritesFor(other, kWarmUpDuration);
    fixture.KillMember("db0-1");
    fixture.RunFor(Milliseconds(step_ms));
    fixture.KillNode(owner);
    CHECK(history.WriteUntilAcknowledged(other, Milliseconds(6000)));
    fixture.ReviveMember("db0-1");
    fixture.RunFor(Milliseconds(3000));
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("A successor that reaches only one member waits for another") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    const auto owner = fixture.OwnerOf("db0");
    WriteWorkload history(fixture);
    history.SendWritesFor(1 - owner, kWarmUpDuration);
    // db0-3 is the only replica that holds the writes acknowledged from here
    // on. It fails as well, together with the primary.
    fixture.PauseMember("db0-2", true);
    history.SendWritesFor(1 - owner, kWarmUpDuration);
    fixture.KillNode(owner);
    fixture.KillMember("db0-1");
    fixture.KillMember("db0-3");
    fixture.PauseMember("db0-2", false);
    fixture.RunFor(Milliseconds(5000));
    CHECK(PhaseOf(fixture, 1 - owner) == "promoting");
    fixture.ReviveMember("db0-3");
    CHECK(history.WriteUntilAcknowledged(1 - owner, Milliseconds(3000)));
    fixture.RunFor(Milliseconds(2500));
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("Writes resume if the newly promoted primary fails as well") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    WriteWorkload history(fixture);
    history.SendWritesFor(0, kWarmUpDuration);
    fixture.KillMember("db0-1");
    REQUIRE(
        fixture.RunUntil([&] { return fixture.Primary("db0").name != "db0-1"; },
                         Milliseconds(3000)));
    fixture.RunFor(Milliseconds(seed % 10));
    fixture.KillMember(fixture.Primary("db0").name);
    fixture.ReviveMember("db0-1");
    CHECK(history.WriteUntilAcknowledged(0, Milliseconds(3000)));
    fixture.RunFor(Milliseconds(2500));
    CHECK(history.FindViolations() == "");
  }
}

TEST_CASE("A primary that fails is replaced while store calls take 500 ms") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NodeFixture fixture({.seed = seed, .nodes = 2});
    fixture.RunUntilServing();
    fixture.SetStoreDelay(Milliseconds(500));
    WriteWorkload history(fixture);
    history.SendWritesFor(0, kWarmUpDuration);
    fixture.KillMember("db0-1");
    CHECK(history.WriteUntilAcknowledged(0, Milliseconds(3000)));
    CHECK(history.FindViolations() == "");
  }
}

}  // namespace
}  // namespace kingcuplock
