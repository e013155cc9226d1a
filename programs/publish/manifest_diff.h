#pragma once

/// Computes the differences of two manifests and their effects on callers.
///
/// Example:
///   for (const auto& it : DiffManifests(published, next)) { Print(it); }

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// One field that changed, or one item of a list that was added or removed.
struct ManifestChange {
  /// Path by names, as in "databases/bookings/kinds/book/max_age_ms".
  std::string field_path;
  /// Value before, null if there was none.
  nlohmann::json before;
  /// Value afterwards, null if there is none.
  nlohmann::json after;
  /// Effect on callers.
  std::string effect;
};

/// Returns all differences in the order of the names. Databases, members and
/// kinds are matched by name, whatever their order in the lists.
auto DiffManifests(const Manifest& before, const Manifest& after)
    -> std::vector<ManifestChange>;

/// Returns the changes as JSON.
auto ToJson(const std::vector<ManifestChange>& changes) -> nlohmann::json;

}  // namespace kingcuplock
