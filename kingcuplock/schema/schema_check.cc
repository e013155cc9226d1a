#include "kingcuplock/schema/schema_check.h"

#include <sstream>
#include <string>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace kingcuplock {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

/// Converts the context of a valijson error, such as <root>[a][0], to a JSON
/// pointer.
auto ToPointer(const std::vector<std::string>& context) -> std::string {
  std::string pointer;
  for (const auto& it : context) {
    if (it == "<root>") {
      continue;
    }
    const auto bracketed = it.size() > 2 && it.front() == '[';
    pointer += "/" + (bracketed ? it.substr(1, it.size() - 2) : it);
  }
  return pointer;
}

/// Returns the schema that `node` refers to, or `node` if it is no reference.
auto ResolveReference(const nlohmann::json& schema, const nlohmann::json& node)
    -> const nlohmann::json& {
  if (!node.contains("$ref")) {
    return node;
  }
  const auto reference = node["$ref"].get<std::string>();
  return schema.at(nlohmann::json::json_pointer(reference.substr(1)));
}

/// Returns the schema of the member or array element `part` of a value that
/// `node` describes, or nullptr if there is none.
auto ChildSchema(const nlohmann::json& schema,
                 const nlohmann::json& node,
                 const std::string& part) -> const nlohmann::json* {
  const auto& it = ResolveReference(schema, node);
  if (it.contains("items")) {
    return &it["items"];
  }
  const auto known =
      it.contains("properties") && it["properties"].contains(part);
  return known ? &it["properties"][part] : nullptr;
}

}  // namespace

auto DescribeSchemaAt(std::string_view schema_text, std::string_view pointer)
    -> std::string {
  const auto schema = nlohmann::json::parse(schema_text);
  const auto* node = &schema["allOf"][0];
  std::istringstream parts{std::string(pointer)};
  std::string part;
  std::getline(parts, part, '/');
  while (std::getline(parts, part, '/')) {
    node = ChildSchema(schema, *node, part);
    if (node == nullptr) {
      return {};
    }
  }
  const auto& found = ResolveReference(schema, *node);
  auto text = node->value("description", found.value("description", ""));
  for (const auto* it : {"type", "enum", "minimum", "maximum", "minLength",
                         "minItems", "required"}) {
    if (found.contains(it)) {
      text += std::string(" ") + it + "=" + found[it].dump();
    }
  }
  return text;
}

auto ValidateAgainstSchema(std::string_view schema_text, std::string_view text)
    -> std::vector<SchemaViolation> {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return {{"", "is not valid JSON"}};
  }
  const auto schema_json = nlohmann::json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(Adapter(schema_json), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, Adapter(document), &results)) {
    return {};
  }
  std::vector<SchemaViolation> violations;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    violations.push_back({ToPointer(error.context), error.description});
  }
  return violations;
}

}  // namespace kingcuplock
