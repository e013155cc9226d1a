#pragma once

/// State of the stand-in for the platform's key-value service: versioned
/// values, leases and the changes that watches report. Reads no clock and does
/// no input or output, so tests use it as their fake.
///
/// Example:
///   KeyValueStore store;
///   auto answer = store.Handle(call, now_ms);
///   for (const auto& it : store.TakeEvents()) { Push(it); }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe. Operations are O(log n) in keys, expiry O(n) in leases.
class KeyValueStore {
 public:
  /// Carries out one call at `now_ms`, after expiring leases that are due.
  auto Handle(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;

  /// Deletes the keys of all leases that are due at `now_ms`.
  void ExpireDueLeases(std::int64_t now_ms);

  /// Makes every lease lapse at once, before its time.
  void ExpireAllLeases();

  /// Writes a value unconditionally, as the platform itself does.
  void Put(const std::string& key, const std::string& value);

  /// Returns and clears the changes since the last call.
  auto TakeEvents() -> std::vector<StoreEvent>;

  /// Returns all keys that start with `prefix`.
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

  auto Get(const StoreCall& call) const -> StoreAnswer;
  auto CompareAndSwap(const StoreCall& call) -> StoreAnswer;
  auto Grant(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;
  auto Renew(const StoreCall& call, std::int64_t now_ms) -> StoreAnswer;
  void Write(const std::string& key,
             const std::string& text,
             std::int64_t lease);
  void DropLease(std::int64_t lease);

  std::map<std::string, Value> values_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<StoreEvent> events_;
  std::int64_t revision_ = 0;
  std::int64_t last_lease_ = 0;
};

}  // namespace kingcuplock
