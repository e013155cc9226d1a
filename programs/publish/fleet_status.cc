#include "programs/publish/fleet_status.h"

#include <algorithm>

#include "kingcuplock/manifest/active_manifest.h"
#include "kingcuplock/manifest/manifest_check.h"

namespace kingcuplock {
namespace {

auto DetermineManifestState(const FleetManifestStatus& fleet,
                            const InstanceStatus& status)
    -> InstanceManifestState {
  if (status.manifest_version != fleet.published_version) {
    return InstanceManifestState::kBehind;
  }
  return status.manifest_hash == fleet.published_hash
             ? InstanceManifestState::kCurrent
             : InstanceManifestState::kOtherContent;
}

}  // namespace

auto ToString(InstanceManifestState manifest_state) -> std::string_view {
  switch (manifest_state) {
    case InstanceManifestState::kCurrent:
      return "current";
    case InstanceManifestState::kBehind:
      return "behind";
    case InstanceManifestState::kOtherContent:
      return "other_content";
    case InstanceManifestState::kUnreachable:
      return "silent";
  }
  return "";
}

auto FleetManifestStatus::IsCurrent() const -> bool {
  return std::all_of(instances.begin(), instances.end(), [](const auto& it) {
    return it.manifest_state == InstanceManifestState::kCurrent;
  });
}

auto ReadFleetManifestStatus(const std::string& published,
                             std::span<const InstanceEntry> instances,
                             const QueryInstance& query)
    -> FleetManifestStatus {
  FleetManifestStatus out;
  if (!published.empty()) {
    const auto manifest = ParseManifest(published);
    out.published_version = manifest.version;
    out.published_hash = HashManifest(manifest);
  }
  for (const auto& it : instances) {
    InstanceReport report;
    report.instance = it;
    if (const auto status = query(it)) {
      report.version = status->manifest_version;
      report.leaving = status->leaving;
      report.manifest_state = DetermineManifestState(out, *status);
    }
    out.instances.push_back(std::move(report));
  }
  return out;
}

auto ToJson(const FleetManifestStatus& status) -> nlohmann::json {
  auto instances = nlohmann::json::array();
  for (const auto& it : status.instances) {
    instances.push_back({{"name", it.instance.name},
                         {"host", it.instance.host},
                         {"port", it.instance.port},
                         {"version", it.version},
                         {"leaving", it.leaving},
                         {"standing", ToString(it.manifest_state)}});
  }
  return {{"published_version", status.published_version},
          {"published_hash", status.published_hash},
          {"current", status.IsCurrent()},
          {"instances", std::move(instances)}};
}

}  // namespace kingcuplock
