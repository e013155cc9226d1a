#include "kingcuplock/quota/quota_borrower.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace kingcuplock {
namespace {

/// Interval in ms in which operations are counted to tell how many the next
/// ones bring.
constexpr Milliseconds kCountInterval{100};
/// Weight of the newest interval in the average.
constexpr double kNewestWeight = 0.3;
/// Number of intervals for which is asked ahead.
constexpr double kAskAheadIntervals = 2.5;
/// Part of that below which more is asked for.
constexpr double kLowPart = 0.5;
/// Operations in the intervals asked ahead under which nothing is asked ahead.
constexpr double kMinAhead = 1.5;
/// Rate of a tenant, in operations per second, under which nothing is asked
/// ahead: what one instance does not use in time is missed by the others.
constexpr double kMinAheadRate = 20;
/// Time in ms after which a client may try again if no lender can be reached.
constexpr Milliseconds kNoLenderRetry{500};
/// Most operations asked for at once, as the message allows.
constexpr std::int64_t kMaxWish = 1'000'000;

}  // namespace

auto QuotaBorrower::SetTenants(std::span<const TenantConfig> tenants) -> void {
  std::map<std::string, Account> old = std::exchange(tenants_, {});
  for (const auto& it : tenants) {
    if (!it.limited) {
      continue;
    }
    auto node = old.extract(it.name);
    if (node.empty()) {
      tenants_[it.name].rate_per_s = it.rate_per_s;
      continue;
    }
    node.mapped().rate_per_s = it.rate_per_s;
    node.mapped().no_room_before = Time{};
    node.mapped().overloaded = false;
    tenants_.insert(std::move(node));
  }
  // Tenants that are gone or no longer limited keep nobody waiting.
  for (auto& [name, account] : old) {
    for (auto& it : account.waiting) {
      it.callback({.admitted = true});
    }
  }
}

auto QuotaBorrower::NoteOffered(Account& account, Time now) -> void {
  if (account.interval_began == Time{}) {
    account.interval_began = now;
  }
  auto passed = (now - account.interval_began) / kCountInterval;
  constexpr std::int64_t kForgottenAfter = 20;
  if (passed > kForgottenAfter) {
    account.average = 0;
    account.in_interval = 0;
    account.interval_began = now;
    passed = 0;
  }
  for (; passed > 0; --passed) {
    account.average += kNewestWeight * (account.in_interval - account.average);
    account.in_interval = 0;
    account.interval_began += kCountInterval;
  }
  account.in_interval += 1;
}

auto QuotaBorrower::Available(const Account& account, Time now) const
    -> std::int64_t {
  std::int64_t n = 0;
  for (const auto& it : account.loans) {
    n += it.until > now ? it.left : 0;
  }
  return n;
}

auto QuotaBorrower::TakeToken(Account& account, Time now) -> bool {
  while (!account.loans.empty()) {
    auto& loan = account.loans.front();
    if (loan.until <= now || loan.left <= 0) {
      account.loans.pop_front();
      continue;
    }
    const auto paid = std::min(account.debt, loan.left);
    account.debt -= paid;
    loan.left -= paid;
    if (loan.left > 0) {
      --loan.left;
      return true;
    }
  }
  return false;
}

auto QuotaBorrower::Begin(const std::string& tenant,
                          Time now,
                          QuotaCallback callback) -> void {
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end()) {
    callback({.admitted = true});
    return;
  }
  auto& account = it->second;
  unchecked_.insert(tenant);
  NoteOffered(account, now);
  if (account.waiting.empty() && TakeToken(account, now)) {
    ++account.admitted;
    callback({.admitted = true});
    return;
  }
  if (account.overloaded && now < account.no_room_before) {
    Refuse(account, {std::move(callback), now}, account.room_for_all - now,
           "the tenant is beyond its limit");
    return;
  }
  account.waiting.push_back({std::move(callback), now});
}

auto QuotaBorrower::NoteRepeat(const std::string& tenant) -> void {
  if (const auto it = tenants_.find(tenant); it != tenants_.end()) {
    ++it->second.debt;
  }
}

auto QuotaBorrower::Refuse(Account& account,
                           Waiting waiting,
                           Duration wait,
                           std::string_view reason) -> void {
  ++account.refused;
  waiting.callback({.admitted = false,
                    .reason = std::string(reason),
                    .retry_after_ms = retry_after_.PickDelayMs(wait)});
}

