#include "kingcuplock/quota/quota_lender.h"

#include <algorithm>

namespace kingcuplock {
namespace {

/// Time in ms without a full loan after which a tenant counts as beyond its
/// limit. A lender that has just begun to lend fills its bucket within it.
constexpr Milliseconds kOverloadAfter{300};
/// Part of the bucket that shows that the tenant is within its limit again.
constexpr double kRecoveredPart = 0.1;
/// Time in ms without a question after which a tenant's shortage is forgotten.
constexpr Milliseconds kShortageLifetime{1000};
/// Shortest and longest time in ms until an instance asks again, and the
/// shortest one for a tenant beyond its limit. What fills the bucket meanwhile
/// is lent then, so a longer time serves no fewer operations.
constexpr Milliseconds kMinRoomTime{20};
constexpr Milliseconds kMinOverloadedRoomTime{100};
constexpr Milliseconds kMaxRoomTime{1000};
/// Tokens that a doubtful lender holds at most.
constexpr double kDoubtfulSize = 1;

auto InMilliseconds(Duration time, Milliseconds least, Milliseconds most)
    -> std::int64_t {
  const auto capped = std::min<Duration>(time, most);
  return std::max(std::chrono::ceil<Milliseconds>(capped), least).count();
}

}  // namespace

auto QuotaLender::MakeAccount(const QuotaBudget& budget, Time now) const
    -> Account {
  return {.sole = TokenBucket(budget.rate_per_s, budget.size, 0, now),
          .doubtful =
              TokenBucket(budget.doubtful_rate_per_s, kDoubtfulSize, 0, now),
          .budget = budget,
          .short_since = std::nullopt,
          .last_asked = now};
}

auto QuotaLender::SetTenants(std::span<const TenantConfig> tenants, Time now)
    -> void {
  tenants_.clear();
  for (const auto& it : tenants) {
    if (it.limited) {
      tenants_.emplace(it.name, it);
    }
  }
  std::erase_if(accounts_,
                [&](const auto& it) { return !tenants_.contains(it.first); });
  for (auto& [name, account] : accounts_) {
    account.budget = ComputeQuotaBudget(tenants_.at(name), limits_);
    account.sole.SetRate(account.budget.rate_per_s, account.budget.size, now);
    account.doubtful.SetRate(account.budget.doubtful_rate_per_s, kDoubtfulSize,
                             now);
    account.short_since.reset();
  }
}

auto QuotaLender::Tenants() const -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& [name, account] : accounts_) {
    out.push_back(name);
  }
  return out;
}

auto QuotaLender::NoteInterrupted(const std::string& tenant, Time now) -> void {
  const auto it = accounts_.find(tenant);
  if (it == accounts_.end()) {
    return;
  }
  auto& account = it->second;
  account.sole.Limit(0, now);
}

auto QuotaLender::Lend(const QuotaWish& wish, LenderState state, Time now)
    -> QuotaLoan {
  QuotaLoan out;
  out.tenant = wish.tenant;
  const auto tenant = tenants_.find(wish.tenant);
  if (tenant == tenants_.end()) {
    out.room_ms = kMaxRoomTime.count();
    out.retry_ms = kMaxRoomTime.count();
    out.overloaded = true;
    return out;
  }
  auto& account =
      accounts_
          .try_emplace(
              wish.tenant,
              MakeAccount(ComputeQuotaBudget(tenant->second, limits_), now))
          .first->second;
  auto& bucket = state == LenderState::kSole ? account.sole : account.doubtful;
  if (now - account.last_asked > kShortageLifetime) {
    account.short_since.reset();
  }
  account.last_asked = now;
  out.count = bucket.Take(wish.count, now);
  out.lasts_ms =
      std::chrono::duration_cast<Milliseconds>(account.budget.validity).count();
  // A few instances get all that they ask for although the tenant is beyond its
  // limit; the bucket shows it.
  if (bucket.Tokens(now) >= account.budget.size * kRecoveredPart) {
    account.short_since.reset();
  } else if (out.count < wish.count && !account.short_since) {
    account.short_since = now;
  }
  if (out.count >= wish.count) {
    return out;
  }
  out.overloaded = now - *account.short_since >= kOverloadAfter;
  const auto missing = static_cast<double>(wish.count - out.count);
  const auto for_all = bucket.TimeUntil(missing, now);
  out.retry_ms = InMilliseconds(for_all, kMinRoomTime, kMaxRoomTime);
  out.room_ms =
      out.overloaded
          ? InMilliseconds(bucket.TimeUntil(1, now), kMinOverloadedRoomTime,
                           kMaxRoomTime)
          : InMilliseconds(for_all, kMinRoomTime, kMinOverloadedRoomTime);
  return out;
}

}  // namespace kingcuplock
