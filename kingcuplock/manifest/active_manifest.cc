#include "kingcuplock/manifest/active_manifest.h"

#include <fmt/format.h>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Parameters of the 64-bit FNV-1a hash.
constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;

}  // namespace

auto HashManifest(const Manifest& manifest) -> std::string {
  auto hash = kFnvOffsetBasis;
  for (const auto it : EncodeJson(manifest, FrameFormat::kJson)) {
    hash ^= static_cast<unsigned char>(it);
    hash *= kFnvPrime;
  }
  return fmt::format("{:016x}", hash);
}

ActiveManifest::ActiveManifest(std::string deployment,
                               Outbox& outbox,
                               std::function<void(const Manifest&)> on_change,
                               ManifestRules rules)
    : deployment_(std::move(deployment)),
      outbox_(outbox),
      on_change_(std::move(on_change)),
      rules_(rules) {}

auto ActiveManifest::ApplyIfNewer(std::string_view text,
                                  std::string_view source) -> bool {
  if (text == text_ && !text.empty()) {
    return true;
  }
  Manifest manifest;
  try {
    manifest = ParseManifest(text);
  } catch (const ManifestError& ex) {
    LogRejection(text, source, ex.what());
    return false;
  }
  if (manifest.deployment != deployment_) {
    LogRejection(
        text, source,
        fmt::format("the manifest is for deployment {}, not {}; publish it "
                    "to the store of its own deployment",
                    manifest.deployment, deployment_));
    return false;
  }
  if (!IsNewer(manifest, source)) {
    return manifest == manifest_;
  }
  std::swap(manifest_, manifest);
  text_ = std::string(text);
  hash_ = HashManifest(manifest_);
  outbox_.Log(Event::kManifestInForce,
              {{"version", std::to_string(manifest_.version)},
               {"hash", hash_},
               {"source", std::string(source)}});
  on_change_(manifest);
  return true;
}

auto ActiveManifest::IsNewer(const Manifest& manifest, std::string_view source)
    -> bool {
  if (!rules_.require_rising_version) {
    return manifest != manifest_;
  }
  if (manifest.version == manifest_.version && manifest != manifest_) {
    LogConflict(source, HashManifest(manifest));
  }
  return manifest.version > manifest_.version;
}

void ActiveManifest::NotePeerManifest(std::string_view peer,
                                      std::int64_t version,
                                      std::string_view hash) {
  const auto same_version = version != 0 && version == manifest_.version;
  if (same_version && !hash.empty() && hash != hash_) {
    LogConflict(peer, hash);
  }
}

void ActiveManifest::LogConflict(std::string_view source,
                                 std::string_view hash) {
  if (!reported_conflicts_.emplace(manifest_.version, hash).second) {
    return;
  }
  outbox_.Log(Event::kManifestConflict,
              {{"version", std::to_string(manifest_.version)},
               {"hash", hash_},
               {"other_hash", std::string(hash)},
               {"source", std::string(source)},
               {"remedy", "publish the intended content under a new version"}});
}

void ActiveManifest::LogRejection(std::string_view text,
                                  std::string_view source,
                                  std::string reason) {
  const auto hash = std::hash<std::string_view>{}(text);
  if (std::exchange(last_rejected_hash_, hash) == hash) {
    return;
  }
  outbox_.Log(Event::kManifestRejected,
              {{"source", std::string(source)}, {"reason", std::move(reason)}});
}

}  // namespace kingcuplock
