#pragma once

/// Bounded queue of requests that wait for a slot. The most urgent priority
/// goes first, callers of one priority take turns, and what can't be served
/// in time or finds no room is handed back at once, least urgent first.
///
/// Example:
///   AdmissionQueue<RequestPtr> queue(limit, slots);
///   for (auto& it : queue.Push({priority, caller, deadline, item}, now)) {
///     Refuse(it.item);
///   }
///   auto next = queue.Pop(now, refused);

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// A request that waits.
template <typename Item>
struct QueuedItem {
  /// 0 is the most urgent.
  std::int64_t priority = 0;
  /// Tells callers apart.
  std::uint64_t caller = 0;
  /// When it is no longer wanted.
  Time deadline{};
  Item item;
};

/// Not thread safe. Push and Pop are O(priorities) beyond what is handed back.
template <typename Item>
class AdmissionQueue {
 public:
  using Entry = QueuedItem<Item>;

  /// Holds at most `limit` items, served by `slots` at once.
  AdmissionQueue(std::size_t limit, std::int64_t slots)
      : limit_(limit), slots_(std::max<std::int64_t>(slots, 1)) {}

  /// Adds an item. Returns what has to go: the least urgent items that find no
  /// room or can't be served by their deadline any more, maybe the new one.
  auto Push(Entry entry, Time now) -> std::vector<Entry> {
    const auto priority = entry.priority;
    auto& lane = lanes_[priority];
    auto& turns = lane.callers[entry.caller];
    if (turns.empty()) {
      lane.order.push_back(entry.caller);
    }
    turns.push_back(std::move(entry));
    ++lane.size;
    ++size_;
    return Shed(now);
  }

  /// Puts an item that was taken before in front of all others.
  void PushFront(Entry entry) {
    front_.push_front(std::move(entry));
    ++size_;
  }

  /// Takes the next item, nullopt when empty. Items whose deadline would pass
  /// before they are served are appended to `late` instead.
  auto Pop(Time now, std::vector<Entry>& late) -> std::optional<Entry> {
    while (auto entry = TakeFirst()) {
      if (now + service_ <= entry->deadline) {
        return entry;
      }
      late.push_back(std::move(*entry));
    }
    return std::nullopt;
  }

  /// Removes an item that waits. Returns false if it is not here. O(n).
  auto Remove(const Item& item) -> bool {
    const auto same = [&](const Entry& it) { return it.item == item; };
    if (std::erase_if(front_, same) > 0) {
      --size_;
      return true;
    }
    for (auto& [priority, lane] : lanes_) {
      for (auto& [caller, turns] : lane.callers) {
        if (std::erase_if(turns, same) > 0) {
          --lane.size;
          --size_;
          DropIfEmpty(lane, caller);
          return true;
        }
      }
    }
    return false;
  }

  /// Removes and returns the items whose deadline is before `time`. O(n).
  auto TakeDueBefore(Time time) -> std::vector<Entry> {
    std::vector<Entry> due;
    const auto take = [&](std::deque<Entry>& entries) {
      const auto first = std::stable_partition(
          entries.begin(), entries.end(),
          [&](const auto& it) { return it.deadline >= time; });
      std::move(first, entries.end(), std::back_inserter(due));
      const auto n = static_cast<std::size_t>(entries.end() - first);
      entries.erase(first, entries.end());
      size_ -= n;
      return n;
    };
    take(front_);
    for (auto& [priority, lane] : lanes_) {
      const std::vector<std::uint64_t> callers(lane.order.begin(),
                                               lane.order.end());
      for (const auto caller : callers) {
        lane.size -= take(lane.callers.at(caller));
        DropIfEmpty(lane, caller);
      }
    }
    return due;
  }

  /// Removes all items.
  void Clear() {
    front_.clear();
    lanes_.clear();
    size_ = 0;
  }

  /// Sets how many items are served at once.
  auto SetSlots(std::int64_t slots) -> void {
    slots_ = std::max<std::int64_t>(slots, 1);
  }

  /// Returns the number of items.
  auto Size() const -> std::size_t { return size_; }

