#pragma once

/// Publishes a manifest by compare-and-swap and determines the outcome, also
/// when an answer of the store is lost.
///
/// Example:
///   ManifestPublisher publisher(key, call_store);
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

/// Sends one call to the store. Returns nothing if the answer was lost; the
/// call may or may not have taken effect.
using CallStore = std::function<std::optional<StoreAnswer>(const StoreCall&)>;

/// The store answered none of the attempts.
class StoreUnreachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Outcome of a publication.
enum class PublishOutcome {
  /// This call stored the manifest.
  kPublished,
  /// The store held the same version with the same content before.
  kUnchanged,
  /// The store holds another version or other content; nothing was written.
  kConflict,
  /// The manifest may have been stored: the store stopped answering after it
  /// was sent, or holds a later version that may have been published after it.
  kUnknown
};

/// Returns the name of an outcome as in the JSON output.
auto ToString(PublishOutcome outcome) -> std::string_view;

/// Outcome of a publication and the version found in the store.
struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  /// Version in the store before the publication, or that of another publisher
  /// if the store held it instead.
  std::int64_t found_version = 0;
  /// Whether an answer was lost, so that the call was repeated to learn the
  /// outcome.
  bool read_back = false;
};

/// Publishes the manifest under one key of the store. Not thread safe.
class ManifestPublisher {
 public:
  /// `key` is the manifest's key in the store.
  ManifestPublisher(std::string key, CallStore call_store);

  /// Returns the item of the key, with an empty value if there is none. Throws
  /// StoreUnreachableError.
  auto ReadItem() -> StoreItem;

  /// Publishes `text` if the store holds `expected_version`; 0 stands for no
  /// manifest, no value for any lower version. Throws ManifestError when the
  /// text or the change has faults, and StoreUnreachableError if the store did
  /// not answer before `text` was sent.
  auto Publish(const std::string& text,
               std::optional<std::int64_t> expected_version) -> PublishResult;

 private:
  auto CompareAndSwap(const std::string& text, const StoreItem& current)
      -> PublishResult;

  std::string key_;
  CallStore call_store_;
};

}  // namespace kingcuplock
