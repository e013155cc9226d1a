#pragma once

/// Names that NodeFixture gives to instances and members.
///
/// Example:
///   auto database = internal::DatabaseOfMember("db0-1");  // "db0"

#include <cstddef>
#include <string>

namespace kingcuplock::internal {

/// Returns the name of instance number `n`.
inline auto InstanceName(std::size_t n) -> std::string {
  return "proxy-" + std::to_string(n);
}

/// Returns the name of the database that `member` belongs to.
inline auto DatabaseOfMember(const std::string& member) -> std::string {
  return member.substr(0, member.rfind('-'));
}

}  // namespace kingcuplock::internal
