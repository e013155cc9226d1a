#pragma once

/// Counts answers per database, request kind and status, with latency
/// quantiles.
///
/// Example:
///   counters.Note(request, answer, latency);
///   status.counters = counters.Snapshot();

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe. Constant memory per database and request kind.
class RequestCounters {
 public:
  /// Counts one answer.
  void Note(const CallerRequest& request,
            const CallerAnswer& answer,
            Duration latency);

  /// Returns all counters.
  auto Snapshot() const -> std::vector<RequestCounter>;

 private:
  using Latency = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::extended_p_square_quantile>>;
  struct Series {
    Series();
    RequestCounter counter;
    Latency latency;
  };

  std::map<std::pair<std::string, std::string>, Series> series_;
};

}  // namespace kingcuplock
