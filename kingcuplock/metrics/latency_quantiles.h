#pragma once

/// Quantiles of latencies in constant memory, by the extended P-square
/// algorithm of Boost.Accumulators.
///
/// Example:
///   LatencyQuantiles latency;
///   latency.Add(now, Milliseconds(12));
///   auto p99 = latency.Quantile(now, 0.99);

#include <array>
#include <cstdint>
#include <memory>
#include <sstream>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Length of the period over which quantiles are taken.
inline constexpr Milliseconds kLatencyPeriod = std::chrono::minutes(5);

/// Quantiles of one period. Samples are followed by their logarithm, which
/// suits the long tail of latencies; the first few are kept as they are. Not
/// thread safe.
class LatencySketch {
 public:
  LatencySketch();

  /// Takes one latency in. O(1).
  void Add(Duration latency);

  /// Returns the quantile at `probability` in (0, 1), 0 without a sample.
  auto Quantile(double probability) const -> Duration;

  /// Returns the number of latencies taken in.
  auto CountSamples() const -> std::size_t;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::extended_p_square_quantile>>;

  Accumulator logarithms_;
  std::vector<double> first_;
};

/// Quantiles over the last whole period, or over the running one until a period
/// with samples is complete. Not thread safe.
class LatencyQuantiles {
 public:
  /// Takes one latency in. `now` must not go back.
  void Add(Time now, Duration latency);

  /// Returns the quantile at `probability` in (0, 1), 0 without a sample.
  auto Quantile(Time now, double probability) const -> Duration;

 private:
  std::int64_t period_ = 0;
  LatencySketch running_;
  std::unique_ptr<LatencySketch> last_;
};

}  // namespace kingcuplock
