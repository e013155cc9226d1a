#pragma once

/// Decides how long a client whose key is unknown waits for a newer
/// configuration. A key may have been added a moment ago, so the configuration
/// is read once more for all clients that wait; a crowd with wrong keys causes
/// no more than one reading a second.
///
/// Example:
///   UnknownKeyLookup lookup;
///   switch (lookup.Add(client, hello, now)) { ... }
///   for (auto& it : lookup.TakeAll()) { Decide(it); }

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Not thread safe.
class UnknownKeyLookup {
 public:
  /// Longest time in ms for which a client waits. Callers expect an answer to
  /// their hello within 2 s and may try another key or instance until then.
  static constexpr Milliseconds kMaxWait{300};
  /// Shortest time in ms between two readings.
  static constexpr Milliseconds kMinInterval{1000};
  /// Most clients that wait at once.
  static constexpr std::size_t kMaxWaiting = 256;

  enum class Decision {
    /// The key counts as unknown now.
    kRefuse,
    /// The client waits for a reading that has begun.
    kWait,
    /// The client waits, and the reading has to begin now.
    kWaitAndRead
  };

  /// Decides about one more client with an unknown key.
  auto Add(ConnectionId client, const ClientHello& hello, Time now)
      -> Decision {
    const auto reading = !waiting_.empty();
    if (waiting_.size() >= kMaxWaiting ||
        (!reading && last_reading_ && now - *last_reading_ < kMinInterval)) {
      return Decision::kRefuse;
    }
    waiting_[client] = hello;
    if (reading) {
      return Decision::kWait;
    }
    last_reading_ = now;
    return Decision::kWaitAndRead;
  }

  /// Removes a client that has left. Returns whether it was waiting.
  auto Remove(ConnectionId client) -> bool {
    return waiting_.erase(client) > 0;
  }

  /// Returns whether the client waits.
  auto Contains(ConnectionId client) const -> bool {
    return waiting_.contains(client);
  }

  /// Returns and removes all clients that wait, when the reading has ended or
  /// its time is over.
  auto TakeAll() -> std::vector<std::pair<ConnectionId, ClientHello>> {
    std::vector<std::pair<ConnectionId, ClientHello>> out(waiting_.begin(),
                                                          waiting_.end());
    waiting_.clear();
    return out;
  }

 private:
  std::map<ConnectionId, ClientHello> waiting_;
  std::optional<Time> last_reading_;
};

}  // namespace kingcuplock
