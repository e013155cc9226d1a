#pragma once

/// Checks a JSON text against one of the committed JSON Schemas.
///
/// Example:
///   for (const auto& it : ValidateAgainstSchema(kSettingsSchema, text)) { ...
///   }

#include <string>
#include <string_view>
#include <vector>

namespace kingcuplock {

/// One place that does not fit.
struct SchemaViolation {
  /// JSON pointer to the place.
  std::string pointer;
  /// What is wrong.
  std::string description;
};

/// Returns every fault of `text` under `schema`, none if it fits.
auto ValidateAgainstSchema(std::string_view schema, std::string_view text)
    -> std::vector<SchemaViolation>;

/// Returns what the schema expects at a JSON pointer, as text for people: the
/// limits and the description. Empty if the schema does not know the place.
auto DescribeSchemaAt(std::string_view schema, std::string_view pointer)
    -> std::string;

}  // namespace kingcuplock
