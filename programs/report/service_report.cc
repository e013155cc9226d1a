#include "programs/report/service_report.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"

namespace kingcuplock {
namespace {

/// Burn rate at which 2% of an error budget for 30 d is spent within 1 h.
constexpr double kFastBurnRate = 14.4;
/// Burn rate above which the error budget is spent before its period ends.
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

auto MakeKindBurns(const Manifest& manifest) -> std::vector<KindBurn> {
  std::vector<KindBurn> out;
  for (const auto& database : manifest.databases) {
    for (const auto& kind : database.kinds) {
      KindBurn kind_burn;
      kind_burn.database = database.name;
      kind_burn.kind = kind.name;
      kind_burn.objective_percent = kind.objective_percent;
      kind_burn.target_ms = kind.target_ms;
      kind_burn.replica_allowed =
          kind.access == Access::kRead && kind.max_age_ms > 0;
      out.push_back(std::move(kind_burn));
    }
  }
  return out;
}

void AppendDataGaps(const Manifest& manifest,
                    const InstanceStatus& status,
                    std::vector<std::string>& gaps) {
  if (status.manifest_version != manifest.version) {
    gaps.push_back(status.instance + " uses manifest version " +
                   std::to_string(status.manifest_version) +
                   ", the report uses " + std::to_string(manifest.version));
  }
  constexpr std::int64_t kHourMs = 3'600'000;
  if (status.uptime_ms < 72 * kHourMs) {
    gaps.push_back(status.instance + " has been running for " +
                   std::to_string(status.uptime_ms / 1000) +
                   " s only; longer windows cover no more than that");
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
  const auto total = good + bad;
  if (total == 0) {
    return std::nullopt;
  }
  constexpr double kHundredPercent = 100.0;
  const auto allowed = 1.0 - objective_percent / kHundredPercent;
  return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

auto ClassifyBurn(std::span<const WindowBurn, kReportWindowCount> windows,
                  double objective_percent) -> BurnState {
  // With a low objective the burn rate can't reach 14.4 even if every request
  // fails.
  const auto half_bad_rate = *ComputeBurnRate(1, 1, objective_percent);
  const auto fast_burn_rate = std::min(kFastBurnRate, half_bad_rate);
  const auto exceeds = [&](std::size_t n, double rate) {
    return windows[n].burn_rate.value_or(0) > rate;
  };
  if (exceeds(0, fast_burn_rate) && exceeds(1, fast_burn_rate)) {
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
  out.kinds = MakeKindBurns(manifest);
  out.unreachable = std::move(unreachable);
  for (const auto& status : statuses) {
    out.instances.push_back(status.instance);
    AppendDataGaps(manifest, status, out.gaps_in_data);
    for (const auto& counter : status.counters) {
      if (auto* kind = FindKindBurn(out.kinds, counter)) {
        AddCounter(*kind, counter);
      } else {
        out.gaps_in_data.push_back(status.instance + " counted requests of \"" +
                                   counter.database + "\" \"" + counter.kind +
                                   "\", which is not in the manifest");
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
