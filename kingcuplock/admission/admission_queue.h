#pragma once

/// Bounded queue of requests that wait for a slot. More urgent priorities are
/// served first. Kinds of the same priority are served the same fraction of
/// what they offer. Tenants of one kind take turns, and so do a tenant's
/// callers. A request that has missed its target is served after those that can
/// still meet theirs. Requests that can't be served in time or find no room are
/// returned at once, least urgent first.
///
/// A longer queue doesn't serve more requests in a lasting overload. Once the
/// requests of a kind have waited for as long as their target without a break,
/// a new one is admitted only if it has to wait for a small fraction of its
/// target ("controlled delay", K. Nichols and V. Jacobson, ACM Queue 10/5,
/// 2012).
///
/// Example:
///   AdmissionQueue<RequestPtr> queue(limit, slots);
///   for (auto& it : queue.Push({priority, caller, deadline, item}, now)) {
///     Refuse(it.item);
///   }
///   std::vector<AdmissionQueue<RequestPtr>::Entry> late;
///   auto next = queue.Pop(now, late);

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/admission/fair_turns.h"
#include "kingcuplock/admission/queue_stats.h"
#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// A queued request, with what decides when it is served.
template <typename Item>
struct QueuedItem {
  /// 0 is the most urgent.
  std::int64_t priority = 0;
  /// Identifies the caller.
  std::uint64_t caller = 0;
  /// Time after which an answer is of no use.
  Time deadline{};
  Item item;
  /// Name of the request kind in the configuration.
  std::string kind = {};
  /// When it should be answered, by its latency target; nullopt stands for the
  /// deadline.
  std::optional<Time> target = std::nullopt;
  /// When it was added; set by Push().
  Time added{};
  /// Tenant of the caller, empty for none.
  std::string tenant = {};

  /// Returns the target or the deadline, whichever is earlier.
  auto wanted_by() const -> Time {
    return std::min(target.value_or(deadline), deadline);
  }
};

/// Not thread safe. Push() and Pop() are O(kinds), plus the items returned;
/// Pop() is also O(callers passed over).
template <typename Item>
class AdmissionQueue {
 public:
  using Entry = QueuedItem<Item>;

  /// Holds at most `limit` items, served by `slots` at once.
  AdmissionQueue(std::size_t limit, std::int64_t slots)
      : limit_(limit), slots_(std::max<std::int64_t>(slots, 1)) {}

  /// Adds an item. Returns the items that are dropped, which may include the
  /// new one: where there is no room, first those that have missed their target
  /// and then the least urgent; and those that can't be served in time any
  /// more.
  auto Push(Entry entry, Time now) -> std::vector<Entry> {
    entry.added = now;
    auto& level = levels_[entry.priority];
    auto& kind = level[entry.kind];
    kind.share.NoteOffered(now);
    kind.delay.NoteAdded(now, kind.turns.Size());
    kind.turns.Push(std::move(entry));
    ++size_;
    return DropExcess(kind, now);
  }

  /// Puts back an item that was taken before, ahead of all others.
  void PushFront(Entry entry) {
    front_.push_front(std::move(entry));
    ++size_;
  }

  /// Takes the next item; nullopt if there is none. Items whose deadline would
  /// pass before they are served are appended to `late` instead.
  auto Pop(Time now, std::vector<Entry>& late) -> std::optional<Entry> {
    return PopIf(now, late, [](const Entry&) { return true; });
  }

  /// Takes the next item for which `accepts(entry)` is true; the others keep
  /// their order.
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

  /// Removes an item. Returns false if it is not in the queue. O(n).
  auto Remove(const Item& item) -> bool {
    const auto same = [&](const Entry& it) { return it.item == item; };
    if (std::erase_if(front_, same) > 0 || std::erase_if(overdue_, same) > 0) {
      --size_;
      return true;
    }
    for (auto& [priority, level] : levels_) {
      for (auto& [name, kind] : level) {
        if (!kind.turns.RemoveIf(same).empty()) {
          --size_;
          return true;
        }
      }
    }
    return false;
  }

  /// Removes and returns the items whose deadline is before `time`. O(n) in
  /// items.
  auto TakeDueBefore(Time time) -> std::vector<Entry> {
    std::vector<Entry> due;
    const auto take = [&](std::deque<Entry>& entries) {
      const auto first = std::stable_partition(
          entries.begin(), entries.end(),
          [&](const auto& it) { return it.deadline >= time; });
      std::move(first, entries.end(), std::back_inserter(due));
      size_ -= static_cast<std::size_t>(entries.end() - first);
      entries.erase(first, entries.end());
    };
    take(front_);
    take(overdue_);
    for (auto& [priority, level] : levels_) {
      for (auto& [name, kind] : level) {
        auto removed = kind.turns.RemoveIf(
            [time](const Entry& it) { return it.deadline < time; });
        size_ -= removed.size();
        std::move(removed.begin(), removed.end(), std::back_inserter(due));
      }
    }
    return due;
  }

  /// Removes all items.
  void Clear() {
    front_.clear();
    overdue_.clear();
    levels_.clear();
    size_ = 0;
  }

  /// Sets how many items are served at once.
  auto SetSlots(std::int64_t slots) -> void {
    slots_ = std::max<std::int64_t>(slots, 1);
  }

  /// Returns the number of items.
  auto Size() const -> std::size_t { return size_; }

