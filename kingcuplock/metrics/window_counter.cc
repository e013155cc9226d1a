#include "kingcuplock/metrics/window_counter.h"

#include <algorithm>

namespace kingcuplock {
namespace {

/// Returns the number of the bucket that `now` falls into.
auto BucketNumber(Time now, Milliseconds window, std::size_t buckets)
    -> std::int64_t {
  const auto length =
      Duration(window).count() / static_cast<std::int64_t>(buckets);
  return now.time_since_epoch().count() / length;
}

}  // namespace

void WindowCounter::Add(Time now, const WindowCounts& counts) {
  for (std::size_t n = 0; n < rings_.size(); ++n) {
    auto& ring = rings_[n];
    const auto number = BucketNumber(now, kServiceWindowLengths[n], kBuckets);
    const auto passed = std::clamp<std::int64_t>(
        number - ring.newest, 0, static_cast<std::int64_t>(kBuckets));
    for (auto k = number - passed + 1; k <= number; ++k) {
      ring.buckets[static_cast<std::size_t>(k) % kBuckets] = {};
    }
    ring.newest = std::max(ring.newest, number);
    auto& bucket =
        ring.buckets[static_cast<std::size_t>(ring.newest) % kBuckets];
    bucket.good += counts.good;
    bucket.bad += counts.bad;
    bucket.from_replica += counts.from_replica;
  }
}

auto WindowCounter::Windows(Time now) const -> std::vector<ServiceWindow> {
  std::vector<ServiceWindow> out;
  for (std::size_t n = 0; n < rings_.size(); ++n) {
    const auto& ring = rings_[n];
    const auto number = BucketNumber(now, kServiceWindowLengths[n], kBuckets);
    const auto oldest = number - static_cast<std::int64_t>(kBuckets) + 1;
    ServiceWindow window;
    window.window_ms = kServiceWindowLengths[n].count();
    for (auto k = std::max<std::int64_t>(oldest, 0); k <= ring.newest; ++k) {
      const auto& bucket = ring.buckets[static_cast<std::size_t>(k) % kBuckets];
      window.good += bucket.good;
      window.bad += bucket.bad;
      window.from_replica += bucket.from_replica;
    }
    out.push_back(window);
  }
  return out;
}

}  // namespace kingcuplock
