#include "kingcuplock/metrics/latency_quantiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuplock {
namespace {

/// Quantiles followed by the accumulator.
constexpr std::array<double, 5> kProbabilities{0.25, 0.5, 0.9, 0.99, 0.999};
/// Samples kept as they are; the accumulator needs 13 before it can answer.
constexpr std::size_t kFirstSamples = 32;

auto PeriodOf(Time now) -> std::int64_t {
  return now.time_since_epoch() / Duration(kLatencyPeriod);
}

}  // namespace

LatencySketch::LatencySketch()
    : logarithms_(boost::accumulators::extended_p_square_probabilities =
                      kProbabilities) {}

void LatencySketch::Add(Duration latency) {
  const auto us = std::max<double>(static_cast<double>(latency.count()), 1);
  if (first_.size() < kFirstSamples) {
    first_.push_back(us);
  }
  logarithms_(std::log(us));
}

auto LatencySketch::CountSamples() const -> std::size_t {
  return boost::accumulators::count(logarithms_);
}

auto LatencySketch::Quantile(double probability) const -> Duration {
  if (first_.empty()) {
    return Duration::zero();
  }
  if (CountSamples() <= kFirstSamples) {
    auto sorted = first_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = std::ceil(probability * double(sorted.size()));
    const auto at = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return Duration(std::llround(sorted[std::min(at, sorted.size() - 1)]));
  }
  const auto logarithm = boost::accumulators::quantile(
      logarithms_, boost::accumulators::quantile_probability = probability);
  return Duration(std::llround(std::exp(logarithm)));
}

void LatencyQuantiles::Add(Time now, Duration latency) {
  const auto period = PeriodOf(now);
  if (period != period_ && running_.CountSamples() > 0) {
    last_ = std::make_unique<LatencySketch>(
        std::exchange(running_, LatencySketch()));
  }
  period_ = period;
  running_.Add(latency);
}

auto LatencyQuantiles::Quantile(Time now, double probability) const
    -> Duration {
  const auto complete = PeriodOf(now) != period_ || last_ == nullptr;
  return complete ? running_.Quantile(probability)
                  : last_->Quantile(probability);
}

}  // namespace kingcuplock