  /// Returns whether requests less urgent than `priority` have been added since
  /// the queue was made or cleared.
  auto IsAboveLowestPriority(std::int64_t priority) const -> bool {
    return !levels_.empty() && priority < levels_.rbegin()->first;
  }

  /// Records how long one request held its slot.
  void NoteServiceTime(Duration service) {
    constexpr int kAverageDivisor = 16;
    service_ += (service - service_) / kAverageDivisor;
  }

  /// Returns the moving average of the time for which a request holds its slot.
  auto ServiceTime() const -> Duration { return service_; }

  /// Returns how long a new item of `priority` is expected to wait and run if
  /// nothing more urgent arrives.
  auto ExpectedLatency(std::int64_t priority) const -> Duration {
    auto ahead = front_.size();
    for (const auto& [other, level] : levels_) {
      if (other <= priority) {
        for (const auto& [name, kind] : level) {
          ahead += kind.turns.Size();
        }
      }
    }
    return service_ * static_cast<std::int64_t>(ahead) / slots_ + service_;
  }

 private:
  struct Kind {
    FairTurns<Entry> turns;
    ServedRatio share;
    QueueDelay delay;
  };
  /// Kinds of one priority, by name.
  using PriorityLevel = std::map<std::string, Kind>;

  template <typename Accepts>
  auto TakeFirst(Time now, Accepts accepts) -> std::optional<Entry> {
    if (auto entry = TakeFrom(front_, accepts)) {
      return entry;
    }
    for (auto& [priority, level] : levels_) {
      if (auto entry = TakeFromLevel(level, now, accepts)) {
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

  /// Takes an item of the kind that was served the smallest fraction of what it
  /// offered; of the kind next to it if none of its items is accepted.
  template <typename Accepts>
  auto TakeFromLevel(PriorityLevel& level, Time now, Accepts accepts)
      -> std::optional<Entry> {
    std::vector<std::pair<double, Kind*>> kinds;
    for (auto& [name, kind] : level) {
      if (kind.turns.Size() > 0) {
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
    auto entry = kind.turns.Take(accepts);
    size_ -= entry ? 1 : 0;
    return entry;
  }

  /// Moves items to `late` that are at the head of their kind and can no longer
  /// be served by their deadline.
  auto TakeLate(Time now, std::vector<Entry>& late) -> void {
    const auto any = [](const Entry&) { return true; };
    for (auto& [priority, level] : levels_) {
      for (auto& [name, kind] : level) {
        while (kind.turns.Size() > 0) {
          if (now + service_ <= kind.turns.Next().deadline) {
            break;
          }
          late.push_back(*TakeTurn(kind, any));
        }
      }
    }
  }

  /// Takes the newest item of the tenant and caller that have the most items.
  auto TakeNewest(Kind& kind) -> Entry {
    --size_;
    return kind.turns.TakeNewest();
  }

  /// Returns the kind with the most items in the least urgent priority that has
  /// any; nullptr if there are none.
  auto LargestLeastUrgentKind() -> Kind* {
    for (auto it = levels_.rbegin(); it != levels_.rend(); ++it) {
      Kind* most = nullptr;
      for (auto& [name, kind] : it->second) {
        if (kind.turns.Size() > (most == nullptr ? 0 : most->turns.Size())) {
          most = &kind;
        }
      }
      if (most != nullptr) {
        return most;
      }
    }
    return nullptr;
  }

  /// Drops items beyond the limit, then the newest items of `added` and of the
  /// least urgent kind that would be served too late.
  auto DropExcess(Kind& added, Time now) -> std::vector<Entry> {
    std::vector<Entry> dropped;
    while (size_ > limit_ && !overdue_.empty()) {
      dropped.push_back(std::move(overdue_.front()));
      overdue_.pop_front();
      --size_;
    }
    while (size_ > limit_) {
      auto* kind = LargestLeastUrgentKind();
      if (kind == nullptr) {
        break;
      }
      dropped.push_back(TakeNewest(*kind));
    }
    while (added.turns.Size() > 0 && NewestIsLate(added, now)) {
      dropped.push_back(TakeNewest(added));
    }
    auto* least = LargestLeastUrgentKind();
    while (least != nullptr && least != &added && least->turns.Size() > 0 &&
           NewestIsLate(*least, now)) {
      dropped.push_back(TakeNewest(*least));
    }
    return dropped;
  }

  /// Returns whether the newest item of the caller with the most items would
  /// miss its target, or wait for longer than is allowed in a queue that stays
  /// filled.
  auto NewestIsLate(const Kind& kind, Time now) const -> bool {
    const auto& newest = kind.turns.Newest();
    const auto ahead = static_cast<std::int64_t>(kind.turns.Size() - 1);
    const auto all_ahead =
        static_cast<std::int64_t>(size_ - overdue_.size() - 1);
    const auto departure_interval = kind.delay.departure_interval();
    const auto wait = departure_interval ? *departure_interval * ahead
                                         : service_ * all_ahead / slots_;
    const auto left = newest.wanted_by() - now;
    return wait + service_ > left ||
           wait > kind.delay.MaxWait(now, newest.wanted_by() - newest.added);
  }

  std::size_t limit_;
  std::int64_t slots_;
  std::deque<Entry> front_;
  std::map<std::int64_t, PriorityLevel> levels_;
  /// Items that missed their target but can still meet their deadline, in the
  /// order in which that was found.
  std::deque<Entry> overdue_;
  std::size_t size_ = 0;
  Duration service_{Milliseconds(1)};
};

}  // namespace kingcuplock
