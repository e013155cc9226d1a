#include <doctest/doctest.h>

#include "kingcuplock/gateway/active_route_table.h"
#include "kingcuplock/gateway/endpoint_directory.h"
#include "kingcuplock/gateway/primary_view.h"
#include "kingcuplock/gateway/read_choice.h"

namespace kingcuplock {
namespace {

TEST_CASE(
    "A primary of a lower or equal term does not replace the current one") {
  PrimaryView view;
  CHECK(view.NoteRegisteredPrimary("m1"));
  CHECK(view.NoteProvedPrimary("m1", 3));
  CHECK_FALSE(view.NoteProvedPrimary("m2", 2));
  CHECK_FALSE(view.NoteProvedPrimary("m2", 3));
  CHECK(view.NoteProvedPrimary("m2", 4));
  CHECK(view.member() == "m2");
}

TEST_CASE(
    "A peer's report does not restore a member that refused in that term") {
  PrimaryView view;
  view.NoteProvedPrimary("m1", 3);
  CHECK(view.NoteLost("m1"));
  CHECK_FALSE(view.NoteReportedPrimary("m1", 3));
  CHECK_FALSE(view.IsUsable());
  CHECK(view.NoteProvedPrimary("m1", 3));
}

TEST_CASE(
    "An ordered successor becomes the primary when the current one refuses") {
  PrimaryView view;
  view.NoteProvedPrimary("m1", 3);
  CHECK(view.NotePromotionOrdered("m2", 4, true));
  CHECK(view.member() == "m1");
  CHECK(view.NoteLost("m1"));
  CHECK(view.member() == "m2");
  CHECK(view.IsPending());
}

TEST_CASE(
    "Only a primary of a later term proves that a position was discarded") {
  PrimaryView view;
  view.NoteProvedPrimary("m1", 1);
  view.NotePromotionOrdered("m2", 2, false);
  CHECK_FALSE(view.WasDiscardedByPromotion("m2", {1, 9}));
  view.NoteProvedPrimary("m2", 2);
  CHECK(view.WasDiscardedByPromotion("m2", {1, 9}));
  CHECK_FALSE(view.WasDiscardedByPromotion("m2", {2, 9}));
  CHECK_FALSE(view.WasDiscardedByPromotion("m3", {1, 9}));
}

/// Latency target in ms of the reads.
constexpr Milliseconds kTarget{100};

TEST_CASE(
    "Reads prefer members of the own data centre unless they are slow or "
    "busy") {
  std::vector<ReadCandidate> members = {
      {"near", "a", false, 0, 2, Milliseconds(10)},
      {"far", "b", false, 0, 2, Milliseconds(10)},
      {"primary", "c", true, 0, 2, Milliseconds(10)}};
  CHECK(RankMembersForRead(members, "a", kTarget).front() == "near");
  CHECK(RankMembersForRead(members, "b", kTarget).front() == "far");
  members[0].running = 4;
  CHECK(RankMembersForRead(members, "a", kTarget).front() == "far");
  members[0].running = 0;
  members[0].latency = Milliseconds(60);
  CHECK(RankMembersForRead(members, "a", kTarget).front() == "far");
}

TEST_CASE("The primary ranks behind a near replica and ahead of a remote one") {
  const std::vector<ReadCandidate> members = {
      {"far", "b", false, 0, 2, Milliseconds(10)},
      {"primary", "a", true, 0, 2, Milliseconds(10)},
      {"near", "a", false, 0, 2, Milliseconds(10)}};
  CHECK(RankMembersForRead(members, "a", kTarget) ==
        std::vector<std::string>{"near", "primary", "far"});
}

TEST_CASE("The average of an unused slow member decays") {
  LatencyAverage average;
  Time now{};
  for (auto n = 0; n < 50; ++n) {
    average.Add(now, Milliseconds(100));
  }
  CHECK(average.At(now) > Milliseconds(90));
  CHECK(average.At(now + std::chrono::seconds(10)) < Milliseconds(10));
}

TEST_CASE("An older route table does not replace a newer one") {
  Outbox log;
  auto changes = 0;
  ActiveRouteTable keeper(log, [&] { ++changes; });
  RouteTable table;
  table.version = 7;
  table.routes.push_back({"db", "g1"});
  keeper.ApplyIfNewer(table, "store");
  RouteTable older;
  older.version = 6;
  keeper.ApplyIfNewer(older, "peer");
  CHECK(changes == 1);
  REQUIRE(keeper.FindRoute("db") != nullptr);
  CHECK(keeper.FindRoute("db")->group == "g1");
}

TEST_CASE("An entry that is restored within the grace period is not removed") {
  TimerService timers;
  auto changes = 0;
  EndpointDirectory directory(timers, [&] { ++changes; });
  EndpointEntry entry;
  entry.member = "m1";
  entry.group = "g";
  directory.Set(entry, 0);
  directory.Remove("m1");
  timers.AdvanceTo(Time{} + Milliseconds(2000));
  directory.Set(entry, 0);
  timers.AdvanceTo(Time{} + Milliseconds(9000));
  CHECK(directory.Size() == 1);
  CHECK(changes == 1);
  directory.Remove("m1");
  timers.AdvanceTo(Time{} + Milliseconds(12'000));
  CHECK(directory.Size() == 0);
  CHECK(changes == 2);
}

// Guards against new work for a leaving member: after a restore, the store
// holds its entry from before it reported that it leaves.
TEST_CASE("An older entry of a member does not replace a newer one") {
  TimerService timers;
  auto changes = 0;
  EndpointDirectory directory(timers, [&] { ++changes; });
  EndpointEntry entry;
  entry.member = "m1";
  entry.group = "g";
  entry.born_ms = 500;
  entry.sequence = 7;
  entry.leaving = true;
  directory.Set(entry, 0);
  auto older = entry;
  older.leaving = false;
  older.sequence = 6;
  directory.Set(older, 1);
  CHECK(directory.All().front().leaving);
  auto earlier_run = older;
  earlier_run.born_ms = 400;
  earlier_run.sequence = 90;
  directory.Set(earlier_run, 2);
  CHECK(directory.All().front().leaving);
  CHECK(changes == 1);
  auto restarted = older;
  restarted.born_ms = 600;
  restarted.sequence = 1;
  directory.Set(restarted, 3);
  CHECK_FALSE(directory.All().front().leaving);
  auto renewed = restarted;
  renewed.sequence = 2;
  directory.Set(renewed, 3);
  CHECK(changes == 2);
}

// Guards against a member that is never followed again: another writer put an
// entry with a number too large under its key.
TEST_CASE("A later entry of the same era replaces one with a higher number") {
  TimerService timers;
  EndpointDirectory directory(timers, [] {});
  EndpointEntry bad;
  bad.member = "m1";
  bad.born_ms = std::int64_t{1} << 52U;
  bad.sequence = std::int64_t{1} << 52U;
  auto entry = bad;
  entry.born_ms = 500;
  entry.sequence = 7;
  entry.leaving = true;
  directory.Set(bad, 0);
  directory.Set(entry, 0);
  CHECK(directory.All().front().leaving);
  // The same from a peer.
  directory.SetFromPeer(bad);
  CHECK_FALSE(directory.All().front().leaving);
  directory.Set(entry, 0);
  CHECK(directory.All().front().leaving);
}

// Guards against a member that left and stays listed for good: a peer still
// knew it during an outage of the store, which has no entry to remove.
TEST_CASE(
    "A member that only a peer told of is removed once the store is back") {
  TimerService timers;
  EndpointDirectory directory(timers, [] {});
  EndpointEntry entry;
  entry.member = "m1";
  directory.SetFromPeer(entry);
  entry.member = "m2";
  directory.Set(entry, 0);
  directory.SetFromPeer(entry);
  entry.member = "m3";
  directory.SetFromPeer(entry);
  CHECK(directory.Size() == 3);
  directory.Set(entry, 0);
  directory.RemoveUnregistered();
  timers.AdvanceTo(Time{} + Milliseconds(3000));
  CHECK(directory.Size() == 2);
}

TEST_CASE("Entries without a start or number replace each other") {
  TimerService timers;
  EndpointDirectory directory(timers, [] {});
  EndpointEntry entry;
  entry.member = "m1";
  entry.sequence = 9;
  directory.Set(entry, 0);
  entry.sequence = 1;
  entry.leaving = true;
  directory.Set(entry, 0);
  CHECK(directory.All().front().leaving);
}

}  // namespace
}  // namespace kingcuplock
