#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "kingcuplock/schema/codec.h"
#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Target: an accepted configuration is in force everywhere within this time.
constexpr Milliseconds kInForce{5000};
constexpr const char* kManifestKey = "kingcuplock/test/manifest";

auto InForceOn(NodeFixture& fixture, std::size_t node) -> std::int64_t {
  return fixture.StatusOf(node).manifest_version;
}

auto InForceEverywhere(NodeFixture& fixture, std::int64_t version) -> bool {
  for (std::size_t n = 0; n < fixture.nodes(); ++n) {
    if (InForceOn(fixture, n) != version) {
      return false;
    }
  }
  return true;
}

auto NextManifest(const NodeFixture& fixture) -> Manifest {
  auto manifest = fixture.manifest();
  ++manifest.version;
  return manifest;
}

/// Publishes at random while instances lose the store, their watch or their
/// memory, and the store replays what it held before. Returns the number of
/// times that a version fell on an instance that ran on.
auto CountReversions(std::uint64_t seed, ManifestRules rules) -> int {
  constexpr int kSteps = 25;
  NodeFixture fixture({.seed = seed, .nodes = 4, .manifest_rules = rules});
  fixture.Settle();
  std::vector<std::int64_t> seen(fixture.nodes(), 0);
  std::vector<std::string> published{
      EncodeJson(fixture.manifest(), FrameFormat::kJson)};
  auto reversions = 0;
  for (auto n = 0; n < kSteps; ++n) {
    const auto pick = [&](std::size_t count) {
      return static_cast<std::size_t>(fixture.random()() % count);
    };
    const auto node = pick(fixture.nodes());
    switch (pick(6)) {
      case 0:
      case 1:
        fixture.Publish(NextManifest(fixture));
        published.push_back(EncodeJson(fixture.manifest(), FrameFormat::kJson));
        break;
      case 2:
        fixture.PutInStore(kManifestKey, published[pick(published.size())]);
        break;
      case 3:
        fixture.PutInStore(kManifestKey, "{\"version\":9999}");
        break;
      case 4:
        fixture.CutStore(node, pick(2) == 0);
        fixture.LoseWatchEvents(node, pick(2) == 0);
        break;
      default:
        fixture.KillNode(node);
        fixture.StartNode(node);
        seen[node] = 0;
    }
    fixture.RunFor(Milliseconds(20 + pick(700)));
    for (std::size_t it = 0; it < fixture.nodes(); ++it) {
      const auto version = InForceOn(fixture, it);
      reversions += version < seen[it] ? 1 : 0;
      seen[it] = version;
    }
  }
  return reversions;
}

TEST_CASE("A version never falls, whatever the store replays") {
  rc::check("no reversion", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    RC_ASSERT(CountReversions(seed, {}) == 0);
  });
}

TEST_CASE("Without the check of versions a replayed manifest is in force") {
  auto reversions = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    reversions += CountReversions(seed, {.require_rising_version = false});
  }
  CHECK(reversions > 0);
}

TEST_CASE("A manifest is in force everywhere within 5 s, two without store") {
  std::int64_t slowest_ms = 0;
  rc::check("in force", [&] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    NodeFixture fixture({.seed = seed, .nodes = 5});
    fixture.Settle();
    fixture.CutStore(seed % 5, true);
    fixture.CutStore((seed + 1) % 5, true);
    fixture.LoseWatchEvents((seed + 2) % 5, true);
    fixture.RunFor(Milliseconds(seed % 3000));
    fixture.Publish(NextManifest(fixture));
    const auto began = fixture.Now();
    RC_ASSERT(fixture.RunUntil([&] { return InForceEverywhere(fixture, 2); },
                               kInForce));
    const auto took =
        std::chrono::duration_cast<Milliseconds>(fixture.Now() - began);
    slowest_ms = std::max<std::int64_t>(slowest_ms, took.count());
  });
  MESSAGE("slowest in ms: ", slowest_ms);
}

TEST_CASE("An instance that lost its watch reads the manifest by itself") {
  NodeFixture fixture({.seed = 5, .nodes = 1});
  fixture.Settle();
  fixture.LoseWatchEvents(0, true);
  fixture.Publish(NextManifest(fixture));
  CHECK(fixture.RunUntil([&] { return InForceOn(fixture, 0) == 2; }, kInForce));
}

TEST_CASE("An instance that starts while the store is out asks its peers") {
  NodeFixture fixture({.seed = 6, .nodes = 3});
  fixture.Settle();
  fixture.SetStoreDown(true);
  fixture.KillNode(2);
  fixture.StartNode(2);
  CHECK(fixture.RunUntil([&] { return InForceOn(fixture, 2) == 1; }, kInForce));
}

TEST_CASE("A manifest with faults is never in force") {
  NodeFixture fixture({.seed = 7, .nodes = 2});
  fixture.Settle();
  auto manifest = NextManifest(fixture);
  manifest.databases[0].connections = 4;
  manifest.databases[0].slots = 4;
  fixture.Publish(manifest);
  fixture.RunFor(kInForce);
  CHECK(InForceEverywhere(fixture, 1));
  // Once for each instance, however often the store tells it again.
  CHECK(fixture.Logged(Event::kManifestRejected) == 2);
}

