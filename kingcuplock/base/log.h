#pragma once

/// Numbered log events, one line of key=value on standard error each. The
/// catalogue is docs/EVENTS.md.
///
/// Example:
///   auto line = FormatEvent(Event::kOwnerAcquired, {{"database", name}});

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kingcuplock {

/// Severity of an event.
enum class Severity { kInfo, kWarning, kError };

/// Every event that a program can log. The number is stable.
enum class Event {
  kProxyStarted = 100,
  kProxyStopping = 101,
  kProxyStopped = 102,
  kSettingsRejected = 103,
  kRingFull = 104,
  kOwnerAcquired = 200,
  kOwnerLost = 201,
  kOwnerReleased = 202,
  kLeaseGranted = 203,
  kLeaseLapsed = 204,
  kFenceRaised = 205,
  kPrimarySuspected = 300,
  kPromotionBegan = 301,
  kPromotionWaits = 302,
  kPromotionDone = 303,
  kMemberDemoted = 304,
  kWritesOpen = 305,
  kReplicationStalled = 306,
  kManifestInForce = 400,
  kManifestRejected = 401,
  kManifestConflict = 402,
  kDatabaseReconfigured = 403,
  kPeerUp = 500,
  kPeerDown = 501,
  kStoreUp = 502,
  kStoreDown = 503,
  kMemberConnectionReplaced = 504,
  kPeerMoved = 505,
  kEndpointLeaving = 506,
  kInstanceListRejected = 507,
  kFrameRejected = 600,
};

/// One named value of an event.
using Field = std::pair<std::string_view, std::string>;

/// Static properties of an event.
struct EventInfo {
  /// Number and enumerator.
  Event event;
  /// Severity.
  Severity severity;
  /// What happened, as in the catalogue.
  std::string_view text;
};

/// Returns the whole catalogue, in order of number.
auto EventCatalogue() -> const std::vector<EventInfo>&;

/// Returns the line for one event, without the time and newline.
auto FormatEvent(Event event, const std::vector<Field>& fields) -> std::string;

/// Writes a line with the wall-clock time in front to standard error.
void WriteLogLine(std::string_view line);

}  // namespace kingcuplock
