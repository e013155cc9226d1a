#pragma once

/// Validates JSON texts against one of the JSON Schemas in schema/.
///
/// Example:
///   for (const auto& it : ValidateAgainstSchema(kSettingsSchema, text)) {
///     Report(it.pointer, it.description);
///   }

#include <string>
#include <string_view>
#include <vector>

namespace kingcuplock {

/// One place in a JSON text that does not match the schema.
struct SchemaViolation {
  /// JSON pointer to the place.
  std::string pointer;
  /// Description of what is wrong.
  std::string description;
};

/// Returns all places where `text` violates `schema`, none if it is valid. A
/// text that is not JSON is reported as one violation of the whole.
auto ValidateAgainstSchema(std::string_view schema, std::string_view text)
    -> std::vector<SchemaViolation>;

/// Returns a text for people that states what `schema` expects at a JSON
/// pointer: its description and limits. Returns an empty string if the schema
/// does not define that place.
auto DescribeSchemaAt(std::string_view schema, std::string_view pointer)
    -> std::string;

}  // namespace kingcuplock
