#include "kingcuplock/schema/value_check.h"

#include <algorithm>
#include <string_view>

#include <fmt/format.h>

#include "kingcuplock/schema/json_field.h"

namespace kingcuplock {
namespace {

/// Largest size in bytes of a name, as of a key of the store.
constexpr std::size_t kMaxNameBytes = 200;
/// Largest number of statements that a member may run at once, and of
/// connections that it may accept.
constexpr std::int64_t kMaxMemberCapacity = 1'000'000;
/// Largest limit of a tenant, in operations per second, and largest burst.
constexpr double kMaxRate = 1e9;

/// Throws SchemaError unless the text is a word. Names are sent to members on
/// lines whose fields are separated by blanks.
auto CheckWord(std::string_view place, std::string_view text) -> void {
  const auto is_word = std::all_of(text.begin(), text.end(), [](char c) {
    constexpr char kFirstPrintable = 0x21;
    constexpr char kDelete = 0x7f;
    return static_cast<signed char>(c) < 0 ||
           (c >= kFirstPrintable && c != kDelete);
  });
  if (text.empty() || text.size() > kMaxNameBytes || !is_word) {
    throw SchemaError(
        place, fmt::format("must be a word of 1 to {} bytes, not one of {} "
                           "bytes with blanks or control characters",
                           kMaxNameBytes, text.size()));
  }
}

auto CheckCapacity(std::string_view place, std::int64_t value) -> void {
  if (value < 1 || value > kMaxMemberCapacity) {
    throw SchemaError(place, fmt::format("must be from 1 to {}, not {}",
                                         kMaxMemberCapacity, value));
  }
}

auto CheckNotNegative(std::string_view place, std::int64_t value) -> void {
  if (value < 0) {
    throw SchemaError(place, fmt::format("must be at least 0, not {}", value));
  }
}

}  // namespace

auto CheckEndpoint(const EndpointEntry& entry) -> void {
  CheckWord("member", entry.member);
  CheckWord("group", entry.group);
  CheckWord("host", entry.host);
  CheckWord("data_centre", entry.data_centre);
  if (entry.port < 1) {
    throw SchemaError("port", "must be from 1 to 65535");
  }
  CheckCapacity("slots", entry.slots);
  CheckNotNegative("born_ms", entry.born_ms);
  CheckNotNegative("sequence", entry.sequence);
}

auto CheckTenant(const TenantConfig& tenant) -> void {
  CheckWord("name", tenant.name);
  for (const auto& it : tenant.key_digests) {
    CheckWord("key_digests", it);
  }
  for (const auto value : {tenant.rate_per_s, tenant.burst}) {
    if (!(value >= 0 && value <= kMaxRate)) {
      throw SchemaError("rate_per_s",
                        fmt::format("and burst must be from 0 to {}, not {}",
                                    kMaxRate, value));
    }
  }
}

auto CheckRouteTable(const RouteTable& table) -> void {
  CheckNotNegative("version", table.version);
  CheckNotNegative("transaction_idle_ms", table.transaction_idle_ms);
  for (const auto& it : table.routes) {
    CheckWord("database", it.database);
    CheckWord("group", it.group);
    CheckNotNegative("max_age_ms", it.max_age_ms);
    CheckNotNegative("timeout_ms", it.timeout_ms);
    CheckNotNegative("target_ms", it.target_ms);
    CheckNotNegative("priority", it.priority);
  }
  for (const auto& it : table.tenants) {
    CheckTenant(it);
  }
  for (const auto& it : table.groups) {
    CheckWord("name", it.name);
    CheckCapacity("connections", it.connections);
    CheckNotNegative("synchronous_replicas", it.synchronous_replicas);
  }
}

}  // namespace kingcuplock
