#pragma once

/// Copies of a KeyValueStore, taken regularly, from which a test restores it.
///
/// Example:
///   StoreCopies copies;
///   copies.TakeIfDue(store, now_ms);
///   copies.Restore(store, now_ms, 3000);

#include <cstddef>
#include <cstdint>
#include <deque>

#include "standin/store/key_value_store.h"

namespace kingcuplock {

/// Not thread safe. Keeps the copies of the last 12 s.
class StoreCopies {
 public:
  /// Takes a copy if the last one is older than the interval between two.
  /// `now_ms` is the time on the clock of KeyValueStore::Handle().
  auto TakeIfDue(const KeyValueStore& store, std::int64_t now_ms) -> void {
    if (!copies_.empty() && now_ms - copies_.back().taken_ms < kIntervalMs) {
      return;
    }
    if (copies_.size() == kMaxCopies) {
      copies_.pop_front();
    }
    copies_.push_back(store.TakeCopy(now_ms));
  }

  /// Restores the store from the newest copy that is at least `age_ms` old, or
  /// from the oldest one. Does nothing if there is none.
  auto Restore(KeyValueStore& store, std::int64_t now_ms, std::int64_t age_ms)
      -> void {
    if (copies_.empty()) {
      return;
    }
    while (copies_.size() > 1 && now_ms - copies_.back().taken_ms < age_ms) {
      copies_.pop_back();
    }
    store.Restore(copies_.back(), now_ms);
  }

 private:
  static constexpr std::int64_t kIntervalMs = 250;
  static constexpr std::size_t kMaxCopies = 48;

  std::deque<KeyValueStore::Copy> copies_;
};

}  // namespace kingcuplock
