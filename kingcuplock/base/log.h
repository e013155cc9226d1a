#pragma once

/// Numbered log events, one line of key=value on standard output each. The
/// catalogue is docs/EVENTS.md.
///
/// Example:
///   auto line = FormatEvent(Event::kOwnerAcquired, {{"database", name}});

#include <chrono>
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
  kEpochRaised = 205,
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
  kStatementServed = 700,
  kAttemptWithoutEffect = 701,
  kStatementRefused = 702,
  kStatementFailed = 703,
  kTransactionIdle = 704,
  kSessionWritesLost = 705,
  kClientRejected = 706,
  kSessionOpened = 707,
  kSessionClosed = 708,
  kPrimaryViewChanged = 720,
  kEndpointFound = 721,
  kEndpointGone = 722,
  kEndpointReachabilityChanged = 723,
  kEndpointRejected = 724,
  kPromotionEvaluated = 730,
  kPromotionOrdered = 731,
  kPromotionAnswered = 732,
  kDutyTakenOver = 733,
  kPrimaryGrantReceived = 734,
  kPrimaryGrantMissing = 735,
  kPromotionDelayed = 736,
  kPromotionDutyExclusive = 737,
  kReplacedPrimaryDemoted = 738,
  kRoutesInForce = 740,
  kRoutesRejected = 741,
  kSettingsReloaded = 742,
  kReadinessChanged = 743,
  kLogLinesDropped = 744,
  kStoreCallRejected = 745,
  kStoreHistoryCompacted = 746,
};

/// One named value of an event.
using LogField = std::pair<std::string_view, std::string>;

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
auto FormatEvent(Event event, const std::vector<LogField>& fields)
    -> std::string;

/// Returns the wall-clock time.
auto WallClockNow() -> std::chrono::system_clock::time_point;

/// Appends a line with its time in front to `out`.
void AppendLogLine(std::string& out,
                   std::chrono::system_clock::time_point time,
                   std::string_view line);

/// Writes whole lines to standard output at once.
void WriteLogLines(std::string_view lines);

/// Writes one line with the wall-clock time in front to standard output.
void WriteLogLine(std::string_view line);

}  // namespace kingcuplock
