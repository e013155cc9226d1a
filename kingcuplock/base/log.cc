#include "kingcuplock/base/log.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace kingcuplock {
namespace {

auto SeverityName(Severity severity) -> std::string_view {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

auto FindEventInfo(Event event) -> const EventInfo& {
  const auto& catalogue = EventCatalogue();
  const auto it =
      std::find_if(catalogue.begin(), catalogue.end(),
                   [event](const auto& info) { return info.event == event; });
  return it == catalogue.end() ? catalogue.front() : *it;
}

auto NeedsQuotes(std::string_view value) -> bool {
  return value.empty() || value.find_first_of(" \"=\n") != value.npos;
}

auto Quote(std::string_view value) -> std::string {
  std::string out = "\"";
  for (const auto it : value) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += it == '\n' ? ' ' : it;
  }
  return out + "\"";
}

using enum Event;
using enum Severity;

/// All events, in order of number.
constexpr EventInfo kCatalogue[] = {
    {kProxyStarted, kInfo, "proxy started"},
    {kProxyStopping, kInfo, "planned stop began"},
    {kProxyStopped, kInfo, "proxy stopped"},
    {kSettingsRejected, kError, "settings rejected"},
    {kRingFull, kWarning, "ring full, requests refused"},
    {kOwnerAcquired, kInfo, "ownership acquired"},
    {kOwnerLost, kWarning, "ownership lost"},
    {kOwnerReleased, kInfo, "ownership released"},
    {kLeaseGranted, kInfo, "lease granted"},
    {kLeaseLapsed, kWarning, "lease lapsed"},
    {kEpochRaised, kInfo, "epoch raised in the database"},
    {kOwnerRecordRejected, kWarning, "ownership record can't be read"},
    {kPrimarySuspected, kWarning, "primary suspected"},
    {kPromotionBegan, kWarning, "promotion began"},
    {kPromotionWaits, kError, "promotion waits for members"},
    {kPromotionDone, kWarning, "promotion done"},
    {kMemberDemoted, kWarning, "member told to follow the primary"},
    {kWritesOpen, kInfo, "writes open"},
    {kReplicationStalled, kWarning, "primary no longer reaches replicas"},
    {kManifestInForce, kInfo, "manifest in force"},
    {kManifestRejected, kError, "manifest rejected"},
    {kManifestConflict, kError, "one manifest version has two contents"},
    {kDatabaseReconfigured, kInfo, "owner takes a new configuration"},
    {kPeerUp, kInfo, "peer link up"},
    {kPeerDown, kWarning, "peer link down"},
    {kStoreUp, kInfo, "store reachable"},
    {kStoreDown, kWarning, "store not reachable"},
    {kMemberConnectionReplaced, kWarning, "member connection replaced"},
    {kPeerMoved, kInfo, "peer has another address"},
    {kEndpointLeaving, kInfo, "endpoint is leaving, gets no new work"},
    {kInstanceListRejected, kError, "platform's list rejected"},
    {kFrameRejected, kWarning, "frame rejected"},
    {kStatementServed, kInfo, "statement served"},
    {kAttemptWithoutEffect, kInfo, "attempt ended without effect"},
    {kStatementRefused, kWarning, "statement refused, has not run"},
    {kStatementFailed, kWarning, "statement failed"},
    {kTransactionIdle, kWarning, "idle transaction rolled back"},
    {kSessionWritesLost, kWarning, "promotion cut off a session's writes"},
    {kClientRejected, kWarning, "client rejected"},
    {kSessionOpened, kInfo, "session opened"},
    {kSessionClosed, kInfo, "session closed"},
    {kPrimaryViewChanged, kInfo, "belief about the primary changed"},
    {kEndpointFound, kInfo, "endpoint registered"},
    {kEndpointGone, kWarning, "endpoint no longer registered"},
    {kEndpointReachabilityChanged, kInfo, "reach of an endpoint changed"},
    {kEndpointRejected, kWarning, "endpoint entry rejected"},
    {kPromotionEvaluated, kInfo, "promotion weighed"},
    {kPromotionOrdered, kWarning, "promotion ordered"},
    {kPromotionAnswered, kInfo, "order to promote answered"},
    {kDutyTakenOver, kWarning, "duty taken from a silent holder"},
    {kPrimaryGrantReceived, kInfo, "primary may be used"},
    {kPrimaryGrantMissing, kWarning, "nobody vouches for the primary"},
    {kPromotionDelayed, kInfo, "promotion waits"},
    {kPromotionDutyExclusive, kInfo, "promotion duty is exclusive"},
    {kReplacedPrimaryDemoted, kInfo, "replaced primary demoted"},
    {kMemberPauseAnswered, kInfo, "member answered a pause"},
    {kRoutesInForce, kInfo, "route table in force"},
    {kRoutesRejected, kError, "route table rejected"},
    {kSettingsReloaded, kInfo, "settings read again"},
    {kReadinessChanged, kInfo, "readiness changed"},
    {kLogLinesDropped, kWarning, "log lines dropped over their rate"},
    {kStoreCallRejected, kWarning, "store turned a call away"},
    {kStoreHistoryCompacted, kWarning, "store forgot its history, read again"},
    {kStoreRestored, kWarning, "store restored from an older copy"},
    {kStoreItemIgnored, kWarning, "store item ignored, not newer"},
    {kOlderRoutesIgnored, kWarning, "route table ignored, not newer"},
    {kMemberResumeAnswered, kInfo, "member answered a resume"},
    {kWatchUnanswered, kWarning, "watch got no answer, sent again"},
    {kUnknownKeyRefused, kWarning, "client with an unknown key refused"},
    {kSessionKeyRemoved, kInfo, "key of an open session removed"},
    {kQuotaExceeded, kWarning, "tenant is beyond its limit"},
    {kTenantRejected, kError, "tenant left out of the route table"},
    {kConfigurationUnheard, kWarning, "configuration not confirmed in time"},
    {kLendingChanged, kInfo, "other tenants' operations are lent here"},
};

}  // namespace

auto EventCatalogue() -> const std::vector<EventInfo>& {
  static const std::vector<EventInfo> kAll(std::begin(kCatalogue),
                                           std::end(kCatalogue));
  return kAll;
}

auto FormatEvent(Event event, const std::vector<LogField>& fields)
    -> std::string {
  const auto& info = FindEventInfo(event);
  auto line =
      fmt::format("event={} severity={} text={}", static_cast<int>(event),
                  SeverityName(info.severity), Quote(info.text));
  for (const auto& [name, value] : fields) {
    line +=
        fmt::format(" {}={}", name, NeedsQuotes(value) ? Quote(value) : value);
  }
  return line;
}

auto WallClockNow() -> std::chrono::system_clock::time_point {
  return std::chrono::system_clock::now();
}

void AppendLogLine(std::string& out,
                   std::chrono::system_clock::time_point time,
                   std::string_view line) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time - seconds);
  out += fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", seconds,
                     ms.count(), line);
}

void WriteLogLines(std::string_view lines) {
  if (!lines.empty()) {
    std::fwrite(lines.data(), 1, lines.size(), stdout);
    std::fflush(stdout);
  }
}

void WriteLogLine(std::string_view line) {
  std::string out;
  AppendLogLine(out, WallClockNow(), line);
  WriteLogLines(out);
}

}  // namespace kingcuplock
