#include "kingcuplock/node/request_counters.h"

#include <array>
#include <cmath>
#include <cstdint>

namespace kingcuplock {
namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;
/// Quantiles followed by the accumulator.
constexpr std::array<double, 4> kProbabilities{kMedian, 0.9, kNinetyNinth,
                                               0.999};

template <typename Latency>
auto Quantile(const Latency& latency, double probability) -> std::int64_t {
  const auto value = boost::accumulators::quantile(
      latency, boost::accumulators::quantile_probability = probability);
  return std::isfinite(value) ? static_cast<std::int64_t>(value) : 0;
}

}  // namespace

RequestCounters::Series::Series()
    : latency(boost::accumulators::extended_p_square_probabilities =
                  kProbabilities) {}

void RequestCounters::Note(const CallerRequest& request,
                           const CallerAnswer& answer,
                           Duration latency) {
  auto& series = series_[{request.database, request.kind}];
  auto& counter = series.counter;
  counter.database = request.database;
  counter.kind = request.kind;
  switch (answer.status) {
    case Status::kOk:
      ++counter.ok;
      break;
    case Status::kFailed:
      ++counter.failed;
      break;
    case Status::kNotRun:
      ++counter.not_run;
      break;
    case Status::kUnknown:
      ++counter.unknown;
      break;
  }
  counter.from_replica += answer.from_replica ? 1 : 0;
  series.latency(static_cast<double>(latency.count()));
}

auto RequestCounters::Snapshot() const -> std::vector<RequestCounter> {
  std::vector<RequestCounter> out;
  for (const auto& [key, series] : series_) {
    auto counter = series.counter;
    counter.latency_p50_us = Quantile(series.latency, kMedian);
    counter.latency_p99_us = Quantile(series.latency, kNinetyNinth);
    out.push_back(std::move(counter));
  }
  return out;
}

}  // namespace kingcuplock
