#include "kingcuplock/admission/admission_queue.h"

#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "kingcuplock/admission/connection_budget.h"
#include "kingcuplock/admission/retry_after.h"
#include "kingcuplock/admission/retry_budget.h"

namespace kingcuplock {
namespace {

const Time kNow{Milliseconds(1000)};
const Time kLater = kNow + Milliseconds(1000);

auto TakeAll(AdmissionQueue<int>& queue) -> std::vector<int> {
  std::vector<int> out;
  std::vector<QueuedItem<int>> late;
  while (const auto it = queue.Pop(kNow, late)) {
    out.push_back(it->item);
  }
  return out;
}

TEST_CASE("The most urgent item is served first and callers take turns") {
  AdmissionQueue<int> queue(10, 1);
  queue.Push({5, 1, kLater, 1}, kNow);
  queue.Push({5, 1, kLater, 2}, kNow);
  queue.Push({5, 1, kLater, 3}, kNow);
  queue.Push({5, 2, kLater, 4}, kNow);
  queue.Push({0, 3, kLater, 5}, kNow);
  CHECK(TakeAll(queue) == std::vector{5, 1, 4, 2, 3});
}

TEST_CASE(
    "A full queue drops the least urgent item of the caller with the most") {
  AdmissionQueue<int> queue(3, 1);
  queue.Push({5, 1, kLater, 1}, kNow);
  queue.Push({5, 2, kLater, 2}, kNow);
  queue.Push({5, 1, kLater, 3}, kNow);
  const auto dropped = queue.Push({0, 9, kLater, 4}, kNow);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped.front().item == 3);
  CHECK(TakeAll(queue) == std::vector{4, 1, 2});
}

TEST_CASE("Items that can't be served by their deadline are returned at once") {
  AdmissionQueue<int> queue(100, 1);
  for (auto n = 0; n < 200; ++n) {
    queue.NoteServiceTime(Milliseconds(10));
  }
  const auto deadline = kNow + Milliseconds(35);
  CHECK(queue.Push({5, 1, deadline, 1}, kNow).empty());
  CHECK(queue.Push({5, 1, deadline, 2}, kNow).empty());
  CHECK(queue.Push({5, 1, deadline, 3}, kNow).empty());
  CHECK(queue.Push({5, 1, deadline, 4}, kNow).size() == 1);
  std::vector<QueuedItem<int>> late;
  CHECK_FALSE(queue.Pop(kNow + Milliseconds(30), late));
  CHECK(late.size() == 3);
}

TEST_CASE("No item is lost or duplicated under any order of operations") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& steps) {
    AdmissionQueue<int> queue(5, 1);
    std::multiset<int> inside;
    std::vector<QueuedItem<int>> late;
    auto item = 0;
    for (const auto it : steps) {
      if (it % 3 != 0) {
        inside.insert(++item);
        const auto entry =
            QueuedItem<int>{it % 4, std::uint64_t{it} % 7, kLater, item};
        for (const auto& dropped : queue.Push(entry, kNow)) {
          RC_ASSERT(inside.erase(dropped.item) == 1);
        }
      } else if (it % 2 == 0) {
        const auto removed = queue.Remove(item);
        RC_ASSERT(removed == (inside.erase(item) == 1));
      } else if (const auto next = queue.Pop(kNow, late)) {
        RC_ASSERT(inside.erase(next->item) == 1);
      }
      RC_ASSERT(queue.Size() == inside.size());
      RC_ASSERT(queue.Size() <= 5);
    }
  }));
}

TEST_CASE("Refused callers get different retry delays") {
  RetryAfter retry_after(1);
  std::set<std::int64_t> times;
  for (auto n = 0; n < 1000; ++n) {
    const auto ms = retry_after.PickDelayMs(Milliseconds(500));
    CHECK(ms >= 500);
    CHECK(ms <= 1000);
    times.insert(ms);
  }
  CHECK(times.size() > 300);
}

TEST_CASE("Retries are limited to a fraction of the requests") {
  RetryBudget budget;
  auto retries = 0;
  for (auto n = 0; n < 1000; ++n) {
    budget.NoteRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 150);
  CHECK(retries >= 100);
}

TEST_CASE(
    "Pools and control connections of two owners fit members that accept 16 "
    "and 50 connections") {
  for (const std::int64_t connections : {16, 50}) {
    CHECK(2 * (OwnerPoolConnections(connections) + kControlConnections) <=
          connections);
  }
  CHECK(OwnerPoolConnections(16) > 2);
  CHECK(OwnerPoolConnections(50) > 5);
}

}  // namespace
}  // namespace kingcuplock

