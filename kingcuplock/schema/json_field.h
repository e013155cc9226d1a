#pragma once

/// Helpers of the generated conversions between value types and JSON.
///
/// Example:
///   internal::ReadRequired(in, "name", value.name);

#include <algorithm>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace kingcuplock {

/// A JSON value that does not fit its schema. The message names the place and
/// the remedy.
class SchemaError : public std::runtime_error {
 public:
  SchemaError(std::string_view place, std::string_view remedy)
      : std::runtime_error("\"" + std::string(place) +
                           "\": " + std::string(remedy)) {}
};

namespace internal {

/// Throws SchemaError unless `in` is an object.
void RequireObject(const nlohmann::json& in, std::string_view type_name);

/// Returns the index of the name `in` within `names`; throws SchemaError.
auto EnumIndex(const nlohmann::json& in,
               std::span<const std::string_view> names) -> std::size_t;

/// Returns `in["type"]`; throws SchemaError if `in` has none.
auto FrameType(const nlohmann::json& in, std::string_view type_name)
    -> std::string;

/// Reads a member that is present. Throws SchemaError on a wrong type.
template <typename T>
void ReadPresent(const nlohmann::json& in, std::string_view name, T& out) {
  try {
    in.get_to(out);
  } catch (const nlohmann::json::exception& ex) {
    throw SchemaError(name, std::string("has the wrong type; ") + ex.what());
  }
}

/// Reads a member that must be present.
template <typename T>
void ReadRequired(const nlohmann::json& in, std::string_view name, T& out) {
  const auto it = in.find(name);
  if (it == in.end()) {
    throw SchemaError(name, "is missing; add it");
  }
  ReadPresent(*it, name, out);
}

/// Reads a member that may be left out, in which case `out` stays.
template <typename T>
void ReadOptional(const nlohmann::json& in, std::string_view name, T& out) {
  const auto it = in.find(name);
  if (it != in.end()) {
    ReadPresent(*it, name, out);
  }
}

/// Writes a member unless it equals its default.
template <typename T>
void WriteOptional(nlohmann::json& out,
                   std::string_view name,
                   const T& value,
                   const T& fallback) {
  if (value != fallback) {
    out[std::string(name)] = value;
  }
}

}  // namespace internal
}  // namespace kingcuplock
