#include "programs/report/service_report.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"

namespace kingcuplock {
namespace {

/// Burn rate that spends 2% of a budget for 30 d within 1 h.
constexpr double kFastBurnRate = 14.4;
/// Burn rate that spends the budget faster than it is granted.
constexpr double kSlowBurnRate = 1.0;

auto FindKindBurn(std::vector<KindBurn>& kinds, const RequestCounter& counter)
    -> KindBurn* {
  const auto it =
      std::find_if(kinds.begin(), kinds.end(), [&](const KindBurn& kind) {
        return kind.database == counter.database && kind.kind == counter.kind;
      });
  return it == kinds.end() ? nullptr : &*it;
}

void AddCounter(KindBurn& kind, const RequestCounter& counter) {
  kind.worst_p99_us = std::max(kind.worst_p99_us, counter.latency_p99_us);
  const auto count = std::min(counter.windows.size(), kReportWindowCount);
  for (std::size_t n = 0; n < count; ++n) {
    auto& window = kind.windows[n];
    window.window_ms = counter.windows[n].window_ms;
    window.good += counter.windows[n].good;
    window.bad += counter.windows[n].bad;
    window.from_replica += counter.windows[n].from_replica;
  }
}

auto KindsOf(const Manifest& manifest) -> std::vector<KindBurn> {
  std::vector<KindBurn> out;
  for (const auto& database : manifest.databases) {
    for (const auto& kind : database.kinds) {
      KindBurn burn_rate;
      burn_rate.database = database.name;
      burn_rate.kind = kind.name;
      burn_rate.objective_percent = kind.objective_percent;
      burn_rate.target_ms = kind.target_ms;
      burn_rate.replica_allowed =
          kind.access == Access::kRead && kind.max_age_ms > 0;
      out.push_back(std::move(burn_rate));
    }
  }
  return out;
}

void NoteGaps(const Manifest& manifest,
              const InstanceStatus& status,
              std::vector<std::string>& gaps) {
  if (status.manifest_version != manifest.version) {
    gaps.push_back(status.instance + " has manifest version " +
                   std::to_string(status.manifest_version) +
                   ", the report's is " + std::to_string(manifest.version));
  }
  constexpr std::int64_t kHourMs = 3'600'000;
  if (status.uptime_ms < 72 * kHourMs) {
    gaps.push_back(status.instance + " has counted for " +
                   std::to_string(status.uptime_ms / 1000) +
                   " s only; longer windows hold no more than that");
  }
}

}  // namespace

auto ToString(BurnState state) -> std::string_view {
  switch (state) {
    case BurnState::kNoData:
      return "no data";
    case BurnState::kWithinBudget:
      return "within budget";
    case BurnState::kSlowBurn:
      return "slow burn";
    case BurnState::kFastBurn:
      return "FAST BURN";
  }
  return "";
}

auto ComputeBurnRate(std::int64_t good,
                     std::int64_t bad,
                     double objective_percent) -> std::optional<double> {
  const auto all = good + bad;
  if (all == 0) {
    return std::nullopt;
  }
  constexpr double kWhole = 100.0;
  const auto allowed = 1.0 - objective_percent / kWhole;
  return static_cast<double>(bad) / static_cast<double>(all) / allowed;
}

auto ClassifyBurn(std::span<const WindowBurn, kReportWindowCount> windows,
                  double objective_percent) -> BurnState {
  // A loose objective can't burn at 14.4 even when nothing is served.
  const auto outage = *ComputeBurnRate(1, 1, objective_percent);
  const auto fast = std::min(kFastBurnRate, outage);
  const auto exceeds = [&](std::size_t n, double rate) {
    return windows[n].burn_rate.value_or(0) > rate;
  };
  if (exceeds(0, fast) && exceeds(1, fast)) {
    return BurnState::kFastBurn;
  }
  if (exceeds(2, kSlowBurnRate) && exceeds(3, kSlowBurnRate)) {
    return BurnState::kSlowBurn;
  }
  return windows[3].burn_rate.has_value() ? BurnState::kWithinBudget
                                          : BurnState::kNoData;
}

auto BuildServiceReport(const Manifest& manifest,
                        std::span<const InstanceStatus> statuses,
                        std::vector<std::string> unreachable) -> ServiceReport {
  ServiceReport out;
  out.kinds = KindsOf(manifest);
  out.unreachable = std::move(unreachable);
  for (const auto& status : statuses) {
    out.instances.push_back(status.instance);
    NoteGaps(manifest, status, out.gaps_in_data);
    for (const auto& counter : status.counters) {
      if (auto* kind = FindKindBurn(out.kinds, counter)) {
        AddCounter(*kind, counter);
      } else {
        out.gaps_in_data.push_back(status.instance + " counted requests of \"" +
                                   counter.database + "\" \"" + counter.kind +
                                   "\", which the manifest lacks");
      }
    }
    out.failovers.insert(out.failovers.end(), status.failovers.begin(),
                         status.failovers.end());
  }
  for (auto& kind : out.kinds) {
    for (auto& it : kind.windows) {
      it.burn_rate = ComputeBurnRate(it.good, it.bad, kind.objective_percent);
    }
    kind.state = ClassifyBurn(kind.windows, kind.objective_percent);
  }
  return out;
}

auto TotalFailoverGapUs(const FailoverGap& gap) -> std::int64_t {
  return gap.suspect_us + gap.record_us + gap.hear_us + gap.promote_us +
         gap.open_us;
}

}  // namespace kingcuplock
