#pragma once

/// Validates a manifest before it is published and before it takes effect.
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
  /// JSON pointer to the faulty value.
  std::string pointer;
  /// Description of the fault and how to correct it.
  std::string remedy;
};

/// Thrown for a manifest with faults.
class ManifestError : public std::runtime_error {
 public:
  explicit ManifestError(std::vector<ManifestFault> faults);

  /// Returns all faults found.
  auto faults() const -> const std::vector<ManifestFault>& { return faults_; }

 private:
  std::vector<ManifestFault> faults_;
};

/// Returns all faults of the manifest: violations of the schema, and of the
/// rules between its fields. The latter are checked also for a database that
/// violates the schema, as far as it can be decoded.
auto CheckManifest(std::string_view text) -> std::vector<ManifestFault>;

/// Returns the faults of replacing the active manifest by `next`: changes that
/// could lose acknowledged writes. Both manifests must be valid.
auto CheckManifestChange(const Manifest& active, const Manifest& next)
    -> std::vector<ManifestFault>;

/// Parses a manifest. Throws ManifestError with all faults.
auto ParseManifest(std::string_view text) -> Manifest;

/// Returns the configuration of a database, nullptr if there is none.
auto FindDatabase(const Manifest& manifest, std::string_view name)
    -> const DatabaseConfig*;

/// Returns the configuration of a request kind, nullptr if there is none.
auto FindKind(const DatabaseConfig& database, std::string_view name)
    -> const KindConfig*;

}  // namespace kingcuplock
