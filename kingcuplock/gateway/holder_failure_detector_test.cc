#include "kingcuplock/gateway/holder_failure_detector.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

constexpr Time kLost{Milliseconds(10'000)};
constexpr Time kLater = kLost + HolderFailureDetector::kLossTimeout;

auto WatchWithPeers() -> HolderFailureDetector {
  HolderFailureDetector watch;
  watch.NotePeerHeartbeat("holder", HeartbeatKind::kReply,
                          kLost - Milliseconds(100));
  watch.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                          kLost - Milliseconds(100));
  watch.NotePrimaryLost("g", kLost);
  return watch;
}

TEST_CASE("A holder is lost when it is silent and another peer is not") {
  auto watch = WatchWithPeers();
  watch.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                          kLost + Milliseconds(10));
  CHECK_FALSE(watch.IsHolderLost("g", "holder", kLater - Milliseconds(1)));
  CHECK(watch.IsHolderLost("g", "holder", kLater));
  watch.NotePeerHeartbeat("holder", HeartbeatKind::kReply, kLater);
  CHECK_FALSE(watch.IsHolderLost("g", "holder", kLater));
}

TEST_CASE("An instance that hears nobody takes no holder for lost") {
  const auto watch = WatchWithPeers();
  CHECK_FALSE(watch.IsHolderLost("g", "holder", kLater));
}

TEST_CASE("A holder that was never heard here is not judged here") {
  auto watch = WatchWithPeers();
  watch.NotePeerHeartbeat("other", HeartbeatKind::kReply, kLater);
  CHECK_FALSE(watch.IsHolderLost("g", "stranger", kLater));
}

TEST_CASE("A holder that only tells what is new may be silent and live") {
  HolderFailureDetector watch;
  watch.NotePeerHeartbeat("holder", HeartbeatKind::kUnsolicited,
                          kLost - Milliseconds(100));
  watch.NotePrimaryLost("g", kLost);
  watch.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                          kLost + Milliseconds(10));
  CHECK_FALSE(watch.IsHolderLost("g", "holder", kLater));
}

TEST_CASE("An instance that stood still waits anew") {
  auto watch = WatchWithPeers();
  watch.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                          kLost + Milliseconds(10));
  watch.NoteStall(kLater);
  CHECK_FALSE(watch.IsHolderLost("g", "holder", kLater));
}

TEST_CASE("A primary that is found again ends the wait") {
  auto watch = WatchWithPeers();
  watch.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                          kLost + Milliseconds(10));
  watch.NotePrimaryFound("g");
  CHECK_FALSE(watch.IsHolderLost("g", "holder", kLater));
}

}  // namespace
}  // namespace kingcuplock
