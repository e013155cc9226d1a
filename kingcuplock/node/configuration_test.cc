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

/// Target: an accepted manifest is active on all instances within this time.
constexpr Milliseconds kActivationTimeout{5000};
constexpr const char* kManifestKey = "kingcuplock/test/manifest";

auto ActiveVersionOn(NodeFixture& fixture, std::size_t node) -> std::int64_t {
  return fixture.StatusOf(node).manifest_version;
}

auto IsActiveEverywhere(NodeFixture& fixture, std::int64_t version) -> bool {
  for (std::size_t n = 0; n < fixture.nodes(); ++n) {
    if (ActiveVersionOn(fixture, n) != version) {
      return false;
    }
  }
  return true;
}

auto MakeNextManifest(const NodeFixture& fixture) -> Manifest {
  auto manifest = fixture.manifest();
  ++manifest.version;
  return manifest;
}

/// Publishes manifests at random while instances lose the store, lose watch
/// events or restart, and while the store returns earlier manifests again.
/// Returns how often the version decreased on an instance that did not restart.
auto CountReversions(std::uint64_t seed, ManifestRules rules) -> int {
  constexpr int kSteps = 25;
  NodeFixture fixture({.seed = seed, .nodes = 4, .manifest_rules = rules});
  fixture.RunUntilServing();
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
        fixture.PublishManifest(MakeNextManifest(fixture));
        published.push_back(EncodeJson(fixture.manifest(), FrameFormat::kJson));
        break;
      case 2:
        fixture.PutInStore(kManifestKey, published[pick(published.size())]);
        break;
      case 3:
        fixture.PutInStore(kManifestKey, "{\"version\":9999}");
        break;
      case 4:
        fixture.PartitionFromStore(node, pick(2) == 0);
        fixture.LoseWatchEvents(node, pick(2) == 0);
        break;
      default:
        fixture.KillNode(node);
        fixture.StartNode(node);
        seen[node] = 0;
    }
    fixture.RunFor(Milliseconds(20 + pick(700)));
    for (std::size_t it = 0; it < fixture.nodes(); ++it) {
      const auto version = ActiveVersionOn(fixture, it);
      reversions += version < seen[it] ? 1 : 0;
      seen[it] = version;
    }
  }
  return reversions;
}

TEST_CASE("A replayed older manifest never replaces a newer one") {
  rc::check("no reversion", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    RC_ASSERT(CountReversions(seed, {}) == 0);
  });
}

TEST_CASE("Without the version check a replayed manifest becomes active") {
  auto reversions = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    reversions += CountReversions(seed, {.require_rising_version = false});
  }
  CHECK(reversions > 0);
}

TEST_CASE(
    "A manifest is active everywhere within 5 s, two cut off from the store") {
  std::int64_t slowest_ms = 0;
  rc::check("in force", [&] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    NodeFixture fixture({.seed = seed, .nodes = 5});
    fixture.RunUntilServing();
    fixture.PartitionFromStore(seed % 5, true);
    fixture.PartitionFromStore((seed + 1) % 5, true);
    fixture.LoseWatchEvents((seed + 2) % 5, true);
    fixture.RunFor(Milliseconds(seed % 3000));
    fixture.PublishManifest(MakeNextManifest(fixture));
    const auto began = fixture.Now();
    RC_ASSERT(fixture.RunUntil([&] { return IsActiveEverywhere(fixture, 2); },
                               kActivationTimeout));
    const auto took =
        std::chrono::duration_cast<Milliseconds>(fixture.Now() - began);
    slowest_ms = std::max<std::int64_t>(slowest_ms, took.count());
  });
  MESSAGE("slowest in ms: ", slowest_ms);
}

TEST_CASE(
    "An instance that loses watch events finds the manifest by a refresh") {
  NodeFixture fixture({.seed = 5, .nodes = 1});
  fixture.RunUntilServing();
  fixture.LoseWatchEvents(0, true);
  fixture.PublishManifest(MakeNextManifest(fixture));
  CHECK(fixture.RunUntil([&] { return ActiveVersionOn(fixture, 0) == 2; },
                         kActivationTimeout));
}

TEST_CASE(
    "An instance started during a store outage gets the manifest from a peer") {
  NodeFixture fixture({.seed = 6, .nodes = 3});
  fixture.RunUntilServing();
  fixture.SetStoreDown(true);
  fixture.KillNode(2);
  fixture.StartNode(2);
  CHECK(fixture.RunUntil([&] { return ActiveVersionOn(fixture, 2) == 1; },
                         kActivationTimeout));
}

TEST_CASE("A manifest with faults never becomes active") {
  NodeFixture fixture({.seed = 7, .nodes = 2});
  fixture.RunUntilServing();
  auto manifest = MakeNextManifest(fixture);
  manifest.databases[0].connections = 4;
  manifest.databases[0].slots = 4;
  fixture.PublishManifest(manifest);
  fixture.RunFor(kActivationTimeout);
  CHECK(IsActiveEverywhere(fixture, 1));
  // Logged once by each instance, however often the store returns
  // it.
  CHECK(fixture.CountLoggedEvents(Event::kManifestRejected) == 2);
}

