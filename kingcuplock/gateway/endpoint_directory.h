#pragma once

/// Members registered in the store. A member whose entry disappears stays
/// listed for a short while, as entries expire in an outage of the store and
/// come back after it. An entry that the member wrote before the listed one is
/// ignored: a restored store and peers may deliver it later.
///
/// Example:
///   EndpointDirectory directory(timers, [] { ApplyMembers(); });
///   directory.Set(entry);
///   directory.Remove("m-2");
///   directory.SetFromPeer(entry);  // while the store can't be reached

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// The members' entries, by member. Not thread safe.
class EndpointDirectory {
 public:
  /// Time in ms for which a member stays listed after its entry disappeared.
  /// The platform restores the entries of live members within two seconds.
  static constexpr Milliseconds kRemovalDelay{2500};

  /// `on_change` is called after each change of the listed entries.
  EndpointDirectory(TimerService& timers, std::function<void()> on_change)
      : timers_(timers), on_change_(std::move(on_change)) {}

  /// Adds or replaces the entry of a member with one that the store delivered.
  /// `era` counts the store's eras. An entry that is older than the listed one
  /// by what it says of itself is ignored, unless the store delivered another
  /// one in the same era before it.
  auto Set(const EndpointEntry& entry, std::int64_t era) -> void {
    auto& listed = entries_[entry.member];
    listed.registered = true;
    const auto follows = std::exchange(listed.store_era, era) == era;
    if (follows || !IsOlder(entry, listed.entry)) {
      Replace(listed, entry);
    }
  }

  /// Notes that a member's entry disappeared. Unless Set() brings it back in
  /// time, the member is removed.
  auto Remove(const std::string& member) -> void {
    const auto it = entries_.find(member);
    if (it == entries_.end() || it->second.removal_timer != 0) {
      return;
    }
    it->second.removal_timer =
        timers_.After(kRemovalDelay, guard_.Bind([this, member] {
          entries_.erase(member);
          on_change_();
        }));
  }

  /// Adds or replaces the entry of a member with one that a peer told, unless
  /// it is older than the listed one.
  auto SetFromPeer(const EndpointEntry& entry) -> void {
    auto& listed = entries_[entry.member];
    if (!IsOlder(entry, listed.entry)) {
      Replace(listed, entry);
    }
  }

  /// Removes, after the usual delay, the members that only peers told of. Call
  /// this when the store has delivered its entries.
  auto RemoveUnregistered() -> void {
    for (const auto& [member, listed] : entries_) {
      if (!listed.registered) {
        Remove(member);
      }
    }
  }

  /// Returns the entries of one group.
  auto EntriesOfGroup(const std::string& group) const
      -> std::vector<EndpointEntry> {
    std::vector<EndpointEntry> out;
    for (const auto& [member, listed] : entries_) {
      if (listed.entry.group == group) {
        out.push_back(listed.entry);
      }
    }
    return out;
  }

  /// Returns the entries of all groups.
  auto All() const -> std::vector<EndpointEntry> {
    std::vector<EndpointEntry> out;
    for (const auto& [member, listed] : entries_) {
      out.push_back(listed.entry);
    }
    return out;
  }

  /// Returns the number of listed members.
  auto Size() const -> std::size_t { return entries_.size(); }

 private:
  /// Returns whether the member wrote `entry` before `other`. Entries without a
  /// start or number tell no order.
  static auto IsOlder(const EndpointEntry& entry, const EndpointEntry& other)
      -> bool {
    if (entry.born_ms == 0 || other.born_ms == 0) {
      return false;
    }
    return entry.born_ms < other.born_ms ||
           (entry.born_ms == other.born_ms && entry.sequence > 0 &&
            entry.sequence < other.sequence);
  }

  struct ListedEntry {
    EndpointEntry entry;
    /// Whether the store delivered an entry of the member.
    bool registered = false;
    /// Era in which the store delivered the last one.
    std::optional<std::int64_t> store_era;
    /// Timer of the removal; 0 while the entry is registered.
    TimerId removal_timer = 0;
  };

  auto Replace(ListedEntry& listed, const EndpointEntry& entry) -> void {
    timers_.Cancel(std::exchange(listed.removal_timer, 0));
    // Most entries differ in nothing but their number.
    auto same_number = entry;
    same_number.sequence = listed.entry.sequence;
    const auto changed = same_number != listed.entry;
    listed.entry = entry;
    if (changed) {
      on_change_();
    }
  }

  TimerService& timers_;
  std::function<void()> on_change_;
  CallbackGuard guard_;
  std::map<std::string, ListedEntry> entries_;
};

}  // namespace kingcuplock
