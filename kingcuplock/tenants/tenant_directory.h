#pragma once

/// The tenants of the route table in use, by the digests of their keys.
///
/// Example:
///   TenantDirectory tenants;
///   tenants.SetTable(table);
///   if (const auto* it = tenants.FindByKey(hello.key_digest)) { ... }

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe.
class TenantDirectory {
 public:
  /// Replaces all tenants by those of `table`.
  auto SetTable(const RouteTable& table) -> void;

  /// Returns whether clients need the key of a tenant.
  auto ChecksKeys() const -> bool { return checks_keys_; }

  /// Returns the tenant that holds the key with this digest, or nullptr. A key
  /// that several tenants list belongs to the first of them. The pointer is
  /// valid until the next SetTable(). O(1).
  auto FindByKey(std::string_view digest) const -> const TenantConfig*;

  /// Returns the tenant of that name, or nullptr. Valid as above. O(1).
  auto FindByName(std::string_view name) const -> const TenantConfig*;

  /// Returns all tenants in the order of the table.
  auto tenants() const -> const std::vector<TenantConfig>& { return tenants_; }

 private:
  bool checks_keys_ = false;
  std::vector<TenantConfig> tenants_;
  /// Indexes into `tenants_`.
  std::unordered_map<std::string, std::size_t> by_digest_;
  std::unordered_map<std::string, std::size_t> by_name_;
};

}  // namespace kingcuplock
