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

/// Length of the periods over which quantiles are calculated.
inline constexpr Milliseconds kLatencyPeriod = std::chrono::minutes(5);

/// Estimates the quantiles of a set of latencies. It works on the logarithms of
/// the samples, which suits the long tail of latencies. While there are only a
/// few samples, it keeps them all and the quantiles are exact. Not thread safe.
class LatencySketch {
 public:
  LatencySketch();

  /// Adds one sample in O(1) time.
  void Add(Duration latency);

  /// Returns the quantile at `probability`, which is in (0, 1), or 0 if there
  /// is no sample.
  auto Quantile(double probability) const -> Duration;

  /// Returns the number of samples.
  auto CountSamples() const -> std::size_t;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::extended_p_square_quantile>>;

  Accumulator logarithms_;
  std::vector<double> exact_samples_;
};

/// Quantiles over the newest complete period that has samples, or over the
/// current period as long as there is none. Not thread safe.
class LatencyQuantiles {
 public:
  /// Adds one sample. `now` must not go back.
  void Add(Time now, Duration latency);

  /// Returns the quantile at `probability`, which is in (0, 1), or 0 if there
  /// is no sample.
  auto Quantile(Time now, double probability) const -> Duration;

 private:
  std::int64_t current_period_ = 0;
  LatencySketch current_;
  std::unique_ptr<LatencySketch> last_;
};

}  // namespace kingcuplock
