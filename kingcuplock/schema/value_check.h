#pragma once

/// Checks of values that other writers put into the store or that peers send.
/// The schema gives each field a type and a range; these checks add what it
/// can't say, so that a value that passes can be used without further care.
///
/// Example:
///   CheckEndpoint(entry);  // throws SchemaError for one that can't be used

#include "kingcuplock/schema/json_field.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Throws SchemaError unless the entry's names are words, it has an address and
/// at least one slot.
auto CheckEndpoint(const EndpointEntry& entry) -> void;

/// Throws SchemaError unless the tenant's name is a word, and its digests and
/// limit can be used.
auto CheckTenant(const TenantConfig& tenant) -> void;

/// Throws SchemaError unless every route, tenant and group has a name that is a
/// word, and limits that can be used.
auto CheckRouteTable(const RouteTable& table) -> void;

}  // namespace kingcuplock
