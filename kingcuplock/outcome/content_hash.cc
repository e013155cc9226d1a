#include "kingcuplock/outcome/content_hash.h"

#include <string_view>

#include <xxhash.h>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

/// Appends a field prefixed with its length, so that adjacent fields can't be
/// confused.
void AppendField(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

auto HashRequestContent(const CallerRequest& request) -> std::string {
  std::string text;
  AppendField(text, request.database);
  AppendField(text, request.kind);
  AppendField(text, ToString(request.step));
  AppendField(text, request.transaction);
  for (const auto& it : request.statements) {
    AppendField(text, ToString(it.verb));
    AppendField(text, it.key);
    AppendField(text, it.value);
  }
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

}  // namespace kingcuplock
