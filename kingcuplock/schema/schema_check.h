#pragma once

/// Checks a JSON text against one of the committed JSON Schemas.
///
/// Example:
///   for (const auto& it : CheckAgainst(kSettingsSchema, text)) { ... }

#include <string>
#include <string_view>
#include <vector>

namespace kingcuplock {

/// One place that does not fit.
struct SchemaFault {
  /// JSON pointer to the place.
  std::string pointer;
  /// What is wrong.
  std::string description;
};

/// Returns every fault of `text` under `schema`, none if it fits.
auto CheckAgainst(std::string_view schema, std::string_view text)
    -> std::vector<SchemaFault>;

/// Returns what the schema expects at a JSON pointer, as text for people: the
/// limits and the description. Empty if the schema does not know the place.
auto DescribeExpected(std::string_view schema, std::string_view pointer)
    -> std::string;

}  // namespace kingcuplock
