#include "kingcuplock/metrics/request_counters.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuplock {
namespace {

constexpr double kMedianProbability = 0.5;
constexpr double kP99Probability = 0.99;

void CountStatus(RequestCounter& totals, Status status) {
  switch (status) {
    case Status::kOk:
      ++totals.ok;
      break;
    case Status::kFailed:
      ++totals.failed;
      break;
    case Status::kNotRun:
      ++totals.not_run;
      break;
    case Status::kUnknown:
      ++totals.unknown;
      break;
  }
}

}  // namespace

void RequestCounters::SetManifest(const Manifest& manifest) {
  auto old = std::exchange(databases_, {});
  for (const auto& database : manifest.databases) {
    auto& all = databases_[database.name];
    auto& known = old[database.name];
    for (const auto& kind : database.kinds) {
      Series series{kind.name, Milliseconds(kind.target_ms), nullptr};
      const auto it = std::find_if(
          known.begin(), known.end(),
          [&](const Series& candidate) { return candidate.kind == kind.name; });
      if (it != known.end()) {
        series.counts = std::move(it->counts);
      }
      all.push_back(std::move(series));
    }
  }
}

auto RequestCounters::FindSeries(const CallerRequest& request) -> Series& {
  const auto database = databases_.find(request.database);
  if (database == databases_.end()) {
    return unknown_kinds_;
  }
  for (auto& it : database->second) {
    if (it.kind == request.kind) {
      return it;
    }
  }
  return unknown_kinds_;
}

void RequestCounters::CountAnswer(Time now,
                                  const CallerRequest& request,
                                  const CallerAnswer& answer,
                                  Duration latency) {
  auto& series = FindSeries(request);
  if (series.counts == nullptr) {
    series.counts = std::make_unique<Counts>();
    if (&series != &unknown_kinds_) {
      series.counts->totals.database = request.database;
      series.counts->totals.kind = request.kind;
    }
  }
  auto& counts = *series.counts;
  CountStatus(counts.totals, answer.status);
  const auto replica = answer.from_replica ? 1U : 0U;
  counts.totals.from_replica += replica;
  const auto good = answer.status == Status::kOk && latency <= series.target;
  counts.windows.Add(now, {good ? 1U : 0U, good ? 0U : 1U, replica});
  counts.latency.Add(now, latency);
}

auto RequestCounters::Snapshot(Time now) const -> std::vector<RequestCounter> {
  std::vector<RequestCounter> out;
  const auto add = [&](const Series& series) {
    if (series.counts == nullptr) {
      return;
    }
    auto counter = series.counts->totals;
    const auto& latency = series.counts->latency;
    counter.latency_p50_us = latency.Quantile(now, kMedianProbability).count();
    counter.latency_p99_us = latency.Quantile(now, kP99Probability).count();
    counter.windows = series.counts->windows.Windows(now);
    out.push_back(std::move(counter));
  };
  add(unknown_kinds_);
  for (const auto& [name, all] : databases_) {
    for (const auto& it : all) {
      add(it);
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::tie(a.database, a.kind) < std::tie(b.database, b.kind);
  });
  return out;
}

}  // namespace kingcuplock
