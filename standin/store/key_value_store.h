#pragma once

/// State of the stand-in for the platform's key-value service: versioned
/// values, leases and the changes that watches report. Reads no clock and does
/// no input or output, so that tests can use it as a fake.
///
/// Example:
///   KeyValueStore store;
///   auto answer = store.Handle(call, now_ms);
///   for (const auto& it : store.TakeEvents()) { Send(it); }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe. Operations take O(log n) in the number of keys, expiry O(n)
/// in the number of leases; deleting the keys of a lease visits all keys.
class KeyValueStore {
 public:
  /// Deletes the keys of expired leases, then carries out a call and returns
  /// its answer. `now_ms` is the time in ms of a monotonic clock.
  auto Handle(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;

  /// Ends all leases that have expired at `now_ms` and deletes their keys.
  void ExpireDueLeases(std::int64_t now_ms);

  /// Ends all leases at once, before they expire, and deletes their keys.
  void ExpireAllLeases();

  /// Writes a value unconditionally and without a lease, as the platform does.
  void Put(const std::string& key, const std::string& value);

  /// Returns the changes since the last call, in order.
  auto TakeEvents() -> std::vector<StoreEvent>;

  /// Data of the store at one moment.
  struct Copy;

  /// Returns a copy of all data, for Restore().
  auto TakeCopy(std::int64_t now_ms) const -> Copy;

  /// Replaces all data by an older copy, as after the loss of a disk: what was
  /// written since is lost, revisions and lease ids are given out again, and
  /// the era rises by one. Leases of the copy keep the time left that they had.
  void Restore(const Copy& copy, std::int64_t now_ms);

  /// Returns how often the store was restored.
  auto era() const -> std::int64_t { return era_; }

  /// Returns the items of all keys that start with `prefix`, ordered by key.
  auto Range(const std::string& prefix) const -> std::vector<StoreItem>;

 private:
  struct Value {
    std::string text;
    std::int64_t version = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t expires_ms = 0;
  };

  auto Perform(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;
  auto Get(const StoreCall& call) const -> StoreAnswer;
  auto CompareAndSwap(const StoreCall& call) -> StoreAnswer;
  auto GrantLease(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;
  auto RenewLease(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;
  void Write(const std::string& key,
             const std::string& text,
             std::int64_t lease);
  void EndLease(std::int64_t lease);

  std::map<std::string, Value> values_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<StoreEvent> events_;
  std::int64_t revision_ = 0;
  std::int64_t last_lease_ = 0;
  std::int64_t era_ = 0;
};

struct KeyValueStore::Copy {
  std::map<std::string, Value> values;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 0;
  std::int64_t last_lease = 0;
  /// When the copy was taken, on the clock of Handle().
  std::int64_t taken_ms = 0;
};

}  // namespace kingcuplock
