#include "kingcuplock/base/timer_service.h"

#include <vector>

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

TEST_CASE("Timers fire once, in order of time") {
  TimerService timers;
  std::vector<int> fired;
  timers.After(Milliseconds(20), [&] { fired.push_back(2); });
  timers.After(Milliseconds(10), [&] { fired.push_back(1); });
  timers.AdvanceTo(Time(Milliseconds(15)));
  CHECK(fired == std::vector<int>{1});
  timers.AdvanceTo(Time(Milliseconds(30)));
  timers.AdvanceTo(Time(Milliseconds(40)));
  CHECK(fired == std::vector<int>{1, 2});
}

TEST_CASE("A cancelled timer does not fire") {
  TimerService timers;
  auto fired = false;
  const auto id = timers.After(Milliseconds(10), [&] { fired = true; });
  CHECK(timers.Cancel(id));
  CHECK_FALSE(timers.Cancel(id));
  timers.AdvanceTo(Time(Milliseconds(30)));
  CHECK_FALSE(fired);
}

TEST_CASE("A late AdvanceTo() counts as a stall only if a timer was due") {
  TimerService timers;
  timers.AdvanceTo(Time(Milliseconds(1000)));
  CHECK_FALSE(timers.LastStall());
  timers.After(Milliseconds(10), [] {});
  timers.AdvanceTo(Time(Milliseconds(1100)));
  CHECK_FALSE(timers.LastStall());
  timers.After(Milliseconds(10), [] {});
  timers.AdvanceTo(Time(Milliseconds(1300)));
  timers.AdvanceTo(Time(Milliseconds(1310)));
  CHECK(timers.LastStall() == Time(Milliseconds(1300)));
}

TEST_CASE("AdvanceTo() never moves the time back") {
  TimerService timers(Time(Milliseconds(100)));
  timers.AdvanceTo(Time(Milliseconds(50)));
  CHECK(timers.Now() == Time(Milliseconds(100)));
}

}  // namespace
}  // namespace kingcuplock
