#pragma once

/// Publishes a manifest by compare-and-swap and tells what became of it, also
/// when an answer of the store is lost.
///
/// Example:
///   ManifestPublisher publisher(key, ask);
///   auto result = publisher.Publish(text, 6);
///   if (result.outcome == PublishOutcome::kConflict) { Rebuild(); }

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Asks the store once. Returns nothing when the answer was lost: the call may
/// or may not have taken effect.
using CallStore = std::function<std::optional<StoreAnswer>(const StoreCall&)>;

/// The store gives no answer.
class StoreUnreachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// What became of a publication.
enum class PublishOutcome {
  /// It is in the store, by this call.
  kPublished,
  /// The same version with the same content was there before.
  kUnchanged,
  /// Another version is there; nothing was written.
  kConflict,
  /// The store fell silent after the manifest was sent, so it may be there; or
  /// a later version is there, which may stand on top of it.
  kUnknown
};

/// Returns the name of an outcome, for JSON output.
auto ToString(PublishOutcome outcome) -> std::string_view;

/// Outcome with what was found.
struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  /// Version in the store before, or that of the other publisher at kConflict.
  std::int64_t found_version = 0;
  /// Whether an answer was lost and the outcome was read back.
  bool read_back = false;
};

/// Not thread safe.
class ManifestPublisher {
 public:
  /// `key` is the manifest's key in the store.
  ManifestPublisher(std::string key, CallStore ask);

  /// Returns the manifest's item in the store, without value when there is
  /// none. Throws StoreUnreachableError.
  auto ReadItem() -> StoreItem;

  /// Publishes `text` if `expected_version` is in the store; 0 stands for
  /// none, no value for any lower version. Throws ManifestError when the text
  /// or the change has faults, and StoreUnreachableError when nothing was sent.
  auto Publish(const std::string& text,
               std::optional<std::int64_t> expected_version) -> PublishResult;

 private:
  auto Swap(const std::string& text, const StoreItem& current) -> PublishResult;

  std::string key_;
  CallStore ask_;
};

}  // namespace kingcuplock
