#pragma once

/// Counts answers per database and request kind: answers by status, requests
/// that met or missed the kind's service level in several windows, and latency
/// quantiles.
///
/// Example:
///   RequestCounters counters;
///   counters.SetManifest(manifest);
///   counters.CountAnswer(now, request, answer, latency);
///   status.counters = counters.Snapshot(now);

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/metrics/latency_quantiles.h"
#include "kingcuplock/metrics/window_counter.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Uses constant memory per request kind of the manifest, allocated at the
/// kind's first answer. Not thread safe.
class RequestCounters {
 public:
  /// Sets the request kinds and their latency targets. Keeps the counts of
  /// kinds that the new manifest contains and drops all others.
  void SetManifest(const Manifest& manifest);

  /// Counts one answer. `now` must not go back. Takes O(n) time in the number
  /// of kinds of the database.
  void CountAnswer(Time now,
                   const CallerRequest& request,
                   const CallerAnswer& answer,
                   Duration latency);

  /// Returns the counters of every kind that had an answer, in order of
  /// database and kind.
  auto Snapshot(Time now) const -> std::vector<RequestCounter>;

 private:
  struct Counts {
    RequestCounter totals;
    WindowCounter windows;
    LatencyQuantiles latency;
  };
  /// Counts of one request kind; `counts` is null before the first answer.
  struct Series {
    std::string kind;
    Duration target{};
    std::unique_ptr<Counts> counts;
  };

  auto FindSeries(const CallerRequest& request) -> Series&;

  std::unordered_map<std::string, std::vector<Series>> databases_;
  /// Counts of all requests whose database or kind the manifest does not
  /// contain. They share one entry, so that names invented by callers take no
  /// memory.
  Series unknown_kinds_;
};

}  // namespace kingcuplock
