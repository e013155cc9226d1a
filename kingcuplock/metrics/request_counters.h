#pragma once

/// Counts answers per database and request kind: by status, against the kind's
/// service level over several windows, and with latency quantiles.
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

/// Not thread safe. Constant memory per request kind of the manifest; a kind
/// takes none before its first answer.
class RequestCounters {
 public:
  /// Takes the request kinds and their latency targets. Drops the counts of
  /// kinds that are gone and keeps all others.
  void SetManifest(const Manifest& manifest);

  /// Counts one answer. `now` must not go back. O(kinds of the database).
  void CountAnswer(Time now,
                   const CallerRequest& request,
                   const CallerAnswer& answer,
                   Duration latency);

  /// Returns the counters of every kind that had an answer, in order of name.
  auto Snapshot(Time now) const -> std::vector<RequestCounter>;

 private:
  struct Counts {
    RequestCounter totals;
    WindowCounter windows;
    LatencyQuantiles latency;
  };
  struct Series {
    std::string kind;
    Duration target{};
    std::unique_ptr<Counts> counts;
  };

  auto Find(const CallerRequest& request) -> Series&;

  std::unordered_map<std::string, std::vector<Series>> databases_;
  /// Requests that name no kind of the manifest.
  Series unnamed_;
};

}  // namespace kingcuplock
