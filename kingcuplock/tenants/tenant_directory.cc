#include "kingcuplock/tenants/tenant_directory.h"

#include "kingcuplock/tenants/key_digest.h"

namespace kingcuplock {

auto TenantDirectory::SetTable(const RouteTable& table) -> void {
  checks_keys_ = table.checks_keys;
  tenants_ = table.tenants;
  by_digest_.clear();
  by_name_.clear();
  for (std::size_t n = 0; n < tenants_.size(); ++n) {
    by_name_.emplace(tenants_[n].name, n);
    for (const auto& it : tenants_[n].key_digests) {
      by_digest_.emplace(it, n);
    }
  }
}

auto TenantDirectory::FindByKey(std::string_view digest) const
    -> const TenantConfig* {
  const auto it = by_digest_.find(std::string(digest));
  return it != by_digest_.end() && AreDigestsEqual(it->first, digest)
             ? &tenants_[it->second]
             : nullptr;
}

auto TenantDirectory::FindByName(std::string_view name) const
    -> const TenantConfig* {
  const auto it = by_name_.find(std::string(name));
  return it == by_name_.end() ? nullptr : &tenants_[it->second];
}

}  // namespace kingcuplock
