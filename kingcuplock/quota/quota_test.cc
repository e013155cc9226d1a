// Guards against tenants that get more or less than their limit on one
// instance: wrong sums in a lender's bucket, loans that are used late,
// operations that wait for ever.

#include <vector>

#include <doctest/doctest.h>

#include "kingcuplock/quota/quota_borrower.h"
#include "kingcuplock/quota/quota_lender.h"

namespace kingcuplock {
namespace {

constexpr Time kStart{Milliseconds(100'000)};
/// Length in s of the unit of Duration.
constexpr double kTimeStepS = 1e-6;

auto Limited(std::string name, double rate, double burst) -> TenantConfig {
  TenantConfig out;
  out.name = std::move(name);
  out.limited = true;
  out.rate_per_s = rate;
  out.burst = burst;
  return out;
}

TEST_CASE("budget: rate, burst, loans and two lenders fit into the window") {
  const std::vector<QuotaLimits> all{
      {}, {Milliseconds(1000), 0, 0}, {Milliseconds(10'000), 0.5, 3}};
  for (const auto& limits : all) {
    for (const auto rate : {0.1, 2.0, 60.0, 400.0, 9000.0}) {
      for (const auto burst : {1.0, rate / 2, rate * 3}) {
        const auto budget =
            ComputeQuotaBudget(Limited("t", rate, burst), limits);
        const auto window_s =
            std::chrono::duration<double>(limits.window).count();
        const auto validity_s =
            std::chrono::duration<double>(budget.validity).count();
        const auto allowed =
            (rate * window_s + burst) * (1 + limits.overshoot) + limits.slack;
        // Loans, the way to a member and two lenders take equal times.
        CHECK(budget.rate_per_s * (window_s + 3 * validity_s) + budget.size <=
              allowed * (1 + 1e-9));
        CHECK(budget.doubtful_rate_per_s * window_s <=
              budget.rate_per_s * (validity_s + kTimeStepS));
        CHECK(budget.size > 0);
        CHECK(budget.rate_per_s >= rate);
      }
    }
  }
}

TEST_CASE(
    "bucket: refills up to its size, and a lower size takes tokens away") {
  TokenBucket bucket(10, 5, 0, kStart);
  CHECK(bucket.Take(3, kStart) == 0);
  CHECK(bucket.TimeUntil(2, kStart) == Milliseconds(200));
  CHECK(bucket.Take(9, kStart + Milliseconds(300)) == 3);
  CHECK(bucket.Take(9, kStart + Milliseconds(5000)) == 5);
  bucket.SetRate(10, 2, kStart + Milliseconds(9000));
  CHECK(bucket.Take(9, kStart + Milliseconds(9000)) == 2);
  TokenBucket none(0, 0, 0, kStart);
  CHECK(none.TimeUntil(1, kStart) == Duration::max());
}

TEST_CASE(
    "lender: a lower limit binds at once, an unknown tenant gets nothing") {
  QuotaLender lender({});
  const std::vector<TenantConfig> high{Limited("t", 100, 100)};
  lender.SetTenants(high, kStart);
  const auto later = kStart + Milliseconds(10'000);
  CHECK(lender.Lend({"t", 1}, LenderState::kSole, kStart).count == 0);
  const std::vector<TenantConfig> low{Limited("t", 1, 1)};
  lender.SetTenants(low, later);
  CHECK(lender.Lend({"t", 1000}, LenderState::kSole, later).count <= 21);
  const auto none = lender.Lend({"x", 1}, LenderState::kSole, later);
  CHECK(none.count == 0);
  CHECK(none.room_ms > 0);
}

TEST_CASE("lender: a doubtful one lends no more than a tenth of the rate") {
  QuotaLender lender({});
  const std::vector<TenantConfig> tenants{Limited("t", 100, 100)};
  lender.SetTenants(tenants, kStart);
  std::int64_t lent = 0;
  for (int ms = 0; ms < 10'000; ms += 20) {
    lent +=
        lender
            .Lend({"t", 50}, LenderState::kDoubtful, kStart + Milliseconds(ms))
            .count;
  }
  CHECK(lent > 20);
  CHECK(lent <= 101);
}

TEST_CASE("borrower: an operation waits for a loan, and a loan ends") {
  QuotaBorrower borrower(1);
  const std::vector<TenantConfig> tenants{Limited("t", 100, 100)};
  borrower.SetTenants(tenants);
  int admitted = 0;
  int refused = 0;
  const auto count = [&](const QuotaDecision& it) {
    ++(it.admitted ? admitted : refused);
  };
  borrower.Begin("t", kStart, count);
  CHECK(admitted == 0);
  auto wishes = borrower.TakeWishes(kStart);
  REQUIRE(wishes.size() == 1);
  CHECK(wishes[0].count >= 1);
  CHECK(borrower.TakeWishes(kStart).empty());
  borrower.OnLoan({"t", 3, 500}, kStart, kStart + Milliseconds(4));
  CHECK(admitted == 1);
  borrower.Begin("t", kStart + Milliseconds(10), count);
  CHECK(admitted == 2);
  // The third one of the loan is not used in time.
  borrower.Begin("t", kStart + Milliseconds(500), count);
  CHECK(admitted == 2);
  borrower.RefuseOverdue(kStart + Milliseconds(501) + QuotaBorrower::kMaxWait);
  CHECK(refused == 1);
  borrower.Begin("free", kStart, count);
  CHECK(admitted == 3);
}

TEST_CASE("borrower: a repeated run takes the place of an operation") {
  QuotaBorrower borrower(1);
  const std::vector<TenantConfig> tenants{Limited("t", 100, 100)};
  borrower.SetTenants(tenants);
  int admitted = 0;
  borrower.Begin("t", kStart, [&](const auto& it) { admitted += it.admitted; });
  borrower.TakeWishes(kStart);
  borrower.OnLoan({"t", 3, 500}, kStart, kStart);
  borrower.NoteRepeat("t");
  borrower.Begin("t", kStart, [&](const auto& it) { admitted += it.admitted; });
  CHECK(admitted == 2);
  borrower.Begin("t", kStart, [&](const auto& it) { admitted += it.admitted; });
  CHECK(admitted == 2);
}

// Load: one tenant at eight times its usual. It is refused at once and told
// when to return, and asks ten times a second at most.
TEST_CASE("load: a tenant beyond its limit is refused before it waits") {
  QuotaLender lender({});
  const std::vector<TenantConfig> tenants{Limited("t", 50, 50)};
  lender.SetTenants(tenants, kStart);
  QuotaBorrower borrower(1);
  borrower.SetTenants(tenants);
  int admitted = 0;
  int refused = 0;
  int asks = 0;
  int waited = 0;
  for (int ms = 0; ms < 10'000; ms += 2) {
    const auto now = kStart + Milliseconds(ms);
    auto decided = false;
    borrower.Begin("t", now, [&](const QuotaDecision& it) {
      ++(it.admitted ? admitted : refused);
      CHECK((it.admitted || it.retry_after_ms >= 20));
      decided = true;
    });
    for (const auto& it : borrower.TakeWishes(now)) {
      ++asks;
      borrower.OnLoan(lender.Lend(it, LenderState::kSole, now), now, now);
    }
    borrower.RefuseOverdue(now);
    waited += decided ? 0 : 1;
  }
  CHECK(admitted >= 475);
  // The limit of a window of 10 s.
  CHECK(admitted <= (50 * 10 + 50) * 1.1 + 20);
  CHECK(refused > 4000);
  CHECK(asks <= 130);
  // Only while the lender does not know yet whether the shortage lasts.
  CHECK(waited <= 250);
}

// Load: many small tenants, each with an operation now and then.
TEST_CASE("load: a small tenant is not refused below its limit") {
  QuotaLender lender({});
  std::vector<TenantConfig> tenants;
  for (int n = 0; n < 80; ++n) {
    tenants.push_back(Limited("t" + std::to_string(n), 2, 2));
  }
  lender.SetTenants(tenants, kStart);
  QuotaBorrower borrower(1);
  borrower.SetTenants(tenants);
  int admitted = 0;
  int refused = 0;
  for (int ms = 0; ms < 20'000; ms += 10) {
    const auto now = kStart + Milliseconds(ms);
    borrower.Begin(
        "t" + std::to_string(ms / 10 * 37 % 80), now,
        [&](const QuotaDecision& it) { ++(it.admitted ? admitted : refused); });
    for (const auto& it : borrower.TakeWishes(now)) {
      borrower.OnLoan(lender.Lend(it, LenderState::kSole, now), now, now);
    }
  }
  CHECK(refused == 0);
  CHECK(admitted == 2000);
}

}  // namespace
}  // namespace kingcuplock
