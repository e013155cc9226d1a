#pragma once

/// Members registered in the store. One whose entry disappears counts as
/// registered for a short while: entries lapse with an outage of the store and
/// come back after it.
///
/// Example:
///   EndpointDirectory directory(timers, [] { ApplyMembers(); });
///   directory.Set(entry);
///   directory.Remove("m-2");

#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe.
class EndpointDirectory {
 public:
  /// Time in ms for which a member whose entry disappeared stays listed; the
  /// platform has entries of live members back within two seconds.
  static constexpr Milliseconds kPatience{2500};

  EndpointDirectory(TimerService& timers, std::function<void()> on_change)
      : timers_(timers), on_change_(std::move(on_change)) {}

  /// Takes an entry in.
  auto Set(const EndpointEntry& entry) -> void {
    auto& known = entries_[entry.member];
    timers_.Cancel(std::exchange(known.removal, 0));
    if (known.entry != entry) {
      known.entry = entry;
      on_change_();
    }
  }

  /// Notes that a member's entry is gone.
  auto Remove(const std::string& member) -> void {
    const auto it = entries_.find(member);
    if (it == entries_.end() || it->second.removal != 0) {
      return;
    }
    it->second.removal = timers_.After(kPatience, guard_.Bind([this, member] {
      entries_.erase(member);
      on_change_();
    }));
  }

  /// Returns the entries of one group.
  auto EntriesOfGroup(const std::string& group) const
      -> std::vector<EndpointEntry> {
    std::vector<EndpointEntry> out;
    for (const auto& [member, known] : entries_) {
      if (known.entry.group == group) {
        out.push_back(known.entry);
      }
    }
    return out;
  }

  /// Returns all entries, to pass on to a peer.
  auto All() const -> std::vector<EndpointEntry> {
    std::vector<EndpointEntry> out;
    for (const auto& [member, known] : entries_) {
      out.push_back(known.entry);
    }
    return out;
  }

  auto Size() const -> std::size_t { return entries_.size(); }

 private:
  struct Known {
    EndpointEntry entry;
    TimerId removal = 0;
  };

  TimerService& timers_;
  std::function<void()> on_change_;
  LifeGuard guard_;
  std::map<std::string, Known> entries_;
};

}  // namespace kingcuplock