  /// Notes how long one request held its slot.
  void NoteService(Duration service) {
    constexpr int kWeight = 16;
    service_ += (service - service_) / kWeight;
  }

  /// Returns how long one request holds its slot, by the newest measurements.
  auto Service() const -> Duration { return service_; }

  /// Returns how long a new item of `priority` will wait and run, as long as
  /// nothing more urgent arrives.
  auto ExpectedTime(std::int64_t priority) const -> Duration {
    auto ahead = front_.size();
    for (const auto& [other, lane] : lanes_) {
      ahead += other <= priority ? lane.size : 0;
    }
    return service_ * static_cast<std::int64_t>(ahead) / slots_ + service_;
  }

 private:
  struct Lane {
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::deque<Entry>> callers;
    std::size_t size = 0;
  };

  static void DropIfEmpty(Lane& lane, std::uint64_t caller) {
    const auto it = lane.callers.find(caller);
    if (it->second.empty()) {
      lane.callers.erase(it);
      lane.order.remove(caller);
    }
  }

  auto TakeFirst() -> std::optional<Entry> {
    if (!front_.empty()) {
      auto entry = std::move(front_.front());
      front_.pop_front();
      --size_;
      return entry;
    }
    for (auto& [priority, lane] : lanes_) {
      if (auto entry = TakeTurn(lane)) {
        --size_;
        return entry;
      }
    }
    return std::nullopt;
  }

  static auto TakeTurn(Lane& lane) -> std::optional<Entry> {
    if (lane.order.empty()) {
      return std::nullopt;
    }
    const auto caller = lane.order.front();
    lane.order.pop_front();
    auto& turns = lane.callers.at(caller);
    auto entry = std::move(turns.front());
    turns.pop_front();
    --lane.size;
    if (turns.empty()) {
      lane.callers.erase(caller);
    } else {
      lane.order.push_back(caller);
    }
    return entry;
  }

  // Takes the newest item of the caller that has the most, in the least urgent
  // lane.
  auto TakeLeast() -> std::optional<Entry> {
    for (auto it = lanes_.rbegin(); it != lanes_.rend(); ++it) {
      auto& lane = it->second;
      if (lane.size == 0) {
        continue;
      }
      const auto caller = LongestOf(lane);
      auto& turns = lane.callers.at(caller);
      auto entry = std::move(turns.back());
      turns.pop_back();
      --lane.size;
      --size_;
      DropIfEmpty(lane, caller);
      return entry;
    }
    return std::nullopt;
  }

  auto Shed(Time now) -> std::vector<Entry> {
    std::vector<Entry> shed;
    while (size_ > front_.size() && (size_ > limit_ || LastIsLate(now))) {
      shed.push_back(std::move(*TakeLeast()));
    }
    return shed;
  }

  // Whether the newest item of the least urgent lane would be served too late.
  auto LastIsLate(Time now) const -> bool {
    for (auto it = lanes_.rbegin(); it != lanes_.rend(); ++it) {
      const auto& lane = it->second;
      if (lane.size == 0) {
        continue;
      }
      const auto& turns = lane.callers.at(LongestOf(lane));
      const auto wait =
          service_ * static_cast<std::int64_t>(size_ - 1) / slots_ + service_;
      return now + wait > turns.back().deadline;
    }
    return false;
  }

  // Returns the caller that has the most; of equals, the one whose turn is
  // last.
  static auto LongestOf(const Lane& lane) -> std::uint64_t {
    auto best = lane.order.back();
    auto most = lane.callers.at(best).size();
    for (auto it = lane.order.rbegin(); it != lane.order.rend(); ++it) {
      const auto size = lane.callers.at(*it).size();
      if (size > most) {
        best = *it;
        most = size;
      }
    }
    return best;
  }

  std::size_t limit_;
  std::int64_t slots_;
  std::deque<Entry> front_;
  std::map<std::int64_t, Lane> lanes_;
  std::size_t size_ = 0;
  Duration service_{Milliseconds(1)};
};

}  // namespace kingcuplock
