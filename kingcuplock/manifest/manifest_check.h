#pragma once

/// Checks a manifest whole, before it is published and before it is in force.
///
/// Example:
///   auto faults = CheckManifest(text);
///   if (faults.empty()) { auto manifest = ParseManifest(text); }

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// One fault of a manifest.
struct ManifestFault {
  /// JSON pointer to the place.
  std::string pointer;
  /// What is wrong and how to correct it.
  std::string remedy;
};

/// A manifest with faults.
class ManifestError : public std::runtime_error {
 public:
  explicit ManifestError(std::vector<ManifestFault> faults);

  /// Returns every fault found.
  auto faults() const -> const std::vector<ManifestFault>& { return faults_; }

 private:
  std::vector<ManifestFault> faults_;
};

/// Returns every fault of the manifest, by schema and by cross-checks. A
/// database with faults by the schema is cross-checked as far as it is read.
auto CheckManifest(std::string_view text) -> std::vector<ManifestFault>;

/// Returns the faults of a change from the manifest in force to the next one,
/// which each are whole: steps that could lose acknowledged writes.
auto CheckManifestChange(const Manifest& in_force, const Manifest& next)
    -> std::vector<ManifestFault>;

/// Returns the manifest. Throws ManifestError with every fault.
auto ParseManifest(std::string_view text) -> Manifest;

/// Returns the configuration of a database, or nullptr.
auto FindDatabase(const Manifest& manifest, std::string_view name)
    -> const DatabaseConfig*;

/// Returns the configuration of a request kind, or nullptr.
auto FindKind(const DatabaseConfig& database, std::string_view name)
    -> const KindConfig*;

}  // namespace kingcuplock
