// Guards against a link that has gone silent for good while new connections
// work, and against a peer whose process has ended being taken for one that is
// cut off.

#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/membership/peer_links.h"

namespace kingcuplock {
namespace {

/// Links of one instance to the peer "b", whose events the test makes.
struct Fixture {
  Fixture() {
    InstanceEntry entry;
    entry.name = "b";
    entry.host = "10.0.0.2";
    entry.port = 7;
    const std::vector<InstanceEntry> listed{entry};
    links.SetPeers(listed);
  }

  /// Returns the connections that were opened since the last call.
  auto TakeOpened() -> std::vector<ConnectionId> {
    std::vector<ConnectionId> out;
    for (const auto& it : outbox.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&it)) {
        out.push_back(open->connection);
      }
    }
    return out;
  }

  auto Answer(ConnectionId connection) -> void {
    Heartbeat heartbeat;
    heartbeat.instance = "b";
    links.OnMessage(connection, heartbeat);
  }

  auto RunFor(Milliseconds time) -> void {
    timers.AdvanceTo(timers.Now() + time);
  }

  TimerService timers{Time{Milliseconds(10'000)}};
  Outbox outbox;
  PeerLinks links{"a",
                  TimingSettings{},
                  timers,
                  outbox,
                  {[] { return Heartbeat{}; },
                   [](const std::string&, const PeerMessage&) {},
                   [](const Heartbeat&) {}, [](const std::string&) {}, [] {}}};
};

TEST_CASE("A link on which nothing is heard is replaced, once a second") {
  Fixture fixture;
  const auto opened = fixture.TakeOpened();
  REQUIRE(opened.size() == 1);
  fixture.links.OnOpened(opened[0]);
  fixture.Answer(opened[0]);
  CHECK(fixture.links.IsUp("b"));
  fixture.RunFor(Milliseconds(2000));
  const auto asked = fixture.timers.Now();
  fixture.RunFor(Milliseconds(150));
  fixture.links.ReplaceIfSilent("b", asked);
  CHECK_FALSE(fixture.links.IsUp("b"));
  const auto again = fixture.TakeOpened();
  REQUIRE(again.size() == 1);
  fixture.links.OnOpened(again[0]);
  fixture.Answer(again[0]);
  CHECK(fixture.links.IsUp("b"));
  // The link is young.
  fixture.RunFor(Milliseconds(300));
  fixture.links.ReplaceIfSilent("b", fixture.timers.Now());
  CHECK(fixture.links.IsUp("b"));
  // Something was heard since the question.
  fixture.RunFor(Milliseconds(2000));
  const auto later = fixture.timers.Now();
  fixture.RunFor(Milliseconds(10));
  fixture.Answer(again[0]);
  fixture.links.ReplaceIfSilent("b", later);
  CHECK(fixture.links.IsUp("b"));
}

TEST_CASE("An address that refuses connections shows that the process ended") {
  Fixture fixture;
  const auto opened = fixture.TakeOpened();
  REQUIRE(opened.size() == 1);
  CHECK_FALSE(fixture.links.IsRefused("b"));
  fixture.RunFor(Milliseconds(2));
  fixture.links.OnClosed(opened[0]);
  CHECK(fixture.links.IsRefused("b"));
  fixture.RunFor(Milliseconds(200));
  const auto again = fixture.TakeOpened();
  REQUIRE(again.size() == 1);
  // An attempt that ends late says nothing about the process.
  fixture.RunFor(Milliseconds(1500));
  fixture.links.OnClosed(again[0]);
  CHECK_FALSE(fixture.links.IsRefused("b"));
}

}  // namespace
}  // namespace kingcuplock
