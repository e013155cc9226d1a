#include "kingcuplock/routing/age_tracker.h"

#include <algorithm>

namespace kingcuplock {
namespace {

/// Maximum number of samples kept; one each 50 ms covers ages of over six
/// minutes.
constexpr std::size_t kMaxSamples = 8192;
/// Shortest time in ms between kept samples of different positions.
constexpr Milliseconds kMinSpacing{5};

}  // namespace

void AgeTracker::AddSample(Time sent, LogPosition place) {
  if (!samples_.empty() && sent < samples_.back().sent) {
    return;
  }
  auto replaced = false;
  while (!samples_.empty() && samples_.back().place >= place) {
    samples_.pop_back();
    replaced = true;
  }
  const auto too_close =
      !samples_.empty() && sent - samples_.back().sent < kMinSpacing;
  if (too_close && !replaced) {
    return;
  }
  samples_.push_back({sent, place});
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
}

auto AgeTracker::AgeAt(LogPosition place, Time now) const
    -> std::optional<Duration> {
  const auto it = std::upper_bound(samples_.begin(), samples_.end(), place,
                                   [](const auto& value, const auto& sample) {
                                     return value < sample.place;
                                   });
  if (it == samples_.begin()) {
    return std::nullopt;
  }
  return now - std::prev(it)->sent;
}

auto AgeTracker::FloorSince(Time not_before) const
    -> std::optional<LogPosition> {
  const auto it = std::lower_bound(
      samples_.begin(), samples_.end(), not_before,
      [](const auto& sample, const auto& time) { return sample.sent < time; });
  if (it == samples_.end()) {
    return std::nullopt;
  }
  return it->place;
}

}  // namespace kingcuplock
