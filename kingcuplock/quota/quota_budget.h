#pragma once

/// What a lender may give out for one tenant, so that the operations of all
/// instances stay within the tenant's limit in every window.
///
/// Example:
///   const auto budget = ComputeQuotaBudget(tenant, limits);
///   TokenBucket bucket(budget.rate_per_s, budget.size, 0, now);

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// How a deployment counts: in any span of `window`, a tenant may begin at most
/// (rate x window + burst) x (1 + overshoot) + slack operations.
struct QuotaLimits {
  Duration window{std::chrono::seconds(5)};
  double overshoot = 0.1;
  double slack = 20;
};

/// Amounts in operations. A bucket of a new lender is empty, as its predecessor
/// may have lent all it had.
struct QuotaBudget {
  /// Rate at which operations are lent. It exceeds the tenant's by as much as
  /// the window allows.
  double rate_per_s = 0;
  /// Most that may be lent at once.
  double size = 0;
  /// Time within which lent operations must begin.
  Duration validity{};
  /// Rate of a lender that does not know whether an earlier one still lends.
  double doubtful_rate_per_s = 0;
};

/// Splits what the window allows among: a steady rate and a burst; operations
/// that were lent before the window and reach a member in it; the moment in
/// which two instances lend. Precondition: `tenant` is limited.
auto ComputeQuotaBudget(const TenantConfig& tenant, const QuotaLimits& limits)
    -> QuotaBudget;

}  // namespace kingcuplock
