#include "kingcuplock/metrics/latency_quantiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuplock {
namespace {

/// Quantiles that the accumulator estimates; others are interpolated.
constexpr std::array<double, 5> kProbabilities{0.25, 0.5, 0.9, 0.99, 0.999};
/// Number of samples that are kept, so that quantiles of a few samples are
/// exact. The accumulator needs 13 samples before it returns a quantile.
constexpr std::size_t kExactSamples = 32;

/// Returns the number of the period that `now` falls into.
auto PeriodNumber(Time now) -> std::int64_t {
  return now.time_since_epoch() / Duration(kLatencyPeriod);
}

}  // namespace

LatencySketch::LatencySketch()
    : logarithms_(boost::accumulators::extended_p_square_probabilities =
                      kProbabilities) {}

void LatencySketch::Add(Duration latency) {
  const auto us = std::max<double>(static_cast<double>(latency.count()), 1);
  if (exact_samples_.size() < kExactSamples) {
    exact_samples_.push_back(us);
  }
  logarithms_(std::log(us));
}

auto LatencySketch::CountSamples() const -> std::size_t {
  return boost::accumulators::count(logarithms_);
}

auto LatencySketch::Quantile(double probability) const -> Duration {
  if (exact_samples_.empty()) {
    return Duration::zero();
  }
  if (CountSamples() <= kExactSamples) {
    auto sorted = exact_samples_;
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
  const auto period = PeriodNumber(now);
  if (period != current_period_ && current_.CountSamples() > 0) {
    last_ = std::make_unique<LatencySketch>(
        std::exchange(current_, LatencySketch()));
  }
  current_period_ = period;
  current_.Add(latency);
}

auto LatencyQuantiles::Quantile(Time now, double probability) const
    -> Duration {
  const auto use_current =
      PeriodNumber(now) != current_period_ || last_ == nullptr;
  return use_current ? current_.Quantile(probability)
                     : last_->Quantile(probability);
}

}  // namespace kingcuplock
