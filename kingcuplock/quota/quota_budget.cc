#include "kingcuplock/quota/quota_budget.h"

#include <algorithm>

namespace kingcuplock {
namespace {

/// Longest times in s: within which lent operations must begin, from then until
/// they reach a member, and for which two instances may lend at once. Longer
/// loans mean fewer messages and less that can be lent.
constexpr double kMaxValidityS = 0.3;
constexpr double kMaxQueueS = 0.3;
constexpr double kMaxOverlapS = 0.3;
/// Part of what the window allows beyond the rate that these times may take up.
constexpr double kTimesPart = 0.55;
/// Part of the rest, and of the slack, that is given out as burst.
constexpr double kBurstPart = 0.5;

auto ToDuration(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

auto ComputeQuotaBudget(const TenantConfig& tenant, const QuotaLimits& limits)
    -> QuotaBudget {
  const auto rate = tenant.rate_per_s;
  const auto window_s = std::chrono::duration<double>(limits.window).count();
  const auto most =
      (rate * window_s + tenant.burst) * (1 + limits.overshoot) + limits.slack;
  QuotaBudget out;
  if (rate <= 0) {
    out.size = tenant.burst;
    out.validity = ToDuration(kMaxValidityS);
    return out;
  }
  const auto beyond = most - rate * window_s;
  constexpr auto kAllTimesS = kMaxValidityS + kMaxQueueS + kMaxOverlapS;
  const auto times_s = std::min(kAllTimesS, beyond * kTimesPart / rate);
  out.size = std::min(tenant.burst + limits.slack * kBurstPart,
                      (beyond - rate * times_s) * kBurstPart);
  out.rate_per_s = (most - out.size) / (window_s + times_s);
  out.validity = ToDuration(times_s * kMaxValidityS / kAllTimesS);
  out.doubtful_rate_per_s =
      out.rate_per_s * times_s * kMaxOverlapS / kAllTimesS / window_s;
  return out;
}

}  // namespace kingcuplock
