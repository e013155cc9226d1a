#include "kingcuplock/schema/json_field.h"

namespace kingcuplock::internal {

void RequireObject(const nlohmann::json& in, std::string_view type_name) {
  if (!in.is_object()) {
    throw SchemaError(type_name, "must be an object");
  }
}

void ReadPresent(const nlohmann::json& in,
                 std::string_view name,
                 std::int64_t& out,
                 IntegerRange range) {
  const auto fits =
      in.is_number_unsigned()
          ? in.get<std::uint64_t>() <= static_cast<std::uint64_t>(range.max) &&
                range.min <= static_cast<std::int64_t>(in.get<std::uint64_t>())
          : in.is_number_integer() && in.get<std::int64_t>() >= range.min &&
                in.get<std::int64_t>() <= range.max;
  if (!fits) {
    throw SchemaError(name, "must be a whole number from " +
                                std::to_string(range.min) + " to " +
                                std::to_string(range.max) +
                                (in.is_number() ? ", not " + in.dump() : ""));
  }
  out = in.get<std::int64_t>();
}

auto EnumIndex(const nlohmann::json& in,
               std::span<const std::string_view> names) -> std::size_t {
  if (!in.is_string()) {
    throw SchemaError("enumeration", "must be a string");
  }
  const auto& name = in.get_ref<const std::string&>();
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    throw SchemaError(name, "is not one of the allowed values");
  }
  return static_cast<std::size_t>(it - names.begin());
}

auto FrameType(const nlohmann::json& in, std::string_view type_name)
    -> std::string {
  RequireObject(in, type_name);
  std::string type;
  ReadRequired(in, "type", type);
  return type;
}

}  // namespace kingcuplock::internal
