#pragma once

/// The manifest in force on this instance. Versions only go up, whichever way
/// they arrive: from the store's watch, from a refresh or from a peer.
///
/// Example:
///   ActiveManifest manifests(deployment, outbox, on_change);
///   manifests.ApplyIfNewer(text, "store");

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// Rules that a test may switch off to show what they prevent.
struct ManifestRules {
  /// Whether only a higher version replaces the one in force.
  bool require_rising_version = true;
};

/// Returns a hash of a manifest's content, the same for every layout of the
/// same JSON. It tells accidents apart, not attacks. O(size of the manifest).
auto HashManifest(const Manifest& manifest) -> std::string;

/// Not thread safe.
class ActiveManifest {
 public:
  /// `on_change(previous)` is called after each new version is in force.
  ActiveManifest(std::string deployment,
                 Outbox& outbox,
                 std::function<void(const Manifest& previous)> on_change,
                 ManifestRules rules = {});

  /// Puts a manifest in force if it is whole, meant for this deployment and
  /// newer than the one in force; otherwise logs why it is refused. `source`
  /// names where it came from. Returns whether it is in force now.
  auto ApplyIfNewer(std::string_view text, std::string_view source) -> bool;

  /// Notes what another instance has in force, and logs, once for each
  /// content, that one version number stands for two contents.
  void NotePeerManifest(std::string_view peer,
                        std::int64_t version,
                        std::string_view hash);

  /// Returns the version in force, 0 for none.
  auto version() const -> std::int64_t { return manifest_.version; }

  /// Returns the manifest in force.
  auto manifest() const -> const Manifest& { return manifest_; }

  /// Returns its text, as published.
  auto text() const -> const std::string& { return text_; }

  /// Returns the hash of its content, empty for none.
  auto hash() const -> const std::string& { return hash_; }

 private:
  auto IsNewer(const Manifest& manifest, std::string_view source) -> bool;
  void ReportConflict(std::string_view source, std::string_view hash);
  void ReportRefusal(std::string_view text,
                     std::string_view source,
                     std::string reason);

  std::string deployment_;
  Outbox& outbox_;
  std::function<void(const Manifest&)> on_change_;
  ManifestRules rules_;
  Manifest manifest_;
  std::string text_;
  std::string hash_;
  /// Hash of the text refused last, to log a refusal that repeats once.
  std::size_t refused_ = 0;
  /// Conflicts reported: version and the other content's hash.
  std::set<std::pair<std::int64_t, std::string>> conflicts_;
};

}  // namespace kingcuplock
