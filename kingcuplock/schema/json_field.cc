#include "kingcuplock/schema/json_field.h"

namespace kingcuplock::internal {

void RequireObject(const nlohmann::json& in, std::string_view type_name) {
  if (!in.is_object()) {
    throw SchemaError(type_name, "must be an object");
  }
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