auto QuotaBorrower::WishOf(const Account& account, Time now) const
    -> std::int64_t {
  if (account.asked || now < account.no_room_before) {
    return 0;
  }
  const auto waiting = static_cast<std::int64_t>(account.waiting.size());
  const auto available = Available(account, now);
  const auto ahead = account.average * kAskAheadIntervals;
  const auto wanted = ahead >= kMinAhead && account.rate_per_s >= kMinAheadRate
                          ? static_cast<std::int64_t>(std::ceil(ahead))
                          : 0;
  const auto low = static_cast<double>(available) < ahead * kLowPart;
  const auto more = low ? std::max<std::int64_t>(wanted - available, 0) : 0;
  // Without recent operations nothing is asked ahead.
  const auto recent = now - account.interval_began <
                      kCountInterval * static_cast<int>(kAskAheadIntervals);
  const auto wish = waiting + (recent ? more : 0);
  return wish == 0 ? 0 : std::min(wish + account.debt, kMaxWish);
}

auto QuotaBorrower::TakeWishes(Time now) -> std::vector<QuotaWish> {
  std::vector<QuotaWish> out;
  for (auto it = unchecked_.begin(); it != unchecked_.end();) {
    const auto tenant = tenants_.find(*it);
    if (tenant == tenants_.end()) {
      it = unchecked_.erase(it);
      continue;
    }
    auto& account = tenant->second;
    if (const auto n = WishOf(account, now); n > 0) {
      account.asked = true;
      out.push_back({*it, n});
    }
    it = account.waiting.empty() ? unchecked_.erase(it) : std::next(it);
  }
  return out;
}

auto QuotaBorrower::ServeWaiting(Account& account, Time now) -> void {
  while (!account.waiting.empty() && TakeToken(account, now)) {
    auto waiting = std::move(account.waiting.front());
    account.waiting.pop_front();
    ++account.admitted;
    waiting.callback({.admitted = true});
  }
}

auto QuotaBorrower::OnLoan(const QuotaLoan& loan, Time asked, Time now)
    -> void {
  const auto it = tenants_.find(loan.tenant);
  if (it == tenants_.end()) {
    return;
  }
  auto& account = it->second;
  account.asked = false;
  if (loan.count > 0) {
    account.loans.push_back({loan.count, asked + Milliseconds(loan.lasts_ms)});
  }
  account.overloaded = loan.overloaded;
  account.no_room_before = now + Milliseconds(loan.room_ms);
  account.room_for_all = now + Milliseconds(loan.retry_ms);
  ServeWaiting(account, now);
  if (!account.overloaded) {
    return;
  }
  for (auto& waiting : std::exchange(account.waiting, {})) {
    Refuse(account, std::move(waiting), account.room_for_all - now,
           "the tenant is beyond its limit");
  }
}

auto QuotaBorrower::OnAskLost(std::span<const std::string> tenants, Time now)
    -> void {
  for (const auto& name : tenants) {
    if (const auto it = tenants_.find(name); it != tenants_.end()) {
      it->second.asked = false;
    }
  }
  RefuseOverdue(now);
}

auto QuotaBorrower::OnNoLender(const std::string& tenant, Time now) -> void {
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end()) {
    return;
  }
  auto& account = it->second;
  account.asked = false;
  account.overloaded = true;
  account.no_room_before = now + kMaxWait;
  account.room_for_all = now + Duration(kNoLenderRetry);
  for (auto& waiting : std::exchange(account.waiting, {})) {
    Refuse(account, std::move(waiting), kNoLenderRetry,
           "no instance that counts the tenant's operations can be reached");
  }
}

auto QuotaBorrower::RefuseOverdue(Time now) -> std::optional<Time> {
  std::optional<Time> next;
  const auto names = unchecked_;
  for (const auto& name : names) {
    const auto it = tenants_.find(name);
    if (it == tenants_.end()) {
      continue;
    }
    auto& account = it->second;
    while (!account.waiting.empty() &&
           now - account.waiting.front().since >= kMaxWait) {
      auto waiting = std::move(account.waiting.front());
      account.waiting.pop_front();
      Refuse(account, std::move(waiting), kNoLenderRetry,
             "the tenant's operations were not counted in time");
    }
    if (!account.waiting.empty()) {
      const auto due = account.waiting.front().since + Duration(kMaxWait);
      next = std::min(next.value_or(due), due);
    }
  }
  return next;
}

auto QuotaBorrower::NextAskAt() const -> std::optional<Time> {
  std::optional<Time> next;
  for (const auto& name : unchecked_) {
    const auto it = tenants_.find(name);
    if (it == tenants_.end()) {
      continue;
    }
    const auto& account = it->second;
    if (!account.waiting.empty() && !account.asked) {
      next = std::min(next.value_or(account.no_room_before),
                      account.no_room_before);
    }
  }
  return next;
}

auto QuotaBorrower::Uses() const -> std::vector<TenantUse> {
  std::vector<TenantUse> out;
  for (const auto& [name, account] : tenants_) {
    if (account.admitted + account.refused > 0) {
      out.push_back({name, account.admitted, account.refused});
    }
  }
  return out;
}

}  // namespace kingcuplock
