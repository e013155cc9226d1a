#pragma once

/// Entries of a queue that are taken by turns: tenants take turns, and so do
/// the callers of one tenant. A tenant with many callers gets no more turns
/// than one with few. Without tenants, the callers take turns.
///
/// Example:
///   FairTurns<QueuedItem<RequestPtr>> turns;
///   turns.Push(entry);
///   auto next = turns.Take([](const auto& it) { return it.priority == 0; });

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcuplock {

/// `Entry` has the members `tenant`, a string, and `caller`, a number. Not
/// thread safe.
template <typename Entry>
class FairTurns {
 public:
  /// Returns the number of entries.
  auto Size() const -> std::size_t { return size_; }

  /// Adds an entry behind the others of its caller.
  auto Push(Entry entry) -> void {
    const auto name = entry.tenant;
    const auto caller = entry.caller;
    auto [tenant, is_new] = tenants_.try_emplace(name);
    if (is_new) {
      turn_order_.push_back(name);
    }
    auto& entries = tenant->second.callers[caller];
    if (entries.empty()) {
      tenant->second.turn_order.push_back(caller);
    }
    entries.push_back(std::move(entry));
    ++tenant->second.size;
    ++size_;
  }

  /// Takes the oldest entry of the first caller whose oldest entry `accepts`;
  /// the next turns of its tenant, and of the caller within the tenant, come
  /// after those of the others. O(callers passed over).
  template <typename Accepts>
  auto Take(Accepts accepts) -> std::optional<Entry> {
    for (auto it = turn_order_.begin(); it != turn_order_.end(); ++it) {
      auto& tenant = tenants_.at(*it);
      const auto caller = std::find_if(
          tenant.turn_order.begin(), tenant.turn_order.end(),
          [&](auto id) { return accepts(tenant.callers.at(id).front()); });
      if (caller == tenant.turn_order.end()) {
        continue;
      }
      const auto id = *caller;
      tenant.turn_order.splice(tenant.turn_order.end(), tenant.turn_order,
                               caller);
      turn_order_.splice(turn_order_.end(), turn_order_, it);
      return Remove(turn_order_.back(), id, /*newest=*/false);
    }
    return std::nullopt;
  }

  /// Returns the entry whose turn is next. Precondition: Size() > 0.
  auto Next() const -> const Entry& {
    const auto& tenant = tenants_.at(turn_order_.front());
    return tenant.callers.at(tenant.turn_order.front()).front();
  }

  /// Returns or takes the newest entry of the caller with the most entries in
  /// the tenant with the most entries; of equals, the one whose turn is last.
  /// Precondition: Size() > 0.
  auto Newest() const -> const Entry& {
    const auto& name = LargestTenant();
    const auto& tenant = tenants_.at(name);
    return tenant.callers.at(LargestCaller(tenant)).back();
  }
  auto TakeNewest() -> Entry {
    const auto name = LargestTenant();
    return Remove(name, LargestCaller(tenants_.at(name)), /*newest=*/true);
  }

  /// Removes and returns the entries for which `matches` is true. O(n).
  template <typename Matches>
  auto RemoveIf(Matches matches) -> std::vector<Entry> {
    std::vector<Entry> removed;
    for (auto tenant = tenants_.begin(); tenant != tenants_.end();) {
      auto& [name, it] = *tenant;
      for (auto caller = it.callers.begin(); caller != it.callers.end();) {
        auto& entries = caller->second;
        const auto first = std::stable_partition(
            entries.begin(), entries.end(),
            [&](const auto& entry) { return !matches(entry); });
        const auto n = static_cast<std::size_t>(entries.end() - first);
        std::move(first, entries.end(), std::back_inserter(removed));
        entries.erase(first, entries.end());
        it.size -= n;
        size_ -= n;
        if (entries.empty()) {
          it.turn_order.remove(caller->first);
          caller = it.callers.erase(caller);
        } else {
          ++caller;
        }
      }
      if (it.size == 0) {
        turn_order_.remove(name);
        tenant = tenants_.erase(tenant);
      } else {
        ++tenant;
      }
    }
    return removed;
  }

 private:
  struct Tenant {
    std::list<std::uint64_t> turn_order;
    std::unordered_map<std::uint64_t, std::deque<Entry>> callers;
    std::size_t size = 0;
  };

  auto LargestTenant() const -> const std::string& {
    const auto* largest = &turn_order_.back();
    for (auto it = turn_order_.rbegin(); it != turn_order_.rend(); ++it) {
      if (tenants_.at(*it).size > tenants_.at(*largest).size) {
        largest = &*it;
      }
    }
    return *largest;
  }

  static auto LargestCaller(const Tenant& tenant) -> std::uint64_t {
    auto largest = tenant.turn_order.back();
    auto most = tenant.callers.at(largest).size();
    for (auto it = tenant.turn_order.rbegin(); it != tenant.turn_order.rend();
         ++it) {
      const auto n = tenant.callers.at(*it).size();
      if (n > most) {
        largest = *it;
        most = n;
      }
    }
    return largest;
  }

  auto Remove(const std::string& name, std::uint64_t id, bool newest) -> Entry {
    auto& tenant = tenants_.at(name);
    auto& entries = tenant.callers.at(id);
    auto entry = std::move(newest ? entries.back() : entries.front());
    if (newest) {
      entries.pop_back();
    } else {
      entries.pop_front();
    }
    if (entries.empty()) {
      tenant.callers.erase(id);
      tenant.turn_order.remove(id);
    }
    --size_;
    if (--tenant.size == 0) {
      // `name` may refer to the list's own element, so the list comes last.
      tenants_.erase(name);
      const auto it = std::find(turn_order_.begin(), turn_order_.end(), name);
      turn_order_.erase(it);
    }
    return entry;
  }

  std::list<std::string> turn_order_;
  std::unordered_map<std::string, Tenant> tenants_;
  std::size_t size_ = 0;
};

}  // namespace kingcuplock
