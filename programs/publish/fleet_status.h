#pragma once

/// Reports which manifest each instance uses and whether it is the published
/// one.
///
/// Example:
///   auto status = ReadFleetManifestStatus(published, instances, query);
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

/// Asks one instance for its status. Returns nothing if it does not answer.
using QueryInstance =
    std::function<std::optional<InstanceStatus>(const InstanceEntry&)>;

/// How an instance's manifest compares with the published one: the same,
/// another version, the same version with other content, or not known because
/// the instance did not answer.
enum class InstanceManifestState {
  kCurrent,
  kBehind,
  kOtherContent,
  kUnreachable
};

/// Returns the name of a state as in the JSON output.
auto ToString(InstanceManifestState manifest_state) -> std::string_view;

/// Manifest status of one instance.
struct InstanceReport {
  InstanceEntry instance;
  /// Version of the manifest in use, 0 for none or no answer.
  std::int64_t version = 0;
  /// Whether the instance is about to stop.
  bool leaving = false;
  InstanceManifestState manifest_state = InstanceManifestState::kUnreachable;
};

/// Manifest status of all instances.
struct FleetManifestStatus {
  /// Version and content hash of the published manifest, 0 and empty for none.
  std::int64_t published_version = 0;
  std::string published_hash;
  std::vector<InstanceReport> instances;

  /// Returns whether every instance uses the published manifest.
  auto IsCurrent() const -> bool;
};

/// Asks every instance for its status. `published` is the text of the manifest
/// in the store, empty for none. Throws ManifestError if it has faults.
auto ReadFleetManifestStatus(const std::string& published,
                             std::span<const InstanceEntry> instances,
                             const QueryInstance& query) -> FleetManifestStatus;

/// Returns the status as JSON.
auto ToJson(const FleetManifestStatus& status) -> nlohmann::json;

}  // namespace kingcuplock