namespace kingcuplock {
namespace {

// While the primary is unavailable, the requests are refused whose deadline is
// before its expected return.
TEST_CASE("Items due before a time are removed and the rest stay in order") {
  AdmissionQueue<int> queue(100, 4);
  for (auto n = 0; n < 10; ++n) {
    const auto deadline = Time{} + Milliseconds(n % 2 == 0 ? 900 : 100);
    queue.Push({n % 3, static_cast<std::uint64_t>(n % 4), deadline, n}, Time{});
  }
  queue.PushFront({0, 1, Time{} + Milliseconds(50), 77});
  const auto due = queue.TakeDueBefore(Time{} + Milliseconds(500));
  CHECK(due.size() == 6);
  CHECK(queue.Size() == 5);
  std::vector<AdmissionQueue<int>::Entry> late;
  auto n = 0;
  while (const auto next = queue.Pop(Time{}, late)) {
    CHECK(next->item % 2 == 0);
    ++n;
  }
  CHECK(n == 5);
}

const Time kTarget = Time{} + Milliseconds(400);
const Time kDeadline = Time{} + Milliseconds(1000);

// The queue looped forever when an item past its target was next to one that
// was not accepted.
TEST_CASE("An item past its target is taken while the others aren't accepted") {
  AdmissionQueue<int> queue(100, 1);
  queue.Push({1, 1, kDeadline, 1, "pinned", kDeadline}, Time{});
  queue.Push({1, 2, kDeadline, 2, "single", kTarget}, Time{});
  std::vector<AdmissionQueue<int>::Entry> late;
  const auto single = [](const auto& it) { return it.item == 2; };
  const auto next = queue.PopIf(Time{} + Milliseconds(500), late, single);
  REQUIRE(next);
  CHECK(next->item == 2);
  CHECK_FALSE(queue.PopIf(Time{} + Milliseconds(500), late, single));
  CHECK(queue.Size() == 1);
  CHECK(late.empty());
}

// The queue holds requests that missed their target while the primary was
// paused, and newer ones that can still meet it.
TEST_CASE("Items that missed their target are served after those on time") {
  AdmissionQueue<int> queue(100, 4);
  queue.Push({1, 1, kDeadline, 1, "a", kTarget}, Time{});
  const auto now = Time{} + Milliseconds(500);
  queue.Push({1, 2, now + Milliseconds(900), 2, "a", now + Milliseconds(400)},
             now);
  std::vector<AdmissionQueue<int>::Entry> late;
  CHECK(queue.Pop(now, late)->item == 2);
  CHECK(queue.Pop(now, late)->item == 1);
  CHECK(late.empty());
}

// One of two kinds of the same priority arrives far more often.
TEST_CASE(
    "Kinds of one priority are served the same fraction of what they offer") {
  AdmissionQueue<int> queue(200, 1);
  std::map<std::string, int> offered;
  std::map<std::string, int> served;
  std::vector<AdmissionQueue<int>::Entry> late;
  auto now = kNow;
  for (auto n = 0; n < 4000; ++n) {
    now += Milliseconds(1);
    const std::string kind = n % 5 == 0 ? "rare" : "common";
    ++offered[kind];
    queue.Push(
        {1, static_cast<std::uint64_t>(n), now + Milliseconds(300), n, kind},
        now);
    if (n % 2 == 0) {
      if (const auto next = queue.Pop(now, late)) {
        ++served[next->kind];
      }
    }
  }
  CHECK(served["rare"] * 100 >= offered["rare"] * 45);
  CHECK(served["common"] * 100 >= offered["common"] * 45);
}

// In an overload that doesn't end, a longer queue doesn't serve more requests.
TEST_CASE(
    "In a lasting overload the wait stays a small fraction of the target") {
  AdmissionQueue<int> queue(1000, 1);
  std::vector<AdmissionQueue<int>::Entry> late;
  auto now = kNow;
  Duration longest{};
  auto refused = 0;
  for (auto n = 0; n < 6000; ++n) {
    now += Milliseconds(1);
    const auto dropped =
        queue.Push({1, static_cast<std::uint64_t>(n), now + Milliseconds(2000),
                    n, "a", now + Milliseconds(400)},
                   now);
    refused += static_cast<int>(dropped.size());
    if (n % 4 == 0) {
      const auto next = queue.Pop(now, late);
      if (next && n > 3000) {
        longest = std::max<Duration>(longest, now - next->added);
      }
    }
  }
  CHECK(longest <= Milliseconds(200));
  CHECK(late.empty());
  CHECK(refused > 4000);
}

}  // namespace
}  // namespace kingcuplock
