#pragma once

/// Queue of requests that wait for a slot: by priority, then in order of
/// arrival, with an estimate of the wait for early refusal.
///
/// Example:
///   RequestQueue<RequestPtr> queue;
///   if (queue.ExpectedWait(slots) > patience) { Refuse(); }
///   queue.Push(priority, request);

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Not thread safe. Push and Pop are O(log p) in priorities.
template <typename Item>
class RequestQueue {
 public:
  /// Adds an item; 0 is the most urgent priority.
  void Push(std::int64_t priority, Item item) {
    lanes_[priority].push_back(std::move(item));
    ++size_;
  }

  /// Puts an item back in front of its priority.
  void PushFront(std::int64_t priority, Item item) {
    lanes_[priority].push_front(std::move(item));
    ++size_;
  }

  /// Takes the most urgent item, nullopt when empty.
  auto Pop() -> std::optional<Item> {
    for (auto& [priority, lane] : lanes_) {
      if (lane.empty()) {
        continue;
      }
      auto item = std::move(lane.front());
      lane.pop_front();
      --size_;
      return item;
    }
    return std::nullopt;
  }

  /// Removes an item that waits. Returns false if it is not here. O(n).
  auto Remove(const Item& item) -> bool {
    for (auto& [priority, lane] : lanes_) {
      const auto it = std::find(lane.begin(), lane.end(), item);
      if (it != lane.end()) {
        lane.erase(it);
        --size_;
        return true;
      }
    }
    return false;
  }

  /// Removes all items.
  void Clear() {
    lanes_.clear();
    size_ = 0;
  }

  /// Returns the number of items.
  auto Size() const -> std::size_t { return size_; }

  /// Returns the number of items that go before a new one of `priority`.
  auto Ahead(std::int64_t priority) const -> std::size_t {
    std::size_t n = 0;
    for (const auto& [lane_priority, lane] : lanes_) {
      if (lane_priority <= priority) {
        n += lane.size();
      }
    }
    return n;
  }

  /// Notes how long one request held its slot.
  void NoteService(Duration service) {
    constexpr int kWeight = 16;
    service_ += (service - service_) / kWeight;
  }

  /// Returns how long a new item of `priority` will wait for one of `slots`.
  auto ExpectedWait(std::int64_t priority, std::int64_t slots) const
      -> Duration {
    const auto ahead = static_cast<std::int64_t>(Ahead(priority));
    return service_ * ahead / std::max<std::int64_t>(slots, 1);
  }

 private:
  std::map<std::int64_t, std::deque<Item>> lanes_;
  std::size_t size_ = 0;
  Duration service_{Milliseconds(1)};
};

}  // namespace kingcuplock