TEST_CASE("A version reused for other content is reported and refused") {
  NodeFixture fixture({.seed = 8, .nodes = 3});
  fixture.Settle();
  const auto before = fixture.StatusOf(0).manifest_hash;
  auto other = fixture.manifest();
  other.databases[0].slots += 1;
  fixture.Publish(other);
  fixture.RunFor(kInForce);
  CHECK(fixture.StatusOf(0).manifest_hash == before);
  CHECK(fixture.Logged(Event::kManifestConflict) == 3);
}

TEST_CASE("Two contents under one version are found by the peers") {
  NodeFixture fixture({.seed = 9, .nodes = 2});
  fixture.Settle();
  fixture.CutStore(1, true);
  fixture.CutPeers(0, 1, true);
  fixture.Publish(NextManifest(fixture));
  fixture.RunFor(Milliseconds(3000));
  fixture.CutStore(0, true);
  auto other = fixture.manifest();
  other.databases[0].slots += 1;
  fixture.CutStore(1, false);
  fixture.Publish(other);
  fixture.RunFor(Milliseconds(5000));
  REQUIRE(InForceEverywhere(fixture, 2));
  CHECK(fixture.Logged(Event::kManifestConflict) == 0);
  fixture.CutPeers(0, 1, false);
  fixture.RunFor(Milliseconds(3000));
  CHECK(fixture.Logged(Event::kManifestConflict) >= 1);
}

// ------------------------------------------------ databases that change

/// Writes at every instance while `change` is published. Returns the writes
/// that were not answered ok.
auto FailedDuringChange(NodeFixture& fixture, const Manifest& change) -> int {
  constexpr int kWrites = 120;
  constexpr int kPublishAt = 40;
  const auto before = fixture.answers().size();
  for (auto n = 0; n < kWrites; ++n) {
    if (n == kPublishAt) {
      fixture.Publish(change);
    }
    const auto node = static_cast<std::size_t>(n) % fixture.nodes();
    fixture.Send(node, fixture.Append("c" + std::to_string(n), "row", "x"));
    fixture.RunFor(Milliseconds(10));
  }
  fixture.RunFor(Milliseconds(3000));
  auto failed = kWrites;
  for (auto n = before; n < fixture.answers().size(); ++n) {
    failed -= fixture.answers()[n].answer.status == Status::kOk ? 1 : 0;
  }
  return failed;
}

TEST_CASE("New slots are in force at the owner and cut no request") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    NodeFixture fixture({.seed = seed, .nodes = 3});
    fixture.Settle();
    auto change = NextManifest(fixture);
    change.databases[0].slots = 4;
    CHECK(FailedDuringChange(fixture, change) == 0);
    CHECK(fixture.Logged(Event::kDatabaseReconfigured) == 1);
    const auto& row = fixture.Primary("db0").rows.at("row");
    CHECK(std::count(row.begin(), row.end(), 'x') == 120);
  }
}

TEST_CASE("A member is removed, the primary too, and no request is cut") {
  for (const std::size_t member : {0, 2}) {
    NodeFixture fixture({.seed = 11 + member, .nodes = 3});
    fixture.Settle();
    auto change = NextManifest(fixture);
    auto& members = change.databases[0].members;
    const auto name = members[member].name;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(member));
    CHECK(FailedDuringChange(fixture, change) == 0);
    CHECK(fixture.Primary("db0").name != name);
  }
}

TEST_CASE("Databases are added and removed") {
  NodeFixture fixture({.seed = 12, .nodes = 3, .databases = 2});
  fixture.Settle();
  const auto whole = fixture.manifest();
  auto change = NextManifest(fixture);
  change.databases.pop_back();
  CHECK(FailedDuringChange(fixture, change) == 0);
  CHECK(fixture.OwnerOf("db1") == fixture.nodes());
  auto request = fixture.Append("gone", "row", "x");
  request.database = "db1";
  CHECK(fixture.Ask(0, request).error == ErrorKind::kUnknownDatabase);
  auto again = whole;
  again.version = 3;
  fixture.Publish(again);
  fixture.Settle();
  request.id = "back";
  CHECK(fixture.Ask(0, request).status == Status::kOk);
}

TEST_CASE("A new request kind is known at once and restarts no owner") {
  NodeFixture fixture({.seed = 13, .nodes = 3});
  fixture.Settle();
  auto change = NextManifest(fixture);
  change.databases[0].kinds.push_back(change.databases[0].kinds[0]);
  change.databases[0].kinds.back().name = "new-kind";
  CHECK(FailedDuringChange(fixture, change) == 0);
  auto request = fixture.Append("k1", "row", "y");
  request.kind = "new-kind";
  CHECK(fixture.Ask(1, request).status == Status::kOk);
  CHECK(fixture.Logged(Event::kDatabaseReconfigured) == 0);
}

}  // namespace
}  // namespace kingcuplock
