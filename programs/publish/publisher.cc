#include "programs/publish/publisher.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Times that the store is asked before it counts as silent.
constexpr int kAttempts = 5;

/// Returns the version of a manifest in the store, 0 for none.
auto VersionOf(const StoreItem& item) -> std::int64_t {
  return item.value.empty() ? 0 : ParseManifest(item.value).version;
}

}  // namespace

auto ToString(PublishOutcome outcome) -> std::string_view {
  switch (outcome) {
    case PublishOutcome::kPublished:
      return "published";
    case PublishOutcome::kUnchanged:
      return "unchanged";
    case PublishOutcome::kConflict:
      return "conflict";
    case PublishOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

ManifestPublisher::ManifestPublisher(std::string key, CallStore ask)
    : key_(std::move(key)), ask_(std::move(ask)) {}

auto ManifestPublisher::ReadItem() -> StoreItem {
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = key_;
  for (auto n = 0; n < kAttempts; ++n) {
    if (const auto answer = ask_(call)) {
      return answer->items.empty() ? StoreItem{} : answer->items.front();
    }
  }
  throw StoreUnreachableError(
      "the store does not answer; nothing was published, try "
      "again when it is back");
}

auto ManifestPublisher::Publish(const std::string& text,
                                std::optional<std::int64_t> expected_version)
    -> PublishResult {
  const auto manifest = ParseManifest(text);
  const auto current = ReadItem();
  const auto in_force =
      current.value.empty() ? Manifest{} : ParseManifest(current.value);
  if (in_force == manifest) {
    return {PublishOutcome::kUnchanged, in_force.version, false};
  }
  const auto unexpected =
      expected_version && in_force.version != *expected_version;
  if (unexpected || manifest.version <= in_force.version) {
    return {PublishOutcome::kConflict, in_force.version, false};
  }
  auto faults = CheckManifestChange(in_force, manifest);
  if (!faults.empty()) {
    throw ManifestError(std::move(faults));
  }
  return Swap(text, current);
}

// The same swap again has one definite outcome: it is applied at most once,
// and a conflict shows whose text stands.
auto ManifestPublisher::Swap(const std::string& text, const StoreItem& current)
    -> PublishResult {
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = key_;
  call.value = text;
  call.expected_version = current.version;
  const auto before = VersionOf(current);
  for (auto n = 0; n < kAttempts; ++n) {
    const auto answer = ask_(call);
    if (!answer) {
      continue;
    }
    const auto lost_before = n > 0;
    if (answer->status == StoreStatus::kDone) {
      return {PublishOutcome::kPublished, before, lost_before};
    }
    const auto found =
        answer->items.empty() ? StoreItem{} : answer->items.front();
    if (lost_before && found.value == text) {
      return {PublishOutcome::kPublished, before, true};
    }
    const auto found_version = VersionOf(found);
    // A later version may stand on top of this one, or in its stead.
    const auto may_be_under =
        lost_before && found_version > ParseManifest(text).version;
    return {may_be_under ? PublishOutcome::kUnknown : PublishOutcome::kConflict,
            found_version, lost_before};
  }
  return {PublishOutcome::kUnknown, before, true};
}

}  // namespace kingcuplock