TEST_CASE("A version reused for other content is logged and rejected") {
  NodeFixture fixture({.seed = 8, .nodes = 3});
  fixture.RunUntilServing();
  const auto before = fixture.StatusOf(0).manifest_hash;
  auto other = fixture.manifest();
  other.databases[0].slots += 1;
  fixture.PublishManifest(other);
  fixture.RunFor(kActivationTimeout);
  CHECK(fixture.StatusOf(0).manifest_hash == before);
  CHECK(fixture.CountLoggedEvents(Event::kManifestConflict) == 3);
}

TEST_CASE("Peers detect two contents with the same version") {
  NodeFixture fixture({.seed = 9, .nodes = 2});
  fixture.RunUntilServing();
  fixture.PartitionFromStore(1, true);
  fixture.PartitionPeers(0, 1, true);
  fixture.PublishManifest(MakeNextManifest(fixture));
  fixture.RunFor(Milliseconds(3000));
  fixture.PartitionFromStore(0, true);
  auto other = fixture.manifest();
  other.databases[0].slots += 1;
  fixture.PartitionFromStore(1, false);
  fixture.PublishManifest(other);
  fixture.RunFor(Milliseconds(5000));
  REQUIRE(IsActiveEverywhere(fixture, 2));
  CHECK(fixture.CountLoggedEvents(Event::kManifestConflict) == 0);
  fixture.PartitionPeers(0, 1, false);
  fixture.RunFor(Milliseconds(3000));
  CHECK(fixture.CountLoggedEvents(Event::kManifestConflict) >= 1);
}

// -------------------------------------- configuration changes of databases

/// Writes through every instance while `change` is published. Returns the
/// number of writes that were not answered ok.
auto CountFailedWritesDuring(NodeFixture& fixture, const Manifest& change)
    -> int {
  constexpr int kWrites = 120;
  constexpr int kPublishAt = 40;
  const auto before = fixture.answers().size();
  for (auto n = 0; n < kWrites; ++n) {
    if (n == kPublishAt) {
      fixture.PublishManifest(change);
    }
    const auto node = static_cast<std::size_t>(n) % fixture.nodes();
    fixture.Send(
        node, fixture.MakeAppendRequest("c" + std::to_string(n), "row", "x"));
    fixture.RunFor(Milliseconds(10));
  }
  fixture.RunFor(Milliseconds(3000));
  auto failed = kWrites;
  for (auto n = before; n < fixture.answers().size(); ++n) {
    failed -= fixture.answers()[n].answer.status == Status::kOk ? 1 : 0;
  }
  return failed;
}

TEST_CASE(
    "A new slot count takes effect at the owner without failing a request") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    NodeFixture fixture({.seed = seed, .nodes = 3});
    fixture.RunUntilServing();
    auto change = MakeNextManifest(fixture);
    change.databases[0].slots = 4;
    CHECK(CountFailedWritesDuring(fixture, change) == 0);
    CHECK(fixture.CountLoggedEvents(Event::kDatabaseReconfigured) == 1);
    const auto& row = fixture.Primary("db0").rows.at("row");
    CHECK(std::count(row.begin(), row.end(), 'x') == 120);
  }
}

TEST_CASE("Removing a replica or the primary fails no request") {
  for (const std::size_t member : {0, 2}) {
    NodeFixture fixture({.seed = 11 + member, .nodes = 3});
    fixture.RunUntilServing();
    auto change = MakeNextManifest(fixture);
    auto& members = change.databases[0].members;
    const auto name = members[member].name;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(member));
    CHECK(CountFailedWritesDuring(fixture, change) == 0);
    CHECK(fixture.Primary("db0").name != name);
  }
}

TEST_CASE("A removed database can be added again and other requests succeed") {
  NodeFixture fixture({.seed = 12, .nodes = 3, .databases = 2});
  fixture.RunUntilServing();
  const auto whole = fixture.manifest();
  auto change = MakeNextManifest(fixture);
  change.databases.pop_back();
  CHECK(CountFailedWritesDuring(fixture, change) == 0);
  CHECK(fixture.OwnerOf("db1") == fixture.nodes());
  auto request = fixture.MakeAppendRequest("gone", "row", "x");
  request.database = "db1";
  CHECK(fixture.SendAndWait(0, request).error == ErrorKind::kUnknownDatabase);
  auto again = whole;
  again.version = 3;
  fixture.PublishManifest(again);
  fixture.RunUntilServing();
  request.id = "back";
  CHECK(fixture.SendAndWait(0, request).status == Status::kOk);
}

TEST_CASE("A new request kind takes effect without restarting the owner") {
  NodeFixture fixture({.seed = 13, .nodes = 3});
  fixture.RunUntilServing();
  auto change = MakeNextManifest(fixture);
  change.databases[0].kinds.push_back(change.databases[0].kinds[0]);
  change.databases[0].kinds.back().name = "new-kind";
  CHECK(CountFailedWritesDuring(fixture, change) == 0);
  auto request = fixture.MakeAppendRequest("k1", "row", "y");
  request.kind = "new-kind";
  CHECK(fixture.SendAndWait(1, request).status == Status::kOk);
  CHECK(fixture.CountLoggedEvents(Event::kDatabaseReconfigured) == 0);
}

}  // namespace
}  // namespace kingcuplock
