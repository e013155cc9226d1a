#include "kingcuplock/quota/quota_budget.h"

#include <algorithm>

namespace kingcuplock {
namespace {

/// Longest time in s within which lent operations must begin. Longer loans mean
/// fewer messages and a smaller burst.
constexpr double kMaxValidityS = 0.5;
/// Part of what the window allows beyond the rate that loans from before the
/// window, and two lenders at once, may take up at most.
constexpr double kValidityPart = 0.3;
constexpr double kOverlapPart = 0.25;
/// Longest time in s for which two instances may lend at the full rate.
constexpr double kMaxOverlapS = 0.3;
/// Part of the slack that is given out as burst, and part of what then remains
/// that a new lender may lend at once. There may be several in a window.
constexpr double kSlackPart = 0.5;
constexpr double kStartPart = 0.25;

}  // namespace

auto ComputeQuotaBudget(const TenantConfig& tenant, const QuotaLimits& limits)
    -> QuotaBudget {
  const auto rate = tenant.rate_per_s;
  const auto window_s = std::chrono::duration<double>(limits.window).count();
  const auto allowed = limits.overshoot * rate * window_s +
                       tenant.burst * (1 + limits.overshoot) + limits.slack;
  QuotaBudget out;
  out.rate_per_s = rate;
  if (rate <= 0) {
    out.size = tenant.burst;
    out.validity = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kMaxValidityS));
    return out;
  }
  const auto validity_s =
      std::min(kMaxValidityS, allowed * kValidityPart / rate);
  const auto overlap_s = std::min(kMaxOverlapS, allowed * kOverlapPart / rate);
  const auto left = allowed - rate * (validity_s + overlap_s);
  out.size = std::min(tenant.burst + limits.slack * kSlackPart, left);
  out.start = (left - out.size) * kStartPart;
  out.validity = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(validity_s));
  out.doubtful_rate_per_s = rate * overlap_s / window_s;
  return out;
}

}  // namespace kingcuplock
