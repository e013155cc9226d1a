#include "kingcuplock/manifest/manifest_keeper.h"

#include <utility>

#include "kingcuplock/manifest/manifest_check.h"

namespace kingcuplock {

ManifestKeeper::ManifestKeeper(std::string deployment,
                               Outbox& outbox,
                               std::function<void()> on_change)
    : deployment_(std::move(deployment)),
      outbox_(outbox),
      on_change_(std::move(on_change)) {}

auto ManifestKeeper::Offer(std::string_view text) -> bool {
  if (text == text_) {
    return true;
  }
  try {
    auto manifest = ParseManifest(text);
    if (manifest.deployment != deployment_) {
      throw ManifestError({{"/deployment", "is not " + deployment_ +
                                               "; publish it elsewhere"}});
    }
    if (manifest.version <= manifest_.version) {
      return false;
    }
    manifest_ = std::move(manifest);
    text_ = std::string(text);
  } catch (const ManifestError& ex) {
    outbox_.Log(Event::kManifestRejected, {{"reason", ex.what()}});
    return false;
  }
  outbox_.Log(Event::kManifestInForce,
              {{"version", std::to_string(manifest_.version)}});
  on_change_();
  return true;
}

}  // namespace kingcuplock
