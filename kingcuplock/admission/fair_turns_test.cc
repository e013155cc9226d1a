// Guards against a tenant that gets more turns than others because it has more
// callers, and against entries that are lost or counted twice.

#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/admission/admission_queue.h"

namespace kingcuplock {
namespace {

constexpr Time kStart{Milliseconds(1000)};

auto Item(int n, std::string tenant, std::uint64_t caller) -> QueuedItem<int> {
  QueuedItem<int> out;
  out.caller = caller;
  out.deadline = kStart + Milliseconds(100'000);
  out.item = n;
  out.tenant = std::move(tenant);
  return out;
}

auto Any(const QueuedItem<int>&) -> bool {
  return true;
}

// Load: one tenant at eight times the usual of the others, from many callers.
TEST_CASE("load: a large tenant takes turns with small ones") {
  AdmissionQueue<int> queue(1000, 4);
  for (int n = 0; n < 80; ++n) {
    queue.Push(Item(n, "hot", static_cast<std::uint64_t>(n)), kStart);
  }
  for (int n = 0; n < 10; ++n) {
    queue.Push(Item(100 + n, "small", 500), kStart);
  }
  std::vector<QueuedItem<int>> late;
  std::map<std::string, int> served;
  for (int n = 0; n < 20; ++n) {
    ++served[queue.Pop(kStart, late)->tenant];
  }
  CHECK(served["small"] == 10);
  CHECK(served["hot"] == 10);
}

TEST_CASE("load: three hot tenants and many small ones get equal turns") {
  FairTurns<QueuedItem<int>> turns;
  for (int n = 0; n < 300; ++n) {
    turns.Push(
        Item(n, "hot" + std::to_string(n % 3), static_cast<std::uint64_t>(n)));
  }
  for (int n = 0; n < 20; ++n) {
    turns.Push(Item(n, "small" + std::to_string(n), 7));
  }
  std::map<std::string, int> served;
  for (int n = 0; n < 23; ++n) {
    ++served[turns.Take(Any)->tenant];
  }
  CHECK(served.size() == 23);
  CHECK(turns.Size() == 297);
}

TEST_CASE(
    "turns: what is shed is of the largest tenant and its busiest caller") {
  FairTurns<QueuedItem<int>> turns;
  turns.Push(Item(1, "a", 1));
  turns.Push(Item(2, "b", 1));
  turns.Push(Item(3, "b", 2));
  turns.Push(Item(4, "b", 2));
  CHECK(turns.Newest().item == 4);
  CHECK(turns.TakeNewest().item == 4);
  CHECK(turns.TakeNewest().tenant == "b");
  CHECK(turns.Size() == 2);
}

TEST_CASE("turns: an entry that is not accepted is passed over") {
  FairTurns<QueuedItem<int>> turns;
  turns.Push(Item(1, "a", 1));
  turns.Push(Item(2, "b", 1));
  turns.Push(Item(3, "a", 2));
  const auto taken =
      turns.Take([](const auto& it) { return it.tenant == "b"; });
  CHECK(taken->item == 2);
  CHECK(turns.Next().item == 1);
  const auto removed =
      turns.RemoveIf([](const auto& it) { return it.item == 1; });
  CHECK(removed.size() == 1);
  CHECK(turns.Take(Any)->item == 3);
  CHECK(turns.Size() == 0);
  CHECK_FALSE(turns.Take(Any));
}

}  // namespace
}  // namespace kingcuplock
