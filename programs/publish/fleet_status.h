#pragma once

/// Tells which manifest is in force on every instance, and who is behind.
///
/// Example:
///   auto status = ReadFleetManifestStatus(item, instances, ask);
///   if (!status.IsCurrent()) { Wait(); }

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Asks one instance for its status; nothing when it does not answer.
using QueryInstance =
    std::function<std::optional<InstanceStatus>(const InstanceEntry&)>;

/// How an instance stands to the manifest in the store.
enum class InstanceManifestState {
  kCurrent,
  kBehind,
  kOtherContent,
  kUnreachable
};

/// Returns the name of a standing.
auto ToString(InstanceManifestState manifest_state) -> std::string_view;

/// One instance.
struct InstanceReport {
  InstanceEntry instance;
  std::int64_t version = 0;
  bool leaving = false;
  InstanceManifestState manifest_state = InstanceManifestState::kUnreachable;
};

/// Every instance.
struct FleetManifestStatus {
  /// Version and content hash in the store, 0 and empty for none.
  std::int64_t published_version = 0;
  std::string published_hash;
  std::vector<InstanceReport> instances;

  /// Returns whether every instance that is asked has what is in the store.
  auto IsCurrent() const -> bool;
};

/// Asks every instance. `published` is the manifest's text in the store, empty
/// for none. Throws ManifestError if it has faults.
auto ReadFleetManifestStatus(const std::string& published,
                             std::span<const InstanceEntry> instances,
                             const QueryInstance& ask) -> FleetManifestStatus;

/// Returns the status as JSON.
auto ToJson(const FleetManifestStatus& status) -> nlohmann::json;

}  // namespace kingcuplock
