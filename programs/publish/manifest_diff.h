#pragma once

/// Tells what changes for callers from one manifest to the next.
///
/// Example:
///   for (const auto& it : DiffManifests(in_force, next)) { Print(it); }

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// One difference.
struct ManifestChange {
  /// Place by names, as in "bookings/kinds/book/max_age_ms".
  std::string field_path;
  /// Value before, null when it was not there.
  nlohmann::json before;
  /// Value afterwards, null when it is gone.
  nlohmann::json after;
  /// What callers notice.
  std::string effect;
};

/// Returns every difference, by database, member and kind name, in the order
/// of the names. Order in the lists counts for nothing.
auto DiffManifests(const Manifest& before, const Manifest& after)
    -> std::vector<ManifestChange>;

/// Returns the changes as JSON.
auto ToJson(const std::vector<ManifestChange>& changes) -> nlohmann::json;

}  // namespace kingcuplock
