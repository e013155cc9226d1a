#include "kingcuplock/gateway/holder_failure_detector.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

constexpr Time kLossTime{Milliseconds(10'000)};
constexpr Time kTimeoutEnd = kLossTime + HolderFailureDetector::kLossTimeout;

auto DetectorWithLostPrimary() -> HolderFailureDetector {
  HolderFailureDetector detector;
  detector.NotePeerHeartbeat("holder", HeartbeatKind::kReply,
                             kLossTime - Milliseconds(100));
  detector.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                             kLossTime - Milliseconds(100));
  detector.NotePrimaryLost("g", kLossTime);
  return detector;
}

TEST_CASE("A holder is lost when it is silent and another peer is not") {
  auto detector = DetectorWithLostPrimary();
  detector.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                             kLossTime + Milliseconds(10));
  CHECK_FALSE(
      detector.IsHolderLost("g", "holder", kTimeoutEnd - Milliseconds(1)));
  CHECK(detector.IsHolderLost("g", "holder", kTimeoutEnd));
  detector.NotePeerHeartbeat("holder", HeartbeatKind::kReply, kTimeoutEnd);
  CHECK_FALSE(detector.IsHolderLost("g", "holder", kTimeoutEnd));
}

TEST_CASE("An instance that hears no peer considers no holder lost") {
  const auto detector = DetectorWithLostPrimary();
  CHECK_FALSE(detector.IsHolderLost("g", "holder", kTimeoutEnd));
}

TEST_CASE(
    "A holder from which no heartbeat ever arrived is not considered lost") {
  auto detector = DetectorWithLostPrimary();
  detector.NotePeerHeartbeat("other", HeartbeatKind::kReply, kTimeoutEnd);
  CHECK_FALSE(detector.IsHolderLost("g", "stranger", kTimeoutEnd));
}

TEST_CASE(
    "The silence of a holder that only sends news is no sign of its loss") {
  HolderFailureDetector detector;
  detector.NotePeerHeartbeat("holder", HeartbeatKind::kUnsolicited,
                             kLossTime - Milliseconds(100));
  detector.NotePrimaryLost("g", kLossTime);
  detector.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                             kLossTime + Milliseconds(10));
  CHECK_FALSE(detector.IsHolderLost("g", "holder", kTimeoutEnd));
}

TEST_CASE("A stall of this instance restarts the wait") {
  auto detector = DetectorWithLostPrimary();
  detector.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                             kLossTime + Milliseconds(10));
  detector.NoteStall(kTimeoutEnd);
  CHECK_FALSE(detector.IsHolderLost("g", "holder", kTimeoutEnd));
}

TEST_CASE("The return of the primary ends the wait") {
  auto detector = DetectorWithLostPrimary();
  detector.NotePeerHeartbeat("other", HeartbeatKind::kReply,
                             kLossTime + Milliseconds(10));
  detector.NotePrimaryFound("g");
  CHECK_FALSE(detector.IsHolderLost("g", "holder", kTimeoutEnd));
}

}  // namespace
}  // namespace kingcuplock
