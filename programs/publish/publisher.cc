#include "programs/publish/publisher.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Maximum number of times that a call is sent to the store.
constexpr int kMaxStoreAttempts = 5;

/// Returns the version of the manifest in `item`, 0 for none.
auto VersionInStore(const StoreItem& item) -> std::int64_t {
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

ManifestPublisher::ManifestPublisher(std::string key, CallStore call_store)
    : key_(std::move(key)), call_store_(std::move(call_store)) {}

auto ManifestPublisher::ReadItem() -> StoreItem {
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = key_;
  for (auto n = 0; n < kMaxStoreAttempts; ++n) {
    if (const auto answer = call_store_(call)) {
      return answer->items.empty() ? StoreItem{} : answer->items.front();
    }
  }
  throw StoreUnreachableError(
      "the store does not answer; nothing was published, try "
      "again when it is reachable");
}

auto ManifestPublisher::Publish(const std::string& text,
                                std::optional<std::int64_t> expected_version)
    -> PublishResult {
  const auto manifest = ParseManifest(text);
  const auto current = ReadItem();
  const auto published =
      current.value.empty() ? Manifest{} : ParseManifest(current.value);
  if (published == manifest) {
    return {PublishOutcome::kUnchanged, published.version, false};
  }
  const auto unexpected_version =
      expected_version && published.version != *expected_version;
  if (unexpected_version || manifest.version <= published.version) {
    return {PublishOutcome::kConflict, published.version, false};
  }
  auto faults = CheckManifestChange(published, manifest);
  if (!faults.empty()) {
    throw ManifestError(std::move(faults));
  }
  return CompareAndSwap(text, current);
}

// Repeating the same compare-and-swap is safe: it is applied at most once, and
// a conflict returns the text that the store holds.
auto ManifestPublisher::CompareAndSwap(const std::string& text,
                                       const StoreItem& current)
    -> PublishResult {
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = key_;
  call.value = text;
  call.expected_version = current.version;
  const auto version_before = VersionInStore(current);
  for (auto n = 0; n < kMaxStoreAttempts; ++n) {
    const auto answer = call_store_(call);
    if (!answer) {
      continue;
    }
    const auto answer_lost = n > 0;
    if (answer->status == StoreStatus::kDone) {
      return {PublishOutcome::kPublished, version_before, answer_lost};
    }
    const auto found =
        answer->items.empty() ? StoreItem{} : answer->items.front();
    if (answer_lost && found.value == text) {
      return {PublishOutcome::kPublished, version_before, true};
    }
    const auto found_version = VersionInStore(found);
    // A later version may have been published after this one, or instead of it.
    const auto may_have_been_stored =
        answer_lost && found_version > ParseManifest(text).version;
    return {may_have_been_stored ? PublishOutcome::kUnknown
                                 : PublishOutcome::kConflict,
            found_version, answer_lost};
  }
  return {PublishOutcome::kUnknown, version_before, true};
}

}  // namespace kingcuplock
