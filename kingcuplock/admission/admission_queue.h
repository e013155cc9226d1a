#pragma once

/// Bounded queue of requests that wait for a slot. The most urgent priority
/// goes first. Kinds of one priority are served the same part of what they
/// offer, and callers of one kind take turns. A request that has missed its
/// target gives way to those that can still meet theirs. What can't be served
/// in time or finds no room is handed back at once, least urgent first.
///
/// A queue that stays filled serves nobody more for being long. Once requests
/// of a kind have waited for as long as their target without a break, a new one
/// is let in only if it waits for a small part of that ("controlled delay",
/// K. Nichols and V. Jacobson, ACM Queue 10/5, 2012).
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
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kingcuplock/admission/queue_stats.h"
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
  /// Kind of request, as the configuration names it.
  std::string kind = {};
  /// When it should be answered; its deadline if there is no target.
  std::optional<Time> target = std::nullopt;
  /// When it was added.
  Time added{};

  auto wanted_by() const -> Time {
    return std::min(target.value_or(deadline), deadline);
  }
};

/// Not thread safe. Push and Pop are O(kinds) beyond what is handed back, Pop
/// also O(callers passed over).
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
    entry.added = now;
    auto& lane = lanes_[entry.priority];
    auto& kind = lane[entry.kind];
    kind.share.NoteOffered(now);
    kind.delay.NoteAdded(now, kind.size);
    auto& turns = kind.callers[entry.caller];
    if (turns.empty()) {
      kind.order.push_back(entry.caller);
    }
    turns.push_back(std::move(entry));
    ++kind.size;
    ++size_;
    return Shed(kind, now);
  }

  /// Puts an item that was taken before in front of all others.
  void PushFront(Entry entry) {
    front_.push_front(std::move(entry));
    ++size_;
  }

  /// Takes the next item, nullopt when empty. Items whose deadline would pass
  /// before they are served are appended to `late` instead.
  auto Pop(Time now, std::vector<Entry>& late) -> std::optional<Entry> {
    return PopIf(now, late, [](const Entry&) { return true; });
  }

  /// Takes the next item that `accepts`; the others keep their places.
  template <typename Accepts>
  auto PopIf(Time now, std::vector<Entry>& late, Accepts accepts)
      -> std::optional<Entry> {
    TakeLate(now, late);
    while (auto entry = TakeFirst(now, accepts)) {
      if (now + service_ > entry->deadline) {
        late.push_back(std::move(*entry));
      } else if (now + service_ > entry->wanted_by() && size_ > 0) {
        overdue_.push_back(std::move(*entry));
        ++size_;
      } else {
        return entry;
      }
    }
    while (auto entry = TakeFrom(overdue_, accepts)) {
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
    if (std::erase_if(front_, same) > 0 || std::erase_if(overdue_, same) > 0) {
      --size_;
      return true;
    }
    for (auto& [priority, lane] : lanes_) {
      for (auto& [name, kind] : lane) {
        for (auto& [caller, turns] : kind.callers) {
          if (std::erase_if(turns, same) > 0) {
            --kind.size;
            --size_;
            DropIfEmpty(kind, caller);
            return true;
          }
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
    take(overdue_);
    for (auto& [priority, lane] : lanes_) {
      for (auto& [name, kind] : lane) {
        const std::vector<std::uint64_t> callers(kind.order.begin(),
                                                 kind.order.end());
        for (const auto caller : callers) {
          kind.size -= take(kind.callers.at(caller));
          DropIfEmpty(kind, caller);
        }
      }
    }
    return due;
  }

  /// Removes all items.
  void Clear() {
    front_.clear();
    overdue_.clear();
    lanes_.clear();
    size_ = 0;
  }

  /// Sets how many items are served at once.
  auto SetSlots(std::int64_t slots) -> void {
    slots_ = std::max<std::int64_t>(slots, 1);
  }

  /// Returns the number of items.
  auto Size() const -> std::size_t { return size_; }

  /// Returns whether less urgent requests than those of `priority` have come.
  auto IsAboveLowestPriority(std::int64_t priority) const -> bool {
    return !lanes_.empty() && priority < lanes_.rbegin()->first;
  }

  /// Notes how long one request held its slot.
  void NoteServiceTime(Duration service) {
    constexpr int kWeight = 16;
    service_ += (service - service_) / kWeight;
  }

  /// Returns how long one request holds its slot, by the newest measurements.
  auto ServiceTime() const -> Duration { return service_; }

  /// Returns how long a new item of `priority` will wait and run, as long as
  /// nothing more urgent arrives.
  auto ExpectedLatency(std::int64_t priority) const -> Duration {
    auto ahead = front_.size();
    for (const auto& [other, lane] : lanes_) {
      if (other <= priority) {
        for (const auto& [name, kind] : lane) {
          ahead += kind.size;
        }
      }
    }
    return service_ * static_cast<std::int64_t>(ahead) / slots_ + service_;
  }

 private:
  struct Kind {
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::deque<Entry>> callers;
    std::size_t size = 0;
    ServedRatio share;
    QueueDelay delay;
  };
  /// By name.
  using Lane = std::map<std::string, Kind>;

  static void DropIfEmpty(Kind& kind, std::uint64_t caller) {
    const auto it = kind.callers.find(caller);
    if (it->second.empty()) {
      kind.callers.erase(it);
      kind.order.remove(caller);
    }
  }

  template <typename Accepts>
  auto TakeFirst(Time now, Accepts accepts) -> std::optional<Entry> {
    if (auto entry = TakeFrom(front_, accepts)) {
      return entry;
    }
    for (auto& [priority, lane] : lanes_) {
      if (auto entry = TakeFromLane(lane, now, accepts)) {
        return entry;
      }
    }
    return std::nullopt;
  }

  template <typename Accepts>
  auto TakeFrom(std::deque<Entry>& entries, Accepts accepts)
      -> std::optional<Entry> {
    const auto it = std::find_if(entries.begin(), entries.end(), accepts);
    if (it == entries.end()) {
      return std::nullopt;
    }
    auto entry = std::move(*it);
    entries.erase(it);
    --size_;
    return entry;
  }

  // The kind that was served the least part of what it offered goes first.
  template <typename Accepts>
  auto TakeFromLane(Lane& lane, Time now, Accepts accepts)
      -> std::optional<Entry> {
    std::vector<std::pair<double, Kind*>> kinds;
    for (auto& [name, kind] : lane) {
      if (kind.size > 0) {
        kinds.emplace_back(kind.share.RatioAt(now), &kind);
      }
    }
    std::stable_sort(kinds.begin(), kinds.end(),
                     [](const auto& left, const auto& right) {
                       return left.first < right.first;
                     });
    for (auto& [part, kind] : kinds) {
      if (auto entry = TakeTurn(*kind, accepts)) {
        kind->share.NoteServed(now);
        kind->delay.NoteLeft(now, now - entry->added,
                             entry->wanted_by() - entry->added);
        return entry;
      }
    }
    return std::nullopt;
  }

  template <typename Accepts>
  auto TakeTurn(Kind& kind, Accepts accepts) -> std::optional<Entry> {
    const auto it = std::find_if(
        kind.order.begin(), kind.order.end(),
        [&](auto caller) { return accepts(kind.callers.at(caller).front()); });
    if (it == kind.order.end()) {
      return std::nullopt;
    }
    const auto caller = *it;
    kind.order.erase(it);
    auto& turns = kind.callers.at(caller);
    auto entry = std::move(turns.front());
    turns.pop_front();
    --kind.size;
    --size_;
    if (turns.empty()) {
      kind.callers.erase(caller);
    } else {
      kind.order.push_back(caller);
    }
    return entry;
  }

  // Takes out what waited at the head of its kind until it was too late.
  auto TakeLate(Time now, std::vector<Entry>& late) -> void {
    const auto any = [](const Entry&) { return true; };
    for (auto& [priority, lane] : lanes_) {
      for (auto& [name, kind] : lane) {
        while (kind.size > 0) {
          const auto& head = kind.callers.at(kind.order.front()).front();
          if (now + service_ <= head.deadline) {
            break;
          }
          late.push_back(*TakeTurn(kind, any));
        }
      }
    }
  }

  // Takes the newest item of the caller that has the most.
  auto TakeLeast(Kind& kind) -> Entry {
    const auto caller = LongestOf(kind);
    auto& turns = kind.callers.at(caller);
    auto entry = std::move(turns.back());
    turns.pop_back();
    --kind.size;
    --size_;
    DropIfEmpty(kind, caller);
    return entry;
  }

  // Returns the kind with the most items in the least urgent lane that has any.
  auto LeastUrgent() -> Kind* {
    for (auto it = lanes_.rbegin(); it != lanes_.rend(); ++it) {
      Kind* most = nullptr;
      for (auto& [name, kind] : it->second) {
        if (kind.size > (most == nullptr ? 0 : most->size)) {
          most = &kind;
        }
      }
      if (most != nullptr) {
        return most;
      }
    }
    return nullptr;
  }

  auto Shed(Kind& added, Time now) -> std::vector<Entry> {
    std::vector<Entry> shed;
    while (size_ > limit_ && !overdue_.empty()) {
      shed.push_back(std::move(overdue_.front()));
      overdue_.pop_front();
      --size_;
    }
    while (size_ > limit_) {
      auto* kind = LeastUrgent();
      if (kind == nullptr) {
        break;
      }
      shed.push_back(TakeLeast(*kind));
    }
    while (added.size > 0 && LastIsLate(added, now)) {
      shed.push_back(TakeLeast(added));
    }
    auto* least = LeastUrgent();
    while (least != nullptr && least != &added && least->size > 0 &&
           LastIsLate(*least, now)) {
      shed.push_back(TakeLeast(*least));
    }
    return shed;
  }

  // Whether the newest item of a kind would be served too late.
  auto LastIsLate(const Kind& kind, Time now) const -> bool {
    const auto& last = kind.callers.at(LongestOf(kind)).back();
    const auto ahead = static_cast<std::int64_t>(kind.size - 1);
    const auto all_ahead =
        static_cast<std::int64_t>(size_ - overdue_.size() - 1);
    const auto pace = kind.delay.pace();
    const auto wait = pace ? *pace * ahead : service_ * all_ahead / slots_;
    const auto left = last.wanted_by() - now;
    return wait + service_ > left ||
           wait > kind.delay.MaxWait(now, last.wanted_by() - last.added);
  }

  // Returns the caller that has the most; of equals, the one whose turn is
  // last.
  static auto LongestOf(const Kind& kind) -> std::uint64_t {
    auto best = kind.order.back();
    auto most = kind.callers.at(best).size();
    for (auto it = kind.order.rbegin(); it != kind.order.rend(); ++it) {
      const auto size = kind.callers.at(*it).size();
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
  /// Items that missed their target but not their deadline, oldest first.
  std::deque<Entry> overdue_;
  std::size_t size_ = 0;
  Duration service_{Milliseconds(1)};
};

}  // namespace kingcuplock
