#pragma once

/// Lends the operations of tenants to the instances that ask. Holds a bucket a
/// tenant.
///
/// Example:
///   QuotaLender lender(limits);
///   lender.SetTenants(directory.tenants(), now);
///   auto loan = lender.Lend({"tenant-a", 12}, LenderState::kSole, now);

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kingcuplock/quota/quota_budget.h"
#include "kingcuplock/quota/token_bucket.h"

namespace kingcuplock {

/// What an instance knows of the other lenders of a tenant.
enum class LenderState {
  /// No earlier one in the order can lend.
  kSole,
  /// An earlier one may lend, but can't be reached.
  kDoubtful
};

/// Not thread safe. Lend() is O(log n) in the number of tenants.
class QuotaLender {
 public:
  explicit QuotaLender(QuotaLimits limits) : limits_(limits) {}

  /// Replaces the tenants. The buckets of those that stay keep their tokens, up
  /// to their new size.
  auto SetTenants(std::span<const TenantConfig> tenants, Time now) -> void;

  /// Returns the tenants that were asked for.
  auto Tenants() const -> std::vector<std::string>;

  /// /// Notes that others may have lent a tenant's operations: its bucket is
  /// emptied.
  auto NoteInterrupted(const std::string& tenant, Time now) -> void;

  /// Lends as much as there is of what is wished for; nothing to an unknown
  /// tenant.
  auto Lend(const QuotaWish& wish, LenderState state, Time now) -> QuotaLoan;

 private:
  struct Account {
    /// Buckets for the two states of this lender.
    TokenBucket sole;
    TokenBucket doubtful;
    QuotaBudget budget;
    /// Since when the bucket has been too empty for what is asked for.
    std::optional<Time> short_since;
    Time last_asked{};
  };
  auto MakeAccount(const QuotaBudget& budget, Time now) const -> Account;

  QuotaLimits limits_;
  std::map<std::string, TenantConfig> tenants_;
  /// Tenants that were asked for, by name.
  std::map<std::string, Account> accounts_;
};

}  // namespace kingcuplock
