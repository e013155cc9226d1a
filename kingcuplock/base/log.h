#pragma once

/// Numbered log events. Each is written to standard output as one line of
/// key=value pairs. docs/EVENTS.md lists all of them.
///
/// Example:
///   WriteLogLine(FormatEvent(Event::kOwnerAcquired, {{"database", name}}));

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kingcuplock {

/// Severity of an event.
enum class Severity { kInfo, kWarning, kError };

/// Every event that a program can log. The numbers are stable: operators' tools
/// may rely on them.
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
  kOwnerRecordRejected = 206,
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
  kMemberPauseAnswered = 739,
  kRoutesInForce = 740,
  kRoutesRejected = 741,
  kSettingsReloaded = 742,
  kReadinessChanged = 743,
  kLogLinesDropped = 744,
  kStoreCallRejected = 745,
  kStoreHistoryCompacted = 746,
  kStoreRestored = 747,
  kStoreItemIgnored = 748,
  kOlderRoutesIgnored = 749,
  kMemberResumeAnswered = 750,
  kWatchUnanswered = 751,
  kUnknownKeyRefused = 760,
  kSessionKeyRemoved = 761,
  kQuotaExceeded = 762,
  kTenantRejected = 763,
  kConfigurationUnheard = 764,
  kLendingChanged = 765,
};

/// Name and value of one field of an event.
using LogField = std::pair<std::string_view, std::string>;

/// Static properties of an event.
struct EventInfo {
  /// Number and enumerator.
  Event event;
  /// Severity of the event.
  Severity severity;
  /// Text of the event, as in docs/EVENTS.md.
  std::string_view text;
};

/// Returns all events, in order of number.
auto EventCatalogue() -> const std::vector<EventInfo>&;

/// Returns the log line of one event, without time and newline. Values are
/// quoted where needed, and newlines in them become spaces.
auto FormatEvent(Event event, const std::vector<LogField>& fields)
    -> std::string;

/// Returns the current wall-clock time.
auto WallClockNow() -> std::chrono::system_clock::time_point;

/// Appends `line` to `out`, preceded by `time` in UTC with milliseconds, and
/// followed by a newline.
void AppendLogLine(std::string& out,
                   std::chrono::system_clock::time_point time,
                   std::string_view line);

/// Writes `lines`, each ending in a newline, to standard output in one call and
/// flushes it.
void WriteLogLines(std::string_view lines);

/// Writes one line to standard output, preceded by the current wall-clock time.
void WriteLogLine(std::string_view line);

}  // namespace kingcuplock
