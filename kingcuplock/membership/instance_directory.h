#pragma once

/// The list of instances and endpoints that the platform publishes, as last
/// read. The list may lag behind the actual state.
///
/// Example:
///   InstanceDirectory directory(outbox);
///   if (directory.UpdateFromJson(text)) {
///     peers.SetPeers(directory.instances());
///   }

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe. `outbox` must outlive the directory.
class InstanceDirectory {
 public:
  explicit InstanceDirectory(Outbox& outbox) : outbox_(outbox) {}

  /// Replaces the list by the one in a JSON text. Logs a text that cannot be
  /// decoded and keeps the previous list. Returns whether the list changed.
  auto UpdateFromJson(std::string_view text) -> bool;

  /// Returns the listed instances. The span is valid until the next update.
  auto instances() const -> std::span<const InstanceEntry> {
    return list_.instances;
  }

  /// Returns the names of the members of `database` that run on an endpoint
  /// listed as leaving. An endpoint matches a member by its name or by its host
  /// and port. O(members * endpoints).
  auto LeavingMembers(const DatabaseConfig& database) const
      -> std::vector<std::string>;

 private:
  Outbox& outbox_;
  InstanceList list_;
};

}  // namespace kingcuplock
