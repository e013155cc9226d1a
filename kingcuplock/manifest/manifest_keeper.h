#pragma once

/// The manifest in force on this instance. Versions only go up, whichever way
/// they arrive: from the store's watch or from a peer.
///
/// Example:
///   ManifestKeeper manifests(deployment, outbox, on_change);
///   manifests.Offer(text);

#include <functional>
#include <string>
#include <string_view>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// Not thread safe.
class ManifestKeeper {
 public:
  /// `on_change` is called after each new version is in force.
  ManifestKeeper(std::string deployment,
                 Outbox& outbox,
                 std::function<void()> on_change);

  /// Puts a manifest in force if it is whole, meant for this deployment and
  /// newer than the one in force. Returns whether it is in force now.
  auto Offer(std::string_view text) -> bool;

  /// Returns the version in force, 0 for none.
  auto version() const -> std::int64_t { return manifest_.version; }

  /// Returns the manifest in force.
  auto manifest() const -> const Manifest& { return manifest_; }

  /// Returns its text, as published.
  auto text() const -> const std::string& { return text_; }

 private:
  std::string deployment_;
  Outbox& outbox_;
  std::function<void()> on_change_;
  Manifest manifest_;
  std::string text_;
};

}  // namespace kingcuplock
