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

}  // namespace kingcuplock
