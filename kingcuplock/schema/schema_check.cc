#include "kingcuplock/schema/schema_check.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace kingcuplock {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

/// Turns valijson's context, as in <root>[a][0], into a JSON pointer.
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

}  // namespace

auto CheckAgainst(std::string_view schema_text, std::string_view text)
    -> std::vector<SchemaFault> {
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
  std::vector<SchemaFault> faults;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    faults.push_back({ToPointer(error.context), error.description});
  }
  return faults;
}

}  // namespace kingcuplock
