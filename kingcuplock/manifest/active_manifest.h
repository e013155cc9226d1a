#pragma once

/// Manifest that is active on this instance. Its version only rises, whatever
/// the source of a manifest: the store's watch, a refresh or a peer.
///
/// Example:
///   ActiveManifest active(deployment, outbox, on_change);
///   active.ApplyIfNewer(text, "watch");

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

/// Rules that a test may disable to show which failure they prevent.
struct ManifestRules {
  /// Whether only a manifest with a higher version replaces the active one.
  bool require_rising_version = true;
};

/// Returns a hash of a manifest's content that does not depend on the layout of
/// the JSON text. It detects accidental differences, not attacks. O(size of the
/// manifest).
auto HashManifest(const Manifest& manifest) -> std::string;

/// Not thread safe.
class ActiveManifest {
 public:
  /// `on_change(previous)` is called each time after a new version has become
  /// active.
  ActiveManifest(std::string deployment,
                 Outbox& outbox,
                 std::function<void(const Manifest& previous)> on_change,
                 ManifestRules rules = {});

  /// Makes a manifest active if it is valid, for this deployment and newer than
  /// the active one. Logs the reason if it is invalid, for another deployment,
  /// or has the active version with other content. `source` names the origin of
  /// `text` in the log. Returns whether the manifest is active now.
  auto ApplyIfNewer(std::string_view text, std::string_view source) -> bool;

  /// Compares the active manifest with that of another instance. Logs a
  /// conflict, once for each content, if both have the same version but other
  /// content.
  void NotePeerManifest(std::string_view peer,
                        std::int64_t version,
                        std::string_view hash);

  /// Returns the active version, 0 if there is none.
  auto version() const -> std::int64_t { return manifest_.version; }

  /// Returns the active manifest.
  auto manifest() const -> const Manifest& { return manifest_; }

  /// Returns the text of the active manifest, as published.
  auto text() const -> const std::string& { return text_; }

  /// Returns the hash of the active manifest, empty if there is none.
  auto hash() const -> const std::string& { return hash_; }

 private:
  auto IsNewer(const Manifest& manifest, std::string_view source) -> bool;
  void LogConflict(std::string_view source, std::string_view hash);
  void LogRejection(std::string_view text,
                    std::string_view source,
                    std::string reason);

  std::string deployment_;
  Outbox& outbox_;
  std::function<void(const Manifest&)> on_change_;
  ManifestRules rules_;
  Manifest manifest_;
  std::string text_;
  std::string hash_;
  /// Hash of the text rejected last, so that repeated rejections are logged
  /// once.
  std::size_t last_rejected_hash_ = 0;
  /// Conflicts already logged: version, and hash of the other content.
  std::set<std::pair<std::int64_t, std::string>> reported_conflicts_;
};

}  // namespace kingcuplock
