#pragma once

/// Functions that the generated conversions between value types and JSON use.
///
/// Example:
///   internal::ReadRequired(in, "name", value.name);

#include <algorithm>
#include <cstdint>
#include <limits>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace kingcuplock {

/// Thrown for a JSON value that does not match its schema. The message names
/// the member or type concerned and the remedy.
class SchemaError : public std::runtime_error {
 public:
  SchemaError(std::string_view place, std::string_view remedy)
      : std::runtime_error("\"" + std::string(place) +
                           "\": " + std::string(remedy)) {}
};

namespace internal {

/// Throws SchemaError unless `in` is an object.
void RequireObject(const nlohmann::json& in, std::string_view type_name);

/// Returns the index of the string `in` within `names`. Throws SchemaError if
/// it is not a string or is not one of them.
auto EnumIndex(const nlohmann::json& in,
               std::span<const std::string_view> names) -> std::size_t;

/// Returns `in["type"]`. Throws SchemaError if `in` is not an object or has no
/// such string.
auto FrameType(const nlohmann::json& in, std::string_view type_name)
    -> std::string;

/// Values that an integer member may have.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// All values of the type.
constexpr IntegerRange kAnyInteger{std::numeric_limits<std::int64_t>::min(),
                                   std::numeric_limits<std::int64_t>::max()};
/// Whole numbers that every JSON reader takes exactly.
constexpr IntegerRange kWholeNumber{-(std::int64_t{1} << 53U),
                                    std::int64_t{1} << 53U};
/// Durations in ms that can be added to a time: 31 years.
constexpr IntegerRange kMilliseconds{-1'000'000'000'000, 1'000'000'000'000};

/// Reads the value `in` of the integer member `name` into `out`. Throws
/// SchemaError if it is no integer or out of `range`.
void ReadPresent(const nlohmann::json& in,
                 std::string_view name,
                 std::int64_t& out,
                 IntegerRange range);

/// Reads the value `in` of the member `name` into `out`. Throws SchemaError if
/// it has the wrong type.
template <typename T>
void ReadPresent(const nlohmann::json& in, std::string_view name, T& out) {
  try {
    in.get_to(out);
  } catch (const nlohmann::json::exception& ex) {
    throw SchemaError(name, std::string("has the wrong type; ") + ex.what());
  }
}

/// Reads the member `name` of `in` into `out`. Throws SchemaError if it is
/// missing, has the wrong type or is out of `range`.
template <typename T, typename... Range>
void ReadRequired(const nlohmann::json& in,
                  std::string_view name,
                  T& out,
                  Range... range) {
  const auto it = in.find(name);
  if (it == in.end()) {
    throw SchemaError(name, "is missing; add it");
  }
  ReadPresent(*it, name, out, range...);
}

/// Reads the member `name` of `in` into `out`. Leaves `out` unchanged if the
/// member is missing; throws SchemaError if it has the wrong type or is out of
/// `range`.
template <typename T, typename... Range>
void ReadOptional(const nlohmann::json& in,
                  std::string_view name,
                  T& out,
                  Range... range) {
  const auto it = in.find(name);
  if (it != in.end()) {
    ReadPresent(*it, name, out, range...);
  }
}

/// Writes `value` as the member `name` of `out` unless it equals
/// `default_value`.
template <typename T>
void WriteOptional(nlohmann::json& out,
                   std::string_view name,
                   const T& value,
                   const T& default_value) {
  if (value != default_value) {
    out[std::string(name)] = value;
  }
}

}  // namespace internal
}  // namespace kingcuplock
