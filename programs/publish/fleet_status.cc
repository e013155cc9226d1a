#include "programs/publish/fleet_status.h"

#include <algorithm>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/manifest/manifest_keeper.h"

namespace kingcuplock {
namespace {

auto StandingOf(const FleetStatus& fleet, const InstanceStatus& status)
    -> InstanceStanding {
  if (status.manifest_version != fleet.published_version) {
    return InstanceStanding::kBehind;
  }
  return status.manifest_hash == fleet.published_hash
             ? InstanceStanding::kCurrent
             : InstanceStanding::kOtherContent;
}

}  // namespace

auto ToString(InstanceStanding standing) -> std::string_view {
  switch (standing) {
    case InstanceStanding::kCurrent:
      return "current";
    case InstanceStanding::kBehind:
      return "behind";
    case InstanceStanding::kOtherContent:
      return "other_content";
    case InstanceStanding::kSilent:
      return "silent";
  }
  return "";
}

auto FleetStatus::IsCurrent() const -> bool {
  return std::all_of(instances.begin(), instances.end(), [](const auto& it) {
    return it.standing == InstanceStanding::kCurrent;
  });
}

auto ReadFleet(const std::string& published,
               std::span<const InstanceEntry> instances,
               const AskInstance& ask) -> FleetStatus {
  FleetStatus out;
  if (!published.empty()) {
    const auto manifest = ParseManifest(published);
    out.published_version = manifest.version;
    out.published_hash = HashManifest(manifest);
  }
  for (const auto& it : instances) {
    InstanceReport report;
    report.instance = it;
    if (const auto status = ask(it)) {
      report.version = status->manifest_version;
      report.leaving = status->leaving;
      report.standing = StandingOf(out, *status);
    }
    out.instances.push_back(std::move(report));
  }
  return out;
}

auto ToJson(const FleetStatus& status) -> nlohmann::json {
  auto instances = nlohmann::json::array();
  for (const auto& it : status.instances) {
    instances.push_back({{"name", it.instance.name},
                         {"host", it.instance.host},
                         {"port", it.instance.port},
                         {"version", it.version},
                         {"leaving", it.leaving},
                         {"standing", ToString(it.standing)}});
  }
  return {{"published_version", status.published_version},
          {"published_hash", status.published_hash},
          {"current", status.IsCurrent()},
          {"instances", std::move(instances)}};
}

}  // namespace kingcuplock
